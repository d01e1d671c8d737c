package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// The load of one group: writes that only the primary takes, and reads that
// any of three upstreams may serve.
const (
	loadSlots    = 6
	loadLength   = 60 * time.Second
	writeWork    = 11 * time.Millisecond
	writeTarget  = 40 * time.Millisecond
	writesPerSec = 150
	readWork     = 33 * time.Millisecond
	readTarget   = 400 * time.Millisecond
	readsPerSec  = 300
)

// loadUpstream is a database with a queue in order of arrival.
type loadUpstream struct {
	id topo.UpstreamID
	// free has for each slot when it is free again.
	free   []time.Duration
	answer time.Duration
}

// serve returns how long a statement takes that arrives at a time.
func (u *loadUpstream) serve(at, work time.Duration) time.Duration {
	slot := 0
	for i, f := range u.free {
		if f < u.free[slot] {
			slot = i
		}
	}
	end := max(u.free[slot], at) + work
	u.free[slot] = end
	u.answer += (end - at - u.answer) / 10
	return end - at
}

type loadArrival struct {
	at     time.Duration
	writes bool
	work   time.Duration
}

func loadArrivals(seed uint64) []loadArrival {
	rng := rand.New(rand.NewPCG(seed, 1))
	var all []loadArrival
	add := func(perSec float64, work time.Duration, writes bool) {
		for at := time.Duration(0); at < loadLength; {
			at += time.Duration(rng.ExpFloat64() / perSec * float64(time.Second))
			all = append(all, loadArrival{at, writes, time.Duration(rng.ExpFloat64() * float64(work))})
		}
	}
	add(writesPerSec, writeWork, true)
	add(readsPerSec, readWork, false)
	slices.SortFunc(all, func(a, b loadArrival) int { return cmp.Compare(a.at, b.at) })
	return all
}

// playLoad returns the shares of writes and reads that end within their
// targets. marked says whether the offers tell which one is the primary.
func playLoad(seed uint64, marked bool) (writes, reads float64) {
	upstreams := []*loadUpstream{}
	for _, id := range []topo.UpstreamID{"primary", "b", "c"} {
		upstreams = append(upstreams, &loadUpstream{id: id, free: make([]time.Duration, loadSlots)})
	}
	var nWrites, nReads, goodWrites, goodReads float64
	for _, a := range loadArrivals(seed) {
		if a.writes {
			nWrites++
			if upstreams[0].serve(a.at, a.work) <= writeTarget {
				goodWrites++
			}
			continue
		}
		var offers []Offer
		for i, u := range upstreams {
			offers = append(offers, Offer{ID: u.id, Answer: u.answer, Primary: marked && i == 0})
		}
		best, _ := Place(Requirement{}, offers)
		nReads++
		at := slices.IndexFunc(upstreams, func(u *loadUpstream) bool { return u.id == best.ID })
		if upstreams[at].serve(a.at, a.work) <= readTarget {
			goodReads++
		}
	}
	return goodWrites / nWrites, goodReads / nReads
}

// Reads that keep away from the primary let more writes end in time, and no
// fewer reads.
func TestReadsLeaveThePrimaryToWrites(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		equalWrites, equalReads := playLoad(seed, false)
		writes, reads := playLoad(seed, true)
		t.Logf("seed %d: writes in time %.3f, before %.3f; reads in time %.3f, before %.3f", seed, writes, equalWrites, reads, equalReads)
		require.Greater(t, writes, equalWrites)
		require.GreaterOrEqual(t, reads, 0.99*equalReads)
	}
}
