package entry

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/clientbudget"
	"github.com/cicadacove/cicadacove/internal/contain"
	"github.com/cicadacove/cicadacove/internal/core/clientlimit"
	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/drain"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/session"
	"github.com/cicadacove/cicadacove/internal/core/statement"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/core/unit"
	"github.com/cicadacove/cicadacove/internal/upstream"
)

const (
	// leasedTailBytes is the length in bytes of the last part of an
	// acknowledgement, which is sent under the lease. leasedWriteTimeout
	// bounds the sending of that part. It must stay below the margin by which
	// an instance ends its lease early.
	leasedTailBytes    = 16 << 10
	leasedWriteTimeout = 20 * time.Millisecond
)

// errAnswerTruncated makes the server close the caller's connection in the
// middle of a response.
var errAnswerTruncated = errors.New("entry: the lease ended while an answer was being sent")

// callerSession is one caller's connection.
type callerSession struct {
	server *Server
	// accepted is the connection that the caller opened; conn is the same or the TLS
	// connection on it.
	accepted, conn net.Conn
	backend        *pgproto3.Backend
	// account and reader limit what the caller makes the process hold; both may be nil.
	account *clientbudget.Account
	reader  *messageReader
	// stateBytes are reserved for prepared statements.
	stateBytes int64
	pid        uint32
	secret     [4]byte
	user       string
	// callerKey identifies the caller to admission control.
	callerKey string
	group     topo.GroupID
	attrs     statement.Attributes
	// settings holds the values of the ignoredParameters that the caller has
	// set.
	settings map[string]string
	prepared unit.Statements
	// lastWrite is the point of the latest write that the server has
	// acknowledged on this connection.
	lastWrite topo.Point
	// tokenPoint is the point of the last token that was sent to the caller.
	tokenPoint topo.Point

	txState string
	tx      *transaction
	// latest is the access that the session opened last, nil before the first one.
	latest *access

	mu sync.Mutex
	// waiting is set while the session waits for its caller: between two units or
	// within one, inside a transaction or not.
	waiting, betweenUnits, inTransaction bool
	drainStep                            drain.Step
	// idleDeadline is when an idle transaction ends, zero outside of one.
	idleDeadline time.Time
	// running is the id of the request that is being served, or empty.
	running    string
	activeConn *upstream.Conn
}

// run serves units until the caller disconnects or the server drains.
func (c *callerSession) run() {
	ctx, cancel := context.WithCancel(c.server.work)
	defer cancel()
	defer c.rollbackOnDisconnect()
	for {
		u, err := c.nextUnit()
		if err != nil {
			c.sendCloseReason(err)
			return
		}
		if u == nil {
			return
		}
		if err := c.serveContained(ctx, u); err != nil {
			return
		}
	}
}

// nextUnit reads messages up to the next Query or Sync. It returns nil without
// an error if the caller has sent Terminate.
func (c *callerSession) nextUnit() (*unit.Unit, error) {
	u := &unit.Unit{}
	if c.reader != nil {
		c.reader.beginUnit()
	}
	for {
		msg, err := c.receive(len(u.Msgs) == 0)
		if err != nil {
			return nil, err
		}
		if _, terminated := msg.(*pgproto3.Terminate); terminated {
			return nil, nil
		}
		complete, err := u.Add(msg)
		if err != nil {
			return nil, err
		}
		if complete {
			return u, nil
		}
	}
}

