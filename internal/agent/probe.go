package agent

import (
	"context"
	"errors"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/clock"
	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/membership"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/ctlwire"
	"github.com/cicadacove/cicadacove/internal/dbapi"
)

type reportKey struct {
	group topo.GroupID
	term  topo.Term
}

// ReportPrimary records whether the primary of the group's term was reachable on a
// data connection.
func (a *Agent) ReportPrimary(g topo.GroupID, t topo.Term, reachable bool) {
	a.report(reportKey{g, t}, reachable)
	if !reachable {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastServed[g] = a.now()
}

// RequestProbe makes this instance probe the group's primary in the next round, even
// if the group is not assigned to it.
func (a *Agent) RequestProbe(g topo.GroupID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.probeRequested[g] = true
}

// sentReport is the last report about a primary that was queued for the leader.
type sentReport struct {
	reachable bool
	at        time.Time
}

// report queues a report for the leader. It sends failures, and the end of a failure,
// at once. While a primary stays reachable, it reports so twice per Timing.Silence, the period without
// such reports after which the leader suspects the primary.
func (a *Agent) report(k reportKey, reachable bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	old := a.sentReports[k]
	if reachable && old.reachable && now.Sub(old.at) < a.timing.Silence/2 {
		return
	}
	a.sentReports[k] = sentReport{reachable, now}
	endOfFailure := !old.at.IsZero() && !old.reachable
	a.evidence.Add(k, reachable, !reachable || endOfFailure)
	for other := range a.sentReports {
		if other.group == k.group && other.term < k.term {
			delete(a.sentReports, other)
		}
	}
}

// probeTarget is a primary that this instance probes.
type probeTarget struct {
	reportKey
	id   topo.UpstreamID
	addr string
}

// probeLoop probes the primaries that are assigned to this instance.
func (a *Agent) probeLoop(ctx context.Context) error {
	running := map[topo.GroupID]chan struct{}{}
	for clock.Sleep(ctx, a.timing.Probe) {
		for _, t := range a.probeTargets() {
			if done, ok := running[t.group]; ok && !isClosed(done) {
				continue
			}
			done := make(chan struct{})
			running[t.group] = done
			go func() {
				defer close(done)
				a.probe(ctx, t)
			}()
		}
	}
	return nil
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// probeTargets returns the primaries that this instance probes. Rendezvous hashing
// assigns each group to Timing.Probers live instances. A primary that has recently
// answered on a data connection is not probed.
func (a *Agent) probeTargets() []probeTarget {
	a.mu.Lock()
	defer a.mu.Unlock()
	live := a.controlState.Live()
	defer clear(a.probeRequested)
	var targets []probeTarget
	for id, r := range a.controlState.Groups {
		probers := membership.Rendezvous(string(id), live, a.timing.Probers)
		assigned := a.probeRequested[id] || slices.ContainsFunc(probers, func(m ctlstate.Member) bool { return m.ID == a.opts.Self.ID })
		unreported := a.now().Sub(a.lastServed[id]) >= a.timing.Probe
		if assigned && r.Attempt == nil && unreported {
			targets = append(targets, probeTarget{reportKey{id, r.Term}, r.Primary, a.addrOf(r, r.Primary)})
		}
	}
	return targets
}

func (a *Agent) probe(ctx context.Context, t probeTarget) {
	ctx, cancel := context.WithTimeout(ctx, a.timing.ProbeTimeout)
	defer cancel()
	s, err := a.db.Status(ctx, dbapi.Location{Group: t.group, ID: t.id, Addr: t.addr})
	if err != nil {
		klog.V(2).Infof("agent: %s: failed to probe primary %s of %s: %v", a.opts.Self.ID, t.id, t.group, err)
	}
	serves := err == nil && s.ID == t.id && s.Role == topo.RolePrimary && s.FencedTerm <= t.term
	a.report(t.reportKey, serves || errors.Is(err, dbapi.ErrBusy))
}

// evidenceLoop sends the queued reports to the leader.
func (a *Agent) evidenceLoop(ctx context.Context) error {
	ticker := time.NewTicker(a.timing.Probe)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-a.evidence.Urgent():
		}
		taken := a.evidence.Take()
		if len(taken) == 0 {
			continue
		}
		request := ctlwire.Evidence{Key: a.key()}
		for k, reachable := range taken {
			request.Reports = append(request.Reports, ctlwire.PrimaryReport{Group: k.group, Term: k.term, Reachable: reachable})
		}
		go func() {
			if _, err := call[ctlwire.Answer](ctx, a, ctlwire.KindEvidence, request); err != nil {
				klog.V(2).Infof("agent: %s: failed to send reports on primaries: %v", a.opts.Self.ID, err)
			}
		}()
	}
}
