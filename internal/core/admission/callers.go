package admission

// callerQueue holds the waiting tickets of one caller of one service.
type callerQueue struct {
	name       string
	head, tail *Ticket
	length     int

	// Links in the round-robin ring.
	ringPrev, ringNext *callerQueue
	// Links in the list of callers with the same queue length.
	lengthPrev, lengthNext *callerQueue
}

func (q *callerQueue) push(t *Ticket) {
	t.caller = q
	t.prev = q.tail
	t.next = nil
	if q.tail == nil {
		q.head = t
	} else {
		q.tail.next = t
	}
	q.tail = t
}

func (q *callerQueue) unlink(t *Ticket) {
	if t.prev == nil {
		q.head = t.next
	} else {
		t.prev.next = t.next
	}
	if t.next == nil {
		q.tail = t.prev
	} else {
		t.next.prev = t.prev
	}
	t.prev, t.next, t.caller = nil, nil, nil
}

// fairQueue serves the callers of a service round-robin. Every operation takes
// constant time, regardless of the number of callers.
type fairQueue struct {
	callers map[string]*callerQueue
	// current is the caller to serve next, the start of the ring.
	current *callerQueue
	// byLength[n] lists the callers with n waiting tickets.
	byLength []*callerQueue
	longest  int
	size     int
	// spare is an empty queue kept for reuse.
	spare *callerQueue
}

func newFairQueue() fairQueue {
	return fairQueue{callers: make(map[string]*callerQueue), byLength: make([]*callerQueue, 2)}
}

// queuedBy returns the number of waiting tickets of the caller.
func (f *fairQueue) queuedBy(caller string) int {
	q := f.callers[caller]
	if q == nil {
		return 0
	}
	return q.length
}

func (f *fairQueue) push(caller string, t *Ticket) {
	q := f.callers[caller]
	if q == nil {
		q = f.newQueue(caller)
		f.callers[caller] = q
		f.linkRing(q)
	}
	q.push(t)
	f.size++
	f.setLength(q, q.length+1)
}

func (f *fairQueue) newQueue(caller string) *callerQueue {
	q := f.spare
	if q == nil {
		return &callerQueue{name: caller}
	}
	f.spare = nil
	q.name = caller
	return q
}

// head returns the ticket to serve next, or nil.
func (f *fairQueue) head() *Ticket {
	if f.current == nil {
		return nil
	}
	return f.current.head
}

// pop removes the ticket to serve next and advances to the next caller.
func (f *fairQueue) pop() *Ticket {
	t := f.head()
	if t == nil {
		return nil
	}
	f.current = f.current.ringNext
	f.remove(t)
	return t
}

// newestOfLongest returns the newest ticket of a caller with the longest
// queue, and the length of that queue.
func (f *fairQueue) newestOfLongest() (*Ticket, int) {
	if f.size == 0 {
		return nil, 0
	}
	return f.byLength[f.longest].tail, f.longest
}

func (f *fairQueue) remove(t *Ticket) {
	q := t.caller
	q.unlink(t)
	f.size--
	f.setLength(q, q.length-1)
	if q.length > 0 {
		return
	}
	f.unlinkRing(q)
	delete(f.callers, q.name)
	f.spare = q
}

func (f *fairQueue) linkRing(q *callerQueue) {
	if f.current == nil {
		q.ringPrev, q.ringNext = q, q
		f.current = q
		return
	}
	last := f.current.ringPrev
	q.ringPrev, q.ringNext = last, f.current
	last.ringNext = q
	f.current.ringPrev = q
}

func (f *fairQueue) unlinkRing(q *callerQueue) {
	if q.ringNext == q {
		f.current = nil
	} else {
		q.ringPrev.ringNext = q.ringNext
		q.ringNext.ringPrev = q.ringPrev
		if f.current == q {
			f.current = q.ringNext
		}
	}
	q.ringPrev, q.ringNext = nil, nil
}

// setLength moves the caller to the list for its new length. Lengths change by
// one at a time, so updating the longest length takes constant time.
func (f *fairQueue) setLength(q *callerQueue, length int) {
	f.unlinkLength(q)
	q.length = length
	f.linkLength(q)
	if length > f.longest {
		f.longest = length
	}
	if f.byLength[f.longest] == nil && f.longest > 0 {
		f.longest--
	}
}

func (f *fairQueue) unlinkLength(q *callerQueue) {
	if q.length == 0 {
		return
	}
	if q.lengthPrev == nil {
		f.byLength[q.length] = q.lengthNext
	} else {
		q.lengthPrev.lengthNext = q.lengthNext
	}
	if q.lengthNext != nil {
		q.lengthNext.lengthPrev = q.lengthPrev
	}
	q.lengthPrev, q.lengthNext = nil, nil
}

func (f *fairQueue) linkLength(q *callerQueue) {
	if q.length == 0 {
		return
	}
	if q.length >= len(f.byLength) {
		f.byLength = append(f.byLength, nil)
	}
	first := f.byLength[q.length]
	q.lengthNext = first
	if first != nil {
		first.lengthPrev = q
	}
	f.byLength[q.length] = q
}
