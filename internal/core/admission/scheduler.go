package admission

import (
	"slices"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
)

const (
	// evictAfter is how long an unused service is kept.
	evictAfter = 10 * time.Minute
	// maxServices is the number of services from which unused ones are evicted.
	maxServices = 64
)

// Refusal reasons.
const (
	reasonExpectedWait = "the expected wait exceeds the target of the service"
	reasonQueueFull    = "the queue of the service is full"
	reasonExpired      = "the request can no longer end within the target of the service"
	reasonLongerQueue  = "another caller of the service has fewer requests waiting"
)

// Scheduler shares the slots of one upstream among requests. It is not safe for
// concurrent use.
type Scheduler struct {
	options Options
	slots   int
	// average is the number of slots held over time, from which floors accrue
	// credit; capacity is the number of slots that estimates use.
	average, capacity float64
	// floors is the guaranteed number of slots of each rank over time, when the
	// slots are shared with other schedulers.
	floors [contract.Ranks + 1]float64
	// floorSum is the sum of the floors of the services of each rank.
	floorSum [contract.Ranks + 1]float64

	// connections bounds the requests that hold a connection, from start to
	// End; zero means no bound.
	connections int
	connected   int

	services []*serviceState
	byName   map[string]*serviceState
	inUse    int
	waiting  int

	arrivals  uint64
	starts    uint64
	refused   uint64
	yielded   bool
	decisions []Decision
}

// New returns a scheduler with the given options.
func New(options Options) *Scheduler {
	if options.Policy == "" {
		options.Policy = Ranked
	}
	if options.MaxQueue <= 0 {
		options.MaxQueue = DefaultMaxQueue
	}
	if options.IdleLimit <= 0 {
		options.IdleLimit = DefaultIdleLimit
	}
	if options.Policy != Ranked {
		options.Disabled = Mechanisms{Floors: true, Targets: true, Expiry: true, Fairness: true}
	}
	s := &Scheduler{options: options, connections: options.Connections, byName: make(map[string]*serviceState)}
	s.resize(options.Slots, float64(options.Slots))
	return s
}

// IdleLimit returns how long an idle transaction may keep its slot.
func (s *Scheduler) IdleLimit() time.Duration { return s.options.IdleLimit }

// Arrive submits a request. The returned decisions contain the start or refusal
// of its ticket, if decided at once, and those of other tickets that the arrival
// affects. They are valid until the next call.
func (s *Scheduler) Arrive(now time.Time, r Request, owner any) (*Ticket, []Decision) {
	s.begin(now)
	c := s.serviceOf(now, r.Service)
	c.lastActive = now
	if !r.InTransaction {
		c.demand.add(now, c.requestCost())
	}
	s.arrivals++
	t := &Ticket{Request: r, Owner: owner, service: c, arrivalSeq: s.arrivals}
	if s.inUse < s.slots && s.waiting == 0 && s.mayStart(t) && !s.expired(now, t) {
		s.start(now, t)
		return t, s.decisions
	}
	if refusal, refused := s.checkAdmission(now, t); refused {
		s.refuse(t, refusal)
		return t, s.decisions
	}
	s.enqueue(t)
	s.dispatch(now)
	return t, s.decisions
}

// Release releases a ticket's slot. It is a no-op for a ticket without a slot.
func (s *Scheduler) Release(now time.Time, t *Ticket) []Decision {
	s.begin(now)
	if t.state != Running && t.state != Idle {
		return nil
	}
	used := now.Sub(t.started)
	t.service.statementTime.add(used)
	t.service.cost.add(used)
	t.service.settle(t.charged, used)
	s.freeSlot(t)
	s.dispatch(now)
	return s.decisions
}

// Withdraw releases a slot that was never used, without measuring its service
// time.
func (s *Scheduler) Withdraw(now time.Time, t *Ticket) []Decision {
	s.begin(now)
	if t.state != Running {
		return nil
	}
	t.service.settle(t.charged, 0)
	s.freeSlot(t)
	s.dispatch(now)
	return s.decisions
}

// Cancel removes a waiting ticket whose caller no longer waits.
func (s *Scheduler) Cancel(now time.Time, t *Ticket) []Decision {
	s.begin(now)
	if t.state != Waiting {
		return nil
	}
	s.remove(t)
	t.state = Ended
	s.dispatch(now)
	return s.decisions
}

// Expire refuses a waiting ticket whose deadline has passed. Before the deadline
// it is a no-op.
func (s *Scheduler) Expire(now time.Time, t *Ticket) []Decision {
	s.begin(now)
	if t.state != Waiting || !s.expired(now, t) {
		return nil
	}
	s.remove(t)
	s.refuse(t, s.overloaded(now, t.service, reasonExpired))
	return s.decisions
}

// MarkIdle records that the transaction holding the slot runs no statement.
func (s *Scheduler) MarkIdle(now time.Time, t *Ticket) {
	if t.state == Running {
		t.state = Idle
		t.idleSince = now
	}
}

// MarkBusy records that an idle transaction runs a statement again. It returns
// false if the slot was reclaimed: the request must then arrive again, marked
// InTransaction.
func (s *Scheduler) MarkBusy(t *Ticket) bool {
	if t.state != Idle {
		return t.state == Running
	}
	t.state = Running
	return true
}

// Reclaim releases the slot of a transaction that was idle for the idle limit.
func (s *Scheduler) Reclaim(now time.Time, t *Ticket) []Decision {
	s.begin(now)
	if t.state != Idle || now.Sub(t.idleSince) < s.options.IdleLimit {
		return nil
	}
	s.freeSlot(t)
	s.dispatch(now)
	return s.decisions
}

