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

// controller is the controller of one voter. It acts as the leader from its
// election until one of its commits fails.
type controller struct {
	id      int
	node    *node
	machine *ctlstate.Machine
	applied int

	election  int
	elected   time.Time
	granter   *lease.Granter
	confirmed map[ctlstate.MemberKey]uint64
	removing  map[ctlstate.MemberKey]bool
	inherited bool
	attempt   *failover.Attempt
	// generation increases when the commands of the attempt are abandoned.
	generation int
	// pending are the commands that are executed again on each tick.
	pending []func()
}

// catchUp applies the log and returns the reason if its last entry was refused.
func (c *controller) catchUp(s *simulation) string {
	var result ctlstate.Result
	for ; c.applied < len(s.log); c.applied++ {
		data, err := s.log[c.applied].Encode()
		if err != nil {
			panic(err)
		}
		result, _ = ctlstate.DecodeResult(c.machine.Apply(uint64(c.applied+1), data))
	}
	return result.Refused
}

func (c *controller) becomeLeader(s *simulation) {
	c.catchUp(s)
	c.election = s.elections
	c.elected = c.node.clock(s)
	c.granter = lease.NewGranter(leaseTerms, c.elected)
	c.confirmed = map[ctlstate.MemberKey]uint64{}
	c.removing = map[ctlstate.MemberKey]bool{}
	c.abandonAttempt()
	g, _ := c.machine.Group(group)
	c.inherited = g.Attempt != nil
}

func (c *controller) abandonAttempt() {
	c.attempt = nil
	c.pending = nil
	c.generation++
}

func (c *controller) leading() bool { return c.granter != nil }

// propose commits a command. A controller whose commit fails steps down.
func (c *controller) propose(s *simulation, cmd ctlstate.Command) (string, bool) {
	refused, ok := s.commit(c, cmd)
	if !ok {
		c.granter = nil
		c.abandonAttempt()
	}
	return refused, ok
}

func (c *controller) tick(s *simulation) {
	if !c.leading() || c.node.paused {
		return
	}
	c.tickMembers(s)
	for _, command := range slices.Clone(c.pending) {
		command()
	}
	g, _ := c.machine.Group(group)
	if c.leading() && c.attempt == nil && g.Attempt != nil {
		c.start(s, failover.Resume{Inherited: c.inherited || s.disabled.alwaysInherited})
	}
}

func (c *controller) tickMembers(s *simulation) {
	members, e := c.machine.Members(), c.machine.Epochs()
	candidates, gone := membership.ClassifyMembers(members, e, c.granter, c.confirmed, c.node.clock(s), removeAfter)
	for _, k := range gone {
		c.removing[k] = true
		if _, ok := c.propose(s, ctlstate.Command{Remove: &ctlstate.Remove{Key: k}}); !ok {
			return
		}
		c.granter.Forget(k)
		delete(c.removing, k)
	}
	if s.disabled.noEpochWait {
		for i := range candidates {
			candidates[i].Confirmed = 1 << 60
		}
	}
	step := membership.NextEpochStep(e, candidates, time.Hour)
	switch {
	case step.Prepare != nil:
		c.propose(s, ctlstate.Command{Prepare: &ctlstate.PrepareEpoch{Epoch: *step.Prepare}})
	case step.Activate != 0:
		c.propose(s, ctlstate.Command{Activate: &ctlstate.ActivateEpoch{Number: step.Activate}})
	}
}

func (c *controller) suspect(s *simulation) {
	g, _ := c.machine.Group(group)
	if !c.leading() || c.node.paused || c.attempt != nil || g.Attempt != nil {
		return
	}
	if s.pick.intn(4, "planned") == 0 {
		c.start(s, failover.SwitchTo{Target: s.dbs[s.pick.intn(databases, "target")].id})
		return
	}
	c.start(s, failover.Suspect{})
}

func (c *controller) start(s *simulation, e failover.Event) {
	c.attempt = failover.NewAttempt(s.chart, group, c.elected, false)
	c.handle(s, e)
}

func (c *controller) handle(s *simulation, e failover.Event) {
	if c.attempt == nil {
		return
	}
	g, _ := c.machine.Group(group)
	_, commands := c.attempt.Handle(e, g, c.node.clock(s))
	for _, cmd := range commands {
		c.execute(s, cmd)
	}
	if c.attempt != nil && c.attempt.Done() {
		c.inherited = false
		c.abandonAttempt()
	}
}

