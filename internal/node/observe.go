package node

import (
	"context"
	"fmt"
	"time"

	"github.com/cicadacove/cicadacove/internal/clientbudget"
	"github.com/cicadacove/cicadacove/internal/control"
	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/entry"
	"github.com/cicadacove/cicadacove/internal/expiry"
	"github.com/cicadacove/cicadacove/internal/telemetry"
	"github.com/cicadacove/cicadacove/internal/timeline"
)

// gaugeInterval is the time between two recordings of the gauges.
const gaugeInterval = time.Second

// observer records completed requests as metrics and events. It implements
// entry.Observer.
type observer struct {
	instruments *telemetry.Instruments
	recorder    *timeline.Recorder
	next        entry.Observer
}

// clientMetrics returns the metrics of the callers' budget, nil without telemetry.
func (n *Node) clientMetrics() clientbudget.Metrics {
	if i := n.instruments(); i != nil {
		return i
	}
	return nil
}

func (n *Node) instruments() *telemetry.Instruments {
	if n.opts.Telemetry == nil {
		return nil
	}
	return n.opts.Telemetry.Instruments
}

func (n *Node) observer() entry.Observer {
	return observer{instruments: n.instruments(), recorder: n.opts.Recorder, next: n.opts.Observer}
}

// Ended implements entry.Observer.
func (o observer) Ended(r entry.Request) {
	o.instruments.Request(telemetry.Request{
		Service: r.Service.Name, Rank: r.Service.Rank, Outcome: r.Outcome.Kind,
		Code: r.Outcome.Code, Duration: r.Took, Target: r.Service.Target,
	})
	if !r.Service.Writes && r.Outcome.Kind == outcome.Done {
		o.instruments.Read(r.Service.Name, r.Group, r.Role)
	}
	o.recorder.Record(timeline.PartEntry, requestKind(r.Outcome.Kind), timeline.Fields{
		Group: string(r.Group), Upstream: string(r.Upstream), Session: r.Session,
		Request: r.RequestID, Service: r.Service.Name, Text: requestText(r),
	})
	if o.next != nil {
		o.next.Ended(r)
	}
}

func requestKind(k outcome.Kind) timeline.Kind {
	switch k {
	case outcome.Done:
		return timeline.RequestDone
	case outcome.NotRun:
		return timeline.RequestRefused
	case outcome.Unknown:
		return timeline.RequestUnknown
	}
	return timeline.RequestFailed
}

func requestText(r entry.Request) string {
	took := r.Took.Round(100 * time.Microsecond)
	if r.Outcome.Code == "" {
		return "took " + took.String()
	}
	return fmt.Sprintf("%s %s, took %s", r.Outcome.Code, r.Outcome.Reason, took)
}

// controlEvent records one step of a failover.
func (n *Node) controlEvent(e control.Event) {
	n.opts.Recorder.Record(timeline.PartControl, failoverKind(e.Name), timeline.Fields{
		Group: string(e.Group), Text: fmt.Sprintf("%s, term %d", e.Name, e.Term),
	})
	if n.opts.ControlEvents != nil {
		n.opts.ControlEvents(e)
	}
}

func failoverKind(name string) timeline.Kind {
	switch name {
	case "fenced", "chosen", "drained":
		return timeline.FailoverFenced
	case "promoted":
		return timeline.FailoverPromoted
	case "completed":
		return timeline.FailoverCompleted
	case "abandoned":
		return timeline.FailoverAbandoned
	}
	return timeline.FailoverBegun
}

func (n *Node) recordExpiry(e expiry.Event) {
	n.opts.Recorder.Record(timeline.PartConfig, timeline.ConfigActive, timeline.Fields{
		Text: fmt.Sprintf("contract %s is %v, ends %s", e.Contract, e.Phase, e.EndsAt.Format(time.RFC3339)),
	})
}

// observeLoop records the gauges and changes of the lease, the primaries and
// the configuration.
func (n *Node) observeLoop(ctx context.Context) error {
	n.opts.Recorder.Record(timeline.PartProcess, timeline.ProcessStarted, timeline.Fields{})
	last := recordedState{terms: map[topo.GroupID]topo.Term{}}
	gaps := writeGaps{since: map[topo.GroupID]time.Time{}}
	t := time.NewTicker(gaugeInterval)
	defer t.Stop()
	for {
		changed := n.Agent.Changed()
		n.recordChanges(&last)
		n.recordWriteGaps(&gaps, time.Now())
		select {
		case <-changed:
		case <-t.C:
			n.recordGauges()
		case <-ctx.Done():
			return nil
		}
	}
}

// recordedState is the state that was last recorded.
type recordedState struct {
	leased   bool
	revision uint64
	epoch    uint64
	terms    map[topo.GroupID]topo.Term
}

func (n *Node) recordChanges(last *recordedState) {
	rec := n.opts.Recorder
	leased := time.Now().Before(n.Agent.LeaseUntil())
	if leased != last.leased {
		last.leased = leased
		kind := timeline.LeaseLost
		if leased {
			kind = timeline.LeaseGained
		}
		rec.Record(timeline.PartAgent, kind, timeline.Fields{})
	}
	if r := n.Agent.Config().Revision; r != last.revision {
		last.revision = r
		rec.Record(timeline.PartConfig, timeline.ConfigActive, timeline.Fields{Text: fmt.Sprintf("revision %d", r)})
		n.instruments().ConfigRevision(r)
	}
	if v, ok := n.Agent.View(); ok && v.Epoch != last.epoch {
		last.epoch = v.Epoch
		rec.Record(timeline.PartAgent, timeline.MembershipActive, timeline.Fields{Text: fmt.Sprintf("epoch %d with %d members", v.Epoch, len(v.Members))})
	}
	for _, id := range groupsOf(n.Agent.Config()) {
		g, ok := n.Agent.Group(id)
		if !ok || g.Term == last.terms[id] {
			continue
		}
		last.terms[id] = g.Term
		rec.Record(timeline.PartAgent, timeline.PrimaryKnown, timeline.Fields{
			Group: string(id), Upstream: string(g.Primary), Text: fmt.Sprintf("term %d", g.Term),
		})
		n.instruments().GroupTerm(id, g.Term)
	}
}

func groupsOf(c *contract.Config) []topo.GroupID {
	var ids []topo.GroupID
	for i := range c.Contracts {
		ids = append(ids, c.Contracts[i].Groups...)
	}
	return ids
}

func (n *Node) recordGauges() {
	ins := n.instruments()
	if ins == nil {
		return
	}
	ins.Callers(n.Entry.Callers())
	ins.LeaseRemaining(max(time.Until(n.Agent.LeaseUntil()), 0))
	ins.Leader(n.Voter != nil && n.Voter.Status().IsLeader())
	n.recordReplicaLags()
	queued := map[int]int{}
	for _, g := range n.Entry.Gauges() {
		ins.Pool(g.Upstream, g.Pool.Idle, g.Pool.Open-g.Pool.Idle)
		for rank := 1; rank <= contract.Ranks; rank++ {
			queued[rank] += g.Load.Queued[rank]
		}
	}
	for rank, length := range queued {
		ins.QueueLength("", rank, length)
	}
}
