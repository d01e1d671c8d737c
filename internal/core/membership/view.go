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
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b ctlstate.Member) int {
		return cmp.Or(cmp.Compare(score(key, b.ID), score(key, a.ID)), cmp.Compare(a.ID, b.ID))
	})
	return ranked[:min(n, len(ranked))]
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
