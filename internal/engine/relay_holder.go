package engine

import (
	"context"
	"errors"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/clock"
	"github.com/cicadacove/cicadacove/internal/connpool"
	"github.com/cicadacove/cicadacove/internal/contain"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// relayIdleMargin is added to the idle timeout of transactions: the instance of the
// caller ends an idle transaction itself, unless it is gone.
const relayIdleMargin = 500 * time.Millisecond

const (
	// relayMemoryShare is the fraction of the instance's memory that relayed statements may
	// hold. Their senders limit what a caller sends, but many senders share a holder.
	relayMemoryShare = 0.1
	// smallRelayBytes is the size up to which a statement is not refused for its memory, so
	// that large ones do not keep ordinary ones out.
	smallRelayBytes = 4 << 10
	// holderRetryAfter is the time after which the caller of a refused large statement
	// should try again.
	holderRetryAfter = 200 * time.Millisecond
)

// maxRelayedBytes returns how many bytes the statements of other instances may hold.
func (e *Engine[C]) maxRelayedBytes() int64 {
	if e.opts.MemoryBytes <= 0 {
		return math.MaxInt64
	}
	return int64(relayMemoryShare * float64(e.opts.MemoryBytes))
}

// relayHolder runs the statements that other instances relay to this one.
type relayHolder[C Conn] struct {
	engine *Engine[C]
	// running counts the statements that are being served, bytes what their texts and
	// session values hold.
	running, bytes atomic.Int64

	counters relayCounters

	mu sync.Mutex
	// draining refuses new work, ending also statements of open transactions.
	draining, ending bool
	txs              map[relayTx]*heldTx[C]
}

// heldTx is a transaction of another instance's caller on a connection of this one.
type heldTx[C Conn] struct {
	// mu is held while a statement runs.
	mu     sync.Mutex
	access *localAccess[C]
	// ended is set once the transaction takes no more statements.
	ended bool
	idle  *time.Timer
}

func newRelayHolder[C Conn](e *Engine[C]) *relayHolder[C] {
	return &relayHolder[C]{engine: e, txs: map[relayTx]*heldTx[C]{}}
}

// handle serves one relayed statement. An unexpected error ends only the statement, and
// the transaction that it belongs to.
func (h *relayHolder[C]) handle(ctx context.Context, req relayRequest) (reply relayReply, _ error) {
	h.running.Add(1)
	defer h.running.Add(-1)
	defer func() { h.counters.served(reply) }()
	size := req.size()
	defer h.bytes.Add(-size)
	if h.bytes.Add(size) > h.engine.maxRelayedBytes() && size > smallRelayBytes {
		refusal := newRelayRefusal(outcome.RefusedWithRetry(outcome.CodeOverloaded, "the memory for statements of other instances is short", holderRetryAfter))
		refusal.Final = true
		return relayReply{Refusal: refusal}, nil
	}
	err := contain.Run(func() { reply = h.serve(ctx, req) })
	if err == nil {
		return reply, nil
	}
	klog.ErrorS(err, "engine: unexpected error", "request", req.Statement.ID, "upstream", req.Upstream.ID, "verb", req.Statement.Verb.String(), "stack", contain.Stack(err))
	if req.Tx != nil {
		h.end(*req.Tx)
	}
	return relayReply{Lost: &relayLoss{Reason: "an unexpected error occurred in the instance that holds the connection"}}, nil
}

// serve serves one relayed statement. A statement that waits is dropped when the connection
// to the sender closes, since the sender has given it up.
func (h *relayHolder[C]) serve(ctx context.Context, req relayRequest) relayReply {
	ctx, cancel := context.WithTimeout(ctx, req.Left)
	defer cancel()
	switch {
	case req.Tx != nil && req.Statement.Verb == Begin:
		return h.begin(ctx, req)
	case req.Tx != nil:
		return h.resume(ctx, req)
	case h.refusesWork():
		return relayReply{Refusal: leavingRefusal()}
	case req.Statement.Verb == Reset:
		return h.queryPosition(ctx, req)
	}
	a := h.newAccess(req)
	defer a.close()
	return h.run(ctx, a, req, false)
}

func leavingRefusal() *relayRefusal {
	r := newRelayRefusal(outcome.Refused(outcome.CodeShuttingDown, "the instance that holds the connections shuts down"))
	r.Leaving = true
	return r
}

func (h *relayHolder[C]) refusesWork() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.draining
}

func (h *relayHolder[C]) newAccess(req relayRequest) *localAccess[C] {
	return h.engine.newLocalAccess(h.announced(req.Upstream), req.Term, h.request(req, false))
}

// announced returns the announcement of the upstream that this instance has, or else what
// the sender knows. Two addresses in turn would close the pool each time.
func (h *relayHolder[C]) announced(sent relayUpstream) topo.Announcement {
	if known, ok := h.engine.knownUpstream(sent.ID); ok {
		return known
	}
	return sent.announcement()
}

func (h *relayHolder[C]) request(req relayRequest, inTransaction bool) request {
	return request{
		service: req.service(), organisation: req.Organisation, caller: req.Caller,
		arrived: time.Now().Add(-req.Waited), inTransaction: inTransaction,
	}
}

