package routing

import (
	"time"

	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// Policy selects how reads are routed.
type Policy string

// Routing policies.
const (
	// Replicas sends a read to a replica whenever one can serve it.
	Replicas Policy = "replicas"
	// PrimaryOnly sends every read to the primary, as a baseline for
	// measurements.
	PrimaryOnly Policy = "primary-only"
)

// Read describes a read to be routed.
type Read struct {
	// Token is the point of the session's latest write, or zero if it has none.
	Token topo.Point
	// PointUnknown means that the session has an id but its latest write could not
	// be determined: only the primary is safe.
	PointUnknown bool
	// MaxAge is the tolerated age of the data; zero allows only the primary.
	MaxAge time.Duration
	// Queried means that the primary's position was queried for this read. If it is
	// not recent enough even so, only the primary can serve the read.
	Queried bool
	// MaxWait bounds the wait for a replica that is about to catch up.
	MaxWait time.Duration
	// MaxExtraDelay is how much later the answer may arrive in exchange for keeping
	// the read off the primary, whose slots are scarce.
	MaxExtraDelay time.Duration
}

// Candidate is an upstream that may serve the read.
type Candidate struct {
	ID topo.UpstreamID
	// Point is the last known point, Lag the usual replication lag.
	Point topo.Point
	Lag   time.Duration
	// RoundTrip is the network part of the response time.
	RoundTrip time.Duration
	// QueueWait is the expected wait for a slot at this entry instance.
	QueueWait time.Duration
}

func (c Candidate) cost() time.Duration { return c.RoundTrip + c.QueueWait }

// Action is what to do with a read.
type Action int

// Actions of a Decision.
const (
	// UseReplica sends the read to the replica.
	UseReplica Action = iota + 1
	// UsePrimary sends the read to the primary.
	UsePrimary
	// AskPrimary queries the primary's position and then chooses again.
	AskPrimary
	// Refuse refuses the read as not run.
	Refuse
)

// Decision is the result of Choose.
type Decision struct {
	Action   Action
	Upstream topo.UpstreamID
	// Require is the point that the replica must prove to cover, on the
	// connection that serves the read.
	Require topo.Point
	// Wait is how long the replica may take to reach Require.
	Wait time.Duration
	// Outcome is set for Refuse.
	Outcome outcome.Outcome
}

// Choose routes a read. primary is nil if this entry instance may not use any
// primary under its lease.
func Choose(p Policy, now time.Time, g topo.Group, t *Tracker, r Read, replicas []Candidate, primary *Candidate) Decision {
	if !r.Token.IsZero() {
		if survives, known := g.Survives(r.Token); known && !survives {
			return refuse(outcome.CodeWriteLost, "the session's last write was lost in a failover")
		}
	}
	if p == PrimaryOnly || r.PointUnknown || r.MaxAge <= 0 {
		return usePrimary(primary, "no primary can serve the read now")
	}
	required, known := t.PointWithin(r.MaxAge, now)
	if !known && primary != nil {
		action := AskPrimary
		if r.Queried {
			action = UsePrimary
		}
		return Decision{Action: action, Upstream: primary.ID}
	}
	if !known {
		return refuse(outcome.CodeNoUpstream, "no replica is known to satisfy the staleness bound of the service")
	}
	if r.Token.Compare(required) > 0 {
		required = r.Token
	}
	return chooseReplica(r, required, replicas, primary)
}

// chooseReplica compares the replicas that cover the point now, those that are
// expected to cover it within MaxWait, and the primary. It prefers to wait for a
// replica if that read ends at most MaxExtraDelay later than a read at the primary.
func chooseReplica(r Read, required topo.Point, replicas []Candidate, primary *Candidate) Decision {
	ready, readyFound := cheapest(replicas, func(c Candidate) (time.Duration, bool) {
		return c.cost(), topo.Covers(c.Point, required)
	})
	if readyFound {
		return Decision{Action: UseReplica, Upstream: ready.ID, Require: required, Wait: r.MaxWait}
	}
	soon, soonFound := cheapest(replicas, func(c Candidate) (time.Duration, bool) {
		return c.cost() + c.Lag, c.Lag <= r.MaxWait
	})
	if primary == nil && soonFound {
		return Decision{Action: UseReplica, Upstream: soon.ID, Require: required, Wait: r.MaxWait}
	}
	if soonFound && soon.cost()+soon.Lag <= primary.cost()+r.MaxExtraDelay {
		return Decision{Action: UseReplica, Upstream: soon.ID, Require: required, Wait: r.MaxWait}
	}
	return usePrimary(primary, "no replica has caught up with the session and there is no primary")
}

func cheapest(cs []Candidate, cost func(Candidate) (time.Duration, bool)) (best Candidate, found bool) {
	var bestCost time.Duration
	for _, c := range cs {
		d, eligible := cost(c)
		if eligible && (!found || d < bestCost) {
			best, bestCost, found = c, d, true
		}
	}
	return best, found
}

func usePrimary(primary *Candidate, reason string) Decision {
	if primary == nil {
		return refuse(outcome.CodeNoUpstream, reason)
	}
	return Decision{Action: UsePrimary, Upstream: primary.ID}
}

func refuse(code, reason string) Decision {
	return Decision{Action: Refuse, Outcome: outcome.Refused(code, reason)}
}
