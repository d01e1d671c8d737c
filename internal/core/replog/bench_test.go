package replog

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// benchStep is the time between two ticks.
const benchStep = 1 * time.Millisecond

// BenchmarkLeaderLoss measures, in simulated time, how long a cluster has no
// leader that can commit after its leader crashes.
func BenchmarkLeaderLoss(b *testing.B) {
	for _, addrs := range [][]string{{"a", "b", "c"}, {"a", "b", "c", "d", "e", "f", "g"}} {
		b.Run(fmt.Sprintf("voters=%d", len(addrs)), func(b *testing.B) {
			var gaps []time.Duration
			for seed := uint64(0); b.Loop(); seed++ {
				gaps = append(gaps, leaderLoss(b, seed, addrs))
			}
			slices.Sort(gaps)
			b.ReportMetric(float64(gaps[len(gaps)/2].Milliseconds()), "p50-ms")
			b.ReportMetric(float64(gaps[len(gaps)*99/100].Milliseconds()), "p99-ms")
			b.ReportMetric(float64(gaps[len(gaps)-1].Milliseconds()), "max-ms")
		})
	}
}

func leaderLoss(b *testing.B, seed uint64, addrs []string) time.Duration {
	s := newSim(b, seed, addrs...)
	s.step = benchStep
	s.run(5*time.Second + time.Duration(seed%20)*s.step)
	s.crash(s.mustLeader().addr)
	start := s.now
	for {
		s.run(s.step)
		if n := s.leader(); n != nil && n.committedInTerm() {
			return s.now.Sub(start)
		}
	}
}