// run acquires a slot, and a connection unless the access has one, and runs the statement.
func (h *relayHolder[C]) run(ctx context.Context, a *localAccess[C], req relayRequest, inTransaction bool) relayReply {
	o, err := a.open(ctx, h.request(req, inTransaction))
	if err != nil {
		return relayReply{Refusal: unavailableRefusal(err)}
	}
	if o.Kind != "" {
		refusal := newRelayRefusal(o)
		refusal.Final = true
		return relayReply{Refusal: refusal}
	}
	defer a.releaseSlot()
	if ctx.Err() != nil {
		return relayReply{Refusal: newRelayRefusal(outcome.Refused(outcome.CodeTimeout, "the sender has given the statement up"))}
	}
	ctx, cancel := untilDeadline(ctx)
	defer cancel()
	sentAt := clock.Now()
	result, err := a.execute(ctx, connState{req.Values, req.Definition}, req.statement())
	var setUp *SetUpError
	if errors.As(err, &setUp) {
		return relayReply{Refusal: newRelayRefusal(outcome.Refused(outcome.CodeNoUpstream, err.Error()))}
	}
	if err != nil {
		return relayReply{Lost: &relayLoss{Reason: err.Error(), Timeout: isTimeout(err)}}
	}
	return newResultReply(result, clock.Now().Sub(sentAt))
}

// untilDeadline returns a context with the deadline of ctx that does not end with the
// connection to the sender: a statement that has been sent to the upstream is finished, and
// the connection to the upstream stays usable.
func untilDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(context.WithoutCancel(ctx))
	}
	return context.WithDeadline(context.WithoutCancel(ctx), deadline)
}

// unavailableRefusal describes an upstream that can't be used now.
func unavailableRefusal(err error) *relayRefusal {
	r := newRelayRefusal(unavailable(err))
	var refusedBy *RefusedError
	r.Unreachable = !errors.As(err, &refusedBy) && !errors.Is(err, connpool.ErrExhausted) && !errors.Is(err, errLeaving)
	return r
}

// queryPosition answers a query for the position of an upstream.
func (h *relayHolder[C]) queryPosition(ctx context.Context, req relayRequest) relayReply {
	ctx, cancel := untilDeadline(ctx)
	defer cancel()
	sentAt := clock.Now()
	result, err := h.engine.queryPositionLocally(ctx, h.announced(req.Upstream))
	if err != nil {
		return relayReply{Refusal: unavailableRefusal(err)}
	}
	return newResultReply(result, clock.Now().Sub(sentAt))
}

// begin opens a transaction. It is registered before it waits for a slot, so that an end
// that arrives meanwhile finds it.
func (h *relayHolder[C]) begin(ctx context.Context, req relayRequest) relayReply {
	tx := &heldTx[C]{access: h.newAccess(req)}
	tx.mu.Lock()
	defer tx.mu.Unlock()
	if !h.register(*req.Tx, tx) {
		return relayReply{Refusal: leavingRefusal()}
	}
	reply := h.run(ctx, tx.access, req, false)
	h.settle(*req.Tx, tx, reply)
	return reply
}

// resume runs a further statement of a transaction.
func (h *relayHolder[C]) resume(ctx context.Context, req relayRequest) relayReply {
	tx, ok := h.lookup(*req.Tx)
	if !ok {
		return relayReply{Refusal: unknownTransaction()}
	}
	tx.mu.Lock()
	defer tx.mu.Unlock()
	if tx.ended {
		return relayReply{Refusal: unknownTransaction()}
	}
	tx.idle.Stop()
	reply := h.run(ctx, tx.access, req, true)
	h.settle(*req.Tx, tx, reply)
	return reply
}

func unknownTransaction() *relayRefusal {
	return newRelayRefusal(outcome.Refused(outcome.CodeRolledBack, "the transaction is rolled back: it was idle for too long, or the instance that holds its connection shuts down"))
}

// settle ends a transaction that is over, and otherwise starts its idle timeout. The
// caller holds tx.mu.
func (h *relayHolder[C]) settle(id relayTx, tx *heldTx[C], reply relayReply) {
	if reply.Result == nil || reply.Result.State != TxOpen || tx.ended || h.endsTransactions() {
		tx.ended = true
		h.forget(id)
		tx.access.close()
		return
	}
	tx.idle = time.AfterFunc(h.idleTimeout(), func() { h.end(id) })
}

func (h *relayHolder[C]) idleTimeout() time.Duration {
	if c := h.engine.opts.Catalog(); c != nil {
		return c.IdleTransaction + relayIdleMargin
	}
	return defaultRelayTimeout
}

// end rolls a transaction back, as soon as no statement of it runs.
func (h *relayHolder[C]) end(id relayTx) {
	tx, ok := h.lookup(id)
	if !ok {
		return
	}
	h.forget(id)
	tx.mu.Lock()
	defer tx.mu.Unlock()
	if tx.ended {
		return
	}
	tx.ended = true
	tx.access.close()
}

func (h *relayHolder[C]) register(id relayTx, tx *heldTx[C]) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.draining {
		return false
	}
	h.txs[id] = tx
	return true
}

func (h *relayHolder[C]) lookup(id relayTx) (*heldTx[C], bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	tx, ok := h.txs[id]
	return tx, ok
}

func (h *relayHolder[C]) forget(id relayTx) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.txs, id)
}

func (h *relayHolder[C]) endsTransactions() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ending
}

// count returns the number of statements that run and of transactions that are open for
// other instances.
func (h *relayHolder[C]) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.txs) + int(h.running.Load())
}

// drain refuses new work from now on.
func (h *relayHolder[C]) drain() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining = true
}

// endTransactions rolls back all open transactions at their next statement boundary.
func (h *relayHolder[C]) endTransactions() {
	h.mu.Lock()
	h.draining, h.ending = true, true
	var ids []relayTx
	for id := range h.txs {
		ids = append(ids, id)
	}
	h.mu.Unlock()
	for _, id := range ids {
		go h.end(id)
	}
}
