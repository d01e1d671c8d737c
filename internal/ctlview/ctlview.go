// Package ctlview is what the callers' side of an entry instance needs to know
// from the control side.
package ctlview

import (
	"time"

	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// Authority is the right to write to a group and to acknowledge its writes.
type Authority struct {
	Term    topo.Term
	Primary topo.Announcement
}

// Upstream is an upstream that may get new work.
type Upstream struct {
	topo.Announcement
	// HeardAt is when the announcement arrived.
	HeardAt time.Time
}

// View is the active epoch of the live view: the members that hold sessions.
type View struct {
	Epoch   uint64
	Members []topo.InstanceID
}

// Control answers about leases, groups and upstreams. All methods answer at once from memory and are safe for concurrent use.
type Control interface {
	// Authority returns the primary of the group, if this instance's lease
	// covers the group's term now.
	Authority(g topo.GroupID) (Authority, bool)
	// Holds reports whether the lease covers (g, t) now. It is asked right
	// before a write is acknowledged.
	Holds(g topo.GroupID, t topo.Term) bool
	// Hold is Holds for an acknowledgement that is sent between Hold and
	// release: the lease is not given back meanwhile.
	Hold(g topo.GroupID, t topo.Term) (release func(), ok bool)
	// Group returns the last known state of the group, also without a lease.
	Group(g topo.GroupID) (topo.Group, bool)
	// Upstreams returns the upstreams of a group that may get new work.
	Upstreams(g topo.GroupID) []Upstream
	// Stranded reports whether there is no lease and none can be expected soon.
	Stranded() bool
	// Config returns the latest configuration.
	Config() *contract.Config
	// View returns the active epoch, if the lease covers it now.
	View() (View, bool)
	// PeerAddr returns the peer address of a member.
	PeerAddr(id topo.InstanceID) (string, bool)
	// ReportPrimary tells whether a primary answered this instance.
	ReportPrimary(g topo.GroupID, t topo.Term, reachable bool)
	// DoubtPrimary asks for a check of a primary that is slow to answer. A slow
	// answer alone is no evidence that it is gone.
	DoubtPrimary(g topo.GroupID)
	// Changed is closed at the next change of any of the above.
	Changed() <-chan struct{}
}
