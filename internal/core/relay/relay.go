// Package relay decides which entry instances hold connections to an upstream where
// there are too few connections for all of them. The others relay their statements to
// these holders.
//
// Load that it answers: many instances, or many organisations, before few connections.
// If each instance connects by itself, it finds the connections taken, or opens one for
// almost every statement.
//
// The package does no I/O and reads no clock; callers pass in the time.
package relay

import (
	"cmp"
	"math"
	"slices"

	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/membership"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

const (
	// usableShare is the share of an upstream's connections that instances may use in all.
	// The rest is for those that take over or restart while the upstream still counts the
	// connections of lost ones, and for control.
	usableShare = 0.75
	// organisationShare is the share of the holders where connections belong to
	// organisations. All of them may be opened again after a restart of all instances.
	organisationShare = 0.5
	// directShare is the share for instances that have one connection of their own beside
	// the holders. A relayed message passes two more network links, and connections that
	// holders don't need would be left unused.
	directShare = 0.45
	// minHolders keeps an upstream in use while one holder is lost; maxHolders keeps the
	// queue of an upstream in few places, so that ranks are compared there.
	minHolders, maxHolders = 2, 4
	// slotsFactor is how often the slots are handed out to the holders in all. Above 1,
	// one holder can use slots that another one leaves idle.
	slotsFactor = 2
)

// Density describes how many instances and organisations share the connections of an
// upstream.
type Density struct {
	Connections, Instances, Organisations int
}

const (
	// startBelow is the number of usable connections for each instance below which
	// statements are relayed, stopFrom the number from which they are not any more. They
	// differ so that a few lost instances do not switch relaying off.
	startBelow, stopFrom = 1.0, 2.0
	// organisationFactor multiplies both where connections belong to organisations: an
	// instance then needs several.
	organisationFactor = 4.0
)

// Needed reports whether statements should be relayed. relaying is the previous result.
func Needed(d Density, relaying bool) bool {
	if d.Instances <= minHolders {
		return false
	}
	limit := startBelow
	if relaying {
		limit = stopFrom
	}
	if d.Organisations > 1 {
		limit *= organisationFactor
	}
	return usableShare*float64(d.Connections)/float64(d.Instances) < limit
}

// HolderCount returns the number of holders of an upstream in an availability zone with
// that many instances and upstreams: all instances of the zone together hold the
// connections of its upstreams.
func HolderCount(instances, upstreams int) int {
	n := math.Round(float64(instances) / float64(max(upstreams, 1)))
	return min(max(int(n), minHolders), maxHolders)
}

// Holders returns the n holders of an upstream, members of its own availability zone
// first: a statement then crosses zones once, as it would without a relay. Members that
// compare different live views agree on most holders.
func Holders(id topo.UpstreamID, zone topo.Zone, members []ctlstate.Member, n int) []ctlstate.Member {
	ranked := membership.Rendezvous("holder/"+string(id), members, len(members))
	slices.SortStableFunc(ranked, func(a, b ctlstate.Member) int {
		return cmp.Compare(distance(a, zone), distance(b, zone))
	})
	return ranked[:min(n, len(ranked))]
}

func distance(m ctlstate.Member, zone topo.Zone) int {
	if m.Zone == zone {
		return 0
	}
	return 1
}

// Order returns the holders in the order in which statements with the key use them. An
// organisation's statements share a key, so that they find its connections at one holder.
func Order(holders []ctlstate.Member, key string) []ctlstate.Member {
	return membership.Rendezvous(key, holders, len(holders))
}

// HoldsDirect reports whether the instance may have one connection of its own to an
// upstream, beside the holders. Connections that belong to organisations are not kept this
// way: an instance would rarely find the one of the right organisation.
func HoldsDirect(self topo.InstanceID, id topo.UpstreamID, members []ctlstate.Member, d Density, holders int) bool {
	if d.Organisations > 0 {
		return false
	}
	left := max(d.Connections-holders*ConnectionLimit(d, holders), 0)
	n := min(int(directShare*float64(d.Connections)), left, len(members))
	return slices.ContainsFunc(membership.Rendezvous("direct/"+string(id), members, n), func(m ctlstate.Member) bool { return m.ID == self })
}

// ConnectionLimit returns how many connections to an upstream each of its holders may
// have, at least one.
func ConnectionLimit(d Density, holders int) int {
	share := usableShare - directShare
	if d.Organisations > 0 {
		share = organisationShare
	}
	return max(int(share*float64(d.Connections)/float64(max(holders, 1))), 1)
}

// Slots returns how many statements each of an upstream's holders may run there at once.
func Slots(slots, holders int) int {
	part := math.Ceil(slotsFactor * float64(slots) / float64(max(holders, 1)))
	return min(max(int(part), 1), slots)
}
