package faultnet

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// maxQueuedBytes bounds the bytes queued in one direction of a connection.
	maxQueuedBytes = 1 << 20
	// readSize is the size of one read from the underlying connection, in bytes.
	readSize = 32 << 10
)

// conn is the dialer's end of a connection. Each direction has a queue that
// delivers a chunk after the delay between the two endpoints, and no chunk while
// a partition separates them.
type conn struct {
	net.Conn
	network       *Network
	local, remote endpoint
	in, out       *queue
	closed        chan struct{}
	closeOnce     sync.Once
	readDeadline  deadline
	writeDeadline deadline
}

func newConn(n *Network, raw net.Conn, local, remote endpoint) *conn {
	c := &conn{
		Conn: raw, network: n, local: local, remote: remote,
		in: newQueue(), out: newQueue(), closed: make(chan struct{}),
		readDeadline: newDeadline(), writeDeadline: newDeadline(),
	}
	go c.receive()
	go c.send()
	return c
}

// receive moves the bytes from the other end to the queue of incoming chunks.
func (c *conn) receive() {
	for {
		buffer := make([]byte, readSize)
		n, err := c.Conn.Read(buffer)
		item := chunk{data: buffer[:n], err: err, due: time.Now().Add(c.network.delayBetween(c.local, c.remote))}
		if c.in.push(item, c.closed, nil) != nil || err != nil {
			return
		}
	}
}

// send sends the queue of outgoing chunks to the other end, and closes
// the underlying connection after the last one.
func (c *conn) send() {
	defer c.Conn.Close()
	for {
		item, err := c.out.pop(c, nil, nil)
		if err != nil || item.err != nil {
			return
		}
		if _, err := c.Conn.Write(item.data); err != nil {
			c.in.push(chunk{err: err}, c.closed, nil)
			return
		}
	}
}

// Read reads bytes that have been delivered.
func (c *conn) Read(p []byte) (int, error) {
	item, err := c.in.pop(c, c.closed, c.readDeadline.expired())
	if err != nil {
		return 0, err
	}
	n := copy(p, item.data)
	if n < len(item.data) {
		item.data = item.data[n:]
		c.in.pushFront(item)
		return n, nil
	}
	if n > 0 && item.err != nil {
		c.in.pushFront(chunk{err: item.err})
		return n, nil
	}
	return n, item.err
}

// Write queues p for the other end. It blocks only while the queue is full.
func (c *conn) Write(p []byte) (int, error) {
	item := chunk{data: append([]byte(nil), p...), due: time.Now().Add(c.network.delayBetween(c.local, c.remote))}
	if err := c.out.push(item, c.closed, c.writeDeadline.expired()); err != nil {
		return 0, err
	}
	return len(p), nil
}

// Close closes this end. The other end sees the close after the bytes that are
// still queued, and therefore not before a partition is healed.
func (c *conn) Close() error {
	err := net.ErrClosed
	c.closeOnce.Do(func() {
		close(c.closed)
		due := time.Now().Add(c.network.delayBetween(c.local, c.remote))
		c.out.pushUnbounded(chunk{err: io.EOF, due: due})
		err = nil
	})
	return err
}

// SetDeadline sets both deadlines.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// SetReadDeadline sets the deadline of Read.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.readDeadline.set(t)
	return nil
}

// SetWriteDeadline sets the deadline of Write.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.writeDeadline.set(t)
	return nil
}

// chunk is a part of the byte stream, or its end.
type chunk struct {
	data []byte
	err  error
	due  time.Time
}

// queue is a bounded queue of chunks with one reader.
type queue struct {
	mu      sync.Mutex
	chunks  []chunk
	size    int
	changed chan struct{} // closed at the next push or pop
}

func newQueue() *queue { return &queue{changed: make(chan struct{})} }

func (q *queue) notifyChanged() {
	close(q.changed)
	q.changed = make(chan struct{})
}

// push appends a chunk. While the queue is full, it waits. It fails once closed
// or expired is closed.
func (q *queue) push(item chunk, closed, expired <-chan struct{}) error {
	for {
		if isClosed(closed) {
			return net.ErrClosed
		}
		if isClosed(expired) {
			return os.ErrDeadlineExceeded
		}
		q.mu.Lock()
		if q.size < maxQueuedBytes {
			q.appendChunk(item)
			q.mu.Unlock()
			return nil
		}
		changed := q.changed
		q.mu.Unlock()
		select {
		case <-changed:
		case <-closed:
		case <-expired:
		}
	}
}

// pushUnbounded appends a chunk even if the queue is full.
func (q *queue) pushUnbounded(item chunk) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.appendChunk(item)
}

func (q *queue) appendChunk(item chunk) {
	q.chunks = append(q.chunks, item)
	q.size += len(item.data)
	q.notifyChanged()
}

func (q *queue) pushFront(item chunk) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.chunks = append([]chunk{item}, q.chunks...)
	q.size += len(item.data)
	q.notifyChanged()
}

// pop removes and returns the first chunk once it is due and no partition blocks
// the connection.
func (q *queue) pop(c *conn, closed, expired <-chan struct{}) (chunk, error) {
	for {
		if isClosed(closed) {
			return chunk{}, net.ErrClosed
		}
		if isClosed(expired) {
			return chunk{}, os.ErrDeadlineExceeded
		}
		q.mu.Lock()
		wait, changed := time.Duration(-1), q.changed
		if len(q.chunks) > 0 {
			wait = max(0, time.Until(q.chunks[0].due))
		}
		blocked, partitionChanged := c.network.blocked(c.local, c.remote)
		if wait == 0 && !blocked {
			item := q.chunks[0]
			q.chunks = q.chunks[1:]
			q.size -= len(item.data)
			q.notifyChanged()
			q.mu.Unlock()
			return item, nil
		}
		q.mu.Unlock()
		if !blocked {
			partitionChanged = nil
		}
		waitAny(wait, changed, partitionChanged, closed, expired)
	}
}

// waitAny waits until one of the channels is closed or the time has passed. A
// time that is not positive is ignored.
func waitAny(wait time.Duration, a, b, c, d <-chan struct{}) {
	var due <-chan time.Time
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-due:
	case <-a:
	case <-b:
	case <-c:
	case <-d:
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// deadline is a read or write deadline. It can be changed while other goroutines
// wait for it.
type deadline struct {
	mu    *sync.Mutex
	state *deadlineState
}

type deadlineState struct {
	timer *time.Timer
	done  chan struct{}
}

func newDeadline() deadline {
	return deadline{mu: new(sync.Mutex), state: &deadlineState{done: make(chan struct{})}}
}

// expired returns a channel that is closed when the deadline has passed.
func (d deadline) expired() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.done
}

func (d deadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.state.timer != nil {
		d.state.timer.Stop()
	}
	d.state.timer = nil
	if isClosed(d.state.done) {
		d.state.done = make(chan struct{})
	}
	if t.IsZero() {
		return
	}
	done := d.state.done
	if wait := time.Until(t); wait > 0 {
		d.state.timer = time.AfterFunc(wait, func() { d.expire(done) })
		return
	}
	close(done)
}

func (d deadline) expire(done chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.state.done == done && !isClosed(done) {
		close(done)
	}
}
