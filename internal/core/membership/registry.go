// Package membership decides which upstreams are usable, by what they
// announced, and which entry instances form the live view.
//
// The package is pure: time is an argument.
package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/topo"
)

const (
	// MaxUpstreamsPerGroup bounds the upstreams that are remembered of a group.
	MaxUpstreamsPerGroup = 64
	// MaxGroups bounds the groups of which upstreams are remembered.
	MaxGroups = 4096
)

// Outcome is what became of an announcement.
type Outcome int

// Outcomes of an announcement.
const (
	// Renewed: the upstream said again what was known of it.
	Renewed Outcome = iota
	// Updated: something that routing needs has changed.
	Updated
	// Stale: the same or a newer announcement is known already.
	Stale
	// RefusedAddress: the address differs from that of a later incarnation,
	// or of the same one.
	RefusedAddress
	// RefusedMalformed: a field is missing or out of range.
	RefusedMalformed
	// RefusedFull: the group has too many upstreams, or there are too many
	// groups.
	RefusedFull
)

// Accepted reports whether the announcement is now part of the registry.
func (o Outcome) Accepted() bool { return o == Renewed || o == Updated }

// String names the outcome for logs and answers.
func (o Outcome) String() string {
	return [...]string{"renewed", "updated", "stale", "address refused", "malformed", "too many upstreams"}[o]
}

// Known is an upstream's latest announcement.
type Known struct {
	topo.Announcement
	// HeardAt is when it was heard first, on this instance's clock.
	HeardAt time.Time
}

// Registry keeps the latest announcement of each upstream. An upstream whose
// announcement expired stays known, so that a replay can't revive it. It is
// not safe for concurrent use.
type Registry struct {
	ttl    time.Duration
	groups map[topo.GroupID]map[topo.UpstreamID]Known
}

// NewRegistry returns an empty registry. Announcements expire after ttl.
func NewRegistry(ttl time.Duration) *Registry {
	return &Registry{ttl: ttl, groups: map[topo.GroupID]map[topo.UpstreamID]Known{}}
}

// Hear takes in an announcement that was first heard, by any instance, at
// heardAt.
func (r *Registry) Hear(a topo.Announcement, heardAt time.Time) Outcome {
	if !wellFormed(a) {
		return RefusedMalformed
	}
	group := r.groups[a.Group]
	if group == nil && len(r.groups) >= MaxGroups {
		return RefusedFull
	}
	if group == nil {
		group = map[topo.UpstreamID]Known{}
		r.groups[a.Group] = group
	}
	old, known := group[a.ID]
	if !known && len(group) >= MaxUpstreamsPerGroup && !r.evict(group, heardAt) {
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
	group[a.ID] = Known{a, heardAt}
	r.retireFormer(a)
	if !known || r.Expired(old, heardAt) || differs(old.Announcement, a) {
		return Updated
	}
	return Renewed
}

// addressTaken reports whether another upstream that started later announced
// itself at the same address: the announcement was held up on its way.
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

// retireFormer marks the upstreams as gone whose address has passed to a.
func (r *Registry) retireFormer(a topo.Announcement) {
	for _, group := range r.groups {
		for id, k := range group {
			if id != a.ID && k.Addr == a.Addr && !k.Gone && k.Incarnation < a.Incarnation {
				k.Leaving, k.Gone = true, true
				group[id] = k
			}
		}
	}
}

// Refresh takes in that an upstream announced again, at heardAt, what was
// known of that incarnation. It reports whether that is known here too and the
// refresh is newer.
func (r *Registry) Refresh(g topo.GroupID, id topo.UpstreamID, incarnation, seq uint64, p topo.Point, heardAt time.Time) bool {
	k, known := r.groups[g][id]
	if !known || k.Incarnation != incarnation || seq <= k.Seq {
		return false
	}
	k.Seq, k.Point, k.HeardAt = seq, p, heardAt
	r.groups[g][id] = k
	return true
}

func wellFormed(a topo.Announcement) bool {
	if a.Group == "" || a.ID == "" || a.Addr == "" {
		return false
	}
	if a.Role != topo.RolePrimary && a.Role != topo.RoleReplica {
		return false
	}
	return a.Slots >= 0 && a.Connections >= 0
}

// differs reports whether b tells routing anything new besides the point.
func differs(a, b topo.Announcement) bool {
	a.Point, b.Point = topo.Point{Term: a.Point.Term}, topo.Point{Term: b.Point.Term}
	a.Seq, b.Seq = 0, 0
	return a != b
}

// evict drops the upstream that has been silent for longest, if one has
// expired.
func (r *Registry) evict(group map[topo.UpstreamID]Known, now time.Time) bool {
	var oldest topo.UpstreamID
	for id, k := range group {
		if r.Expired(k, now) && (oldest == "" || k.HeardAt.Before(group[oldest].HeardAt)) {
			oldest = id
		}
	}
	delete(group, oldest)
	return oldest != ""
}

// Expired reports whether an upstream has been silent for too long.
func (r *Registry) Expired(k Known, now time.Time) bool {
	return now.Sub(k.HeardAt) >= r.ttl
}

// Get returns the latest announcement of an upstream, also an expired one.
func (r *Registry) Get(g topo.GroupID, id topo.UpstreamID) (Known, bool) {
	k, ok := r.groups[g][id]
	return k, ok
}

// Usable returns the upstreams of a group that may get new work: neither
// leaving nor silent. They are ordered by id.
func (r *Registry) Usable(g topo.GroupID, now time.Time) []Known {
	var list []Known
	for _, k := range r.groups[g] {
		if !k.Leaving && !r.Expired(k, now) {
			list = append(list, k)
		}
	}
	slices.SortFunc(list, func(a, b Known) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// All returns every known announcement, ordered by group and id.
func (r *Registry) All() []Known {
	var list []Known
	for _, group := range r.groups {
		for _, k := range group {
			list = append(list, k)
		}
	}
	slices.SortFunc(list, func(a, b Known) int {
		return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(a.ID, b.ID))
	})
	return list
}

// Prune forgets upstreams that have been silent for longer than age.
func (r *Registry) Prune(now time.Time, age time.Duration) {
	for g, group := range r.groups {
		for id, k := range group {
			if now.Sub(k.HeardAt) > age {
				delete(group, id)
			}
		}
		if len(group) == 0 {
			delete(r.groups, g)
		}
	}
}