// receive reads one message. A drain may interrupt the wait, and between units the idle
// transaction limit does. A message that has arrived in part is kept.
func (c *callerSession) receive(first bool) (pgproto3.FrontendMessage, error) {
	for {
		if err := c.beginWait(first); err != nil {
			return nil, err
		}
		msg, err := c.backend.Receive()
		if err == nil {
			c.endWait()
			return msg, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
		if c.mustEnd(first) {
			continue
		}
		if c.isSlow(first) {
			c.account.Note(clientlimit.SlowMessage)
			return nil, errSlowMessage
		}
		if first {
			c.abortTransaction("idle_limit", "the transaction was idle for too long and has been rolled back")
		}
	}
}

// beginWait returns errDraining if the drain ends the session here.
func (c *callerSession) beginWait(first bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.drainStep.EndsSession(first, c.tx != nil) {
		c.waiting = false
		return errDraining
	}
	c.waiting, c.betweenUnits, c.inTransaction = true, first, c.tx != nil
	c.idleDeadline = time.Time{}
	if first && c.tx != nil {
		c.idleDeadline = time.Now().Add(c.server.opts.Limits.IdleTransaction)
	}
	return c.conn.SetReadDeadline(earlier(c.messageDeadline(first), c.idleDeadline))
}

func (c *callerSession) endWait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	c.conn.SetReadDeadline(time.Time{})
}

// sendCloseReason rolls an open transaction back and sends the caller the reason why its
// session ends, unless the connection is already closed.
func (c *callerSession) sendCloseReason(err error) {
	rolledBack := ""
	if c.tx != nil {
		rolledBack = "; the transaction has been rolled back"
	}
	c.rollbackOnDisconnect()
	var unsupported *unit.UnsupportedError
	var tooLong *pgproto3.ExceededMaxBodyLenErr
	switch {
	case errors.Is(err, errDraining):
		c.server.refuseConn(c.accepted, c.conn, shuttingDown(rolledBack))
	case errors.Is(err, clientbudget.ErrShort):
	case errors.Is(err, errSlowMessage):
		c.server.refuseConn(c.accepted, c.conn, outcome.Refused("08006", err.Error()+rolledBack))
	case errors.As(err, &tooLong):
		c.account.Note(clientlimit.TooLong)
		c.server.refuseConn(c.accepted, c.conn, outcome.Refused("54000", "message: "+err.Error()))
	case errors.As(err, &unsupported):
		c.server.refuseConn(c.accepted, c.conn, outcome.Refused(outcome.CodeUnsupported, err.Error()))
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed):
	default:
		c.server.refuseConn(c.accepted, c.conn, outcome.Refused(outcome.CodeProtocol, "message: "+err.Error()))
	}
}

// serveContained is serve, except that an unexpected error ends only the session.
func (c *callerSession) serveContained(ctx context.Context, u *unit.Unit) (err error) {
	unexpected := contain.Run(func() { err = c.serve(ctx, u) })
	if unexpected == nil {
		return err
	}
	klog.ErrorS(unexpected, "entry: unexpected error; the session ends", "group", c.group, "stack", contain.Stack(unexpected))
	c.discardLatest()
	c.server.refuseConn(c.accepted, c.conn, outcome.UnknownResult("an unexpected error occurred in the entry instance"))
	return unexpected
}

// discardLatest closes the connection of the latest access, which may be in the middle
// of an answer, and releases its slot.
func (c *callerSession) discardLatest() {
	a := c.latest
	if a == nil {
		return
	}
	if c.tx != nil && c.tx.access == a {
		c.tx = nil
	}
	if a.conn != nil {
		a.conn.Close()
	}
	a.close()
}

// serve answers one unit. An error means that no answer could be sent to the
// caller.
func (c *callerSession) serve(ctx context.Context, u *unit.Unit) error {
	arrived := time.Now()
	c.account.Use("")
	c.account.Enter(clientlimit.Serving)
	if err := u.Classify(c.prepared); err != nil {
		return c.refuse(refusalOutcome(err))
	}
	if refusal, err := c.reserveStatements(ctx, u); err != nil {
		return err
	} else if refusal != "" {
		return c.refuse(outcome.Refused("54000", refusal))
	}
	if c.txState == stateLost {
		return c.serveRolledBack(u)
	}
	if handled, err := c.serveLocally(u); handled {
		return err
	}
	req, o, ok := c.newRequest(u, arrived)
	if !ok {
		return c.refuse(o)
	}
	c.server.groups.Get(c.group).RecordUse(arrived)
	c.account.Use(req.id)
	c.setRunning(req.id)
	defer c.setRunning("")
	r, err := c.serveRequest(ctx, req)
	c.observe(req, r)
	return err
}

