package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// View is the active epoch of the live view.
type View struct {
	Epoch   uint64
	Members []ctlstate.Member
}

// Holder returns the member that holds the state of a session: the one with the
// highest rendezvous hash.
func (v View) Holder(session string) (ctlstate.Member, bool) {
	best := Rendezvous(session, v.Members, 1)
	if len(best) == 0 {
		return ctlstate.Member{}, false
	}
	return best[0], true
}

// Rendezvous returns the n members with the highest rendezvous hashes for key.
func Rendezvous(key string, members []ctlstate.Member, n int) []ctlstate.Member {
	order := make([]scored, len(members))
	for i, m := range members {
		order[i] = scored{score(key, m.ID), i}
	}
	slices.SortFunc(order, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(members[a.index].ID, members[b.index].ID))
	})
	ranked := make([]ctlstate.Member, min(n, len(members)))
	for i := range ranked {
		ranked[i] = members[order[i].index]
	}
	return ranked
}

// scored is a member by its index, with its rendezvous hash. Each hash is computed once:
// fleets of hundreds of members are ranked for each upstream.
type scored struct {
	score uint64
	index int
}

// Peers returns n members other than self. Different instances get different ones,
// so that no member is asked by all.
func Peers(self topo.InstanceID, members []ctlstate.Member, n int) []ctlstate.Member {
	others := slices.DeleteFunc(slices.Clone(members), func(m ctlstate.Member) bool { return m.ID == self })
	return Rendezvous(string(self), others, n)
}

// minSampledZone is the number of instances from which on an availability zone has a
// sampler: among fewer, each one asking for itself costs hardly more.
const minSampledZone = 4

// Sampler returns the member of an availability zone that queries primaries for their
// positions on behalf of the zone. ok is false if each member queries for itself.
func Sampler(zone topo.Zone, members []ctlstate.Member) (m ctlstate.Member, ok bool) {
	local := slices.DeleteFunc(slices.Clone(members), func(m ctlstate.Member) bool { return m.Zone != zone })
	if len(local) < minSampledZone {
		return ctlstate.Member{}, false
	}
	return Rendezvous(string(zone), local, 1)[0], true
}

func score(key string, id topo.InstanceID) uint64 {
	return xxhash.Sum64String(string(id) + "\x00" + key)
}
