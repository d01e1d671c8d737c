// Package ctlstate implements the state machine that the control log
// replicates: database groups with their terms and failover attempts,
// registered entry instances, epochs of the live view, and one opaque section
// for the configuration revisions.
//
// The package does no I/O and reads no clock. Machine guards its state with a
// mutex, so that the controller can read while the voter applies entries.
package ctlstate

import (
	"slices"

	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// Member identifies one run of an entry instance. An instance that restarts
// registers with a higher incarnation.
type Member struct {
	ID          topo.InstanceID `msgpack:"id"`
	Incarnation uint64          `msgpack:"i"`
	Zone        topo.Zone       `msgpack:"z"`
	PeerAddr    string          `msgpack:"a"`
}

// Key returns the part of the member that identifies it.
func (m Member) Key() MemberKey { return MemberKey{m.ID, m.Incarnation} }

// MemberKey identifies one run of an entry instance.
type MemberKey struct {
	ID          topo.InstanceID `msgpack:"id"`
	Incarnation uint64          `msgpack:"i"`
}

// Database is one database of a group. Only databases in the committed log
// count for a majority or for the durability of a write.
type Database struct {
	ID   topo.UpstreamID `msgpack:"id"`
	Addr string          `msgpack:"a"`
	Zone topo.Zone       `msgpack:"z"`
	// Slots is the number of statements that the database runs concurrently.
	Slots int `msgpack:"s,omitempty"`
	// Retiring marks a database that is being removed: it still counts for
	// the quorum, but no longer for the durability of a write.
	Retiring bool `msgpack:"r,omitempty"`
}

// Attempt is a failover that has begun and not yet completed. Once it has
// begun, no lease covers a term of the group below Term.
type Attempt struct {
	Term topo.Term `msgpack:"t"`
	// Target is the preferred database of a planned switchover, empty for a
	// failover.
	Target topo.UpstreamID `msgpack:"g"`
	// Chosen is the only database that may be promoted under Term, empty until
	// the choice is committed.
	Chosen topo.UpstreamID `msgpack:"c"`
	// Start is the position of the chosen database when it was fenced.
	Start topo.Position `msgpack:"s"`
}

// Announcement returns a substitute, built from the log, for the announcement
// of a database from which none has been received yet.
func (d Database) Announcement(g topo.GroupID) topo.Announcement {
	return topo.Announcement{Group: g, ID: d.ID, Addr: d.Addr, Zone: d.Zone, Role: topo.RoleReplica, Slots: d.Slots}
}

// GroupRecord is the replicated state of one database group.
type GroupRecord struct {
	topo.Group `msgpack:"g"`
	Databases  []Database `msgpack:"d"`
	// Attempt is nil when no failover is in progress.
	Attempt *Attempt `msgpack:"at"`
	// Changed is the log index of the latest change of the record.
	Changed uint64 `msgpack:"ch"`
}

// Database returns the group's database with the given id.
func (g *GroupRecord) Database(id topo.UpstreamID) (Database, bool) {
	i := slices.IndexFunc(g.Databases, func(d Database) bool { return d.ID == id })
	if i < 0 {
		return Database{}, false
	}
	return g.Databases[i], true
}

// PrimaryAddr returns the address of the primary.
func (g *GroupRecord) PrimaryAddr() string {
	d, _ := g.Database(g.Primary)
	return d.Addr
}

// FenceQuorum returns how many databases must be fenced before a primary is
// chosen: a majority, and enough to intersect every pair of databases, since
// a write may be acknowledged once two databases hold it.
func (g *GroupRecord) FenceQuorum() int {
	n := len(g.Databases)
	return max(n/2+1, n-1)
}

func (g *GroupRecord) clone() GroupRecord {
	c := *g
	c.Starts = slices.Clone(g.Starts)
	c.Databases = slices.Clone(g.Databases)
	if g.Attempt != nil {
		a := *g.Attempt
		c.Attempt = &a
	}
	return c
}

// Epoch is a numbered list of live entry instances.
type Epoch struct {
	Number  uint64      `msgpack:"n"`
	Members []MemberKey `msgpack:"m"`
}

// Epochs holds the active epoch and its prepared successor.
type Epochs struct {
	Active Epoch `msgpack:"a"`
	// Next is nil unless a prepared epoch waits for its activation.
	Next    *Epoch `msgpack:"n"`
	Changed uint64 `msgpack:"ch"`
}

func (e *Epochs) clone() Epochs {
	c := *e
	c.Active.Members = slices.Clone(e.Active.Members)
	if e.Next != nil {
		n := *e.Next
		n.Members = slices.Clone(n.Members)
		c.Next = &n
	}
	return c
}

// MemberRecord is a registered member. A superseded member has been replaced
// by a higher incarnation: it is granted no lease, but may still hold an
// earlier one.
type MemberRecord struct {
	Member     `msgpack:"m"`
	Superseded bool `msgpack:"s"`
	// Removed marks a record that notifies instances of a member's removal.
	Removed bool   `msgpack:"r"`
	Changed uint64 `msgpack:"ch"`
}
