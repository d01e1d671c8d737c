// Package ctlview defines the view of the control plane that the caller-facing side
// of an entry instance uses.
package ctlview

import (
	"time"

	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/freshness"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// Authority is the right to write to a group and to acknowledge its writes.
type Authority struct {
	Term    topo.Term
	Primary topo.Announcement
}

// Upstream is an upstream that may receive new work.
type Upstream struct {
	topo.Announcement
	// ReceivedAt is when the announcement was first received.
	ReceivedAt time.Time
}

// View lists the live members in the active epoch. They hold the sessions.
type View struct {
	Epoch   uint64
	Members []topo.InstanceID
}

// Control provides the state of leases, groups and upstreams. All methods answer
// from memory without blocking and are safe for concurrent use.
type Control interface {
	// Authority returns the primary of the group, if this instance's lease
	// covers the group's term now.
	Authority(g topo.GroupID) (Authority, bool)
	// AcceptsWork reports whether an upstream may receive new work now. Callers
	// check it right before they send the first statement of a piece of work.
	AcceptsWork(g topo.GroupID, id topo.UpstreamID) bool
	// Holds reports whether the lease covers (g, t) now. Callers check it right
	// before they acknowledge a write.
	Holds(g topo.GroupID, t topo.Term) bool
	// Hold is Holds for an acknowledgement that is sent between Hold and
	// release: the lease is not released in between.
	Hold(g topo.GroupID, t topo.Term) (release func(), ok bool)
	// Group returns the last known state of the group, even without a lease.
	Group(g topo.GroupID) (topo.Group, bool)
	// Upstreams returns the upstreams of a group that may receive new work.
	Upstreams(g topo.GroupID) []Upstream
	// IsolatedWithoutLease reports whether this instance is isolated and has no
	// lease, so that it cannot expect one soon.
	IsolatedWithoutLease() bool
	// HasLease reports whether this instance's lease is valid now.
	HasLease() bool
	// ConfigAge returns the time since a leader last confirmed that the instance had the
	// latest configuration; known is false before the first time.
	ConfigAge() (age time.Duration, known bool)
	// ConfigTrust returns what the instance may do by its configuration. Callers ask before
	// they read the configuration, since a later one may be applied in between.
	ConfigTrust() freshness.Trust
	// Config returns the latest configuration.
	Config() *contract.Config
	// View returns the active epoch, if the lease covers it now.
	View() (View, bool)
	// PeerAddr returns the peer address of a member.
	PeerAddr(id topo.InstanceID) (string, bool)
	// ReportPrimary records whether a primary answered this instance.
	ReportPrimary(g topo.GroupID, t topo.Term, reachable bool)
	// RequestProbe requests a probe of a primary that is slow to answer. A slow
	// answer alone is no evidence that the primary has failed.
	RequestProbe(g topo.GroupID)
	// Changed returns a channel that is closed when any of the above changes.
	Changed() <-chan struct{}
}
