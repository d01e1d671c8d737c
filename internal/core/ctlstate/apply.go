package ctlstate

import (
	"slices"

	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// Reasons for refusing a command.
const (
	RefusedOldIncarnation = "a higher incarnation is registered"
	RefusedUnknownMember  = "unknown member"
	RefusedUnknownGroup   = "unknown group"
	RefusedNoChange       = "nothing to change"
	RefusedUsedTerm       = "the term is already used"
	RefusedNoAttempt      = "no such failover attempt"
	RefusedAlreadyChosen  = "another database is already chosen"
	RefusedUnknownDB      = "unknown database"
	RefusedEpoch          = "epoch is not the next one"
	RefusedIsPrimary      = "the database is the primary"
	RefusedFailoverActive = "a failover is in progress"
	RefusedNotRetiring    = "the database is not retiring"
	RefusedEmpty          = "empty command"
)

// apply applies a command to the state. It returns the reason if the command
// is refused, otherwise an empty string.
func (s *state) apply(index uint64, c Command) string {
	switch {
	case c.Register != nil:
		return s.register(index, c.Register.Member)
	case c.Remove != nil:
		return s.remove(index, c.Remove.Key)
	case c.AddDatabase != nil:
		return s.addDatabase(index, *c.AddDatabase)
	case c.Retire != nil:
		return s.retire(index, *c.Retire)
	case c.RemoveDB != nil:
		return s.removeDatabase(index, *c.RemoveDB)
	case c.Begin != nil:
		return s.begin(index, *c.Begin)
	case c.Choose != nil:
		return s.choose(index, *c.Choose)
	case c.Complete != nil:
		return s.complete(index, *c.Complete)
	case c.Prepare != nil:
		return s.prepare(index, c.Prepare.Epoch)
	case c.Activate != nil:
		return s.activate(index, c.Activate.Number)
	}
	return RefusedEmpty
}

func (s *state) register(index uint64, m Member) string {
	if r, ok := s.Members[m.Key()]; ok && !r.Superseded {
		return ""
	}
	if _, superseded := s.Members[m.Key()]; superseded || s.Highest[m.ID] > m.Incarnation {
		return RefusedOldIncarnation
	}
	for _, r := range s.Members {
		if r.ID == m.ID && !r.Superseded {
			r.Superseded = true
			r.Changed = index
		}
	}
	s.Highest[m.ID] = m.Incarnation
	s.Members[m.Key()] = &MemberRecord{Member: m, Changed: index}
	return ""
}

func (s *state) remove(index uint64, k MemberKey) string {
	r, ok := s.Members[k]
	if !ok {
		return RefusedUnknownMember
	}
	delete(s.Members, k)
	s.Removed = append(s.Removed, MemberRecord{Member: r.Member, Removed: true, Changed: index})
	if extra := len(s.Removed) - MaxRemovedRecords; extra > 0 {
		s.Removed = slices.Delete(s.Removed, 0, extra)
	}
	return ""
}

func (s *state) addDatabase(index uint64, c AddDatabase) string {
	g, ok := s.Groups[c.Group]
	if !ok {
		return s.createGroup(index, c)
	}
	i := slices.IndexFunc(g.Databases, func(d Database) bool { return d.ID == c.Database.ID })
	if i < 0 {
		g.Databases = append(g.Databases, c.Database)
		g.Changed = index
		return ""
	}
	c.Database.Retiring = g.Databases[i].Retiring
	if g.Databases[i] == c.Database {
		return RefusedNoChange
	}
	g.Databases[i] = c.Database
	g.Changed = index
	return ""
}

// removable returns the group and the index of a database that may be removed,
// or the reason why it may not.
func (s *state) removable(id topo.GroupID, db topo.UpstreamID) (g *GroupRecord, i int, refused string) {
	g, ok := s.Groups[id]
	if !ok {
		return nil, 0, RefusedUnknownGroup
	}
	i = slices.IndexFunc(g.Databases, func(d Database) bool { return d.ID == db })
	switch {
	case i < 0:
		return nil, 0, RefusedUnknownDB
	case g.Attempt != nil:
		return nil, 0, RefusedFailoverActive
	case g.Primary == db:
		return nil, 0, RefusedIsPrimary
	}
	return g, i, ""
}

func (s *state) retire(index uint64, c RetireDatabase) string {
	g, i, refused := s.removable(c.Group, c.ID)
	if refused != "" {
		return refused
	}
	g.Databases[i].Retiring = true
	g.Changed = index
	return ""
}

func (s *state) removeDatabase(index uint64, c RemoveDatabase) string {
	g, i, refused := s.removable(c.Group, c.ID)
	if refused != "" {
		return refused
	}
	if !g.Databases[i].Retiring {
		return RefusedNotRetiring
	}
	g.Databases = slices.Delete(g.Databases, i, i+1)
	g.Changed = index
	return ""
}

func (s *state) createGroup(index uint64, c AddDatabase) string {
	if !c.CreateGroup {
		return RefusedUnknownGroup
	}
	s.Groups[c.Group] = &GroupRecord{
		Group: topo.Group{
			ID:      c.Group,
			Term:    c.Term,
			Primary: c.Database.ID,
			Starts:  []topo.TermStart{{Term: c.Term, Start: 0}},
		},
		Databases: []Database{c.Database},
		Changed:   index,
	}
	return ""
}

// NextTerm returns the lowest term above all terms that the group has used.
func (g *GroupRecord) NextTerm() topo.Term {
	if g.Attempt != nil {
		return g.Attempt.Term + 1
	}
	return g.Term + 1
}

func (s *state) begin(index uint64, c BeginFailover) string {
	g, ok := s.Groups[c.Group]
	if !ok {
		return RefusedUnknownGroup
	}
	if c.Term < g.NextTerm() {
		return RefusedUsedTerm
	}
	g.Attempt = &Attempt{Term: c.Term, Target: c.Target}
	g.Changed = index
	return ""
}

// attempt returns the group if its current attempt is for the term, otherwise
// the reason for refusing the command.
func (s *state) attempt(id topo.GroupID, t topo.Term) (*GroupRecord, string) {
	g, ok := s.Groups[id]
	if !ok {
		return nil, RefusedUnknownGroup
	}
	if g.Attempt == nil || g.Attempt.Term != t {
		return nil, RefusedNoAttempt
	}
	return g, ""
}

func (s *state) choose(index uint64, c ChoosePrimary) string {
	g, refused := s.attempt(c.Group, c.Term)
	if refused != "" {
		return refused
	}
	if _, ok := g.Database(c.Primary); !ok {
		return RefusedUnknownDB
	}
	if g.Attempt.Chosen != "" {
		return RefusedAlreadyChosen
	}
	g.Attempt.Chosen = c.Primary
	g.Attempt.Start = c.Start
	g.Changed = index
	return ""
}

func (s *state) complete(index uint64, c CompleteFailover) string {
	g, refused := s.attempt(c.Group, c.Term)
	if refused != "" {
		return refused
	}
	if g.Attempt.Chosen == "" {
		return RefusedNoAttempt
	}
	g.Term = c.Term
	g.Primary = g.Attempt.Chosen
	for i := range g.Databases {
		g.Databases[i].Retiring = g.Databases[i].Retiring && g.Databases[i].ID != g.Primary
	}
	start := topo.TermStart{Term: c.Term, Start: g.Attempt.Start}
	if c.Began.Term != 0 {
		start = c.Began
	}
	g.Starts = append(g.Starts, start)
	if extra := len(g.Starts) - topo.MaxTermStarts; extra > 0 {
		g.Starts = slices.Delete(g.Starts, 0, extra)
	}
	g.Attempt = nil
	g.Changed = index
	return ""
}

func (s *state) prepare(index uint64, e Epoch) string {
	if e.Number != s.nextEpoch() {
		return RefusedEpoch
	}
	s.Epochs.Next = &e
	s.Epochs.Changed = index
	return ""
}

func (s *state) nextEpoch() uint64 {
	if s.Epochs.Next != nil {
		return s.Epochs.Next.Number + 1
	}
	return s.Epochs.Active.Number + 1
}

func (s *state) activate(index uint64, number uint64) string {
	if s.Epochs.Next == nil || s.Epochs.Next.Number != number {
		return RefusedEpoch
	}
	s.Epochs.Active = *s.Epochs.Next
	s.Epochs.Next = nil
	s.Epochs.Changed = index
	return ""
}
