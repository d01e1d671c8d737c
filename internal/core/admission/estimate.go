package admission

import (
	"time"

	"github.com/cicadacove/cicadacove/internal/core/contract"
)

const (
	// minCapacity, in slots, is assumed while the scheduler holds no slot, so
	// that a short gap between two grants does not refuse every request.
	minCapacity = 0.25
	// maxRetryAfter is the longest retry hint for refused callers.
	maxRetryAfter = 5 * time.Second
	// minRetryAfter is the shortest retry hint.
	minRetryAfter = 10 * time.Millisecond
	// maxOverload bounds the factor by which overload increases the hint.
	maxOverload = 20.0
)

// headroom is the capacity that is available to one service.
type headroom struct {
	// slack is the capacity left by more urgent work and the floors of other
	// services, in slots.
	slack float64
	// floor is the guaranteed capacity of the service, in slots.
	floor float64
	// queuedAhead is the queued work that is served before the service.
	queuedAhead time.Duration
}

func (s *Scheduler) headroomFor(now time.Time, c *serviceState) headroom {
	left := s.capacity
	var queuedAhead time.Duration
	for _, other := range s.services {
		if other == c {
			continue
		}
		demand := other.demand.slots(now)
		floor := s.floorOf(other, s.capacity)
		switch {
		case other.rank < c.rank:
			left -= demand
			queuedAhead += other.queuedWork()
		case other.rank == c.rank:
			left -= min(demand, max(floor, s.capacity/2))
		default:
			left -= min(demand, floor)
			queuedAhead += time.Duration(other.resumed.length) * other.statementTime.mean
		}
	}
	return headroom{slack: left, floor: s.floorOf(c, s.capacity), queuedAhead: queuedAhead}
}

// expectedWait estimates the wait of a request with the given number of requests
// of its own service ahead of it.
func (s *Scheduler) expectedWait(now time.Time, c *serviceState, ahead int) time.Duration {
	if s.inUse < s.slots && s.waiting == 0 {
		return 0
	}
	return max(s.headroomFor(now, c).wait(c, ahead), s.waitForConnection(c, ahead))
}

// waitForConnection estimates the wait for a connection when all are in use.
func (s *Scheduler) waitForConnection(c *serviceState, ahead int) time.Duration {
	if s.mayConnect() {
		return 0
	}
	return time.Duration(ahead+1) * c.requestTime.mean / time.Duration(s.connections)
}

// queuedWork returns the expected slot time of the waiting requests.
func (c *serviceState) queuedWork() time.Duration {
	fresh := time.Duration(c.queue.size) * c.requestCost()
	return fresh + time.Duration(c.resumed.length)*c.statementTime.mean
}

func (r headroom) wait(c *serviceState, ahead int) time.Duration {
	// The request itself needs a slot to become free, hence ahead+1.
	work := time.Duration(ahead+1)*c.requestCost() + time.Duration(c.resumed.length)*c.statementTime.mean
	byFloor := drainTime(work-c.credit, r.floor)
	if r.slack <= r.floor {
		return byFloor
	}
	return min(byFloor, drainTime(work+r.queuedAhead, r.slack))
}

// drainTime returns work / slots, bounded to avoid overflow.
func drainTime(work time.Duration, slots float64) time.Duration {
	const maxWait = time.Hour
	if slots <= 0 {
		return maxWait
	}
	wait := max(float64(work), 0) / slots
	return time.Duration(min(wait, float64(maxWait)))
}

// retryAfter returns the retry hint for a refused request: the time until the
// current queue has drained, increased by how far demand exceeds the service's
// capacity, with jitter so that refused callers do not retry together.
func (s *Scheduler) retryAfter(now time.Time, c *serviceState, wait time.Duration) time.Duration {
	r := s.headroomFor(now, c)
	overload := c.demand.slots(now) / max(r.slack, r.floor, minCapacity*c.floor)
	overload = min(max(overload, 1), maxOverload)
	hint := float64(wait) + float64(c.target)*(overload-1)
	hint *= 0.5 + s.jitter()
	return min(max(time.Duration(hint), minRetryAfter), maxRetryAfter)
}

// jitter returns a number from 0 to 1 that differs from call to call. It is
// derived from the number of refusals, so the same calls give the same hints.
func (s *Scheduler) jitter() float64 {
	const goldenRatio = 0.6180339887498949
	s.refused++
	x := float64(s.refused%1_000_003) * goldenRatio
	return x - float64(int(x))
}

// Load returns the current load.
func (s *Scheduler) Load(now time.Time) Load {
	load := Load{Slots: s.slots, InUse: s.inUse}
	for _, c := range s.services {
		load.Queued[c.rank] += c.waiting()
		load.Demand[c.rank] += c.demand.slots(now)
		load.Floors[c.rank] += c.floor
	}
	for rank := contract.RankUrgent; rank <= contract.Ranks; rank++ {
		load.Wait[rank] = s.Wait(now, rank)
	}
	return load
}

// Wait returns the longest expected wait among the services of a rank, for a
// request from a caller without queued requests. A rank out of range counts as the
// closest one.
func (s *Scheduler) Wait(now time.Time, rank int) time.Duration {
	rank = contract.ClampRank(rank)
	var longest time.Duration
	for _, c := range s.services {
		if c.rank == rank {
			longest = max(longest, s.expectedWait(now, c, c.queue.size))
		}
	}
	return longest
}
