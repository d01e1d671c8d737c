package routing

import (
	"slices"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// Offer is an upstream that may serve a read. An upstream checks itself that its
// log covers the required point, so the primary is an offer like the others.
type Offer struct {
	ID topo.UpstreamID
	// Point is the last known point, Lag the usual replication lag.
	Point topo.Point
	Lag   time.Duration
	// ResponseTime is the usual response time of a statement, QueueWait the expected
	// wait for a slot at this entry instance.
	ResponseTime time.Duration
	QueueWait    time.Duration
	// ZonePenalty is the cost added for an upstream in another availability zone.
	ZonePenalty time.Duration
	// Primary means that writes depend on the upstream's slots.
	Primary bool
	// FailureRate is the share of recent statements that it did not serve.
	FailureRate float64
	// Pace is the fraction of its usual reads that it may be sent after a start or
	// recovery; zero and 1 mean all.
	Pace float64
	// diverted means that this read is to go elsewhere if another upstream can
	// serve it at a reasonable cost.
	diverted bool
}

// minLag is the smallest lag assumed for an upstream that is not known to cover
// the point.
const minLag = 10 * time.Millisecond

// divertedCost is added to the cost of a diverted read before it is scaled: an
// upstream without a known response time would otherwise cost nothing.
const divertedCost = 20 * time.Millisecond

// Requirement is the point that a read must see.
type Requirement struct {
	Point topo.Point
	// Age is a lower bound on the time since the primary reached the point: an
	// upstream that usually lags less is expected to cover it by now.
	Age time.Duration
}

func (o Offer) cost(r Requirement) time.Duration {
	c := o.ResponseTime + o.QueueWait + o.ZonePenalty
	if o.Primary {
		c += o.ResponseTime // delays writes, which no other upstream can take
	}
	if !topo.Covers(o.Point, r.Point) {
		c += max(max(o.Lag, minLag)-r.Age, 0)
	}
	c = withRetries(c, o.FailureRate)
	if o.diverted {
		c = time.Duration(float64(c+divertedCost) / o.pace())
	}
	return c
}

// Paced diverts reads from upstreams with a low pace, in proportion: draw is a random
// number from 0 to below 1 for each read. A diverted read costs more there but is
// not excluded, so it still runs there if the other upstreams are worse off. Where none
// has its full pace, no read is diverted: it would only meet another slow upstream.
func Paced(offers []Offer, draw float64) []Offer {
	if !slices.ContainsFunc(offers, func(o Offer) bool { return o.pace() >= 1 }) {
		return offers
	}
	for i, o := range offers {
		offers[i].diverted = draw >= o.pace()
	}
	return offers
}

func (o Offer) pace() float64 {
	if o.Pace <= 0 {
		return 1
	}
	return o.Pace
}

// Select returns the offer with the lowest expected response time, the first one
// among equals. ok is false without offers.
func Select(r Requirement, offers []Offer) (best Offer, ok bool) {
	for _, o := range offers {
		if !ok || o.cost(r) < best.cost(r) {
			best, ok = o, true
		}
	}
	return best, ok
}
