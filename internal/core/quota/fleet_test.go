package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

const (
	tick          = 2 * time.Millisecond
	leaseDuration = time.Second
	// removal is how long after the last renewal a member leaves the view.
	removal = leaseDuration + 50*time.Millisecond
	// viewDelay is the longest time for which two members' views differ.
	viewDelay = 300 * time.Millisecond
)

// fleet simulates one organisation at a number of instances, with a network that
// delays and loses messages and a control plane that grants leases and views.
type fleet struct {
	rng       *rand.Rand
	now       time.Time
	limit     Limit
	tolerance Tolerance
	disabled  Mechanisms
	nodes     []*simNode
	views     []simView
	messages  []message
	loss      float64
	slow      bool

	// admitted holds the times of the operations admitted within the last window.
	admitted []time.Time
	totals   totals
}

type totals struct{ admitted, refused, asks int }

type simView struct {
	at      time.Time
	members []ctlstate.Member
}

type simNode struct {
	id         topo.InstanceID
	index      int
	holder     *Holder
	owners     *Owners
	up         bool
	suspended  bool
	cut        bool
	leaseUntil time.Time
	renewedAt  time.Time
	reachable  bool
	member     bool
	latest     simView
	switchAt   time.Time
	view       []ctlstate.Member
	viewAt     time.Time
	owner      topo.InstanceID
	limit      Limit
	waiting    []int
	ask        *pendingAsk
	run        int
}

type pendingAsk struct {
	sentAt time.Time
	owner  topo.InstanceID
	ask    Ask
}

// message is a request (answer nil) or an answer in flight.
type message struct {
	at       time.Time
	from, to int
	run      int
	pending  *pendingAsk
	answer   *Answer
}

func newFleet(seed uint64, n int, limit Limit, tolerance Tolerance, disabled Mechanisms) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1e9, 0), limit: limit, tolerance: tolerance, disabled: disabled}
	for i := range n {
		node := &simNode{id: topo.InstanceID(fmt.Sprintf("e%d", i)), index: i}
		f.nodes = append(f.nodes, node)
		f.start(node)
	}
	f.control()
	for _, node := range f.nodes {
		f.updateView(node)
	}
	return f
}

func (f *fleet) start(n *simNode) {
	n.up, n.suspended = true, false
	n.run++
	n.holder = NewHolder(n.id, f.now, f.rng.Float64(), f.disabled)
	n.owners = NewOwners(f.disabled)
	n.waiting, n.ask, n.view, n.owner, n.limit = nil, nil, nil, "", f.limit
	n.viewAt, n.latest = time.Time{}, simView{}
	n.leaseUntil = time.Time{}
}

// step advances the time by one tick. arrivals returns the operations that arrive at an
// instance.
func (f *fleet) step(arrivals func(n *simNode) int) {
	f.now = f.now.Add(tick)
	f.control()
	f.deliver()
	for _, n := range f.nodes {
		if !n.up || n.suspended {
			continue
		}
		f.updateView(n)
		n.owners.Observe(f.now, f.leased(n))
		n.owners.Retain(func(string) bool { return n.owner == n.id })
		f.expireAsk(n)
		for range arrivals(n) {
			n.holder.Arrive(f.now)
			f.decide(n, 0)
		}
	}
}

func (f *fleet) leased(n *simNode) bool { return f.now.Before(n.leaseUntil) }

// control renews leases and publishes a view when the members change. As with epochs of
// the live view, a member joins only once all members with a lease have the view.
func (f *fleet) control() {
	var members, stayed []ctlstate.Member
	complete := true
	for _, n := range f.nodes {
		n.reachable = n.up && !n.suspended && !n.cut
		if n.reachable {
			n.renewedAt, n.leaseUntil = f.now, f.now.Add(leaseDuration)
		}
		if f.now.Sub(n.renewedAt) >= removal {
			n.member = false
			continue
		}
		m := ctlstate.Member{ID: n.id}
		members = append(members, m)
		if n.member {
			stayed = append(stayed, m)
			complete = complete && n.reachable
		}
	}
	if !complete {
		members = stayed
	}
	if len(f.views) > 0 && slices.Equal(members, f.views[len(f.views)-1].members) {
		return
	}
	f.publish(simView{f.now, members})
}

