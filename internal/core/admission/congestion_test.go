package admission

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/core/contract"
)

// Many instances share one upstream that queues in order of arrival, and a
// temporary flood of the least urgent work arrives.
const (
	floodInstances = 12
	floodSlots     = 6
	floodQueue     = 48
	floodLength    = 30 * time.Second
	floodStart     = 10 * time.Second
	floodEnd       = 20 * time.Second
	retryInterval  = 20 * time.Millisecond
)

// floodLoad is the load offered by the callers.
type floodLoad struct {
	services []floodService
	// floodFactor multiplies the rate of the least urgent work during the flood.
	floodFactor float64
}

type floodService struct {
	contract.Service
	perSec float64
	work   time.Duration
}

// leastUrgentFlood is a temporary overload by the least urgent work.
var leastUrgentFlood = floodLoad{floodFactor: 3, services: []floodService{
	{contract.Service{Name: "placement", Rank: 1, Target: 100 * time.Millisecond}, 60, 11 * time.Millisecond},
	{contract.Service{Name: "dispatch", Rank: 2, Target: 300 * time.Millisecond}, 80, 33 * time.Millisecond},
	{contract.Service{Name: "catalogue", Rank: 3, Target: 1500 * time.Millisecond}, 25, 55 * time.Millisecond},
}}

// overloadedPrimary is the load of a primary that serves all reads of its group
// because its replicas lag: the middle rank alone exceeds its capacity.
var overloadedPrimary = floodLoad{floodFactor: 1, services: []floodService{
	{contract.Service{Name: "placement", Rank: 1, Target: 200 * time.Millisecond}, 60, 11 * time.Millisecond},
	{contract.Service{Name: "dispatch", Rank: 2, Target: 400 * time.Millisecond}, 200, 33 * time.Millisecond},
	{contract.Service{Name: "catalogue", Rank: 3, Target: 1500 * time.Millisecond}, 36, 55 * time.Millisecond},
}}

// floodEvent is an arrival, a retry of held work, or the end of a statement.
type floodEvent struct {
	at       time.Duration
	instance int
	service  *floodService
	arrived  time.Duration
	work     time.Duration
	sent     time.Duration
	ends     bool
}

type floodEvents []floodEvent

func (e floodEvents) Len() int           { return len(e) }
func (e floodEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e floodEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *floodEvents) Push(x any)        { *e = append(*e, x.(floodEvent)) }
func (e *floodEvents) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

type floodCounts struct{ inTime, total float64 }

// simulateFlood returns the share of each rank's requests that end within their
// target.
func simulateFlood(load floodLoad, seed uint64, holding bool) [contract.Ranks + 1]float64 {
	rng := rand.New(rand.NewPCG(seed, 7))
	var queue floodEvents
	for i := range load.services {
		s := &load.services[i]
		for at := time.Duration(0); at < floodLength; {
			rate := s.perSec
			if s.Rank == contract.Ranks && at > floodStart && at < floodEnd {
				rate *= load.floodFactor
			}
			at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
			work := time.Duration(float64(s.work) * math.Exp(0.7*rng.NormFloat64()-0.245))
			heap.Push(&queue, floodEvent{at: at, instance: rng.IntN(floodInstances), service: s, arrived: at, work: work})
		}
	}
	var work [floodInstances]ServiceTimes
	var congestion [floodInstances]Congestion
	freeAt := make([]time.Duration, floodSlots)
	var shares [contract.Ranks + 1]floodCounts
	waiting := 0
	for len(queue) > 0 {
		e := heap.Pop(&queue).(floodEvent)
		now, s := time.Unix(0, 0).Add(e.at), e.service
		if e.ends {
			waiting--
			took := e.at - e.sent
			work[e.instance].Observe(KeyOf(s.Service), took)
			congestion[e.instance].Observe(took, work[e.instance].Unqueued(KeyOf(s.Service)), now)
			if e.at-e.arrived <= s.Target {
				shares[s.Rank].inTime++
			}
			continue
		}
		if e.at == e.arrived {
			shares[s.Rank].total++
		}
		if holding && congestion[e.instance].Hold(load.hold(s, &work[e.instance]), now) {
			if e.at-e.arrived < s.Target*3/4 {
				e.at += retryInterval
				heap.Push(&queue, e)
			}
			continue
		}
		if waiting >= floodSlots+floodQueue {
			continue // refused as busy
		}
		waiting++
		slot := 0
		for i, f := range freeAt {
			if f < freeAt[slot] {
				slot = i
			}
		}
		freeAt[slot] = max(freeAt[slot], e.at) + e.work
		e.sent, e.at, e.ends = e.at, freeAt[slot], true
		heap.Push(&queue, e)
	}
	var out [contract.Ranks + 1]float64
	for rank, sh := range shares {
		out[rank] = sh.inTime / max(sh.total, 1)
	}
	return out
}

