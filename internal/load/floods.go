package load

import (
	"time"

	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/load/model"
)

const (
	// lowFloodFactor and urgentFloodFactor are multiples of the capacity of the
	// databases.
	lowFloodFactor    = 10.0
	urgentFloodFactor = 5.0
	floodLength       = 7 * time.Second
	// retriesIgnoringHints is the number of retries of a caller that ignores
	// the retry hints.
	retriesIgnoringHints = 3
)

// floodLow overloads the databases with requests of the least urgent rank.
func floodLow() Experiment {
	return Experiment{
		Name: "flood-low", About: "the least urgent rank at 10 times the capacity of all databases",
		Length: floodLength, Variants: policies(),
		Prepare: func(p *Profile, s *model.Settings) {
			s.Streams[contract.RankLow-1] = p.stream(contract.RankLow, lowFloodFactor)
		},
		Targets: func(p *Profile, s *model.Settings, r *model.Result) []Check {
			return []Check{
				{"rank 1 within target", 0.99, withinTargetShare(r, 1)},
				{"rank 2 keeps its floor or demand", 0.95, floorKept(p, s, r, 2)},
				{"rank 3 keeps its floor", 0.90, floorKept(p, s, r, 3)},
			}
		},
	}
}

// floodUrgent overloads the primary with requests of the most urgent rank.
func floodUrgent() Experiment {
	return Experiment{
		Name: "flood-urgent", About: "the most urgent rank at 5 times the capacity of the primary",
		Length: floodLength, Variants: policies(),
		Prepare: func(p *Profile, s *model.Settings) {
			s.Streams[contract.RankUrgent-1] = p.stream(contract.RankUrgent, urgentFloodFactor)
		},
		Targets: urgentTargets,
	}
}

// floodSkew sends an overload of the most urgent rank to all entry instances,
// while all requests of the second rank reach one of them.
func floodSkew() Experiment {
	return Experiment{
		Name: "flood-skew", About: "the most urgent rank at 5 times the capacity of the primary, all of rank 2 at one entry instance",
		Length: floodLength, Variants: policies(),
		Prepare: func(p *Profile, s *model.Settings) {
			s.Streams[contract.RankUrgent-1] = p.stream(contract.RankUrgent, urgentFloodFactor)
			s.Streams[contract.RankNormal-1].Weight = func(time.Duration) []float64 {
				weights := make([]float64, p.Instances)
				weights[1] = 1
				return weights
			}
		},
		Targets: urgentTargets,
	}
}

// urgentTargets returns the checks for an overload of the most urgent rank.
func urgentTargets(p *Profile, s *model.Settings, r *model.Result) []Check {
	return []Check{
		{"accepted urgent work uses what the floors leave", 0.90, acceptedSlots(s, r, 1) / slotsLeftByFloors(p)},
		{"accepted urgent work ends within target", 0.99, acceptedWithinTargetShare(r, 1)},
		{"rank 2 keeps its floor", 0.90, floorKept(p, s, r, 2)},
		{"rank 3 keeps its floor", 0.90, floorKept(p, s, r, 3)},
	}
}

// slotsLeftByFloors returns the slots of the primary that the floors of the
// other ranks leave to the most urgent rank.
func slotsLeftByFloors(p *Profile) float64 {
	var floors float64
	for _, rank := range ranks()[1:] {
		floors += p.Workloads[rank-1].Service.FloorPercent / 100
	}
	return (1 - floors) * float64(p.Slots)
}

// floodBoth sends an overload of the most and of the least urgent rank at once,
// from callers that ignore the retry hints, and stops an entry instance, whose
// slots stay unused until its grants have ended.
func floodBoth() Experiment {
	return Experiment{
		Name: "flood-both", About: "both floods at once from callers that ignore the retry hints, and the loss of an entry instance",
		Length: floodLength, Variants: policies(),
		Prepare: func(p *Profile, s *model.Settings) {
			for _, rank := range []int{contract.RankUrgent, contract.RankLow} {
				flood := p.stream(rank, urgentFloodFactor)
				flood.IgnoreHints = true
				flood.Retries = retriesIgnoringHints
				s.Streams[rank-1] = flood
			}
			s.LoseInstance = 3 * time.Second
		},
		Targets: func(p *Profile, s *model.Settings, r *model.Result) []Check {
			checks := urgentTargets(p, s, r)
			// The lost instance's slots are unused until its lease ends and
			// the bound on the use of its grants, 1 s, has passed.
			idleSeconds := s.Lease.Seconds() + 1
			measuredSeconds := (s.Length - s.CallerTimeout - s.Warmup).Seconds()
			checks[0].Got /= 1 - idleSeconds/measuredSeconds/float64(p.Instances)
			return checks
		},
	}
}
