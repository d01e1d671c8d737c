package routing

import (
	"time"

	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// Offer is an upstream that may serve a read and proves by itself that its log
// covers the required point, so the primary is an offer like the others.
type Offer struct {
	ID topo.UpstreamID
	// Point is the last known point; Lag is the usual delay behind the
	// primary.
	Point topo.Point
	Lag   time.Duration
	// Answer is the usual time from a statement to its answer, QueueWait the
	// expected wait for a slot at this entry instance.
	Answer    time.Duration
	QueueWait time.Duration
	// Detour is what the way to another availability zone counts for.
	Detour time.Duration
	// Primary says that writes depend on the upstream's slots.
	Primary bool
	// FailureRate is the share of the latest statements that it did not serve.
	FailureRate float64
}

// minLag is the least lag that is assumed of an upstream which is not known to
// cover the point.
const minLag = 10 * time.Millisecond

// Requirement is the point that a read must see.
type Requirement struct {
	Point topo.Point
	// Age is how long ago the primary had reached it at least: an upstream
	// that usually lags less is expected to hold it by now.
	Age time.Duration
}

func (o Offer) cost(r Requirement) time.Duration {
	c := o.Answer + o.QueueWait + o.Detour
	if o.Primary {
		c += o.Answer // writes, which no other upstream takes, wait meanwhile
	}
	if !topo.Covers(o.Point, r.Point) {
		c += max(max(o.Lag, minLag)-r.Age, 0)
	}
	return withFailures(c, o.FailureRate)
}

// Place returns the offer from which the answer is expected first. Of equal
// ones the first wins. ok is false without an offer.
func Place(r Requirement, offers []Offer) (best Offer, ok bool) {
	for _, o := range offers {
		if !ok || o.cost(r) < best.cost(r) {
			best, ok = o, true
		}
	}
	return best, ok
}