func (l floodLoad) hold(s *floodService, w *ServiceTimes) Hold {
	h := Hold{Rank: s.Rank, ServiceTime: w.Unqueued(KeyOf(s.Service)), Slots: float64(floodSlots) / floodInstances}
	if s.Rank > contract.RankUrgent {
		h.UrgentTarget = l.services[0].Target
	}
	return h
}

// During a flood of the least urgent work, more urgent work still ends within
// its target and the flood gets the remaining capacity.
func TestLessUrgentWorkIsHeldBackWhileAnUpstreamQueues(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		withoutHold, withHold := simulateFlood(leastUrgentFlood, seed, false), simulateFlood(leastUrgentFlood, seed, true)
		t.Logf("seed %d: in time by rank %.3f, without holding %.3f", seed, withHold[1:], withoutHold[1:])
		require.Greater(t, withHold[1], withoutHold[1]+0.1)
		require.GreaterOrEqual(t, withHold[2], withoutHold[2])
		require.Greater(t, withHold[contract.Ranks], 0.5, "the remaining capacity suffices for most of a short flood")
	}
}

// A primary that serves the whole load of its group can't serve all of the
// middle rank. The most urgent work still ends within its target, and the middle
// rank gets the remaining capacity.
func TestUrgentWorkIsServedByAnOverloadedPrimary(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		withoutHold, withHold := simulateFlood(overloadedPrimary, seed, false), simulateFlood(overloadedPrimary, seed, true)
		t.Logf("seed %d: in time by rank %.3f, without holding %.3f", seed, withHold[1:], withoutHold[1:])
		require.Greater(t, withHold[1], 0.7)
		require.Less(t, withoutHold[1], 0.2)
		require.Greater(t, withHold[2], 0.5)
	}
}

func TestWorkWithoutCongestionIsNotHeld(t *testing.T) {
	now := time.Unix(0, 0)
	var c Congestion
	h := Hold{Rank: 3, UrgentTarget: 200 * time.Millisecond, ServiceTime: 50 * time.Millisecond, Slots: 1}
	require.False(t, c.Hold(h, now))
	for range 20 {
		c.Observe(150*time.Millisecond, 50*time.Millisecond, now)
	}
	require.True(t, c.Hold(h, now))
	require.False(t, c.Hold(Hold{Rank: 2, UrgentTarget: 200 * time.Millisecond, ServiceTime: time.Millisecond, Slots: 1}, now), "the least urgent work is held first")
	require.False(t, c.Hold(Hold{Rank: 1}, now), "the most urgent work is never held")
	require.False(t, c.Hold(Hold{Rank: 3, ServiceTime: time.Millisecond, Slots: 1}, now), "there is no more urgent service")
	began := now
	for c.Hold(h, now) {
		now = now.Add(retryInterval)
		require.Less(t, now.Sub(began), 5*waitTimeConstant, "the mean wait decays without observations")
	}
	require.True(t, c.Hold(h, now), "then work is released at a limited rate")
}
