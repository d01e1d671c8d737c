package engine

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/clock"
	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/relay"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/peer"
)

const (
	// maxRelayMargin is how much earlier than the sender a holder gives a statement up, so
	// that the sender learns what is known of it. relayMarginDivisor bounds it for
	// statements with little time left.
	maxRelayMargin     = 20 * time.Millisecond
	relayMarginDivisor = 4
	// defaultRelayTimeout applies to a statement without a deadline.
	defaultRelayTimeout = time.Second
	// relayEndTimeout bounds the message that ends a transaction at a holder.
	relayEndTimeout = 500 * time.Millisecond
)

// newAccess returns the access to the upstream of a placement.
func (e *Engine[C]) newAccess(at placement, r request) access {
	candidates := e.relayCandidates(at.upstream.ID, r.organisation)
	if len(candidates) == 0 {
		return e.newLocalAccess(at.upstream, at.term, r)
	}
	return &relayAccess[C]{monitor: e.newMonitor(at.upstream, at.term, r.service), candidates: candidates}
}

// relayAccess is an access through a holder. Each statement is one request, with which
// the holder acquires the slot and the connection.
type relayAccess[C Conn] struct {
	monitor[C]
	// candidates are the holders that have not been tried yet.
	candidates []ctlstate.Member
	request    request
	// tx and holder are set from the Begin of a transaction on; tx is nil again once it
	// has ended.
	tx     *relayTx
	holder ctlstate.Member
	// local replaces the relay if no holder can be reached.
	local *localAccess[C]
}

// open implements access. The holder decides on admission when it gets the statement.
func (a *relayAccess[C]) open(ctx context.Context, r request) (outcome.Outcome, error) {
	a.request = r
	if a.local != nil {
		return a.local.open(ctx, r)
	}
	if !a.engine.opts.Control.AcceptsWork(a.upstream.Group, a.upstream.ID) && !r.inTransaction {
		return outcome.Outcome{}, errLeaving
	}
	return outcome.Outcome{}, nil
}

// execute implements access.
func (a *relayAccess[C]) execute(ctx context.Context, state connState, st Statement) (Result, error) {
	if a.local != nil {
		return a.local.execute(ctx, state, st)
	}
	if st.Verb == Begin {
		a.tx = a.engine.newRelayTx()
	}
	if a.tx != nil && st.Verb != Begin {
		result, _, err := a.send(ctx, a.holder, state, st)
		return result, err
	}
	for len(a.candidates) > 0 {
		a.holder, a.candidates = a.candidates[0], a.candidates[1:]
		result, reached, err := a.send(ctx, a.holder, state, st)
		if reached {
			return result, err
		}
	}
	return a.executeLocally(ctx, state, st)
}

// executeLocally runs the statement on a connection of this instance, since no holder can
// be reached.
func (a *relayAccess[C]) executeLocally(ctx context.Context, state connState, st Statement) (Result, error) {
	if st.Verb == Reset {
		return a.engine.queryPositionLocally(ctx, a.upstream)
	}
	a.tx = nil
	a.local = a.engine.newLocalAccess(a.upstream, a.term, a.request)
	o, err := a.local.open(ctx, a.request)
	if err != nil {
		return Result{}, &NotRunError{Outcome: unavailable(err)}
	}
	if o.Kind != "" {
		return Result{}, &NotRunError{Outcome: o, Final: true}
	}
	return a.local.execute(ctx, state, st)
}

// send relays a statement to a holder. reached is false if the holder certainly did not
// take it, so that another one may.
func (a *relayAccess[C]) send(ctx context.Context, holder ctlstate.Member, state connState, st Statement) (r Result, reached bool, err error) {
	relays := &a.engine.relays
	defer func() { relays.counters.sent(err) }()
	sentAt := clock.Now()
	relays.record(holder.ID, (*relay.Health).Sent)
	reply, err := peer.Call[relayReply](ctx, a.engine.opts.Peers.Client, holder.PeerAddr, kindRelay, a.newRequest(ctx, state, st))
	var notSent *peer.NotSentError
	var remote *peer.RemoteError
	switch {
	case errors.As(err, &notSent) && ctx.Err() != nil:
		// The end of ctx says nothing about the holder, unless it was silent for long.
		relays.record(holder.ID, (*relay.Health).Lost)
		return Result{}, true, &NotRunError{Outcome: outcome.Refused(outcome.CodeTimeout, "the request ended before it was sent to an instance that holds connections")}
	case errors.As(err, &notSent), errors.As(err, &remote):
		relays.record(holder.ID, (*relay.Health).Unreachable)
		return Result{}, false, &NotRunError{Outcome: outcome.Refused(outcome.CodeNoUpstream, "no instance that holds connections can be reached: "+err.Error())}
	case errors.Is(err, peer.ErrClosed):
		relays.record(holder.ID, (*relay.Health).Unreachable)
		return Result{}, true, fmt.Errorf("engine: relay through %s: %w", holder.ID, err)
	case err != nil:
		relays.record(holder.ID, (*relay.Health).Lost)
		return Result{}, true, err
	case reply.Refusal != nil && reply.Refusal.Leaving:
		relays.record(holder.ID, (*relay.Health).Leaving)
		return Result{}, false, &NotRunError{Outcome: reply.Refusal.outcome()}
	}
	relays.record(holder.ID, (*relay.Health).Answered)
	if reply.Refusal != nil && reply.Refusal.Unreachable {
		relays.block(holder.ID, a.upstream.ID)
		return Result{}, false, &NotRunError{Outcome: reply.Refusal.outcome()}
	}
	r, err = a.accept(st, reply, sentAt)
	return r, true, err
}

