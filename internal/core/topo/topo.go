// Package topo defines the identities and log positions that all packages
// share: groups, upstreams, entry instances, availability zones, terms and
// points in a group's log.
//
// The package does no I/O and reads no clock.
package topo

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// GroupID identifies a database group. It is also the database name that
// callers connect to.
type GroupID string

// UpstreamID identifies one database of a group, for example "ledger-1/b".
type UpstreamID string

// InstanceID identifies an entry instance.
type InstanceID string

// Zone names an availability zone.
type Zone string

// Term numbers the successive primaries of a group. A higher term supersedes a
// lower one.
type Term uint64

// Position is an index into a group's log, counted in committed
// transactions.
type Position uint64

// Point is a point in a group's log: the term and the position of the last
// entry.
type Point struct {
	Term     Term     `json:"term" msgpack:"t"`
	Position Position `json:"position" msgpack:"p"`
}

// Compare orders points by term, then by position. The result is -1, 0 or 1.
func (p Point) Compare(q Point) int {
	if c := cmp.Compare(p.Term, q.Term); c != 0 {
		return c
	}
	return cmp.Compare(p.Position, q.Position)
}

// IsZero reports whether the point is before the first entry of a log.
func (p Point) IsZero() bool { return p == Point{} }

// String formats the point as "term/position".
func (p Point) String() string {
	return strconv.FormatUint(uint64(p.Term), 10) + "/" + strconv.FormatUint(uint64(p.Position), 10)
}

// ParsePoint parses the format of Point.String.
func ParsePoint(s string) (Point, error) {
	term, position, found := strings.Cut(s, "/")
	if !found {
		return Point{}, fmt.Errorf("point %q: want term/position", s)
	}
	t, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return Point{}, fmt.Errorf("point %q: term: %w", s, err)
	}
	p, err := strconv.ParseUint(position, 10, 64)
	if err != nil {
		return Point{}, fmt.Errorf("point %q: position: %w", s, err)
	}
	return Point{Term: Term(t), Position: Position(p)}, nil
}

// Role is the role of an upstream in its group.
type Role string

// Roles of an upstream.
const (
	RoleReplica Role = "replica"
	RolePrimary Role = "primary"
)

// Limits of an announcement, far above what a database offers. Multiples and sums of
// them can't overflow.
const (
	MaxSlots       = 1<<15 - 1
	MaxConnections = 1 << 20
)

// Announcement is the status that an upstream publishes about itself.
// Incarnation increases with each restart of the upstream, Seq with each
// announcement of an incarnation; together they order the announcements of one
// upstream.
type Announcement struct {
	Group       GroupID    `json:"group" msgpack:"g"`
	ID          UpstreamID `json:"id" msgpack:"id"`
	Addr        string     `json:"addr" msgpack:"a"`
	Zone        Zone       `json:"zone" msgpack:"z"`
	Role        Role       `json:"role" msgpack:"r"`
	Point       Point      `json:"point" msgpack:"pt"`
	FencedTerm  Term       `json:"fenced_term" msgpack:"ft"`
	Slots       int        `json:"slots" msgpack:"s"`
	Connections int        `json:"connections" msgpack:"c"`
	Leaving     bool       `json:"leaving" msgpack:"l"`
	// Gone marks an upstream that has shut down permanently.
	Gone        bool   `json:"gone,omitempty" msgpack:"gn,omitempty"`
	Incarnation uint64 `json:"incarnation" msgpack:"i"`
	Seq         uint64 `json:"seq" msgpack:"q"`
	// ColdLeft is the time for which the upstream expects to remain slow after its
	// start, as of this announcement; zero if it doesn't say so.
	ColdLeft time.Duration `json:"cold_left,omitempty" msgpack:"cl,omitempty"`
}

// Newer reports whether a supersedes b, both being announcements of the same
// upstream.
func (a Announcement) Newer(b Announcement) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Seq != b.Seq {
		return a.Seq > b.Seq
	}
	return a.Gone && !b.Gone
}

// TermStart records the position at which a term began: every entry of the term
// is after Start, and every entry of an older term after Start is lost.
type TermStart struct {
	Term  Term     `json:"term" msgpack:"t"`
	Start Position `json:"start" msgpack:"s"`
}

// MaxTermStarts bounds the history of term starts of a group.
const MaxTermStarts = 32

// Group is the replicated control state of one database group.
type Group struct {
	ID      GroupID    `json:"id" msgpack:"id"`
	Term    Term       `json:"term" msgpack:"t"`
	Primary UpstreamID `json:"primary" msgpack:"p"`
	// Starts is ordered by term and holds at most the latest MaxTermStarts
	// items.
	Starts []TermStart `json:"starts" msgpack:"s"`
}

// Survives reports whether an entry written at point p is part of the
// group's current log. known is false when the history no longer reaches
// back to p's term.
func (g Group) Survives(p Point) (survives, known bool) {
	if p.Term > g.latestTerm() {
		return false, false
	}
	limit, bounded := g.lowestStartAfter(p.Term)
	if !bounded {
		return p.Term == g.latestTerm(), p.Term == g.latestTerm()
	}
	return p.Position <= limit, true
}

// Clamp returns the last point at or before p that is part of the group's
// current log, as far as the history shows. Entries after it are lost.
func (g Group) Clamp(p Point) Point {
	limit, bounded := g.lowestStartAfter(p.Term)
	if bounded && p.Position > limit {
		p.Position = limit
	}
	return p
}

// latestTerm returns the latest term of the group's log. It differs from Term if
// the databases number their terms themselves.
func (g Group) latestTerm() Term {
	if len(g.Starts) == 0 {
		return g.Term
	}
	return g.Starts[len(g.Starts)-1].Term
}

// lowestStartAfter returns the lowest start of the terms after t. A later term
// may begin at a lower position than an earlier one if it rolled back more
// entries.
func (g Group) lowestStartAfter(t Term) (lowest Position, found bool) {
	for _, s := range g.Starts {
		if s.Term > t && (!found || s.Start < lowest) {
			lowest, found = s.Start, true
		}
	}
	return lowest, found
}

// Covers reports whether an upstream whose log ends at have contains the
// entry written at want. The result is valid only for an entry that survives in
// the log that the upstream follows.
func Covers(have, want Point) bool {
	if have.Term < want.Term {
		return false
	}
	return have.Position >= want.Position
}
