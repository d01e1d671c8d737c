// Package dbapi defines the operations that the control plane uses on databases,
// independent of their protocol. internal/dbcontrol implements it for the
// PostgreSQL protocol.
package dbapi

import (
	"context"
	"errors"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// ErrHigherTerm means that the database is fenced to a higher term.
var ErrHigherTerm = errors.New("database: fenced to a higher term")

// ErrBusy means that the database answered but had no capacity for the request.
var ErrBusy = errors.New("database: busy")

// ErrNoPosition means that the database answered without the position of its log.
var ErrNoPosition = errors.New("database: reported no position")

// Location is the address of one database of a group.
type Location struct {
	Group topo.GroupID
	ID    topo.UpstreamID
	Addr  string
}

// Status is a database's answer to a control request.
type Status struct {
	ID   topo.UpstreamID
	Role topo.Role
	// Term is the term of the database's log.
	Term topo.Term
	// Point is the end of the database's log.
	Point topo.ReportedPoint
	// FencedTerm is the lowest term whose writes the database accepts.
	FencedTerm topo.Term
	// Began is set by Promote if databases number their terms themselves.
	Began topo.TermStart
}

// LogEnd returns the end of the database's log.
// Error: ErrNoPosition when the database did not report it.
func (s Status) LogEnd() (topo.Point, error) {
	p, known := s.Point.Point()
	if !known {
		return topo.Point{}, ErrNoPosition
	}
	return p, nil
}

// Prober queries the state of databases.
type Prober interface {
	Status(ctx context.Context, at Location) (Status, error)
	Close()
}

// Client queries the state of databases and changes their roles. All methods are
// idempotent. Those that change a role take the Permit under which they send;
// Error: ErrPermitExpired when nothing was sent because it had expired.
type Client interface {
	Prober
	// Fence makes the database refuse writes and log of terms below t.
	// Error: ErrHigherTerm when it is fenced to a higher term.
	Fence(ctx context.Context, p Permit, at Location, t topo.Term) (Status, error)
	// Promote makes the database the primary of term t and returns once it serves
	// as such. Error: ErrHigherTerm when it is fenced to a higher term.
	Promote(ctx context.Context, p Permit, at Location, t topo.Term) (Status, error)
	// Follow makes the database a replica of the primary of term t.
	Follow(ctx context.Context, p Permit, at Location, t topo.Term, primaryAddr string) (Status, error)
	// Wait returns the status as soon as the database's log covers p or limit has
	// passed.
	Wait(ctx context.Context, at Location, p topo.Point, limit time.Duration) (Status, error)
}
