// Package failover detects failed primaries and controls the steps of their
// replacement.
//
// The package does no I/O and reads no clock; callers pass in the time.
package failover

import (
	"time"

	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// MinWitnesses is the number of live members that must find the primary
// unreachable, unless fewer are live.
const MinWitnesses = 2

// DetectorTiming sets the time limits of failure detection.
type DetectorTiming struct {
	// Silence is the time without contact to the primary after which it is
	// suspected.
	Silence time.Duration
	// EvidenceTTL is how long a failed attempt to reach the primary counts as
	// evidence.
	EvidenceTTL time.Duration
	// Minority is how long a majority of the members must be unable to reach a
	// primary that others still reach, before it is suspected.
	Minority time.Duration
}

// Detector evaluates the reports of the entry instances about the reachability
// of primaries. It is not safe for concurrent use.
type Detector struct {
	timing DetectorTiming
	groups map[topo.GroupID]*evidence
}

type evidence struct {
	term topo.Term
	// lastReached is when a member last reached the primary; lastAnnounced is when
	// the primary last announced itself.
	lastReached, lastAnnounced time.Time
	failed                     map[ctlstate.MemberKey]failurePeriod
}

// failurePeriod holds the times of a member's first and last failed attempts to
// reach the primary since it last reached it.
type failurePeriod struct{ first, last time.Time }

// NewDetector returns a detector without evidence.
func NewDetector(t DetectorTiming) *Detector {
	return &Detector{timing: t, groups: map[topo.GroupID]*evidence{}}
}

// Watch starts failure detection for a term of a group and discards evidence of
// other terms.
func (d *Detector) Watch(g topo.GroupID, t topo.Term, now time.Time) {
	if e, ok := d.groups[g]; ok && e.term == t {
		return
	}
	d.groups[g] = &evidence{term: t, lastReached: now, failed: map[ctlstate.MemberKey]failurePeriod{}}
}

// Reached records that a member reached the primary of the term.
func (d *Detector) Reached(g topo.GroupID, t topo.Term, source ctlstate.MemberKey, now time.Time) {
	e, ok := d.groups[g]
	if !ok || e.term != t {
		return
	}
	e.lastReached = now
	delete(e.failed, source)
}

// RecordAnnouncement records that the primary of the term announced itself.
func (d *Detector) RecordAnnouncement(g topo.GroupID, t topo.Term, at time.Time) {
	e, ok := d.groups[g]
	if ok && e.term == t && at.After(e.lastAnnounced) {
		e.lastAnnounced = at
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

// Suspected reports whether the primary is suspected: no member has reached it
// for the Silence duration, and enough live members have failed to reach it. A
// primary is also suspected if a majority of the live members has failed to
// reach it for the Minority duration, even though others still reach it.
func (d *Detector) Suspected(g topo.GroupID, live []ctlstate.MemberKey, now time.Time) bool {
	e, ok := d.groups[g]
	if !ok {
		return false
	}
	witnesses, sustained := 0, 0
	for _, m := range live {
		f, failed := e.failed[m]
		if !failed || now.Sub(f.last) >= d.timing.EvidenceTTL {
			continue
		}
		witnesses++
		if now.Sub(f.first) >= d.timing.Minority {
			sustained++
		}
	}
	silent := now.Sub(d.lastSeen(e)) >= d.timing.Silence
	if silent && witnesses > 0 && witnesses >= min(MinWitnesses, len(live)) {
		return true
	}
	return sustained >= MinWitnesses && sustained > len(live)/2
}

// Evidence summarises why a primary is suspected, for the log.
type Evidence struct {
	// Silence is the time since the last contact to the primary.
	Silence time.Duration
	// Witnesses is the number of live members that have recently failed to reach
	// the primary.
	Witnesses int
}

// Evidence returns the evidence against the group's primary.
func (d *Detector) Evidence(g topo.GroupID, live []ctlstate.MemberKey, now time.Time) Evidence {
	e, ok := d.groups[g]
	if !ok {
		return Evidence{}
	}
	sum := Evidence{Silence: now.Sub(d.lastSeen(e))}
	for _, m := range live {
		if f, failed := e.failed[m]; failed && now.Sub(f.last) < d.timing.EvidenceTTL {
			sum.Witnesses++
		}
	}
	return sum
}

// lastSeen returns the time of the last contact to the primary. Its
// announcements count for at most the Silence duration after a member last
// reached the primary: a primary that announces itself but cannot be reached
// serves no requests.
func (d *Detector) lastSeen(e *evidence) time.Time {
	limit := e.lastReached.Add(d.timing.Silence)
	switch {
	case !e.lastAnnounced.After(e.lastReached):
		return e.lastReached
	case e.lastAnnounced.After(limit):
		return limit
	}
	return e.lastAnnounced
}
