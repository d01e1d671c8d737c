package admission

import (
	"math"
	"slices"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/contract"
)

const (
	// workWindow is how many statements one mean of their time covers.
	workWindow = 50
	// workWindows is how many means are kept. The least of them is the time
	// without a queue.
	workWindows = 12
	// assumedPart of its target is what a statement is assumed to take at most
	// before enough of them were observed, for instance after a power loss,
	// when all come at once.
	assumedPart = 5

	// waitWeight is the weight of a statement in the mean wait.
	waitWeight = 0.15
	// longestWait bounds what one statement can add to the mean wait.
	longestWait = 500 * time.Millisecond
	// waitMemory is the time constant with which a wait is forgotten that no
	// statement confirms, so that work which is held back is tried again.
	waitMemory = 500 * time.Millisecond

	// holdShareLeast and holdShareMiddle are the parts of the urgent services'
	// target by which work of the last rank and of those between may delay them:
	// the least urgent work is held back first.
	holdShareLeast  = 0.15
	holdShareMiddle = 0.7
	// releaseShare is the part of the upstream's slots that work takes which
	// was held back and goes on.
	releaseShare = 0.9
)

// WorkKey tells services apart whose statements take different times.
type WorkKey struct {
	Rank   int
	Target time.Duration
}

// KeyOf returns the key of a service.
func KeyOf(s contract.Service) WorkKey { return WorkKey{s.Rank, s.Target} }

// Work learns how long statements take at upstreams without a queue: the least
// of the latest means. The zero value knows nothing.
type Work struct{ classes map[WorkKey]*workMeans }

type workMeans struct {
	sum   time.Duration
	count int
	means []time.Duration
}

// Observe takes in the time of one statement.
func (w *Work) Observe(k WorkKey, took time.Duration) {
	if w.classes == nil {
		w.classes = map[WorkKey]*workMeans{}
	}
	c, ok := w.classes[k]
	if !ok {
		c = &workMeans{}
		w.classes[k] = c
	}
	c.sum += took
	c.count++
	if c.count < workWindow {
		return
	}
	c.means = append(c.means, c.sum/workWindow)
	c.means = c.means[max(len(c.means)-workWindows, 0):]
	c.sum, c.count = 0, 0
}

// Least returns the time of a statement without a queue.
func (w *Work) Least(k WorkKey) time.Duration {
	assumed := k.Target / assumedPart
	c, ok := w.classes[k]
	if !ok || len(c.means) == 0 {
		return assumed
	}
	least := slices.Min(c.means)
	if len(c.means) < workWindows {
		return min(least, assumed)
	}
	return least
}

// Congestion estimates how long statements wait inside an upstream. Several
// instances use its slots and none sees the others' work, so the upstream
// queues in order of arrival; what is urgent stands behind what is not. Less
// urgent work is therefore held back at the instances while the queue delays
// urgent work by more than a part of its target.
//
// The zero value is an upstream without a queue.
type Congestion struct {
	wait time.Duration
	at   time.Time
	// next has for each rank when held work may go on.
	next [contract.Ranks + 1]time.Time
}

// Observe takes in the time of a statement that takes least without a queue.
func (c *Congestion) Observe(took, least time.Duration, now time.Time) {
	wait := min(took-least, longestWait)
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
	return time.Duration(float64(c.wait) * math.Exp(-float64(elapsed)/float64(waitMemory)))
}

// Hold describes work that may have to wait at the instance.
type Hold struct {
	Rank int
	// UrgentTarget is the least target of the services that are more urgent,
	// zero if there are none.
	UrgentTarget time.Duration
	// Work is the time of one statement without a queue.
	Work time.Duration
	// Slots is this instance's part of the upstream's slots.
	Slots float64
}

// Hold reports whether work is to wait at the instance for now. Work that was
// held goes on at a pace, so that it does not fill the queue again at once.
func (c *Congestion) Hold(h Hold, now time.Time) bool {
	if h.Rank <= contract.RankUrgent || h.UrgentTarget <= 0 {
		return false
	}
	share := holdShareMiddle
	if h.Rank >= contract.Ranks {
		share = holdShareLeast
	}
	limit := time.Duration(share * float64(h.UrgentTarget))
	rank := min(h.Rank, contract.Ranks)
	if c.Wait(now) > limit {
		c.next[rank] = now.Add(h.pause())
		return true
	}
	if now.Before(c.next[rank]) {
		return true
	}
	if !c.next[rank].IsZero() && now.Sub(c.next[rank]) < waitMemory {
		c.next[rank] = now.Add(h.pause())
	}
	return false
}

// pause is the time between two statements that go on.
func (h Hold) pause() time.Duration {
	const leastSlots = 0.01
	return min(time.Duration(float64(h.Work)/(releaseShare*max(h.Slots, leastSlots))), waitMemory)
}
