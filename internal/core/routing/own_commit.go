package routing

import (
	"time"

	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// OwnCommit is the latest commit of a session in one group. The zero value means that
// the session has committed nothing.
type OwnCommit struct {
	// ackedAt is when the commit was acknowledged, zero if there is none.
	ackedAt time.Time
	// covering is a point that covers the commit; unknown if the upstream reported none
	// and the primary has reported none since.
	covering topo.ReportedPoint
	// reachedAt is a time since which the primary has covered the point.
	reachedAt time.Time
}

// Followed returns the session's latest commit after a further one, which the upstream
// acknowledged at ackedAt and reported with the point.
func (c OwnCommit) Followed(reported topo.ReportedPoint, ackedAt time.Time) OwnCommit {
	next := OwnCommit{ackedAt: ackedAt, covering: reported, reachedAt: ackedAt}
	old, oldKnown := c.covering.Point()
	point, known := reported.Point()
	if oldKnown && known && point.Compare(old) <= 0 {
		return c
	}
	return next
}

// Covered returns the commit with a point that covers it. If the upstream reported none,
// that is the point of the primary as of an answer to a request that was sent after
// the acknowledgement, which primary returns for a maximum age.
func (c OwnCommit) Covered(primary func(maxAge time.Duration) (Requirement, bool), now time.Time) OwnCommit {
	if c.ackedAt.IsZero() || c.covering.Known {
		return c
	}
	r, known := primary(now.Sub(c.ackedAt))
	if !known {
		return c
	}
	return OwnCommit{ackedAt: c.ackedAt, covering: topo.Reported(r.Point), reachedAt: now.Add(-r.Age)}
}

// Raise raises the requirement of a read so that the read sees the commit, unless a
// failover has lost it. known is false if no point is known that covers the commit: then
// only the primary can serve the read.
func (c OwnCommit) Raise(r Requirement, g topo.Group, now time.Time) (raised Requirement, known bool) {
	if c.ackedAt.IsZero() {
		return r, true
	}
	point, known := c.covering.Point()
	if !known {
		return Requirement{}, false
	}
	if p := g.Clamp(point); p.Compare(r.Point) > 0 {
		return Requirement{Point: p, Age: now.Sub(c.reachedAt)}, true
	}
	return r, true
}
