package load

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/admission"
	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/load/live"
	"github.com/cicadacove/cicadacove/internal/load/model"
)

// Variant is one of the runs that an experiment compares.
type Variant struct {
	// Name is the policy or setting that the run uses.
	Name   string
	Change func(*model.Settings)
}

// DefaultVariant names the variant with the proxy's own policies.
const DefaultVariant = "ranked"

// Check is one target of an experiment, evaluated for DefaultVariant. The bound
// is computed from the capacity of the databases, never from a measured figure.
type Check struct {
	Name string
	// Want is the least value that passes, Got the measured one. Both are
	// fractions of a bound.
	Want, Got float64
}

// OK reports whether the target was met.
func (c Check) OK() bool { return c.Got >= c.Want-shareTolerance }

// shareTolerance allows for floating-point rounding in a share.
const shareTolerance = 1e-9

// Experiment compares variants under the same load.
type Experiment struct {
	Name  string
	About string
	// Length is the duration of a run: virtual time in mode model, real time
	// in mode cluster.
	Length   time.Duration
	Variants []Variant
	// Prepare changes the profile's usual demand to that of the experiment.
	Prepare func(*Profile, *model.Settings)
	// Targets returns the checks on DefaultVariant.
	Targets func(*Profile, *model.Settings, *model.Result) []Check
}

// policies returns one variant for each admission policy: the proxy's own
// first, then the baselines.
func policies() []Variant {
	variants := []Variant{{DefaultVariant, func(*model.Settings) {}}}
	for _, policy := range admission.Policies() {
		if policy == admission.Ranked {
			continue
		}
		variants = append(variants, Variant{string(policy), func(s *model.Settings) { s.Policy = policy }})
	}
	return variants
}

// allocations returns one variant for each way to divide slots among entry
// instances.
func allocations() []Variant {
	return []Variant{
		{DefaultVariant, func(*model.Settings) {}},
		{"static division", func(s *model.Settings) { s.Allocation = model.Static }},
		{"borrowing", func(s *model.Settings) { s.Allocation = model.Borrowing }},
	}
}

// Experiments lists every experiment.
func Experiments() []Experiment {
	return []Experiment{
		floodLow(), floodUrgent(), floodBoth(), floodSkew(), reads(), failover(), loseEntry(), connections(),
	}
}

// ByName returns the experiment with the given name.
func ByName(name string) (Experiment, error) {
	var names []string
	for _, e := range Experiments() {
		if e.Name == name {
			return e, nil
		}
		names = append(names, e.Name)
	}
	return Experiment{}, fmt.Errorf("experiment %q: want one of %v", name, names)
}

// ModeError reports an unknown mode.
type ModeError struct{ Mode Mode }

// Error lists the modes.
func (e *ModeError) Error() string {
	return fmt.Sprintf("mode %q: want %s or %s", e.Mode, ModeModel, ModeCluster)
}

// Run executes all variants of an experiment that the mode supports.
func (e Experiment) Run(ctx context.Context, p Profile, mode Mode, seed uint64) (*Report, error) {
	run, err := runner(&p, mode)
	if err != nil {
		return nil, err
	}
	report := &Report{Experiment: e.Name, About: e.About, Profile: p.Name, Mode: mode, Seed: seed}
	for _, v := range e.Variants {
		s := p.settings(seed, e.runLength(mode))
		e.Prepare(&p, &s)
		v.Change(&s)
		result, err := run(ctx, &s)
		if errors.Is(err, errUnsupportedVariant) {
			report.Skipped = append(report.Skipped, v.Name)
			continue
		}
		if err != nil {
			return nil, err
		}
		report.Variants = append(report.Variants, variantReport(&p, &s, v.Name, result))
		if v.Name == DefaultVariant {
			report.Checks = append(e.Targets(&p, &s, result), oracleChecks(&p, result)...)
		}
	}
	return report, nil
}

// clusterExtraLength is added to the length of a run in mode cluster. Its
// statements take longer, so it sends fewer requests in the same time.
const clusterExtraLength = 5 * time.Second

