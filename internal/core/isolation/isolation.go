// Package isolation decides whether an entry instance that cannot renew its
// lease is cut off from the rest, or whether control is down for all.
//
// An instance that is cut off should send its callers elsewhere. While control
// is down for all, no other instance serves them better.
//
// The package is pure: time is an argument.
package isolation

import (
	"time"

	"github.com/cicadacove/cicadacove/internal/core/topo"
)

const (
	// Patience is how long renewals may fail before the question is asked.
	Patience = 600 * time.Millisecond
	// lead is by how much another instance's renewal must be later than the
	// own one to show that control serves others.
	lead = 300 * time.Millisecond
)

// Report is what came of asking another instance.
type Report struct {
	// Zone is that of the instance.
	Zone topo.Zone
	// Reached says that it answered.
	Reached bool
	// Renewed says that it holds a lease, which it renewed RenewedAgo ago.
	Renewed    bool
	RenewedAgo time.Duration
}

// CutOff reports whether this instance, whose latest renewal lies renewedAgo
// back, is cut off: another one has renewed its lease since, or cannot be
// reached and so may have. Several instances may be cut off together; those
// that answer then tell nothing. One silent zone of several does not count:
// that zone is cut off, perhaps with the leader. Nor does a single silent
// instance, which may be down. An instance that knows no other one is not cut
// off.
func CutOff(renewedAgo time.Duration, reports []Report) bool {
	if renewedAgo < Patience {
		return false
	}
	zones := map[topo.Zone]tally{}
	for _, r := range reports {
		if r.Renewed && r.RenewedAgo+lead < renewedAgo {
			return true
		}
		zones[r.Zone] = zones[r.Zone].add(r)
	}
	silentZones, silent, asked := 0, 0, 0
	for _, t := range zones {
		if t.reached == 0 {
			silentZones++
			continue
		}
		silent += t.silent
		asked += t.reached + t.silent
	}
	if silentZones > 1 || silentZones > 0 && silentZones == len(zones) {
		return true
	}
	return silent > 1 && silent*silentShare >= asked
}

// silentShare is the divisor of the instances asked that gives how many must
// be silent in zones where others answer.
const silentShare = 6

// tally counts the reports from one zone.
type tally struct{ reached, silent int }

func (t tally) add(r Report) tally {
	if r.Reached {
		t.reached++
	} else {
		t.silent++
	}
	return t
}