// SetSlots changes how many requests may run at once. Running requests keep
// their slots until they end. average is the number of slots held over time,
// which differs from slots when slots are granted in turns.
func (s *Scheduler) SetSlots(now time.Time, slots int, average float64) []Decision {
	s.begin(now)
	s.resize(slots, average)
	s.dispatch(now)
	return s.decisions
}

// SetFloors sets the guaranteed number of slots of each rank over time. It is
// needed when the slots are shared with other schedulers and the demand of a rank
// is spread unevenly over them. A service gets at least its own share of the
// average.
func (s *Scheduler) SetFloors(floors [contract.Ranks + 1]float64) { s.floors = floors }

// floorOf returns how many of the given slots are guaranteed to the service.
func (s *Scheduler) floorOf(c *serviceState, slots float64) float64 {
	own := c.floor * slots
	if s.floors[c.rank] == 0 {
		return own
	}
	return max(own, s.floors[c.rank]*c.floor/s.floorSum[c.rank])
}

// SetConnections bounds the requests that hold a connection at once, from start
// until End. Without the bound a deadlock is possible: new requests hold all
// slots and wait for connections, which are held by transactions that wait for
// slots. Zero means no bound.
func (s *Scheduler) SetConnections(now time.Time, connections int) []Decision {
	s.begin(now)
	s.connections = connections
	s.dispatch(now)
	return s.decisions
}

// End records that a started request has released its connection, and measures
// the time since its start.
func (s *Scheduler) End(now time.Time, t *Ticket) []Decision {
	s.begin(now)
	if !t.connected {
		return nil
	}
	t.connected = false
	s.connected--
	t.service.requestTime.add(now.Sub(t.started))
	s.dispatch(now)
	return s.decisions
}

// mayConnect reports whether one more request may hold a connection.
func (s *Scheduler) mayConnect() bool {
	return s.connections == 0 || s.connected < s.connections
}

// Excess returns how many running requests exceed the slots after their number
// was reduced.
func (s *Scheduler) Excess() int { return max(s.inUse-s.slots, 0) }

// Idle returns the number of unused slots.
func (s *Scheduler) Idle() int { return max(s.slots-s.inUse, 0) }

func (s *Scheduler) begin(now time.Time) {
	s.decisions = s.decisions[:0]
	for _, c := range s.services {
		c.accrue(now, s.floorOf(c, s.average))
	}
}

func (s *Scheduler) resize(slots int, average float64) {
	s.slots = max(slots, 0)
	s.average = max(average, minCapacity)
	s.capacity = max(s.average, float64(s.slots))
	s.allot()
}

func (s *Scheduler) serviceOf(now time.Time, service contract.Service) *serviceState {
	c := s.byName[service.Name]
	if c == nil {
		s.evictUnused(now)
		c = newServiceState(service, now)
		s.byName[service.Name] = c
		s.services = append(s.services, c)
		s.rankAndScale()
		return c
	}
	if c.apply(service) {
		s.rankAndScale()
	}
	return c
}

// rankAndScale orders the services by rank and scales their floors down when their
// sum exceeds the capacity.
func (s *Scheduler) rankAndScale() {
	slices.SortStableFunc(s.services, func(a, b *serviceState) int { return a.rank - b.rank })
	var sum float64
	for _, c := range s.services {
		sum += c.contractFloor
	}
	scale := 1 / max(sum, 1)
	s.floorSum = [contract.Ranks + 1]float64{}
	for _, c := range s.services {
		c.floor = c.contractFloor * scale
		s.floorSum[c.rank] += c.floor
	}
	s.allot()
}

func (s *Scheduler) evictUnused(now time.Time) {
	if len(s.services) < maxServices {
		return
	}
	s.services = slices.DeleteFunc(s.services, func(c *serviceState) bool {
		unused := c.idle() && now.Sub(c.lastActive) > evictAfter
		if unused {
			delete(s.byName, c.name)
		}
		return unused
	})
}

func (s *Scheduler) enqueue(t *Ticket) {
	s.waiting++
	if t.Request.InTransaction && !s.options.Disabled.Transactions {
		t.service.resumed.push(t)
		t.service.resumed.length++
		return
	}
	t.service.queue.push(s.callerOf(t), t)
}

// callerOf returns the name under which the ticket queues.
func (s *Scheduler) callerOf(t *Ticket) string {
	if s.options.Disabled.Fairness {
		return ""
	}
	return t.Request.Caller
}

func (s *Scheduler) remove(t *Ticket) {
	s.waiting--
	if t.caller == &t.service.resumed {
		t.service.resumed.unlink(t)
		t.service.resumed.length--
		return
	}
	t.service.queue.remove(t)
}

func (s *Scheduler) start(now time.Time, t *Ticket) {
	s.starts++
	s.inUse++
	t.state = Running
	t.started = now
	t.service.running++
	t.service.lastStartSeq = s.starts
	t.charged = t.service.charge()
	if !t.Request.InTransaction {
		t.service.cost.start()
		t.connected = true
		s.connected++
	}
	s.decisions = append(s.decisions, Decision{Ticket: t, Start: true})
}

func (s *Scheduler) freeSlot(t *Ticket) {
	t.state = Ended
	t.service.running--
	s.inUse--
}

func (s *Scheduler) refuse(t *Ticket, why outcome.Outcome) {
	t.state = Ended
	s.decisions = append(s.decisions, Decision{Ticket: t, Outcome: why})
}

// dispatch starts waiting requests while slots are free.
func (s *Scheduler) dispatch(now time.Time) {
	for s.inUse < s.slots && s.waiting > 0 {
		t := s.pick()
		if t == nil {
			return
		}
		if s.expired(now, t) {
			s.refuse(t, s.overloaded(now, t.service, reasonExpired))
			continue
		}
		s.start(now, t)
	}
}