func (f *fleet) publish(v simView) {
	f.views = append(f.views, v)
	if len(f.views) > 20 {
		f.views = f.views[1:]
	}
	for _, n := range f.nodes {
		n.member = slices.Contains(v.members, ctlstate.Member{ID: n.id})
		if n.reachable {
			n.latest, n.switchAt = v, f.now.Add(time.Duration(f.rng.Int64N(int64(viewDelay))))
		}
	}
}

// updateView gives the instance the latest view and limit that have reached it. An
// instance that has just started or was not reachable fetches them.
func (f *fleet) updateView(n *simNode) {
	if current := f.views[len(f.views)-1]; !n.cut && n.latest.at != current.at {
		n.latest, n.switchAt = current, f.now
	}
	if !n.cut {
		n.limit = f.limit
	}
	if n.viewAt == n.latest.at || f.now.Before(n.switchAt) {
		return
	}
	n.viewAt = n.latest.at
	n.view = n.latest.members
	owner, _ := Owner("acme", n.view)
	n.owner = owner.ID
}

func (f *fleet) decide(n *simNode, rounds int) {
	share := func() float64 { return Share(n.id, "acme", n.view, n.limit, f.tolerance) }
	d := n.holder.Decide(f.now, n.owner, share, n.limit, f.tolerance)
	switch {
	case d.Verdict == Admit:
		f.admitted = append(f.admitted, f.now)
		f.totals.admitted++
		if d.Prefetch {
			f.startAsk(n)
		}
	case d.Verdict == AskOwner && rounds < 3:
		n.waiting = append(n.waiting, rounds+1)
		f.startAsk(n)
	default:
		f.totals.refused++
	}
}

func (f *fleet) startAsk(n *simNode) {
	if n.ask != nil {
		return
	}
	n.ask = &pendingAsk{f.now, n.owner, n.holder.Ask(f.now, len(n.waiting))}
	for _, to := range f.nodes {
		if to.id == n.owner {
			if to != n {
				f.totals.asks++
			}
			f.send(message{from: n.index, to: to.index, run: n.run, pending: n.ask})
		}
	}
}

func (f *fleet) send(m message) {
	a, b := f.nodes[m.from], f.nodes[m.to]
	if a != b && (a.cut || b.cut || f.rng.Float64() < f.loss) {
		return
	}
	delay := time.Duration(f.rng.Int64N(int64(6 * time.Millisecond)))
	if a == b {
		delay = 0
	} else if f.slow {
		delay *= 15
	}
	m.at = f.now.Add(delay)
	f.messages = append(f.messages, m)
}

func (f *fleet) deliver() {
	due := f.messages
	f.messages = nil
	for _, m := range due {
		to := f.nodes[m.to]
		if m.at.After(f.now) || to.up && to.suspended {
			f.messages = append(f.messages, m)
			continue
		}
		if to.up {
			f.receive(to, m)
		}
	}
}

func (f *fleet) receive(to *simNode, m message) {
	if m.answer == nil {
		answer := to.owners.Answer(f.now, "acme", to.owner == to.id, f.leased(to), to.limit, f.tolerance, m.pending.ask)
		f.send(message{from: m.to, to: m.from, run: m.run, pending: m.pending, answer: &answer})
		return
	}
	if to.run != m.run || to.ask != m.pending {
		return
	}
	to.ask = nil
	to.holder.Answered(f.now, m.pending.sentAt, m.pending.owner, m.pending.ask, *m.answer)
	f.release(to)
}

// expireAsk ends the wait for an answer.
func (f *fleet) expireAsk(n *simNode) {
	if n.ask == nil || f.now.Sub(n.ask.sentAt) <= AnswerTimeout {
		return
	}
	n.holder.Unanswered(f.now, n.ask.owner)
	n.ask = nil
	f.release(n)
}

func (f *fleet) release(n *simNode) {
	waiting := n.waiting
	n.waiting = nil
	for _, rounds := range waiting {
		f.decide(n, rounds)
	}
}

// inWindow returns the number of operations admitted in the window that ends now.
func (f *fleet) inWindow() int {
	start := f.now.Add(-f.tolerance.Window)
	for len(f.admitted) > 0 && !f.admitted[0].After(start) {
		f.admitted = f.admitted[1:]
	}
	return len(f.admitted)
}

// draw returns a random number of operations with the given mean.
func (f *fleet) draw(mean float64) int {
	count := int(mean)
	if f.rng.Float64() < mean-float64(count) {
		count++
	}
	return count
}
