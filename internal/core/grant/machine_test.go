package grant

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cicadacove/cicadacove/internal/core/topo"
	_ "github.com/cicadacove/cicadacove/internal/testseed"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var testCapacity = Amount{Slots: 3, Connections: 20}

// instance is one entry instance of the model, with what it has in use.
type instance struct {
	id     topo.InstanceID
	holder *Holder
	inUse  Amount
	// lost instances do not renew their lease. They may still report until it
	// ends.
	lost     bool
	leaseEnd time.Time
}

// reply is an owner's answer in transit.
type reply struct {
	to    *instance
	grant Grant
}

// model simulates the instances, the owner and the messages in transit. Only the
// owner of the latest epoch answers; answers of its predecessors may still
// arrive.
type model struct {
	params    Params
	now       time.Time
	epoch     uint64
	owner     *Owner
	instances []*instance
	members   []topo.InstanceID
	replies   []reply
}

// lease is the duration of an instance's lease.
const lease = 1500 * time.Millisecond

func newModel(params Params) *model {
	m := &model{params: params.WithDefaults(), now: epoch, epoch: 1}
	m.params.Instances = 4
	m.params.Base = BaseOf(testCapacity, 4)
	for i := range 4 {
		in := &instance{id: topo.InstanceID(fmt.Sprintf("e%d", i)), holder: NewHolder(m.params, 0)}
		in.holder.SetEpoch(1)
		m.instances = append(m.instances, in)
		m.members = append(m.members, in.id)
	}
	m.advance(0)
	m.owner = NewOwner(m.params, testCapacity, m.epoch, m.members, m.now, true)
	return m
}

// apply applies a grant. A grant has no effect on an instance whose lease has
// ended.
func (in *instance) apply(g Grant) { in.holder.Apply(g, in.leaseEnd) }

// report delivers an instance's report and queues the owner's answer.
func (m *model) report(in *instance, demand Demand) {
	if !m.now.Before(in.leaseEnd) {
		return
	}
	r := in.holder.Report(m.now, in.inUse, demand)
	if !m.owner.Report(m.now, in.id, r) {
		return
	}
	if g, ok := m.owner.Grant(m.now, in.id); ok {
		m.replies = append(m.replies, reply{in, g})
	}
}

// exchange delivers a report and its answer at once.
func (m *model) exchange(in *instance, demand Demand) {
	before := len(m.replies)
	m.report(in, demand)
	if len(m.replies) > before {
		in.apply(m.replies[before].grant)
		m.replies = m.replies[:before]
	}
}

// advance advances the clock in small steps.
func (m *model) advance(d time.Duration) {
	const step = 10 * time.Millisecond
	m.renewLeases()
	for ; d > 0; d -= step {
		m.now = m.now.Add(min(step, d))
		m.owner.Tick(m.now)
		m.renewLeases()
		for _, in := range m.instances {
			in.enforce(m.now)
		}
	}
}

func (m *model) renewLeases() {
	for _, in := range m.instances {
		if !in.lost {
			in.leaseEnd = m.now.Add(lease)
		}
	}
}

// newEpoch activates an epoch of the instances that are not lost, after the
// leases of the lost ones have ended.
func (m *model) newEpoch() {
	for _, in := range m.instances {
		if in.lost && m.now.Before(in.leaseEnd) {
			m.advance(in.leaseEnd.Sub(m.now))
		}
	}
	m.epoch++
	m.members = nil
	for _, in := range m.instances {
		if !in.lost {
			in.holder.SetEpoch(m.epoch)
			m.members = append(m.members, in.id)
		}
	}
	m.owner = NewOwner(m.params, testCapacity, m.epoch, m.members, m.now, false)
}

// enforce ends the use that exceeds the limit once the bound on the use of an
// ended grant has passed.
func (in *instance) enforce(now time.Time) {
	in.inUse = in.inUse.minus(in.holder.Excess(now, in.inUse))
}

// total returns the amount that all instances together use or may use now.
func (m *model) total() Amount {
	var sum Amount
	for _, in := range m.instances {
		sum = sum.plus(in.holder.Limit(m.now).atLeast(in.inUse))
	}
	return sum
}

func drawDemand(t *rapid.T) Demand {
	d := Demand{Connections: rapid.IntRange(0, 25).Draw(t, "connections")}
	d.Busy = rapid.IntRange(0, 6).Draw(t, "busy")
	for rank := 1; rank <= 3; rank++ {
		d.Slots[rank] = rapid.Float64Range(0, 4).Draw(t, "slots")
		d.Floors[rank] = rapid.Float64Range(0, 0.4).Draw(t, "floor")
	}
	return d
}

