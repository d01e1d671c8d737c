// Package membership decides which upstreams are usable, based on their
// announcements, and which entry instances form the live view.
//
// The package is pure: no I/O, no clock. Time is an argument.
package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/topo"
)

const (
	// MaxUpstreamsPerGroup bounds the upstreams kept per group.
	MaxUpstreamsPerGroup = 64
	// MaxGroups bounds the groups in a registry.
	MaxGroups = 4096
)

// Outcome is the result of processing an announcement.
type Outcome int

// Outcomes of an announcement.
const (
	// Renewed: the announcement is newer but contains no change.
	Renewed Outcome = iota
	// Updated: something that affects routing has changed.
	Updated
	// Stale: the same or a newer announcement is already known.
	Stale
	// RefusedAddress: the address differs from that of the same or a later
	// incarnation, or a later upstream has announced it.
	RefusedAddress
	// RefusedMalformed: a field is missing or out of range.
	RefusedMalformed
	// RefusedFull: the group has too many upstreams, or there are too many
	// groups.
	RefusedFull
	// RefusedGroup: the configuration does not name the group.
	RefusedGroup
)

// Accepted reports whether the registry has stored the announcement.
func (o Outcome) Accepted() bool { return o == Renewed || o == Updated }

// String returns the outcome as shown in logs and answers.
func (o Outcome) String() string {
	return [...]string{"renewed", "updated", "stale", "address refused", "malformed", "too many upstreams", "unknown group"}[o]
}

// KnownUpstream is the latest announcement of an upstream.
type KnownUpstream struct {
	topo.Announcement
	// ReceivedAt is when an instance first received it, on this instance's clock.
	ReceivedAt time.Time
	// LeavingSince is when an instance first received that this incarnation leaves,
	// on this instance's clock. It is zero unless Leaving is set.
	LeavingSince time.Time
}

// LeavingFor returns how long the upstream has been leaving, zero if it is not.
func (k KnownUpstream) LeavingFor(now time.Time) time.Duration {
	if !k.Leaving {
		return 0
	}
	return now.Sub(k.LeavingSince)
}

// Registry keeps the latest announcement of each upstream. It also keeps expired
// announcements, so that a replay can't revive an upstream. It is not safe for
// concurrent use.
type Registry struct {
	ttl    time.Duration
	groups map[topo.GroupID]map[topo.UpstreamID]KnownUpstream
}

// NewRegistry returns an empty registry. Announcements expire after ttl.
func NewRegistry(ttl time.Duration) *Registry {
	return &Registry{ttl: ttl, groups: map[topo.GroupID]map[topo.UpstreamID]KnownUpstream{}}
}

// Receive processes an announcement that some instance first received at receivedAt.
func (r *Registry) Receive(a topo.Announcement, receivedAt time.Time) Outcome {
	return r.Import(KnownUpstream{Announcement: a, ReceivedAt: receivedAt})
}

// Import processes an announcement that another registry holds. LeavingSince may
// be zero if the sender does not know it.
func (r *Registry) Import(k KnownUpstream) Outcome {
	a, receivedAt := k.Announcement, k.ReceivedAt
	if !valid(a) {
		return RefusedMalformed
	}
	group := r.groups[a.Group]
	if group == nil && len(r.groups) >= MaxGroups {
		return RefusedFull
	}
	if group == nil {
		group = map[topo.UpstreamID]KnownUpstream{}
		r.groups[a.Group] = group
	}
	old, known := group[a.ID]
	if !known && len(group) >= MaxUpstreamsPerGroup && !r.evict(group, receivedAt) {
		return RefusedFull
	}
	if known && a.Addr != old.Addr && a.Incarnation <= old.Incarnation {
		return RefusedAddress
	}
	if r.addressTaken(a) {
		return RefusedAddress
	}
	if known && !a.Newer(old.Announcement) {
		return Stale
	}
	k.LeavingSince = leavingSince(old, k)
	group[a.ID] = k
	r.markReplaced(a, receivedAt)
	if !known || r.Expired(old, receivedAt) || differs(old.Announcement, a) {
		return Updated
	}
	return Renewed
}

// addressTaken reports whether another upstream that started later has announced
// the same address: the announcement was delayed in transit.
func (r *Registry) addressTaken(a topo.Announcement) bool {
	for _, group := range r.groups {
		for _, k := range group {
			if k.ID != a.ID && k.Addr == a.Addr && !k.Gone && k.Incarnation > a.Incarnation {
				return true
			}
		}
	}
	return false
}

