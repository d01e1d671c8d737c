package node

import (
	"context"
	"errors"
	"time"

	"github.com/cicadacove/cicadacove/internal/admin"
	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/replog"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// Errors of Ready, which the load balancer's readiness check receives.
var (
	errShuttingDown = errors.New("shutting down")
	errNoConfig     = errors.New("no configuration yet")
	errNoUpstream   = errors.New("no upstream of any contract is known to serve")
)

// status reports the state of the process to the admin server. It implements
// admin.StatusSource and admin.Announcer.
type status struct{ n *Node }

// Announce implements admin.Announcer.
func (s status) Announce(_ context.Context, a topo.Announcement) error { return s.n.Agent.Announce(a) }

// Status implements admin.StatusSource.
func (s status) Status() admin.Status {
	n := s.n
	_, valid := n.Agent.View()
	out := admin.Status{
		Instance: n.opts.ID, Zone: n.opts.Zone, Version: n.opts.Version,
		Revision: n.Agent.Config().Revision, LeaseValid: valid,
		Callers: n.Entry.Callers(), ShuttingDown: n.draining.Load(),
	}
	out.Leader = n.Agent.Leader()
	if n.Voter != nil {
		out.Leader = n.Voter.Status().LeaderAddr
	}
	for _, id := range groupsOf(s.n.Agent.Config()) {
		if g, ok := n.Agent.Group(id); ok {
			out.Groups = append(out.Groups, g)
		}
	}
	return out
}

// Upstreams implements admin.StatusSource.
func (s status) Upstreams() []admin.Upstream {
	var out []admin.Upstream
	for _, id := range groupsOf(s.n.Agent.Config()) {
		for _, u := range s.n.Agent.Upstreams(id) {
			out = append(out, admin.Upstream{Announcement: u.Announcement, State: "serving", AgeMillis: time.Since(u.ReceivedAt).Milliseconds()})
		}
	}
	return out
}

// Voters implements admin.StatusSource. It lists the members in the log of the
// local voter, or, in a process without a voter, the addresses in the settings.
func (s status) Voters() []admin.Voter {
	if s.n.Voter != nil {
		if voterStatus := s.n.Voter.NodeStatus(); len(voterStatus.Members) > 0 {
			return votersOf(voterStatus)
		}
	}
	var out []admin.Voter
	for _, addr := range s.n.opts.Voters {
		out = append(out, admin.Voter{Addr: addr})
	}
	return out
}

// votersOf lists the members in the local voter's status. The status has the
// applied index of the local voter only.
func votersOf(voterStatus replog.Status) []admin.Voter {
	var out []admin.Voter
	for _, m := range voterStatus.Members {
		v := admin.Voter{ID: m.ID, Addr: m.Addr, Leader: m.ID == voterStatus.Leader, Learner: !m.Voter, Term: voterStatus.Term}
		if m.ID == voterStatus.ID {
			v.Applied = voterStatus.Applied
		}
		out = append(out, v)
	}
	return out
}

// Config implements admin.StatusSource.
func (s status) Config() *contract.Config { return s.n.Agent.Config() }

// Ready implements admin.StatusSource. An instance without a lease is ready as
// long as it can serve reads: in an isolated zone no instance has a lease.
func (s status) Ready() error {
	if s.n.draining.Load() {
		return errShuttingDown
	}
	if s.n.Agent.Config().Revision == 0 {
		return errNoConfig
	}
	for _, id := range groupsOf(s.n.Agent.Config()) {
		if len(s.n.Agent.Upstreams(id)) > 0 {
			return nil
		}
	}
	return errNoUpstream
}
