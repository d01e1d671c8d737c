package ctlview

import (
	"github.com/cicadacove/cicadacove/internal/agent"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// FromAgent returns a Control that is backed by an agent.
func FromAgent(a *agent.Agent) Control { return agentControl{a} }

// agentControl implements Control.
type agentControl struct{ *agent.Agent }

// Authority implements Control.
func (c agentControl) Authority(g topo.GroupID) (Authority, bool) {
	a, ok := c.Agent.Authority(g)
	if !ok {
		return Authority{}, false
	}
	for _, u := range c.Agent.Upstreams(g) {
		if u.ID == a.Primary {
			return Authority{Term: a.Term, Primary: u.Announcement}, true
		}
	}
	primary := topo.Announcement{ID: a.Primary, Group: g, Addr: a.PrimaryAddr, Slots: a.PrimarySlots, Role: topo.RolePrimary}
	return Authority{Term: a.Term, Primary: primary}, true
}

// Upstreams implements Control.
func (c agentControl) Upstreams(g topo.GroupID) []Upstream {
	known := c.Agent.Upstreams(g)
	out := make([]Upstream, len(known))
	for i, u := range known {
		out[i] = Upstream{Announcement: u.Announcement, ReceivedAt: u.ReceivedAt}
	}
	return out
}

// View implements Control.
func (c agentControl) View() (View, bool) {
	v, ok := c.Agent.View()
	if !ok {
		return View{}, false
	}
	out := View{Epoch: v.Epoch}
	for _, m := range v.Members {
		out.Members = append(out.Members, m.ID)
	}
	return out, true
}

// PeerAddr implements Control.
func (c agentControl) PeerAddr(id topo.InstanceID) (string, bool) {
	for _, m := range c.Agent.Members() {
		if m.ID == id {
			return m.PeerAddr, true
		}
	}
	return "", false
}
