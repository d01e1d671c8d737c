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

type sightingKey struct {
	group topo.GroupID
	term  topo.Term
}

// ReportPrimary takes evidence from a data connection: whether the primary of
// the group's term could be reached.
func (a *Agent) ReportPrimary(g topo.GroupID, t topo.Term, reachable bool) {
	a.sight(sightingKey{g, t}, reachable)
	if !reachable {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.served[g] = a.now()
}

// DoubtPrimary makes this instance check the group's primary at its next
// opportunity, whoever else does.
func (a *Agent) DoubtPrimary(g topo.GroupID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.doubted[g] = true
}

// toldSighting is what the leader was told last of a primary.
type toldSighting struct {
	reachable bool
	at        time.Time
}

// sight queues evidence. Failures are told at once, and so is a change; that
// the primary is still reached is told twice in the silence that makes a
// primary suspected.
func (a *Agent) sight(k sightingKey, reachable bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	old := a.told[k]
	if reachable && old.reachable && now.Sub(old.at) < a.timing.Silence/2 {
		return
	}
	a.told[k] = toldSighting{reachable, now}
	a.evidence.Add(k, reachable, !reachable || !old.reachable)
	for other := range a.told {
		if other.group == k.group && other.term < k.term {
			delete(a.told, other)
		}
	}
}

// probeTarget is a primary that this instance checks.
type probeTarget struct {
	sightingKey
	id   topo.UpstreamID
	addr string
}

// probeLoop checks the primaries that fall to this instance.
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

// probeTargets spreads the groups over the live instances, so that each
// primary is checked by a few of them. A primary that has just answered on a
// data connection needs no check.
func (a *Agent) probeTargets() []probeTarget {
	a.mu.Lock()
	defer a.mu.Unlock()
	live := a.known.Live()
	defer clear(a.doubted)
	var targets []probeTarget
	for id, r := range a.known.Groups {
		probers := membership.Rendezvous(string(id), live, a.timing.Probers)
		mine := a.doubted[id] || slices.ContainsFunc(probers, func(m ctlstate.Member) bool { return m.ID == a.opts.Self.ID })
		unheard := a.now().Sub(a.served[id]) >= a.timing.Probe
		if mine && r.Attempt == nil && unheard {
			targets = append(targets, probeTarget{sightingKey{id, r.Term}, r.Primary, a.addrOf(r, r.Primary)})
		}
	}
	return targets
}

func (a *Agent) probe(ctx context.Context, t probeTarget) {
	ctx, cancel := context.WithTimeout(ctx, a.timing.ProbeTimeout)
	defer cancel()
	s, err := a.db.Status(ctx, dbapi.Location{Group: t.group, ID: t.id, Addr: t.addr})
	if err != nil {
		klog.V(2).Infof("agent: %s: primary %s of %s not reached: %v", a.opts.Self.ID, t.id, t.group, err)
	}
	serves := err == nil && s.ID == t.id && s.Role == topo.RolePrimary && s.FencedTerm <= t.term
	a.sight(t.sightingKey, serves || errors.Is(err, dbapi.ErrBusy))
}

// evidenceLoop sends the gathered evidence to the leader.
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
			request.Sightings = append(request.Sightings, ctlwire.Sighting{Group: k.group, Term: k.term, Reachable: reachable})
		}
		go func() {
			if _, err := call[ctlwire.Answer](ctx, a, ctlwire.KindEvidence, request); err != nil {
				klog.V(2).Infof("agent: %s: evidence not told: %v", a.opts.Self.ID, err)
			}
		}()
	}
}
