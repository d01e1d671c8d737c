package quota

import (
	"flag"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// steps is the number of ticks of each of the simulations of TestSumStaysWithinBound.
// A thorough run has 1e6.
var steps = flag.Int("quota.steps", 10_000, "ticks of each simulation of the bound")

// firstSeed is the seed of the first of these simulations.
var firstSeed = flag.Uint64("quota.seed", 0, "seed of the first simulation of the bound")

// moveInterval is how long demand that moves stays at one instance.
const moveInterval = 400 * time.Millisecond

// chaos draws faults and demand for a fleet.
type chaos struct {
	*fleet
	mode       mode
	target     int
	nextMode   time.Time
	nextTarget time.Time
	// faults scales the frequency of faults.
	faults     float64
	nextFaults time.Time
	limits     []limitChange
}

// limitChange is a former limit, which may still show in windows until then.
type limitChange struct {
	until time.Time
	Limit
}

func (c *chaos) chance(perS float64) bool { return c.rng.Float64() < perS*tick.Seconds() }

// disturb draws the faults of one tick, each with its usual frequency. Periods without
// faults let buckets fill and instances collect tokens and fallbacks.
func (c *chaos) disturb() {
	if c.now.After(c.nextFaults) {
		c.nextFaults = c.now.Add(time.Duration(c.rng.Int64N(int64(40 * time.Second))))
		c.faults = []float64{0, 0.3, 1}[c.rng.IntN(3)]
	}
	n := c.victim()
	switch {
	case c.chance(0.08 * c.faults):
		n.up = false
	case c.chance(0.6):
		if !n.up {
			c.start(n)
		}
	case c.chance(0.08 * c.faults):
		n.suspended = true
	case c.chance(0.6):
		n.suspended = false
	case c.chance(0.08 * c.faults):
		n.cut = true
	case c.chance(0.6):
		n.cut = false
	case c.chance(0.01 * c.faults):
		c.partition()
	case c.chance(0.005 * c.faults):
		for _, m := range c.nodes {
			c.start(m)
		}
	case c.chance(0.1 * c.faults):
		c.loss = []float64{0, 0.02, 0.3}[c.rng.IntN(3)]
		c.slow = c.rng.IntN(4) == 0
	case c.chance(0.02):
		c.changeLimit()
	}
}

// victim returns an instance, in one of three cases the owner.
func (c *chaos) victim() *simNode {
	owner, ok := Owner("acme", c.views[len(c.views)-1].members)
	if ok && c.rng.IntN(3) == 0 {
		for _, m := range c.nodes {
			if m.id == owner.ID {
				return m
			}
		}
	}
	return c.nodes[c.rng.IntN(len(c.nodes))]
}

func (c *chaos) changeLimit() {
	c.limits = append(c.limits, limitChange{c.now.Add(4*time.Second + c.tolerance.Window), c.limit})
	c.limit = c.drawLimit()
}

func (c *chaos) drawLimit() Limit {
	rate := 5 * math.Pow(100, c.rng.Float64())
	return Limit{rate, rate * c.rng.Float64() * 3}
}

func (c *chaos) partition() {
	for _, m := range c.nodes {
		m.cut = c.rng.IntN(2) == 0
	}
}

// bound returns the bound of the largest rate and burst in effect within the window.
func (c *chaos) bound() float64 {
	for len(c.limits) > 0 && c.limits[0].until.Before(c.now) {
		c.limits = c.limits[1:]
	}
	widest := c.limit
	for _, l := range c.limits {
		widest = Limit{max(widest.Rate, l.Rate), max(widest.Burst, l.Burst)}
	}
	return c.tolerance.Bound(widest)
}

// modes of the demand, as multiples of the limit.
type mode struct {
	load float64
	// single directs the demand to one instance, which changes after moveInterval if
	// moving is set and is then cut off if cutting is set.
	single, moving, cutting bool
}

var modes = []mode{
	{load: 0},
	{load: 0.6},
	{load: 8},
	{load: 8, single: true},
	// Leaves unused tokens or fallback rates at many instances, for the flood that
	// follows.
	{load: 0.7, single: true, moving: true},
	{load: 0.9, single: true, moving: true, cutting: true},
}

func (c *chaos) nextDemand() {
	if c.now.After(c.nextMode) {
		c.nextMode = c.now.Add(time.Duration(c.rng.Int64N(int64(16 * time.Second))))
		if c.mode.moving {
			c.mode = mode{load: 8}
		} else {
			c.mode = modes[c.rng.IntN(len(modes))]
		}
		if c.mode.moving {
			// Time to visit each instance.
			c.nextMode = c.now.Add(time.Duration(len(c.nodes)) * moveInterval)
		}
		c.target = c.rng.IntN(len(c.nodes))
	}
	if c.mode.moving && c.now.After(c.nextTarget) {
		c.nextTarget = c.now.Add(moveInterval)
		c.nodes[c.target].cut = c.nodes[c.target].cut || c.mode.cutting
		c.target = (c.target + 1) % len(c.nodes)
	}
}

// arrivals draws the operations of an instance.
func (c *chaos) arrivals(n *simNode) int {
	mean := c.mode.load * c.limit.Rate * tick.Seconds()
	switch {
	case !c.mode.single:
		mean /= float64(len(c.nodes))
	case n.index != c.target:
		return 0
	}
	return c.draw(mean)
}

// run returns the largest share of the bound that a window used.
func (c *chaos) run(steps int) float64 {
	worst := 0.0
	for range steps {
		c.disturb()
		c.nextDemand()
		c.step(c.arrivals)
		worst = max(worst, float64(c.inWindow())/c.bound())
	}
	return worst
}

// sizes are the numbers of instances.
var sizes = []int{2, 6, 24}

var pageTolerance = Tolerance{Window: 5 * time.Second, Overrun: 0.1, Slack: 20}

func newChaos(seed uint64, n int, disabled Mechanisms) *chaos {
	c := &chaos{fleet: newFleet(seed, n, Limit{}, pageTolerance, disabled)}
	c.limit = c.drawLimit()
	return c
}

// Guards against more admitted operations than the bound, whatever is killed,
// suspended, cut off or lost.
func TestSumStaysWithinBound(t *testing.T) {
	for i, n := range sizes {
		seed := *firstSeed + uint64(i)
		worst := newChaos(seed, n, Mechanisms{}).run(*steps)
		t.Logf("%d instances: %d steps, at most %.3f of the bound in a window", n, *steps, worst)
		require.LessOrEqual(t, worst, 1.0, "seed %d, %d instances", seed, n)
	}
}

// maxSeeds is how many simulations may pass before a missing mechanism shows.
const maxSeeds = 40

// Guards against a simulation that would not notice a missing mechanism.
func TestEachMechanismIsNeeded(t *testing.T) {
	for _, test := range []struct {
		name      string
		instances int
		// seed is the first of the seeds, near one that shows the fault.
		seed     uint64
		disabled Mechanisms
	}{
		{"empty start", 2, 32, Mechanisms{EmptyStart: true}},
		{"prepaid expiry", 40, 22, Mechanisms{PrepaidExpiry: true}},
		{"fallback end", 24, 5, Mechanisms{FallbackEnd: true}},
		{"lease check", 6, 0, Mechanisms{LeaseCheck: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			worst, seed := 0.0, test.seed
			for ; worst <= 1 && seed < test.seed+maxSeeds; seed++ {
				worst = max(worst, newChaos(seed, test.instances, test.disabled).run(15_000))
			}
			t.Logf("%.3f of the bound in a window after %d seeds", worst, seed-test.seed)
			require.Greater(t, worst, 1.0)
		})
	}
}

// Guards against instances that continue at their usual rate without an owner while the
// owner grants the whole limit to others: half of the instances are cut off under usual
// demand, then the demand floods all.
func TestCutOffFleetStaysWithinBound(t *testing.T) {
	for _, limit := range []Limit{{20, 20}, {400, 0}, {400, 400}} {
		f := newFleet(1, 16, limit, pageTolerance, Mechanisms{})
		worst := 0.0
		run := func(load float64, period time.Duration) {
			for end := f.now.Add(period); f.now.Before(end); {
				f.step(func(*simNode) int { return f.draw(load * limit.Rate * tick.Seconds() / 16) })
				worst = max(worst, float64(f.inWindow())/f.tolerance.Bound(limit))
			}
		}
		run(0.65, 10*time.Second)
		owner := f.nodes[0].owner
		for _, n := range f.nodes[:8] {
			n.cut = n.id != owner
		}
		run(8, 6*time.Second)
		t.Logf("rate %g, burst %g: at most %.3f of the bound in a window", limit.Rate, limit.Burst, worst)
		require.LessOrEqual(t, worst, 1.0)
	}
}
