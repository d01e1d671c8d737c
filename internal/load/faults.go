package load

import (
	"time"

	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/load/model"
)

// reads compares reads from replicas with reads from the primary only.
func reads() Experiment {
	const share = 0.4
	return Experiment{
		Name: "reads", About: "reads with a staleness bound at 40% of the capacity of all databases",
		Length: floodLength,
		Variants: []Variant{
			{DefaultVariant, func(*model.Settings) {}},
			{"primary only", func(s *model.Settings) { s.PrimaryReads = true }},
		},
		Prepare: func(p *Profile, s *model.Settings) {
			s.Streams[contract.RankLow-1] = p.stream(contract.RankLow, share)
		},
		Targets: func(p *Profile, s *model.Settings, r *model.Result) []Check {
			return []Check{
				{"rank 1 within target", 0.99, withinTargetShare(r, 1)},
				{"rank 3 within target", 0.95, withinTargetShare(r, 3)},
				{"reads served by replicas", 0.90, float64(r.OnReplicas) / float64(max(r.Reads, 1))},
			}
		},
	}
}

const (
	faultAt     = 4 * time.Second
	faultLength = 14 * time.Second
	// recoveryTime is the time after the end of the lease within which goodput
	// must return to its former level.
	recoveryTime = 2 * time.Second
	// urgentShare, together with the demand of rank 2, loads the primary to 90%.
	urgentShare = 0.65
	// callerRetries is large enough that in the fault experiments a caller
	// retries until its timeout.
	callerRetries = 100
)

// retryUntilTimeout lets the callers of all streams retry refused requests
// until their timeout.
func retryUntilTimeout(p *Profile, s *model.Settings) {
	for i := range s.Streams {
		s.Streams[i].Retries = callerRetries
	}
}

// failover stops the primary.
func failover() Experiment {
	return Experiment{
		Name: "failover", About: "the primary fails at 55% load; a replica takes over after the lease, and refused callers retry every 20 ms and ignore retry hints",
		Length: faultLength, Variants: policies(),
		Prepare: func(p *Profile, s *model.Settings) {
			retryUntilTimeout(p, s)
			for i := range s.Streams {
				s.Streams[i].IgnoreHints = true
			}
			s.LosePrimary = faultAt
		},
		Targets: func(p *Profile, s *model.Settings, r *model.Result) []Check {
			return []Check{
				{"rank 1 back to its former goodput", 0.95, recoveredGoodput(s, r, 1)},
				{"all ranks back to the former goodput", 0.95, recoveredGoodput(s, r, ranks()...)},
			}
		},
	}
}

// loseEntry stops one of the entry instances.
func loseEntry() Experiment {
	return Experiment{
		Name: "lose-entry", About: "one of four entry instances is lost while the primary runs at 90%",
		Length: faultLength, Variants: allocations(),
		Prepare: func(p *Profile, s *model.Settings) {
			s.Streams[contract.RankUrgent-1] = p.stream(contract.RankUrgent, urgentShare)
			retryUntilTimeout(p, s)
			s.LoseInstance = faultAt
		},
		Targets: func(p *Profile, s *model.Settings, r *model.Result) []Check {
			return []Check{
				{"all ranks back to the former goodput", 0.95, recoveredGoodput(s, r, ranks()...)},
				{"rank 1 back to its former goodput", 0.95, recoveredGoodput(s, r, 1)},
			}
		},
	}
}

// recoveredGoodput returns the share of requests within target after the end
// of the lease and recoveryTime, relative to the share before the fault. Both
// are shares of the offered requests, so that random variation of the arrivals
// does not affect the ratio.
func recoveredGoodput(s *model.Settings, r *model.Result, ranks ...int) float64 {
	fault := max(s.LoseInstance, s.LosePrimary)
	recoveredAt := fault + s.Lease + recoveryTime
	before := shareBetween(r, s.Warmup, fault-s.CallerTimeout/2, ranks)
	after := shareBetween(r, recoveredAt, s.Length-s.CallerTimeout, ranks)
	return after / before
}

// shareBetween returns, among the requests with an intended start between two
// times, the share that ended within target.
func shareBetween(r *model.Result, from, to time.Duration, ranks []int) float64 {
	withinTarget, offered := 0, 0
	for _, rank := range ranks {
		for i := int(from / model.BinWidth); i < int(to/model.BinWidth); i++ {
			withinTarget += r.Ranks[rank].Bins[i]
			offered += r.Ranks[rank].OfferedBins[i]
		}
	}
	return float64(withinTarget) / float64(max(offered, 1))
}

// connections moves most of the demand from one entry instance to the next.
func connections() Experiment {
	const period = time.Second
	return Experiment{
		Name: "connections", About: "80% of the demand reaches one entry instance, a different one every second; the primary runs at 85%",
		Length: floodLength, Variants: allocations(),
		Prepare: func(p *Profile, s *model.Settings) {
			s.Streams[contract.RankUrgent-1] = p.stream(contract.RankUrgent, 0.60)
			for i := range s.Streams {
				s.Streams[i].Weight = func(at time.Duration) []float64 { return movingWeights(p.Instances, at, period) }
			}
		},
		Targets: func(p *Profile, s *model.Settings, r *model.Result) []Check {
			return []Check{
				{"rank 1 within target", 0.99, withinTargetShare(r, 1)},
				{"rank 2 within target", 0.95, withinTargetShare(r, 2)},
			}
		},
	}
}

// movingWeights gives busiestShare of the demand to one instance, a different
// one in each period, and divides the rest equally.
func movingWeights(n int, at, period time.Duration) []float64 {
	const busiestShare = 0.8
	weights := make([]float64, n)
	busiest := int(at/period) % n
	for i := range weights {
		weights[i] = (1 - busiestShare) / float64(n-1)
	}
	weights[busiest] = busiestShare
	return weights
}
