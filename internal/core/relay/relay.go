// Package relay decides which entry instances hold connections to an upstream where
// there are too few connections for all of them. The others relay their statements to
// these holders.
//
// Load that it answers: many organisations on many instances before few connections. A
// connection belongs to one organisation, so an instance that connects by itself opens one
// for almost every statement. Without organisations its connections serve all statements,
// and the processor time of a relay is more than that of the connections that it saves.
//
// The package does no I/O and reads no clock; callers pass in the time.
package relay

import (
	"math"

	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/membership"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

const (
	// usableShare is the share of an upstream's connections that its holders may use. The
	// rest is for holders that take over or restart while the upstream still counts the
	// connections of lost ones, and for control.
	usableShare = 0.5
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
	startBelow, stopFrom = 2.5, 5.0
)

// Needed reports whether statements should be relayed. relaying is the previous result.
func Needed(d Density, relaying bool) bool {
	if d.Organisations <= 1 || d.Instances <= minHolders {
		return false
	}
	limit := startBelow
	if relaying {
		limit = stopFrom
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
	var near, far []ctlstate.Member
	for _, m := range members {
		if m.Zone == zone {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	key := "holder/" + string(id)
	holders := membership.Rendezvous(key, near, n)
	if len(holders) < n {
		holders = append(holders, membership.Rendezvous(key, far, n-len(holders))...)
	}
	return holders
}

// Order returns the holders in the order in which statements with the key use them. An
// organisation's statements share a key, so that they find its connections at one holder.
func Order(holders []ctlstate.Member, key string) []ctlstate.Member {
	return membership.Rendezvous(key, holders, len(holders))
}

// ConnectionLimit returns how many connections to an upstream each of its holders may
// have, at least one.
func ConnectionLimit(connections, holders int) int {
	return max(int(usableShare*float64(connections)/float64(max(holders, 1))), 1)
}

// Slots returns how many statements each of an upstream's holders may run there at once.
func Slots(slots, holders int) int {
	part := math.Ceil(slotsFactor * float64(slots) / float64(max(holders, 1)))
	return min(max(int(part), 1), slots)
}