// serveRequest dispatches a unit by the kind of its service and sends the
// result to the caller. An error means that the result could not be sent.
func (c *callerSession) serveRequest(ctx context.Context, req *request) (result, error) {
	u := req.unit
	switch {
	case c.tx != nil && c.commitsWrites(u):
		return c.commit(ctx, req)
	case c.tx == nil && u.Stmt.Kind == statement.Begin && req.service.Writes:
		return c.beginWrite(ctx, req)
	case c.tx == nil && req.service.Writes && (!u.Executes || req.service.Repeatable):
		return c.writeRepeatable(ctx, req)
	case c.tx == nil && req.service.Writes:
		return c.writeOnce(ctx, req)
	}
	r := c.serveUnacknowledged(ctx, req)
	return r, c.deliver(req, r)
}

// serveUnacknowledged serves a unit whose answer does not acknowledge a write.
func (c *callerSession) serveUnacknowledged(ctx context.Context, req *request) result {
	if c.tx != nil {
		return c.continueTransaction(ctx, req)
	}
	return c.read(ctx, req)
}

// request is one unit together with the attributes that decide how it is
// served.
type request struct {
	unit     *unit.Unit
	attrs    statement.Attributes
	service  contract.Service
	arrived  time.Time
	deadline time.Time
	id       string
}

// result is the result of one unit.
type result struct {
	outcome  outcome.Outcome
	body     []byte
	upstream topo.UpstreamID
	role     topo.Role
	// term is set if the answer acknowledges a write. Such an answer may be
	// sent only under the lease on this term.
	term topo.Term
	// point is the point of the acknowledged write, or zero.
	point topo.Point
	// partSent is set if the caller has been sent a part of the answer.
	partSent bool
}

// newRequest determines the service of a unit and validates the caller's
// attributes.
func (c *callerSession) newRequest(u *unit.Unit, arrived time.Time) (*request, outcome.Outcome, bool) {
	attrs := c.attrs
	for _, sql := range u.SQLs {
		if err := attrs.ReadComments(sql); err != nil {
			return nil, outcome.Refused("22023", err.Error()), false
		}
	}
	trust := c.server.opts.Control.ConfigTrust()
	ct, ok := c.server.opts.Control.Config().ForGroup(c.group)
	if !ok {
		return nil, trust.Deny(outcome.Refused(outcome.CodeNoDatabase, "no contract covers this database")), false
	}
	if ct.Ended(arrived) && c.tx == nil {
		return nil, trust.Deny(outcome.Refused(outcome.CodeContractEnded, "the contract of this database ended at "+ct.EndsAt.Format(time.RFC3339))), false
	}
	if c.tx == nil && !trust.MayServe {
		return nil, outcome.ConfigUnconfirmed(), false
	}
	svc, ok := ct.Service(attrs.Service)
	if !ok && attrs.Service == "" {
		return nil, outcome.Refused(outcome.CodeUnknownService, "name a service by cicadacove.service"), false
	}
	if !ok {
		return nil, trust.Deny(outcome.Refused(outcome.CodeUnknownService, "cicadacove.service: the contract has no service "+attrs.Service)), false
	}
	if attrs.HasMaxAge {
		svc.MaxAge = min(svc.MaxAge, attrs.MaxAge)
	}
	id := attrs.RequestID
	if id == "" {
		id = newRequestID()
	}
	return &request{unit: u, attrs: attrs, service: svc, arrived: arrived, deadline: arrived.Add(svc.Target), id: id}, outcome.Outcome{}, true
}

// checkToken verifies a session token that the caller sent and returns its
// point. If ok is false, the token is refused with the outcome.
func (c *callerSession) checkToken(text string) (topo.Point, outcome.Outcome, bool) {
	if text == "" {
		return topo.Point{}, outcome.Outcome{}, true
	}
	t, err := c.server.opts.Signer.Verify(text, c.group)
	if err != nil {
		return topo.Point{}, outcome.Refused(outcome.CodeBadToken, "cicadacove."+err.Error()), false
	}
	return t.Point, outcome.Outcome{}, true
}

