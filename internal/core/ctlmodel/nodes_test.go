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

// controller is one voter's controller. It acts as the leader from its
// election until it learns that a commit failed.
type controller struct {
	id      int
	node    *node
	machine *ctlstate.Machine
	applied int

	number    int
	elected   time.Time
	granter   *lease.Granter
	confirmed map[ctlstate.MemberKey]uint64
	removing  map[ctlstate.MemberKey]bool
	inherited bool
	attempt   *failover.Attempt
	// run changes when the commands of the attempt are given up.
	run int
	// pending are the commands that are looked at again on each tick.
	pending []func()
}

// catchUp applies the log and returns why its last entry was refused.
func (c *controller) catchUp(w *world) string {
	var result ctlstate.Result
	for ; c.applied < len(w.log); c.applied++ {
		data, err := w.log[c.applied].Encode()
		if err != nil {
			panic(err)
		}
		result, _ = ctlstate.DecodeResult(c.machine.Apply(uint64(c.applied+1), data))
	}
	return result.Refused
}

func (c *controller) reign(w *world) {
	c.catchUp(w)
	c.number = w.reigns
	c.elected = c.node.clock(w)
	c.granter = lease.NewGranter(terms, c.elected)
	c.confirmed = map[ctlstate.MemberKey]uint64{}
	c.removing = map[ctlstate.MemberKey]bool{}
	c.abandon()
	g, _ := c.machine.Group(group)
	c.inherited = g.Attempt != nil
}

func (c *controller) abandon() {
	c.attempt = nil
	c.pending = nil
	c.run++
}

func (c *controller) leading() bool { return c.granter != nil }

// propose commits; a controller whose commit fails steps down.
func (c *controller) propose(w *world, cmd ctlstate.Command) (string, bool) {
	refused, ok := w.commit(c, cmd)
	if !ok {
		c.granter = nil
		c.abandon()
	}
	return refused, ok
}

func (c *controller) tick(w *world) {
	if !c.leading() || c.node.paused {
		return
	}
	c.tickMembers(w)
	for _, look := range slices.Clone(c.pending) {
		look()
	}
	g, _ := c.machine.Group(group)
	if c.leading() && c.attempt == nil && g.Attempt != nil {
		c.start(w, failover.Resume{Inherited: c.inherited || w.off.alwaysInherited})
	}
}

func (c *controller) tickMembers(w *world) {
	members, e := c.machine.Members(), c.machine.Epochs()
	candidates, gone := membership.Judge(members, e, c.granter, c.confirmed, c.node.clock(w), removeAfter)
	for _, k := range gone {
		c.removing[k] = true
		if _, ok := c.propose(w, ctlstate.Command{Remove: &ctlstate.Remove{Key: k}}); !ok {
			return
		}
		c.granter.Forget(k)
		delete(c.removing, k)
	}
	if w.off.noEpochWait {
		for i := range candidates {
			candidates[i].Confirmed = 1 << 60
		}
	}
	step := membership.NextEpochStep(e, candidates)
	switch {
	case step.Prepare != nil:
		c.propose(w, ctlstate.Command{Prepare: &ctlstate.PrepareEpoch{Epoch: *step.Prepare}})
	case step.Activate != 0:
		c.propose(w, ctlstate.Command{Activate: &ctlstate.ActivateEpoch{Number: step.Activate}})
	}
}

func (c *controller) suspect(w *world) {
	g, _ := c.machine.Group(group)
	if !c.leading() || c.node.paused || c.attempt != nil || g.Attempt != nil {
		return
	}
	if w.pick.intn(4, "planned") == 0 {
		c.start(w, failover.SwitchTo{Target: w.dbs[w.pick.intn(databases, "target")].id})
		return
	}
	c.start(w, failover.Suspect{})
}

func (c *controller) start(w *world, e failover.Event) {
	c.attempt = failover.NewAttempt(w.chart, group, c.elected, false)
	c.handle(w, e)
}

func (c *controller) handle(w *world, e failover.Event) {
	if c.attempt == nil {
		return
	}
	g, _ := c.machine.Group(group)
	_, commands := c.attempt.Handle(e, g, c.node.clock(w))
	for _, cmd := range commands {
		c.do(w, cmd)
	}
	if c.attempt != nil && c.attempt.Done() {
		c.inherited = false
		c.abandon()
	}
}

