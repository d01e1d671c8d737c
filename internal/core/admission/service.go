package admission

import (
	"math"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/contract"
)

const (
	// measurementWeight is the weight of a new measurement in a moving average.
	measurementWeight = 1.0 / 16
	// boundDeviations is how many mean deviations an upper bound adds to the
	// mean.
	boundDeviations = 4
	// demandWindow is the time constant of the demand measurement.
	demandWindow = 250 * time.Millisecond
	// idleCreditRequests bounds the floor credit of a service without waiting
	// requests. It lets a service with bursty requests use its floor.
	idleCreditRequests = 4
	// maxCredit bounds the floor credit of a service with waiting requests.
	maxCredit = time.Second
)

// serviceState is the scheduling state of one service.
type serviceState struct {
	name   string
	rank   int
	target time.Duration
	// contractFloor is the floor in the contract, floor the effective one after
	// scaling; both are shares of the capacity, 0 to 1.
	contractFloor, floor float64

	// statementTime is the slot time of one statement, requestTime the time
	// from the start of a request to its end, which is longer for a
	// transaction.
	statementTime, requestTime estimate
	// cost is the total slot time of all statements of a request.
	cost costMeter

	// credit is the slot time that the floor owes to the service.
	credit    time.Duration
	accruedAt time.Time

	demand rateMeter
	queue  fairQueue
	// resumed queues the requests of started transactions.
	resumed callerQueue
	running int
	// allotted is the number of slots under StaticShares.
	allotted     int
	lastStartSeq uint64
	lastActive   time.Time
}

func newServiceState(service contract.Service, now time.Time) *serviceState {
	c := &serviceState{name: service.Name, queue: newFairQueue(), accruedAt: now}
	c.statementTime.mean = InitialServiceTime
	c.apply(service)
	return c
}

// apply adopts the rank, target and floor of the contract. It reports whether
// rank or floor changed.
func (c *serviceState) apply(service contract.Service) bool {
	rank := contract.ClampRank(service.Rank)
	target := service.Target
	if target <= 0 {
		target = DefaultTarget
	}
	contractFloor := max(service.FloorPercent, MinFloorPercent) / 100
	changed := c.rank != rank || c.contractFloor != contractFloor
	c.rank, c.target, c.contractFloor = rank, target, contractFloor
	return changed
}

// idle reports whether the service has neither running nor waiting requests.
func (c *serviceState) idle() bool {
	return c.running == 0 && c.waiting() == 0
}

func (c *serviceState) waiting() int { return c.queue.size + c.resumed.length }

// accrue adds the slot time that the floor, in slots, earned since the last
// call. A service without waiting requests keeps at most the cost of a few
// requests.
func (c *serviceState) accrue(now time.Time, floor float64) {
	elapsed := now.Sub(c.accruedAt)
	c.accruedAt = now
	if elapsed <= 0 {
		return
	}
	c.credit += time.Duration(float64(elapsed) * floor)
	limit := maxCredit
	if c.waiting() == 0 {
		limit = idleCreditRequests * c.statementTime.mean
	}
	c.credit = min(c.credit, limit)
}

// belowFloor reports whether the floor credit covers a waiting request.
func (c *serviceState) belowFloor() bool { return c.queue.size > 0 && c.credit >= c.statementTime.mean }

// charge deducts the cost of one request from the floor credit, as far as it
// suffices. Slot time beyond the floor costs no credit.
func (c *serviceState) charge() time.Duration {
	charged := min(max(c.credit, 0), c.statementTime.mean)
	c.credit -= charged
	return charged
}

// settle corrects the charge of a request by the slot time it actually used.
func (c *serviceState) settle(charged, used time.Duration) {
	if charged <= 0 {
		return
	}
	c.credit = max(c.credit+charged-used, -maxCredit)
}

// requestCost returns the expected slot time of a new request.
func (c *serviceState) requestCost() time.Duration {
	return max(c.cost.mean(), c.statementTime.mean)
}

// serviceBound returns a time within which most requests of the service end
// once they have started. It is at most half the target; otherwise an estimate
// that is too high would refuse every request and never be corrected.
func (c *serviceState) serviceBound() time.Duration {
	return min(max(c.statementTime.bound(), c.requestTime.bound()), c.target/2)
}

// estimate is a running mean of durations with their mean deviation.
type estimate struct {
	mean, deviation time.Duration
	measured        bool
}

// add records one measurement.
func (e *estimate) add(d time.Duration) {
	if !e.measured {
		e.measured = true
		e.mean = max(d, time.Microsecond)
		e.deviation = d / 2
		return
	}
	difference := d - e.mean
	e.mean += time.Duration(float64(difference) * measurementWeight)
	e.mean = max(e.mean, time.Microsecond)
	spread := difference.Abs() - e.deviation
	e.deviation += time.Duration(float64(spread) * measurementWeight)
}

// bound returns a duration that most measurements do not exceed.
func (e *estimate) bound() time.Duration { return e.mean + boundDeviations*e.deviation }

// costMeter measures the mean slot time per started request, with exponential
// decay.
type costMeter struct {
	used   time.Duration
	starts float64
}

func (m *costMeter) start() {
	m.used -= time.Duration(float64(m.used) * measurementWeight)
	m.starts -= m.starts * measurementWeight
	m.starts++
}

func (m *costMeter) add(used time.Duration) { m.used += used }

func (m *costMeter) mean() time.Duration {
	if m.starts < 1 {
		return 0
	}
	return time.Duration(float64(m.used) / m.starts)
}

// rateMeter measures a rate with exponential decay.
type rateMeter struct {
	value float64
	at    time.Time
}

// add counts work of the given slot time at time now.
func (m *rateMeter) add(now time.Time, work time.Duration) {
	m.value = m.decayed(now) + work.Seconds()
	m.at = now
}

// slots returns the measured work per time, in slots.
func (m *rateMeter) slots(now time.Time) float64 {
	return m.decayed(now) / demandWindow.Seconds()
}

func (m *rateMeter) decayed(now time.Time) float64 {
	if m.value == 0 {
		return 0
	}
	elapsed := now.Sub(m.at)
	if elapsed <= 0 {
		return m.value
	}
	return m.value * math.Exp(-elapsed.Seconds()/demandWindow.Seconds())
}
