package ctlmodel

import (
	"slices"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/failover"
	"github.com/cicadacove/cicadacove/internal/core/lease"
	"github.com/cicadacove/cicadacove/internal/core/membership"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// entry is an entry instance.
type entry struct {
	id          topo.InstanceID
	node        *node
	incarnation uint64
	registered  bool
	leader      int
	holder      *lease.Holder
	replica     *ctlstate.Replica
}

func (e *entry) key() ctlstate.MemberKey {
	return ctlstate.MemberKey{ID: e.id, Incarnation: e.incarnation}
}

// start restarts the instance under its next incarnation.
func (e *entry) start(*simulation) {
	e.incarnation++
	e.registered = false
	e.node.paused = false
	e.holder = lease.NewHolder(leaseTerms)
	e.replica = ctlstate.NewReplica()
}

func (e *entry) handleUnregistered(key ctlstate.MemberKey) {
	if key == e.key() {
		e.registered = false
	}
}

// chooseLeader sometimes updates the instance's belief about the leader, correctly
// or not.
func (e *entry) chooseLeader(s *simulation) {
	switch s.pick.intn(16, "leader") {
	case 0:
		e.leader = s.pick.intn(controllers, "controller")
	case 1, 2:
		e.leader = s.leader
	}
}

// renew registers the instance or renews its lease at the controller that it
// believes to be the leader.
func (e *entry) renew(s *simulation) {
	if e.node.paused {
		return
	}
	e.chooseLeader(s)
	c := s.ctls[e.leader]
	key := e.key()
	if !e.registered {
		s.sendControl(c.node, e.node, func() {
			if !c.leading() {
				return
			}
			member := ctlstate.Member{ID: e.id, Incarnation: key.Incarnation}
			if refused, ok := c.propose(s, ctlstate.Command{Register: &ctlstate.Register{Member: member}}); ok && refused == "" {
				s.sendControl(e.node, e.node, func() { e.registered = e.registered || key == e.key() })
			}
		})
		return
	}
	held := ctlstate.Held{Index: e.replica.Index, Epochs: e.replica.Epochs.Changed}
	sentAt, confirmed := e.node.clock(s), membership.ConfirmedEpoch(e.replica.Epochs)
	s.sendControl(c.node, e.node, func() { c.handleRenewal(s, e, key, held, confirmed, sentAt) })
}

func (e *entry) handleGrant(s *simulation, key ctlstate.MemberKey, delta ctlstate.Delta, sentAt time.Time) {
	if key != e.key() {
		return
	}
	if s.disabled.leaseBeforeDelta {
		e.holder.Renew(sentAt)
		s.send(e.node, func() { e.replica.Apply(delta, true) })
		return
	}
	e.replica.Apply(delta, true)
	e.holder.Renew(sentAt)
}

func (e *entry) covers(s *simulation, t topo.Term) bool {
	g, ok := e.replica.Groups[group]
	return ok && g.Attempt == nil && g.Term == t && e.holder.Covers(group, t, e.node.clock(s))
}

// write sends a write to the primary and acknowledges it if the lease still
// covers the term when the answers have arrived.
func (e *entry) write(s *simulation, durable bool) {
	g, ok := e.replica.Groups[group]
	if e.node.paused || !ok || !e.covers(s, g.Term) {
		return
	}
	s.nextID++
	id, term, key := s.nextID, g.Term, e.key()
	ack := func() {
		if key == e.key() && e.covers(s, term) {
			s.acknowledge(term, id, durable)
		}
	}
	primary := s.database(g.Primary)
	s.send(primary.node, func() {
		p, ok := primary.write(term, id)
		if !ok {
			return
		}
		s.send(e.node, func() {
			if !durable {
				ack()
				return
			}
			second := s.dbs[s.pick.intn(databases, "second database")]
			s.send(second.node, func() {
				if second != primary && !second.down && topo.Covers(second.point(), p) {
					s.send(e.node, ack)
				}
			})
		})
	})
}

// database is one simulated database of the group.
type database struct {
	id     topo.UpstreamID
	node   *node
	down   bool
	role   topo.Role
	term   topo.Term
	fenced topo.Term
	log    []logEntry
}

type logEntry struct {
	term topo.Term
	id   int
}

func newDatabase(i int) *database {
	d := &database{id: topo.UpstreamID(rune('a' + i)), node: &node{rate: 1}, role: topo.RoleReplica, term: 1}
	if i == 0 {
		d.role = topo.RolePrimary
	}
	return d
}

func (d *database) point() topo.Point {
	if len(d.log) == 0 {
		return topo.Point{Term: 1}
	}
	return topo.Point{Term: d.log[len(d.log)-1].term, Position: topo.Position(len(d.log))}
}

func (d *database) write(t topo.Term, id int) (topo.Point, bool) {
	if d.down || d.role != topo.RolePrimary || d.term != t || d.fenced > t {
		return topo.Point{}, false
	}
	d.log = append(d.log, logEntry{t, id})
	return d.point(), true
}

func (d *database) fence(s *simulation, t, attempt topo.Term, answer func(failover.Event)) {
	switch {
	case d.down:
	case d.fenced > t:
		answer(failover.FenceHigherTerm{Attempt: attempt, Fenced: d.fenced})
	default:
		d.fenced = t
		answer(failover.FenceConfirmed{Attempt: attempt, Database: d.id, Point: d.point()})
	}
}

func (d *database) promote(s *simulation, t, attempt topo.Term, answer func(failover.Event)) {
	if d.role == topo.RolePrimary && d.term == t && !d.down {
		answer(failover.PromoteReply{Attempt: attempt, OK: true})
		return
	}
	if d.down || d.fenced != t {
		answer(failover.PromoteReply{Attempt: attempt})
		return
	}
	d.role, d.term = topo.RolePrimary, t
	d.log = append(d.log, logEntry{t, 0})
	if other, twice := s.promoted[t]; twice && other != d.id {
		s.addViolation("term %d has the primaries %s and %s", t, other, d.id)
	}
	s.promoted[t] = d.id
	answer(failover.PromoteReply{Attempt: attempt, OK: true})
}

// replicate makes a database follow the primary that the control log names, and
// copies the next entry to it.
func (s *simulation) replicate(i int) {
	c, d := s.ctls[s.leader], s.dbs[i]
	g, ok := c.machine.Group(group)
	if !ok || d.down || d.id == g.Primary {
		return
	}
	p := s.database(g.Primary)
	if p.down || p.role != topo.RolePrimary || p.term != g.Term || d.fenced > p.term {
		return
	}
	d.role, d.fenced = topo.RoleReplica, p.term
	same := 0
	for same < min(len(d.log), len(p.log)) && d.log[same] == p.log[same] {
		same++
	}
	d.log = slices.Clone(d.log[:same])
	if same < len(p.log) {
		d.log = append(d.log, p.log[same])
	}
}

func (s *simulation) database(id topo.UpstreamID) *database {
	i := slices.IndexFunc(s.dbs, func(d *database) bool { return d.id == id })
	return s.dbs[i]
}

func (s *simulation) entry(id topo.InstanceID) *entry {
	i := slices.IndexFunc(s.entries, func(e *entry) bool { return e.id == id })
	return s.entries[i]
}