// deliver sends a result. It returns errLeaseEnded if the result acknowledges
// a write and the lease has ended; then nothing has been sent.
func (c *callerSession) deliver(req *request, r result) error {
	r.outcome = c.afterAbandon(r.outcome)
	buf := r.body
	if r.outcome.Kind != outcome.Done && len(buf) == 0 {
		buf = appendOutcome(nil, r.outcome)
	}
	last := c.lastWrite
	if r.point.Compare(last) > 0 {
		last = r.point
	}
	if r.outcome.Kind == outcome.Done {
		req.unit.UpdateStatements(c.prepared)
		buf = c.appendToken(buf, last)
	}
	buf = appendMessage(buf, &pgproto3.ReadyForQuery{TxStatus: c.callerStatus()})
	if err := c.deliverBytes(buf, r.term); err != nil {
		return err
	}
	c.recordDelivery(req, r, last)
	return nil
}

func (c *callerSession) deliverBytes(buf []byte, term topo.Term) error {
	if term == 0 {
		return c.write(buf)
	}
	return c.acknowledge(buf, term)
}

// recordDelivery updates the session after a result has been sent to the
// caller.
func (c *callerSession) recordDelivery(req *request, r result, last topo.Point) {
	switch {
	case r.outcome.Kind == outcome.Done:
		c.lastWrite, c.tokenPoint = last, last
	case r.outcome.Code == outcome.CodeWriteLost:
		c.lastWrite = topo.Point{} // reported once; the session continues without it
	}
	// A request id that the caller set for the session applies to one write
	// only.
	ended := r.outcome.Kind == outcome.Done || r.outcome.Kind == outcome.Failed
	if ended && req.service.Writes && req.unit.Executes && c.attrs.RequestID == req.id {
		c.attrs.RequestID = ""
	}
}

// acknowledge sends an acknowledgement under the lease. It sends all but the
// last part first, since that may take long and the caller cannot use an
// answer without its end.
func (c *callerSession) acknowledge(buf []byte, term topo.Term) error {
	if !c.server.opts.Control.Holds(c.group, term) {
		return errLeaseEnded
	}
	if head := len(buf) - leasedTailBytes; head > 0 {
		if err := c.write(buf[:head]); err != nil {
			return err
		}
		buf = buf[head:]
		if !c.server.opts.Control.Holds(c.group, term) {
			return errAnswerTruncated
		}
	}
	release, ok := c.server.opts.Control.Hold(c.group, term)
	defer release()
	if !ok {
		return errLeaseEnded
	}
	return c.writeWithin(buf, leasedWriteTimeout)
}

func (c *callerSession) observe(req *request, r result) {
	c.server.opts.Observer.Ended(Request{
		Group: c.group, Service: req.service, Session: req.attrs.SessionID, RequestID: req.id,
		Outcome: r.outcome, Upstream: r.upstream, Role: r.role, Took: time.Since(req.arrived),
	})
}

// appendToken appends the new session token if the session's latest write has
// changed.
func (c *callerSession) appendToken(buf []byte, last topo.Point) []byte {
	if last == c.tokenPoint {
		return buf
	}
	text := c.server.opts.Signer.Sign(session.Token{Group: c.group, Point: last})
	return appendMessage(buf, &pgproto3.ParameterStatus{Name: statement.Prefix + statement.AttrToken, Value: text})
}

func (c *callerSession) refuse(o outcome.Outcome) error {
	buf := appendOutcome(nil, o)
	return c.write(appendMessage(buf, &pgproto3.ReadyForQuery{TxStatus: c.callerStatus()}))
}

// callerStatus returns the transaction status that is reported to the caller.
func (c *callerSession) callerStatus() byte {
	if c.txState == stateLost {
		return 'E'
	}
	if c.tx != nil {
		return c.tx.status
	}
	return 'I'
}

func (c *callerSession) write(buf []byte) error {
	return c.writeWithin(buf, c.server.opts.Limits.CallerWrite)
}
