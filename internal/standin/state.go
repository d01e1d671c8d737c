package standin

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// entry is one committed transaction in the log.
type entry struct {
	Point       topo.Point
	CommittedAt time.Time
	Statements  []statement
}

// state holds the role, the terms, the log and the replication source of a
// database. Database.mu guards it.
type state struct {
	role   topo.Role
	term   topo.Term // the primary's term, or the term of a replica's last entry
	fenced topo.Term
	base   topo.Point
	log    []entry
	// primaryAddr is the address from which a replica fetches the log.
	// sourceVersion is incremented whenever it changes.
	primaryAddr   string
	sourceVersion uint64
	changed       chan struct{}
}

func (s *state) point() topo.Point {
	if len(s.log) == 0 {
		return s.base
	}
	return s.log[len(s.log)-1].Point
}

// notify wakes all goroutines that wait for a change of the state.
func (s *state) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// contains reports whether the log has an entry at point p.
func (s *state) contains(p topo.Point) bool {
	if p.Position == 0 {
		return true
	}
	if p.Position > topo.Position(len(s.log)) {
		return false
	}
	return s.log[p.Position-1].Point == p
}

// checkWrite returns an error if a connection that was opened under term may not
// write now. The term is 0 if the connection named none.
func (s *state) checkWrite(term topo.Term) error {
	if term == 0 && s.role != topo.RolePrimary {
		return &pgError{codeReadOnly, "cannot write on a replica"}
	}
	if term == 0 {
		return &pgError{codeTermRefused, "the connection names no term"}
	}
	return s.checkTerm(term)
}

func (s *state) checkTerm(term topo.Term) error {
	switch {
	case s.role != topo.RolePrimary:
		return &pgError{codeTermRefused, "not a primary"}
	case s.term != term:
		return &pgError{codeTermRefused, fmt.Sprintf("the term is %d, not %d", s.term, term)}
	case s.fenced > term:
		return &pgError{codeTermRefused, fmt.Sprintf("term %d is fenced by term %d", term, s.fenced)}
	}
	return nil
}

func (s *state) append(statements []statement) topo.Point {
	p := topo.Point{Term: s.term, Position: s.point().Position + 1}
	s.log = append(s.log, entry{Point: p, CommittedAt: time.Now(), Statements: statements})
	s.notify()
	return p
}

// fence makes the database reject all terms below term.
func (s *state) fence(term topo.Term) error {
	if s.fenced > term {
		return &pgError{codeTermRefused, fmt.Sprintf("already fenced to term %d", s.fenced)}
	}
	s.fenced = term
	s.notify()
	return nil
}

// promote makes the database the primary of term.
func (s *state) promote(term topo.Term) error {
	if s.role == topo.RolePrimary && s.term == term {
		return nil
	}
	if s.fenced != term {
		return &pgError{codeTermRefused, fmt.Sprintf("fenced to term %d, not %d", s.fenced, term)}
	}
	s.role = topo.RolePrimary
	s.term = term
	s.primaryAddr = ""
	s.sourceVersion++
	s.append(nil)
	return nil
}

// follow makes the database a replica of the primary of term at addr.
func (s *state) follow(term topo.Term, addr string) error {
	if s.fenced > term || s.term > term {
		return &pgError{codeTermRefused, fmt.Sprintf("term %d has been replaced", term)}
	}
	if s.role == topo.RolePrimary && s.term == term {
		return &pgError{codeTermRefused, fmt.Sprintf("this database is the primary of term %d", term)}
	}
	s.fenced = term
	s.role = topo.RoleReplica
	if s.primaryAddr != addr {
		s.primaryAddr = addr
		s.sourceVersion++
	}
	s.notify()
	return nil
}

// Status is the state that a database reports.
type Status struct {
	ID         topo.UpstreamID
	Group      topo.GroupID
	Role       topo.Role
	Point      topo.Point
	FencedTerm topo.Term
}

// Status returns the current state of the database.
func (d *Database) Status() Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.statusLocked()
}

func (d *Database) statusLocked() Status {
	return Status{
		ID:         d.options.ID,
		Group:      d.options.Group,
		Role:       d.state.role,
		Point:      d.state.point(),
		FencedTerm: d.state.fenced,
	}
}

// waitPoint waits until the log covers want or limit has passed.
func (d *Database) waitPoint(ctx context.Context, want topo.Point, limit time.Duration) error {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		d.mu.Lock()
		covered := topo.Covers(d.state.point(), want)
		changed := d.state.changed
		d.mu.Unlock()
		if covered {
			return nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// History describes the log entries whose statements contain text. Tests print
// it when they fail.
func (d *Database) History(text string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var lines []string
	for _, e := range d.state.log {
		for _, s := range e.Statements {
			if strings.Contains(s.SQL, text) {
				lines = append(lines, e.Point.String()+" "+e.CommittedAt.Format("15:04:05.000000")+" "+s.SQL)
			}
		}
	}
	return lines
}
