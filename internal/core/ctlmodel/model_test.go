package ctlmodel

import (
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cicadacove/cicadacove/internal/core/membership"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	_ "github.com/cicadacove/cicadacove/internal/testseed"
)

// stepsPerRun is the number of steps of a run.
const stepsPerRun = 1500

// acknowledge records a write that an instance acknowledges now, and checks that
// no later primary has been promoted.
func (s *simulation) acknowledge(t topo.Term, id int, durable bool) {
	s.acks++
	s.acked = append(s.acked, ackedWrite{id, durable})
	for promoted := range s.promoted {
		if promoted > t {
			s.addViolation("write %d is acknowledged under term %d after the promotion under term %d", id, t, promoted)
		}
	}
}

// checkDurable checks that the new primary holds all acknowledged writes that
// required two databases.
func (s *simulation) checkDurable(c *controller) {
	g, _ := c.machine.Group(group)
	db := s.database(g.Primary)
	for _, a := range s.acked {
		has := slices.ContainsFunc(db.log, func(e logEntry) bool { return e.id == a.id })
		if a.durable && !has {
			s.addViolation("acknowledged write %d is lost in term %d", a.id, g.Term)
		}
	}
}

// checkEpochs checks that all instances with a valid lease and a usable epoch
// use the same epoch.
func (s *simulation) checkEpochs() {
	used := map[uint64]bool{}
	for _, e := range s.entries {
		if e.holder.Valid(e.node.clock(s)) && membership.UsableEpoch(e.replica.Epochs, e.key()) {
			used[e.replica.Epochs.Active.Number] = true
		}
	}
	if len(used) > 1 {
		s.addViolation("epochs %v are in use at the same time", used)
	}
}

// simulate executes the given number of steps, or stops at the first violation.
// A run without violations is settled.
func simulate(pick chooser, disabled disabledMechanisms, steps int) *simulation {
	s := newSimulation(pick, disabled)
	for i := 0; i < steps && len(s.violations) == 0; i++ {
		s.step()
	}
	if len(s.violations) == 0 {
		s.settle()
	}
	return s
}

type rapidChooser struct{ t *rapid.T }

func (c rapidChooser) intn(n int, label string) int { return rapid.IntRange(0, n-1).Draw(c.t, label) }

type randChooser struct{ r *rand.Rand }

func (c randChooser) intn(n int, _ string) int { return c.r.IntN(n) }

func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := simulate(rapidChooser{t}, disabledMechanisms{}, stepsPerRun/5)
		if len(s.violations) > 0 {
			t.Fatal(s.violations[0])
		}
	})
}

// runs is the number of seeds that TestModelBySeed runs.
const runs = 300

// seedVariable is the environment variable that sets the first seed, for longer
// searches.
const seedVariable = "CICADACOVE_MODEL_SEED"

func firstSeed(t *testing.T) uint64 {
	text, set := os.LookupEnv(seedVariable)
	if !set {
		return 0
	}
	seed, err := strconv.ParseUint(text, 10, 64)
	require.NoError(t, err)
	return seed
}

// TestModelBySeed simulates long runs, and checks that they contain enough
// failovers and acknowledged writes for the checks to be meaningful.
func TestModelBySeed(t *testing.T) {
	failovers, acks, promotions := 0, 0, 0
	first := firstSeed(t)
	for seed := first; seed < first+runs; seed++ {
		s := simulate(randChooser{rand.New(rand.NewPCG(seed, 1))}, disabledMechanisms{}, stepsPerRun)
		require.Empty(t, s.violations, "seed %d", seed)
		g, _ := s.ctls[s.leader].machine.Group(group)
		require.Nil(t, g.Attempt, "seed %d: the failover does not complete", seed)
		failovers += s.failovers
		acks += s.acks
		promotions += len(s.promoted)
	}
	t.Logf("%d runs: %d failovers, %d promotions, %d acknowledged writes", runs, failovers, promotions, acks)
	require.Greater(t, failovers, runs)
	require.Greater(t, acks, 5*runs)
}

// maxSeeds bounds the number of runs within which the checks must report a
// violation.
const maxSeeds = 3000

// TestModelDetectsDisabledMechanisms disables one mechanism at a time and expects the checks
// to report a violation.
func TestModelDetectsDisabledMechanisms(t *testing.T) {
	cases := []struct {
		name     string
		disabled disabledMechanisms
		// first is the seed at which the search begins, to keep it short.
		first uint64
	}{
		{"promotion does not wait for leases", disabledMechanisms{noDrain: true}, 90},
		{"renewals are answered without a quorum round", disabledMechanisms{noConfirm: true}, 1596},
		{"an instance uses a term that it has released", disabledMechanisms{noRelease: true}, 90},
		{"a resumed attempt counts the drain from the election", disabledMechanisms{alwaysInherited: true}, 816},
		{"one fenced database is enough", disabledMechanisms{smallQuorum: true}, 1309},
		{"the lease is extended before the delta is applied", disabledMechanisms{leaseBeforeDelta: true}, 98},
		{"an epoch is activated without confirmations", disabledMechanisms{noEpochWait: true}, 17},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			for seed := tc.first; seed < tc.first+maxSeeds; seed++ {
				s := simulate(randChooser{rand.New(rand.NewPCG(seed, 1))}, tc.disabled, stepsPerRun)
				if len(s.violations) > 0 {
					t.Logf("seed %d: %s", seed, s.violations[0])
					return
				}
			}
			t.Fatal("no run reports a violation")
		})
	}
}