// accept records the reply of a holder and returns the upstream's answer.
func (a *relayAccess[C]) accept(st Statement, reply relayReply, sentAt time.Time) (Result, error) {
	switch {
	case reply.Refusal != nil:
		return Result{}, &NotRunError{Outcome: reply.Refusal.outcome(), Final: reply.Refusal.Final}
	case reply.Lost != nil:
		err := fmt.Errorf("engine: the answer did not reach the instance that holds the connection: %s", reply.Lost.Reason)
		if reply.Lost.Timeout {
			err = fmt.Errorf("%w: %w", err, os.ErrDeadlineExceeded)
		}
		a.observe(false)
		a.suspect(err)
		a.engine.relays.block(a.holder.ID, a.upstream.ID)
		return Result{}, err
	case reply.Result == nil:
		return Result{}, errEmptyRelayReply
	}
	result := reply.result()
	if result.State == TxNone {
		a.tx = nil
	}
	a.ended(st, result, sentAt, reply.Took)
	return result, nil
}

func (a *relayAccess[C]) newRequest(ctx context.Context, state connState, st Statement) relayRequest {
	left := defaultRelayTimeout
	if deadline, ok := ctx.Deadline(); ok {
		left = time.Until(deadline)
	}
	left -= min(maxRelayMargin, left/relayMarginDivisor)
	r := a.request
	return relayRequest{
		Upstream: relayUpstream{a.upstream.ID, a.upstream.Group, a.upstream.Addr, a.upstream.Slots},
		Term:     a.term, Organisation: r.organisation,
		Service: r.service.Name, Rank: r.service.Rank, Target: r.service.Target,
		Caller: callerAt(a.engine.opts.Self, r), Waited: time.Since(r.arrived), Left: left,
		Tx: a.tx, Values: state.values, Definition: state.def, Statement: st, Text: packedText(st.Text),
	}
}

// callerAt returns the name under which a holder queues the caller. Instances count their
// sessions independently; an organisation has the same name everywhere.
func callerAt(self topo.InstanceID, r request) string {
	if r.organisation != "" {
		return r.caller
	}
	return string(self) + "/" + r.caller
}

// via implements access.
func (a *relayAccess[C]) via() topo.InstanceID {
	if a.local != nil {
		return ""
	}
	return a.holder.ID
}

// releaseSlot implements access. The holder has released the slot with its reply.
func (a *relayAccess[C]) releaseSlot() {
	if a.local != nil {
		a.local.releaseSlot()
	}
}

// close implements access.
func (a *relayAccess[C]) close() {
	if a.local != nil {
		a.local.close()
		return
	}
	if a.tx != nil {
		go a.engine.endRelayedTx(a.holder, *a.tx)
		a.tx = nil
	}
}

// endRelayedTx makes a holder roll a transaction back. If the message is lost, the holder
// does so once the transaction has been idle for too long.
func (e *Engine[C]) endRelayedTx(holder ctlstate.Member, tx relayTx) {
	ctx, cancel := context.WithTimeout(context.Background(), relayEndTimeout)
	defer cancel()
	if err := peer.Notify(ctx, e.opts.Peers.Client, holder.PeerAddr, kindRelayEnd, tx); err != nil {
		klog.V(2).Infof("engine: could not end a transaction at %s: %v", holder.ID, err)
	}
}

func (e *Engine[C]) newRelayTx() *relayTx {
	return &relayTx{From: e.relayName, Number: e.nextID.Add(1)}
}
