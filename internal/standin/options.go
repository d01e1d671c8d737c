// Package standin implements a small stand-in for a PostgreSQL database of a
// replicated group. It speaks the PostgreSQL v3 protocol, executes SQL on an
// embedded SQLite database in memory, and provides the features that package
// upstream requires of a database: terms, log positions, fencing, promotion,
// asynchronous replication and announcements
// (docs/design/002-upstream-interface.md).
//
// It is meant for tests, demonstrations and load experiments only. It keeps the
// whole log in memory. Replicas re-execute the statements of the log, so the
// statements must be deterministic. Transactions are optimistic: each step
// executes all earlier statements of the transaction again.
package standin

import (
	"context"
	"net"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// Defaults of Options.
const (
	DefaultListen        = "127.0.0.1:0"
	DefaultSlots         = 3
	DefaultConnections   = 20
	DefaultAnnounceEvery = 500 * time.Millisecond
)

// DialFunc opens a network connection.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// ListenFunc opens a TCP listener.
type ListenFunc func(addr string) (net.Listener, error)

// Options configures a stand-in database.
type Options struct {
	ID    topo.UpstreamID
	Group topo.GroupID
	Zone  topo.Zone
	// Listen is the address for callers; the default is DefaultListen.
	Listen string
	Role   topo.Role
	// Term is the term in which the empty log starts.
	Term topo.Term
	// Primary is the address of the primary that a replica follows. If it is
	// empty, the replica follows none until a follow statement names one.
	Primary string
	// Slots is the maximum number of statements that execute concurrently.
	Slots int
	// Connections is the maximum number of open connections, not counting
	// those opened with the parameter cicadacove.control.
	Connections int
	// ConnectDelay is the time that it takes to open a connection.
	ConnectDelay time.Duration
	// ServiceTime is how long a statement occupies its slot.
	ServiceTime time.Duration
	// ReplicationLag is the minimum age of a log entry before a replica applies
	// it.
	ReplicationLag time.Duration
	// AnnounceTo lists the base URLs to which the database announces itself. It
	// tries them in order.
	AnnounceTo []string
	// AnnounceKey signs announcements when it is not empty.
	AnnounceKey   []byte
	AnnounceEvery time.Duration
	// User and Password are the credentials that callers must prove with
	// SCRAM-SHA-256. If Password is empty, the database accepts every caller.
	User, Password string
	// Cleartext requests the password in clear text instead of with SCRAM.
	Cleartext bool
	Dial      DialFunc
	Listener  ListenFunc
}

func (o Options) withDefaults() Options {
	if o.Listen == "" {
		o.Listen = DefaultListen
	}
	if o.Role == "" {
		o.Role = topo.RoleReplica
	}
	if o.Slots <= 0 {
		o.Slots = DefaultSlots
	}
	if o.Connections <= 0 {
		o.Connections = DefaultConnections
	}
	if o.AnnounceEvery <= 0 {
		o.AnnounceEvery = DefaultAnnounceEvery
	}
	if o.Dial == nil {
		o.Dial = new(net.Dialer).DialContext
	}
	if o.Listener == nil {
		o.Listener = func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
	}
	return o
}
