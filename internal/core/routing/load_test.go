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

// The load of one group: writes that only the primary can take, and reads that
// any of three upstreams can serve.
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

// loadUpstream is a database that queues in order of arrival.
type loadUpstream struct {
	id topo.UpstreamID
	// freeAt is the time for each slot at which it becomes free.
	freeAt       []time.Duration
	responseTime time.Duration
}

// serve returns the response time of a statement that arrives at the given time.
func (u *loadUpstream) serve(at, work time.Duration) time.Duration {
	slot := 0
	for i, f := range u.freeAt {
		if f < u.freeAt[slot] {
			slot = i
		}
	}
	end := max(u.freeAt[slot], at) + work
	u.freeAt[slot] = end
	u.responseTime += (end - at - u.responseTime) / 10
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

// simulateLoad returns the shares of writes and reads that end within their
// targets. primaryMarked is true if the offers identify the
// primary.
func simulateLoad(seed uint64, primaryMarked bool) (writes, reads float64) {
	upstreams := []*loadUpstream{}
	for _, id := range []topo.UpstreamID{"primary", "b", "c"} {
		upstreams = append(upstreams, &loadUpstream{id: id, freeAt: make([]time.Duration, loadSlots)})
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
			offers = append(offers, Offer{ID: u.id, ResponseTime: u.responseTime, Primary: primaryMarked && i == 0})
		}
		best, _ := Select(Requirement{}, offers)
		nReads++
		at := slices.IndexFunc(upstreams, func(u *loadUpstream) bool { return u.id == best.ID })
		if upstreams[at].serve(a.at, a.work) <= readTarget {
			goodReads++
		}
	}
	return goodWrites / nWrites, goodReads / nReads
}

// Routing that prefers replicas for reads lets more writes meet their target
// without making reads worse.
func TestReadsAvoidThePrimary(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		unmarkedWrites, unmarkedReads := simulateLoad(seed, false)
		writes, reads := simulateLoad(seed, true)
		t.Logf("seed %d: writes in time %.3f, with an unmarked primary %.3f; reads in time %.3f, with an unmarked primary %.3f", seed, writes, unmarkedWrites, reads, unmarkedReads)
		require.Greater(t, writes, unmarkedWrites)
		require.GreaterOrEqual(t, reads, 0.99*unmarkedReads)
	}
}
