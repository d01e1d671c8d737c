package quota

import (
	"flag"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// all makes the simulations cover all organisations and measure messages.
var all = flag.Bool("quota.all", false, "simulate all organisations and measure messages")

const (
	serviceInstances     = 33
	serviceOrganisations = 84
	// serviceRate is the usual sum over the organisations, in operations per second.
	serviceRate = 935.0
)

// usualRates returns the usual rates of the organisations, by Zipf's law with exponent
// 1.2, the largest first.
func usualRates() []float64 {
	rates := make([]float64, serviceOrganisations)
	sum := 0.0
	for i := range rates {
		rates[i] = math.Pow(float64(i+1), -1.2)
		sum += rates[i]
	}
	for i := range rates {
		rates[i] *= serviceRate / sum
	}
	return rates
}

func limitOf(usual float64) Limit { return Limit{Rate: 1.6 * usual, Burst: 1.6 * usual} }

// served is what became of a demand.
type served struct {
	totals
	// beyond is what a single token bucket for all instances would have refused.
	beyond int
}

// serve runs the demand of one organisation for the given time. load is the multiple of
// its usual rate. Half of the demand goes to a twentieth of the instances, which change
// each second.
func serve(f *fleet, usual float64, period time.Duration, load func(elapsed time.Duration) float64) (result served) {
	before, start := f.totals, f.now
	central := f.limit.Burst
	hot := max(len(f.nodes)/20, 1)
	for f.now.Sub(start) < period {
		elapsed := f.now.Sub(start)
		perTick := usual * load(elapsed) * tick.Seconds()
		first := int(elapsed/time.Second) * hot
		central = min(central+f.limit.Rate*tick.Seconds(), f.limit.Burst)
		f.step(func(n *simNode) int {
			mean := perTick / 2 / float64(len(f.nodes))
			if (n.index-first%len(f.nodes)+len(f.nodes))%len(f.nodes) < hot {
				mean += perTick / 2 / float64(hot)
			}
			count := f.draw(mean)
			for range count {
				if central < 1 {
					result.beyond++
					continue
				}
				central--
			}
			return count
		})
	}
	result.totals = totals{f.totals.admitted - before.admitted, f.totals.refused - before.refused, f.totals.asks - before.asks}
	return result
}

func constant(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}

// swing is the usual demand of a day: it swings by 0.55 in 12 s.
func swing(elapsed time.Duration) float64 {
	return 1 + 0.55*math.Sin(2*math.Pi*elapsed.Seconds()/12)
}

// Guards against refusals of demand below the limit while it moves between instances.
func TestDemandBelowLimitIsServed(t *testing.T) {
	for name, load := range map[string]func(time.Duration) float64{"constant": constant(1), "swing": swing} {
		var sum served
		for i, usual := range usualRates() {
			if !*all && i%21 != 0 {
				continue
			}
			f := newFleet(uint64(i), serviceInstances, limitOf(usual), pageTolerance, Mechanisms{})
			serve(f, usual, 3*time.Second, constant(1))
			got := serve(f, usual, 12*time.Second, load)
			sum.admitted, sum.refused, sum.asks = sum.admitted+got.admitted, sum.refused+got.refused, sum.asks+got.asks
			sum.beyond += got.beyond
		}
		share := float64(sum.refused) / float64(sum.admitted+sum.refused)
		t.Logf("%s: %d admitted, %d refused (%.4f), %d by a single bucket, %.1f requests a second of each instance",
			name, sum.admitted, sum.refused, share, sum.beyond, float64(sum.asks)/12/serviceInstances)
		require.Less(t, share, 0.01)
	}
}

// Guards against an organisation beyond its limit that gets less than its limit.
func TestFloodGetsItsLimit(t *testing.T) {
	for _, i := range []int{0, 5, 40} {
		usual := usualRates()[i]
		f := newFleet(1, serviceInstances, limitOf(usual), pageTolerance, Mechanisms{})
		serve(f, usual, 3*time.Second, constant(7.5))
		got := serve(f, usual, 10*time.Second, constant(7.5))
		share := float64(got.admitted) / (limitOf(usual).Rate * 10)
		t.Logf("organisation %d: %.3f of its limit, %d messages", i, share, got.asks)
		require.Greater(t, share, 0.9)
	}
}

// Guards against a raised limit that takes effect late.
func TestRaisedLimitIsUsedWithinASecond(t *testing.T) {
	usual := usualRates()[0]
	f := newFleet(1, serviceInstances, Limit{usual, usual}, pageTolerance, Mechanisms{})
	serve(f, usual, 4*time.Second, constant(7.5))
	f.limit = Limit{3 * usual, 3 * usual}
	serve(f, usual, time.Second, constant(7.5))
	got := serve(f, usual, time.Second, constant(7.5))
	require.Greater(t, float64(got.admitted), 0.9*3*usual)
}

// Measures the messages of a fleet; the load grows with the instances.
func TestMessages(t *testing.T) {
	if !*all {
		t.Skip("a measurement, not a check: -quota.all runs it")
	}
	for _, n := range []int{33, 94, 690} {
		asks := 0
		scale := float64(n) / serviceInstances
		for i, usual := range usualRates() {
			usual *= scale
			f := newFleet(uint64(i), n, limitOf(usual), pageTolerance, Mechanisms{})
			serve(f, usual, time.Second, constant(1))
			asks += serve(f, usual, 2*time.Second, constant(1)).asks
		}
		t.Logf("%d instances: %d requests in 2 s, %.1f a second for each instance", n, asks, float64(asks)/2/float64(n))
	}
}