// do starts a command. Its result arrives as a message to the controller.
func (c *controller) do(w *world, cmd failover.Command) {
	run, term := c.run, c.attempt.Term()
	answer := func(e failover.Event) {
		w.sendLocal(c.node, func() {
			if c.run == run {
				c.handle(w, e)
			}
		})
	}
	switch cmd := cmd.(type) {
	case failover.Propose:
		w.sendLocal(c.node, func() {
			if c.run != run {
				return
			}
			if refused, ok := c.propose(w, cmd.Command); ok {
				answer(failover.Committed{Attempt: term, Step: cmd.Step, Refused: refused != ""})
			}
		})
	case failover.AskGiveBack:
		c.askGiveBack(w, cmd.Term)
	case failover.Fence:
		c.fence(w, cmd, term, answer)
	case failover.AwaitDrain:
		c.awaitDrain(w, cmd, func() { answer(failover.LeasesDrained{Attempt: term}) })
	case failover.Promote:
		c.promote(w, cmd, term, answer)
	case failover.Stop:
		c.run++
		c.pending = nil
	}
}

// again runs a command now and on each tick, until it is given up.
func (c *controller) again(command func()) {
	c.pending = append(c.pending, command)
	command()
}

func (c *controller) fence(w *world, cmd failover.Fence, term topo.Term, answer func(failover.Event)) {
	c.again(func() {
		for _, db := range w.dbs {
			w.control(db.node, db.node, func() { db.fence(w, cmd.Term, term, answer) })
		}
	})
	if cmd.Target != "" {
		answer(failover.PatienceOver{Attempt: term})
	}
	if w.off.smallQuorum {
		answer(failover.FenceConfirmed{Attempt: term, Database: "x"})
	}
}

// promote tries for a few ticks.
func (c *controller) promote(w *world, cmd failover.Promote, term topo.Term, answer func(failover.Event)) {
	db, tries := w.database(cmd.Database.ID), 0
	c.again(func() {
		tries++
		if tries > 4 {
			answer(failover.PromoteAnswer{Attempt: term})
			return
		}
		w.control(db.node, db.node, func() { db.promote(w, cmd.Term, term, answer) })
	})
}

func (c *controller) askGiveBack(w *world, t topo.Term) {
	for _, m := range c.machine.Members() {
		e := w.entry(m.ID)
		c.again(func() { c.askMember(w, e, m.Key(), t) })
	}
}

func (c *controller) askMember(w *world, e *entry, asked ctlstate.MemberKey, t topo.Term) {
	w.control(e.node, e.node, func() {
		if !w.off.noGiveBack {
			e.holder.GiveBack(group, t)
		}
		key := e.key()
		w.control(c.node, e.node, func() {
			if c.leading() && key == asked {
				c.granter.Given(key, group, t)
			}
		})
	})
}

func (c *controller) awaitDrain(w *world, cmd failover.AwaitDrain, done func()) {
	c.pending = append(c.pending, func() {
		var keys []ctlstate.MemberKey
		for _, m := range c.machine.Members() {
			keys = append(keys, m.Key())
		}
		drained, _ := c.granter.Drained(keys, group, cmd.Term, cmd.Begun, c.node.clock(w))
		if drained || w.off.noDrain {
			done()
		}
	})
}

// renewal handles an instance's renewal: the quorum round, then the grant.
func (c *controller) renewal(w *world, e *entry, key ctlstate.MemberKey, index, confirmed uint64, sentAt time.Time) {
	if !c.leading() {
		return
	}
	arrival, reign := c.node.clock(w), c.number
	w.send(nil, func() {
		if w.reigns != reign && !w.off.noConfirm {
			return
		}
		w.send(c.node, func() {
			if c.leading() && c.number == reign {
				c.grant(w, e, key, index, confirmed, arrival, sentAt)
			}
		})
	})
}

func (c *controller) grant(w *world, e *entry, key ctlstate.MemberKey, index, confirmed uint64, arrival, sentAt time.Time) {
	m, known := c.machine.Member(key)
	if c.removing[key] || m.Superseded {
		return
	}
	if !known {
		w.control(e.node, e.node, func() { e.unregistered(key) })
		return
	}
	c.granter.Grant(key, arrival)
	c.confirmed[key] = max(c.confirmed[key], confirmed)
	delta := c.machine.Since(index)
	w.control(e.node, e.node, func() { e.granted(w, key, delta, sentAt) })
}