// execute starts a command. Its result is sent to the controller as a message.
func (c *controller) execute(s *simulation, cmd failover.Command) {
	run, term := c.generation, c.attempt.Term()
	answer := func(e failover.Event) {
		s.sendLocal(c.node, func() {
			if c.generation == run {
				c.handle(s, e)
			}
		})
	}
	switch cmd := cmd.(type) {
	case failover.Propose:
		s.sendLocal(c.node, func() {
			if c.generation != run {
				return
			}
			if refused, ok := c.propose(s, cmd.Command); ok {
				answer(failover.Committed{Attempt: term, Step: cmd.Step, Refused: refused != ""})
			}
		})
	case failover.RequestRelease:
		c.requestReleases(s, cmd.Term)
	case failover.Fence:
		c.fence(s, cmd, term, answer)
	case failover.AwaitDrain:
		c.awaitDrain(s, cmd, func() { answer(failover.LeasesDrained{Attempt: term}) })
	case failover.Promote:
		c.promote(s, cmd, term, answer)
	case failover.Stop:
		c.generation++
		c.pending = nil
	}
}

// repeat runs a command now and on each tick until it is abandoned.
func (c *controller) repeat(command func()) {
	c.pending = append(c.pending, command)
	command()
}

func (c *controller) fence(s *simulation, cmd failover.Fence, term topo.Term, answer func(failover.Event)) {
	c.repeat(func() {
		for _, db := range s.dbs {
			s.sendControl(db.node, db.node, func() { db.fence(s, cmd.Term, term, answer) })
		}
	})
	if cmd.Target != "" {
		answer(failover.FenceTimedOut{Attempt: term})
	}
	if s.disabled.smallQuorum {
		answer(failover.FenceConfirmed{Attempt: term, Database: "x"})
	}
}

// promote retries the promotion for a few ticks, then reports a failure.
func (c *controller) promote(s *simulation, cmd failover.Promote, term topo.Term, answer func(failover.Event)) {
	db, tries := s.database(cmd.Database.ID), 0
	c.repeat(func() {
		tries++
		if tries > 4 {
			answer(failover.PromoteReply{Attempt: term})
			return
		}
		s.sendControl(db.node, db.node, func() { db.promote(s, cmd.Term, term, answer) })
	})
}

func (c *controller) requestReleases(s *simulation, t topo.Term) {
	for _, m := range c.machine.Members() {
		e := s.entry(m.ID)
		c.repeat(func() { c.requestRelease(s, e, m.Key(), t) })
	}
}

func (c *controller) requestRelease(s *simulation, e *entry, expected ctlstate.MemberKey, t topo.Term) {
	s.sendControl(e.node, e.node, func() {
		if !s.disabled.noRelease {
			e.holder.Release(group, t)
		}
		key := e.key()
		s.sendControl(c.node, e.node, func() {
			if c.leading() && key == expected {
				c.granter.RecordRelease(key, group, t)
			}
		})
	})
}

func (c *controller) awaitDrain(s *simulation, cmd failover.AwaitDrain, done func()) {
	c.pending = append(c.pending, func() {
		var keys []ctlstate.MemberKey
		for _, m := range c.machine.Members() {
			keys = append(keys, m.Key())
		}
		drained, _ := c.granter.Drained(keys, group, cmd.Term, cmd.Begun, c.node.clock(s))
		if drained || s.disabled.noDrain {
			done()
		}
	})
}

// handleRenewal handles an instance's lease renewal: the quorum round, then the
// grant.
func (c *controller) handleRenewal(s *simulation, e *entry, key ctlstate.MemberKey, held ctlstate.Held, confirmed uint64, sentAt time.Time) {
	if !c.leading() {
		return
	}
	arrival, election := c.node.clock(s), c.election
	s.send(nil, func() {
		if s.elections != election && !s.disabled.noConfirm {
			return
		}
		s.send(c.node, func() {
			if c.leading() && c.election == election {
				c.grant(s, e, key, held, confirmed, arrival, sentAt)
			}
		})
	})
}

func (c *controller) grant(s *simulation, e *entry, key ctlstate.MemberKey, held ctlstate.Held, confirmed uint64, arrival, sentAt time.Time) {
	m, known := c.machine.Member(key)
	if c.removing[key] || m.Superseded {
		return
	}
	if !known {
		s.sendControl(e.node, e.node, func() { e.handleUnregistered(key) })
		return
	}
	c.granter.Grant(key, arrival)
	c.confirmed[key] = max(c.confirmed[key], confirmed)
	delta := c.machine.Since(held)
	s.sendControl(e.node, e.node, func() { e.handleGrant(s, key, delta, sentAt) })
}