// AddressInUse reports whether another upstream still uses the address of a: it
// announced itself less than silence before at and has not said that it leaves.
// Such an upstream must not be replaced by an announcement that only claims its
// address.
func (r *Registry) AddressInUse(a topo.Announcement, at time.Time, silence time.Duration) bool {
	for _, group := range r.groups {
		for _, k := range group {
			if k.ID != a.ID && k.Addr == a.Addr && !k.Leaving && at.Sub(k.ReceivedAt) < silence {
				return true
			}
		}
	}
	return false
}

// leavingSince returns when the incarnation of next began to leave. old is the
// previous announcement of the upstream, or zero.
func leavingSince(old, next KnownUpstream) time.Time {
	if !next.Leaving {
		return time.Time{}
	}
	since := next.LeavingSince
	if since.IsZero() {
		since = next.ReceivedAt
	}
	if old.Leaving && old.Incarnation == next.Incarnation && old.LeavingSince.Before(since) {
		return old.LeavingSince
	}
	return since
}

// markReplaced marks upstreams as gone whose address a has taken over.
func (r *Registry) markReplaced(a topo.Announcement, at time.Time) {
	for _, group := range r.groups {
		for id, k := range group {
			if id != a.ID && k.Addr == a.Addr && !k.Gone && k.Incarnation < a.Incarnation {
				if !k.Leaving {
					k.LeavingSince = at
				}
				k.Leaving, k.Gone = true, true
				group[id] = k
			}
		}
	}
}

// Refresh processes a repeated announcement that changes only the point, received
// at receivedAt. It returns false if the registry does not hold the incarnation or
// the refresh is not newer.
func (r *Registry) Refresh(g topo.GroupID, id topo.UpstreamID, incarnation, seq uint64, p topo.Point, receivedAt time.Time) bool {
	k, known := r.groups[g][id]
	if !known || k.Incarnation != incarnation || seq <= k.Seq {
		return false
	}
	k.Seq, k.Point, k.ReceivedAt = seq, p, receivedAt
	r.groups[g][id] = k
	return true
}

func valid(a topo.Announcement) bool {
	if a.Group == "" || a.ID == "" || a.Addr == "" {
		return false
	}
	if a.Role != topo.RolePrimary && a.Role != topo.RoleReplica {
		return false
	}
	return a.Slots >= 0 && a.Slots <= topo.MaxSlots && a.Connections >= 0 && a.Connections <= topo.MaxConnections
}

// differs reports whether b differs from a in a field that affects routing, the
// position aside.
func differs(a, b topo.Announcement) bool {
	a.Point, b.Point = topo.Point{Term: a.Point.Term}, topo.Point{Term: b.Point.Term}
	a.Seq, b.Seq = 0, 0
	a.ColdLeft, b.ColdLeft = 0, 0 // counts down in each announcement
	return a != b
}

// evict removes the upstream with the oldest expired announcement. It returns
// false if none has expired.
func (r *Registry) evict(group map[topo.UpstreamID]KnownUpstream, now time.Time) bool {
	var oldest topo.UpstreamID
	for id, k := range group {
		if r.Expired(k, now) && (oldest == "" || k.ReceivedAt.Before(group[oldest].ReceivedAt)) {
			oldest = id
		}
	}
	delete(group, oldest)
	return oldest != ""
}

// Expired reports whether the announcement has expired.
func (r *Registry) Expired(k KnownUpstream, now time.Time) bool {
	return now.Sub(k.ReceivedAt) >= r.ttl
}

// Get returns the latest announcement of an upstream, even if it has expired.
func (r *Registry) Get(g topo.GroupID, id topo.UpstreamID) (KnownUpstream, bool) {
	k, ok := r.groups[g][id]
	return k, ok
}

// Usable returns the upstreams of a group that may receive new work, that is,
// neither leaving nor expired, ordered by id.
func (r *Registry) Usable(g topo.GroupID, now time.Time) []KnownUpstream {
	var list []KnownUpstream
	for _, k := range r.groups[g] {
		if !k.Leaving && !r.Expired(k, now) {
			list = append(list, k)
		}
	}
	slices.SortFunc(list, func(a, b KnownUpstream) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// All returns every known announcement, ordered by group and id.
func (r *Registry) All() []KnownUpstream {
	var list []KnownUpstream
	for _, group := range r.groups {
		for _, k := range group {
			list = append(list, k)
		}
	}
	slices.SortFunc(list, func(a, b KnownUpstream) int {
		return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(a.ID, b.ID))
	})
	return list
}

// Prune removes upstreams whose latest announcement is older than age.
func (r *Registry) Prune(now time.Time, age time.Duration) {
	for g, group := range r.groups {
		for id, k := range group {
			if now.Sub(k.ReceivedAt) > age {
				delete(group, id)
			}
		}
		if len(group) == 0 {
			delete(r.groups, g)
		}
	}
}