func (e Experiment) runLength(mode Mode) time.Duration {
	if mode == ModeCluster {
		return e.Length + clusterExtraLength
	}
	return e.Length
}

// errUnsupportedVariant reports that a mode cannot run a variant.
var errUnsupportedVariant = errors.New("load: the mode does not support the variant")

// runFunc executes one run.
type runFunc func(ctx context.Context, s *model.Settings) (*model.Result, error)

// runner returns the function that executes runs in a mode, and adapts the
// profile to that mode.
func runner(p *Profile, mode Mode) (runFunc, error) {
	switch mode {
	case ModeModel:
		return func(_ context.Context, s *model.Settings) (*model.Result, error) {
			return model.Run(*s), nil
		}, nil
	case ModeCluster:
		p.fitToCluster()
		return func(ctx context.Context, s *model.Settings) (*model.Result, error) {
			if s.Allocation != model.Grants {
				return nil, errUnsupportedVariant
			}
			return live.Run(ctx, p.Name, s)
		}, nil
	}
	return nil, &ModeError{mode}
}

// oracleChecks returns the correctness checks that every experiment makes.
func oracleChecks(p *Profile, r *model.Result) []Check {
	return []Check{
		{"no refused request ran", 0, -float64(r.RefusedButRan)},
		{"no request ran or ended twice", 0, -float64(r.Doubled)},
		{"no request was lost", 0, -float64(r.Lost)},
		{"connections within the cap", 0, float64(min(p.Connections-r.PeakConnections, 0))},
	}
}

// withinTargetShare returns the share of the rank's requests that ended within
// the latency target.
func withinTargetShare(r *model.Result, rank int) float64 {
	if r.Ranks[rank].Offered == 0 {
		return 1
	}
	return float64(r.Ranks[rank].Within) / float64(r.Ranks[rank].Offered)
}

// slotsWithinTarget returns the mean number of slots that the rank's requests
// within target used.
func slotsWithinTarget(s *model.Settings, r *model.Result, rank int) float64 {
	measured := s.Length - s.CallerTimeout - s.Warmup
	return r.Ranks[rank].SlotTime.Seconds() / measured.Seconds()
}

// floorKept returns the slots that the rank's requests within target used, as
// a share of the rank's floor or of its demand if that is less.
func floorKept(p *Profile, s *model.Settings, r *model.Result, rank int) float64 {
	expected := min(p.floor(rank), offeredSlots(p, s, r, rank))
	if expected == 0 {
		return 1
	}
	return slotsWithinTarget(s, r, rank) / expected
}

// offeredSlots returns the mean number of slots that the rank's offered
// requests would use.
func offeredSlots(p *Profile, s *model.Settings, r *model.Result, rank int) float64 {
	workload := p.Workloads[rank-1]
	measured := s.Length - s.CallerTimeout - s.Warmup
	slotSeconds := float64(r.Ranks[rank].Offered*workload.Statements) * workload.Time.Seconds()
	return slotSeconds / measured.Seconds()
}

// acceptedSlots returns the mean number of slots used by those requests of the
// rank whose last attempt ended within target.
func acceptedSlots(s *model.Settings, r *model.Result, rank int) float64 {
	measured := s.Length - s.CallerTimeout - s.Warmup
	return r.Ranks[rank].AcceptedTime.Seconds() / measured.Seconds()
}

// acceptedWithinTargetShare returns, among the rank's completed requests, the
// share that ended within target counted from the start of the last attempt.
func acceptedWithinTargetShare(r *model.Result, rank int) float64 {
	if r.Ranks[rank].Done == 0 {
		return 0
	}
	return float64(r.Ranks[rank].Accepted) / float64(r.Ranks[rank].Done)
}

func ranks() []int {
	return slices.Collect(func(yield func(int) bool) {
		for rank := contract.RankUrgent; rank <= contract.Ranks; rank++ {
			if !yield(rank) {
				return
			}
		}
	})
}
