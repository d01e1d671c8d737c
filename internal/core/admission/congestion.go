package admission

import (
	"math"
	"slices"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/contract"
)

const (
	// statementsPerMean is how many statements one mean covers.
	statementsPerMean = 50
	// maxMeans is how many means are kept. The smallest of them is the time
	// without queueing.
	maxMeans = 12
	// assumedTargetDivisor divides a service's target to give the upper bound
	// assumed for its statement time until enough statements were observed, for
	// instance after a power loss, when all callers reconnect at once.
	assumedTargetDivisor = 5

	// waitWeight is the weight of one statement in the mean wait.
	waitWeight = 0.15
	// maxWaitSample bounds the wait that one statement adds to the mean.
	maxWaitSample = 500 * time.Millisecond
	// waitTimeConstant is the time constant of the decay of the mean wait while
	// no statements are observed, so that held work is tried again.
	waitTimeConstant = 500 * time.Millisecond

	// holdShareLeastUrgent and holdShareMiddle are the shares of the urgent
	// services' target above which a mean wait holds back work of the least
	// urgent rank and of the ranks between: the least urgent work is held back
	// first.
	holdShareLeastUrgent = 0.15
	holdShareMiddle      = 0.7
	// releaseShare is the share of the instance's slots at which held work is
	// released.
	releaseShare = 0.9
)

// ServiceTimeKey groups services whose statements take similar times.
type ServiceTimeKey struct {
	Rank   int
	Target time.Duration
}

// KeyOf returns the key of the service.
func KeyOf(s contract.Service) ServiceTimeKey { return ServiceTimeKey{s.Rank, s.Target} }

// ServiceTimes estimates how long statements take at upstreams without queueing: the
// smallest of the latest means. The zero value is ready to use.
type ServiceTimes struct{ byKey map[ServiceTimeKey]*timeMeans }

type timeMeans struct {
	sum   time.Duration
	count int
	means []time.Duration
}

// Observe records the time of one statement.
func (t *ServiceTimes) Observe(k ServiceTimeKey, took time.Duration) {
	if t.byKey == nil {
		t.byKey = map[ServiceTimeKey]*timeMeans{}
	}
	c, ok := t.byKey[k]
	if !ok {
		c = &timeMeans{}
		t.byKey[k] = c
	}
	c.sum += took
	c.count++
	if c.count < statementsPerMean {
		return
	}
	c.means = append(c.means, c.sum/statementsPerMean)
	c.means = c.means[max(len(c.means)-maxMeans, 0):]
	c.sum, c.count = 0, 0
}

// Unqueued returns the estimated time of a statement without queueing.
func (t *ServiceTimes) Unqueued(k ServiceTimeKey) time.Duration {
	assumed := k.Target / assumedTargetDivisor
	c, ok := t.byKey[k]
	if !ok || len(c.means) == 0 {
		return assumed
	}
	minimum := slices.Min(c.means)
	if len(c.means) < maxMeans {
		return min(minimum, assumed)
	}
	return minimum
}

// Congestion estimates how long statements wait inside an upstream. Several
// instances use its slots and none sees the work of the others, so the upstream
// queues statements in order of arrival and urgent ones wait behind less urgent
// ones. The instances therefore hold back less urgent work while the queue
// delays urgent work by more than a share of its target.
//
// The zero value is an upstream without queueing.
type Congestion struct {
	wait time.Duration
	at   time.Time
	// releaseAt is the time for each rank at which held work may be released.
	releaseAt [contract.Ranks + 1]time.Time
}

// Observe records the time of a statement that takes unqueued without queueing.
func (c *Congestion) Observe(took, unqueued time.Duration, now time.Time) {
	wait := min(took-unqueued, maxWaitSample)
	c.wait = c.decayed(now)
	c.wait += time.Duration(waitWeight * float64(wait-c.wait))
	c.at = now
}

// Wait returns the mean wait inside the upstream.
func (c *Congestion) Wait(now time.Time) time.Duration { return max(c.decayed(now), 0) }

func (c *Congestion) decayed(now time.Time) time.Duration {
	elapsed := now.Sub(c.at)
	if c.at.IsZero() || elapsed <= 0 {
		return c.wait
	}
	return time.Duration(float64(c.wait) * math.Exp(-float64(elapsed)/float64(waitTimeConstant)))
}

// Hold describes work that the instance may have to hold back.
type Hold struct {
	Rank int
	// UrgentTarget is the smallest target of the more urgent services, zero if
	// there are none.
	UrgentTarget time.Duration
	// ServiceTime is the time of one statement without queueing.
	ServiceTime time.Duration
	// Slots is this instance's share of the upstream's slots.
	Slots float64
}

// Hold reports whether the instance must hold the work back for now. Held work
// is released at a limited rate, so that it does not refill the queue at once.
func (c *Congestion) Hold(h Hold, now time.Time) bool {
	if h.Rank <= contract.RankUrgent || h.UrgentTarget <= 0 {
		return false
	}
	share, rank := holdShareMiddle, contract.ClampRank(h.Rank)
	if rank == contract.Ranks {
		share = holdShareLeastUrgent
	}
	limit := time.Duration(share * float64(h.UrgentTarget))
	if c.Wait(now) > limit {
		c.releaseAt[rank] = now.Add(h.releaseInterval())
		return true
	}
	if now.Before(c.releaseAt[rank]) {
		return true
	}
	if !c.releaseAt[rank].IsZero() && now.Sub(c.releaseAt[rank]) < waitTimeConstant {
		c.releaseAt[rank] = now.Add(h.releaseInterval())
	}
	return false
}

// releaseInterval returns the time between two released statements.
func (h Hold) releaseInterval() time.Duration {
	return min(time.Duration(float64(h.Interval())/releaseShare), waitTimeConstant)
}

// Interval returns the time between two statements if the instance used its whole
// share of the upstream's slots.
func (h Hold) Interval() time.Duration {
	const minSlots = 0.01
	return time.Duration(float64(h.ServiceTime) / max(h.Slots, minSlots))
}