// runMachine runs random reports, uses, losses, epochs and delayed answers, and
// calls check after every step.
func runMachine(t *rapid.T, params Params, check func(*model)) {
	m := newModel(params)
	pick := func(t *rapid.T) *instance { return rapid.SampledFrom(m.instances).Draw(t, "instance") }
	t.Repeat(map[string]func(*rapid.T){
		"report": func(t *rapid.T) {
			m.report(pick(t), drawDemand(t))
		},
		"deliver": func(t *rapid.T) {
			if len(m.replies) == 0 {
				t.Skip()
			}
			i := rapid.IntRange(0, len(m.replies)-1).Draw(t, "reply")
			r := m.replies[i]
			m.replies = append(m.replies[:i:i], m.replies[i+1:]...)
			r.to.apply(r.grant)
		},
		"exchange": func(t *rapid.T) { m.exchange(pick(t), drawDemand(t)) },
		"round": func(t *rapid.T) {
			for _, in := range m.instances {
				m.exchange(in, Demand{Connections: rapid.SampledFrom([]int{0, 25}).Draw(t, "connections")})
			}
		},
		"use all": func(t *rapid.T) {
			in := pick(t)
			in.inUse = in.inUse.atLeast(in.holder.Limit(m.now))
		},
		"use": func(t *rapid.T) {
			in := pick(t)
			limit := in.holder.Limit(m.now)
			in.inUse.Connections = max(in.inUse.Connections, rapid.IntRange(0, limit.Connections).Draw(t, "open"))
			in.inUse.Slots = max(in.inUse.Slots, rapid.IntRange(0, limit.Slots).Draw(t, "run"))
		},
		"end": func(t *rapid.T) {
			in := pick(t)
			in.inUse.Connections = rapid.IntRange(0, in.inUse.Connections).Draw(t, "stay")
			in.inUse.Slots = rapid.IntRange(0, in.inUse.Slots).Draw(t, "run")
		},
		"advance": func(t *rapid.T) {
			m.advance(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
		},
		"lose": func(t *rapid.T) { pick(t).lost = true },
		"return": func(t *rapid.T) {
			pick(t).lost = false
			m.renewLeases()
		},
		"new epoch": func(*rapid.T) {
			m.newEpoch()
		},
		"": func(*rapid.T) { check(m) },
	})
}

func TestCapacityIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runMachine(t, Params{}, func(m *model) {
			require.True(t, m.total().Within(testCapacity), "held %+v of %+v", m.total(), testCapacity)
		})
	})
}

func TestCapacityIsExceededWithoutEachMechanism(t *testing.T) {
	for name, disabled := range map[string]Mechanisms{
		"settling":  {Settling: true},
		"use bound": {UseBound: true},
		"returns":   {Returns: true},
	} {
		t.Run(name, func(t *testing.T) {
			exceeded := false
			rapid.Check(t, func(t *rapid.T) {
				runMachine(t, Params{Disabled: disabled}, func(m *model) {
					exceeded = exceeded || !m.total().Within(testCapacity)
				})
			})
			require.True(t, exceeded, "the capacity was not exceeded without the mechanism")
		})
	}
}

// TestLateAnswer checks that a holder ignores an answer that arrives after it has
// reported again and the owner has lowered its bound on that report.
func TestLateAnswer(t *testing.T) {
	lateAnswer := func(disabled Mechanisms) *model {
		m := newModel(Params{Disabled: disabled})
		first, second := m.instances[0], m.instances[1]
		settle := func(demandOfFirst, demandOfSecond int) {
			for range 3 {
				m.exchange(first, Demand{Connections: demandOfFirst})
				m.exchange(second, Demand{Connections: demandOfSecond})
			}
		}
		settle(25, 0)
		m.report(first, Demand{Connections: 25})
		settle(0, 25)
		first.apply(m.replies[0].grant)
		return m
	}
	require.True(t, lateAnswer(Mechanisms{}).total().Within(testCapacity))
	require.False(t, lateAnswer(Mechanisms{Latest: true}).total().Within(testCapacity))
}

// TestLeaseEndsTheGrant checks that a grant ends with its holder's lease: an
// instance renews and uses its grant until then, and the other instances take over
// in a new epoch.
func TestLeaseEndsTheGrant(t *testing.T) {
	takeOver := func(disabled Mechanisms) *model {
		m := newModel(Params{Disabled: disabled})
		lost, rest := m.instances[0], m.instances[1:]
		lost.lost = true
		m.advance(lease - 20*time.Millisecond)
		for range 2 {
			m.exchange(lost, Demand{Connections: 25})
		}
		lost.inUse = lost.holder.Limit(m.now)
		m.newEpoch()
		m.advance(m.params.withDrift(m.params.UseBound))
		for range 2 {
			for _, in := range rest {
				m.exchange(in, Demand{Connections: 25})
			}
		}
		return m
	}
	require.Equal(t, testCapacity.Connections, takeOver(Mechanisms{}).total().Connections, "the base of the lost instance is included")
	require.False(t, takeOver(Mechanisms{LeaseEnd: true}).total().Within(testCapacity))
}
