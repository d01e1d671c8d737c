// Package ctlstate is the state machine that the control log replicates:
// database groups with their terms and failover attempts, registered entry
// instances, epochs of the live view, and one opaque section for the
// configuration revisions.
//
// The package is pure: no I/O, no clock. Machine guards its state with a
// mutex, so that the controller may read while the voter applies entries.
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

// Database is one database that belongs to a group. Only databases that the
// log has accepted count for a majority or for the durability of a write.
type Database struct {
	ID   topo.UpstreamID `msgpack:"id"`
	Addr string          `msgpack:"a"`
	Zone topo.Zone       `msgpack:"z"`
	// Slots is how many statements the database runs at once.
	Slots int `msgpack:"s,omitempty"`
	// Retiring says that the database is to be removed: it still counts for
	// the quorum, but no longer for the durability of a write.
	Retiring bool `msgpack:"r,omitempty"`
}

// Attempt is a failover that has begun and not yet completed. From its begin
// on no lease covers a term of the group below Term.
type Attempt struct {
	Term topo.Term `msgpack:"t"`
	// Target is the database that a planned switchover prefers, empty for a
	// failover.
	Target topo.UpstreamID `msgpack:"g"`
	// Chosen is the only database that may be promoted to Term, empty until
	// the choice is committed.
	Chosen topo.UpstreamID `msgpack:"c"`
	// Start is the position of the chosen database when it was fenced.
	Start topo.Position `msgpack:"s"`
}

// Announcement is what the log knows of a database whose own announcement has
// not been heard yet.
func (d Database) Announcement(g topo.GroupID) topo.Announcement {
	return topo.Announcement{Group: g, ID: d.ID, Addr: d.Addr, Zone: d.Zone, Role: topo.RoleReplica, Slots: d.Slots}
}

// GroupRecord is the replicated state of one database group.
type GroupRecord struct {
	topo.Group `msgpack:"g"`
	Databases  []Database `msgpack:"d"`
	// Attempt is nil when no failover is under way.
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

// FenceQuorum returns how many databases must be fenced before a choice: a
// majority, and so many that they share a database with each pair of
// databases, since a write may be acknowledged once two databases hold it.
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

// Epoch is one numbered list of live entry instances.
type Epoch struct {
	Number  uint64      `msgpack:"n"`
	Members []MemberKey `msgpack:"m"`
}

// Epochs holds the active epoch and the one that is to follow it.
type Epochs struct {
	Active Epoch `msgpack:"a"`
	// Next is nil unless a new epoch waits for its activation.
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
// by a higher incarnation: it gets no lease, but may still hold an older one.
type MemberRecord struct {
	Member     `msgpack:"m"`
	Superseded bool `msgpack:"s"`
	// Removed marks a record that tells instances of a member's removal.
	Removed bool   `msgpack:"r"`
	Changed uint64 `msgpack:"ch"`
}
