// Package topo holds the identities and log positions that every other
// package shares: groups, upstreams, entry instances, availability zones,
// terms and points in a group's log.
//
// The package is pure: no I/O, no clock.
package topo

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
)

// GroupID names a database group. It is also the database name that a caller
// connects to.
type GroupID string

// UpstreamID names one database of a group, for example "ledger-1/b".
type UpstreamID string

// InstanceID names an entry instance.
type InstanceID string

// Zone names an availability zone.
type Zone string

// Term numbers the reigns of a group's primaries. A higher term replaces a
// lower one.
type Term uint64

// Position is an index into a group's log, counted in committed
// transactions.
type Position uint64

// Point is a place in a group's log: the term of the last entry and its
// position.
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

// IsZero reports whether the point lies before the first entry of a log.
func (p Point) IsZero() bool { return p == Point{} }

// String formats the point as "term/position".
func (p Point) String() string {
	return strconv.FormatUint(uint64(p.Term), 10) + "/" + strconv.FormatUint(uint64(p.Position), 10)
}

// ParsePoint reads the format that Point.String writes.
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

// Role is the part an upstream plays in its group.
type Role string

// Roles of an upstream.
const (
	RoleReplica Role = "replica"
	RolePrimary Role = "primary"
)

// Announcement is what an upstream says about itself. Incarnation grows with
// each restart of the upstream, Seq with each announcement of an incarnation;
// together they order the announcements of one upstream.
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
	// Gone says that the upstream has ended its run for good.
	Gone        bool   `json:"gone,omitempty" msgpack:"gn,omitempty"`
	Incarnation uint64 `json:"incarnation" msgpack:"i"`
	Seq         uint64 `json:"seq" msgpack:"q"`
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

// TermStart records at which position a term began: every entry of the term
// lies past Start, and every entry of an older term past Start is lost.
type TermStart struct {
	Term  Term     `json:"term" msgpack:"t"`
	Start Position `json:"start" msgpack:"s"`
}

// MaxTermStarts bounds the history of term starts that is kept for a group.
const MaxTermStarts = 32

// Group is the replicated control state of one database group.
type Group struct {
	ID      GroupID    `json:"id" msgpack:"id"`
	Term    Term       `json:"term" msgpack:"t"`
	Primary UpstreamID `json:"primary" msgpack:"p"`
	// Starts is ordered by term and holds at most MaxTermStarts items, the
	// latest ones.
	Starts []TermStart `json:"starts" msgpack:"s"`
}

// Survives reports whether an entry written at point p is part of the
// group's present log. known is false when the history no longer reaches
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
// present log, as far as the history tells. What was written past it is lost.
func (g Group) Clamp(p Point) Point {
	limit, bounded := g.lowestStartAfter(p.Term)
	if bounded && p.Position > limit {
		p.Position = limit
	}
	return p
}

// latestTerm is the term of the group's log. It differs from Term where
// databases number their terms themselves.
func (g Group) latestTerm() Term {
	if len(g.Starts) == 0 {
		return g.Term
	}
	return g.Starts[len(g.Starts)-1].Term
}

// lowestStartAfter returns the lowest start of the terms after t. A later term
// may begin before an earlier one: then it rolled more back.
func (g Group) lowestStartAfter(t Term) (lowest Position, found bool) {
	for _, s := range g.Starts {
		if s.Term > t && (!found || s.Start < lowest) {
			lowest, found = s.Start, true
		}
	}
	return lowest, found
}

// Covers reports whether an upstream whose log ends at have contains the
// entry written at want. It holds only for an entry that survives in the log
// that the upstream follows.
func Covers(have, want Point) bool {
	if have.Term < want.Term {
		return false
	}
	return have.Position >= want.Position
}
