// Package failover decides when a primary is dead and steps through its
// replacement.
//
// The package is pure: time is an argument.
package failover

import (
	"time"

	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// MinWitnesses is how many live members must find the primary unreachable,
// unless fewer are live.
const MinWitnesses = 2

// DetectorTiming sets how fast a primary is suspected.
type DetectorTiming struct {
	// Silence is how long nobody may have reached the primary before it is
	// suspected.
	Silence time.Duration
	// Fresh is how long a failed attempt to reach the primary counts.
	Fresh time.Duration
	// Minority is how long most members may be unable to reach a primary that
	// others still reach.
	Minority time.Duration
}

// Detector weighs the evidence of several entry instances about primaries.
// It is not safe for concurrent use.
type Detector struct {
	timing DetectorTiming
	groups map[topo.GroupID]*evidence
}

type evidence struct {
	term topo.Term
	// reached is when a member last reached the primary, announced when the
	// primary last announced itself.
	reached, announced time.Time
	failed             map[ctlstate.MemberKey]failures
}

// failures are a member's attempts in vain since it last reached the primary.
type failures struct{ first, last time.Time }

// NewDetector returns a detector without evidence.
func NewDetector(t DetectorTiming) *Detector {
	return &Detector{timing: t, groups: map[topo.GroupID]*evidence{}}
}

// Watch starts the watch of a group's term. Evidence of other terms is
// dropped.
func (d *Detector) Watch(g topo.GroupID, t topo.Term, now time.Time) {
	if e, ok := d.groups[g]; ok && e.term == t {
		return
	}
	d.groups[g] = &evidence{term: t, reached: now, failed: map[ctlstate.MemberKey]failures{}}
}

// Reached records that somebody reached the primary of the term.
func (d *Detector) Reached(g topo.GroupID, t topo.Term, source ctlstate.MemberKey, now time.Time) {
	e, ok := d.groups[g]
	if !ok || e.term != t {
		return
	}
	e.reached = now
	delete(e.failed, source)
}

// Announced records that the primary of the term announced itself.
func (d *Detector) Announced(g topo.GroupID, t topo.Term, at time.Time) {
	e, ok := d.groups[g]
	if ok && e.term == t && at.After(e.announced) {
		e.announced = at
	}
}

// Failed records that a member could not reach the primary of the term.
func (d *Detector) Failed(g topo.GroupID, t topo.Term, source ctlstate.MemberKey, now time.Time) {
	e, ok := d.groups[g]
	if !ok || e.term != t {
		return
	}
	f := e.failed[source]
	if f.first.IsZero() {
		f.first = now
	}
	f.last = now
	e.failed[source] = f
}

// Suspected reports whether the primary counts as dead: nobody has reached it
// for the silence, and enough of the live members have tried in vain. It also
// counts as dead when most of the live members have failed to reach it for a
// long time, although others do.
func (d *Detector) Suspected(g topo.GroupID, live []ctlstate.MemberKey, now time.Time) bool {
	e, ok := d.groups[g]
	if !ok {
		return false
	}
	witnesses, lasting := 0, 0
	for _, m := range live {
		f, failed := e.failed[m]
		if !failed || now.Sub(f.last) >= d.timing.Fresh {
			continue
		}
		witnesses++
		if now.Sub(f.first) >= d.timing.Minority {
			lasting++
		}
	}
	silent := now.Sub(d.seen(e)) >= d.timing.Silence
	if silent && witnesses > 0 && witnesses >= min(MinWitnesses, len(live)) {
		return true
	}
	return lasting >= MinWitnesses && lasting > len(live)/2
}

// Evidence sums up why a primary is suspected, for the log.
type Evidence struct {
	// Silence is the time since its last sign of life.
	Silence time.Duration
	// Witnesses is how many live members have failed to reach it lately.
	Witnesses int
}

// Evidence returns what is known against the group's primary.
func (d *Detector) Evidence(g topo.GroupID, live []ctlstate.MemberKey, now time.Time) Evidence {
	e, ok := d.groups[g]
	if !ok {
		return Evidence{}
	}
	sum := Evidence{Silence: now.Sub(d.seen(e))}
	for _, m := range live {
		if f, failed := e.failed[m]; failed && now.Sub(f.last) < d.timing.Fresh {
			sum.Witnesses++
		}
	}
	return sum
}

// seen returns when the primary last gave a sign of life. An announcement
// counts as one for at most one silence after a member last reached the
// primary: a primary that only announces itself serves nobody.
func (d *Detector) seen(e *evidence) time.Time {
	limit := e.reached.Add(d.timing.Silence)
	switch {
	case !e.announced.After(e.reached):
		return e.reached
	case e.announced.After(limit):
		return limit
	}
	return e.announced
}
