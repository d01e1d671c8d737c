// Package upstream manages the PostgreSQL connections of an entry instance to
// databases.
//
// The layers are independent: Conn is one connection, Pool and Set are those of
// connpool, and Confirmer checks that the log of a second database covers a write.
//
// A connection belongs to one transaction from its begin to its end. It returns
// to its pool only if the database has reported that no transaction is open and
// no answer is outstanding; otherwise it is closed.
package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// Names of the connection parameters: ParamTerm is sent to an upstream, ParamPoint
// is reported by it.
const (
	ParamTerm  = "cicadacove.term"
	ParamPoint = "cicadacove.point"
)

// SQLSTATE codes of upstreams.
const (
	CodeTermRefused     = "CT001"
	CodeTooManyConns    = "53300"
	CodeUniqueViolation = "23505"
	CodeUndefinedTable  = "42P01"
	CodeSerialization   = "40001"
	CodeReadOnly        = "25006"
)

// DialFunc opens a network connection.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Target is the address of one upstream and the credentials for it.
type Target struct {
	ID       topo.UpstreamID
	Group    topo.GroupID
	Addr     string
	User     string
	Password string
	Dial     DialFunc
}

// ConnectError reports that a connection could not be opened. Nothing was
// sent on it.
type ConnectError struct {
	Upstream topo.UpstreamID
	// Code is the SQLSTATE of the upstream's refusal, empty when it did not
	// answer.
	Code string
	Err  error
}

// Error implements error.
func (e *ConnectError) Error() string {
	return fmt.Sprintf("upstream %s: connect: %v", e.Upstream, e.Err)
}

// TooMany implements connpool.TooManyError.
func (e *ConnectError) TooMany() bool { return e.Code == CodeTooManyConns }

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error { return e.Err }

// Conn is one connection to an upstream. It is used by one goroutine at a time.
type Conn struct {
	target         Target
	term           topo.Term
	conn           net.Conn
	frontend       *pgproto3.Frontend
	pid            uint32
	secret         []byte
	point          topo.Point
	tx             byte
	pendingAnswers int // outstanding answers (ReadyForQuery)
	broken         bool
	retired        atomic.Bool
	prepared       map[string]bool
	// answeredAt is the time of the last complete answer.
	answeredAt time.Time
}

// Connect opens a connection that writes under term; with term 0 it is for reads
// only. It fails if the upstream does not report its point: a point that is absent later
// means that it has not changed.
func Connect(ctx context.Context, t Target, term topo.Term) (*Conn, error) {
	cfg, err := connectConfig(t, term)
	if err != nil {
		return nil, &ConnectError{Upstream: t.ID, Err: err}
	}
	pc, err := pgconn.ConnectConfig(ctx, cfg)
	if err != nil {
		var pgErr *pgconn.PgError
		code := ""
		if errors.As(err, &pgErr) {
			code = pgErr.Code
		}
		return nil, &ConnectError{Upstream: t.ID, Code: code, Err: err}
	}
	h, err := pc.Hijack()
	if err != nil {
		return nil, &ConnectError{Upstream: t.ID, Err: err}
	}
	c := &Conn{target: t, term: term, conn: h.Conn, frontend: h.Frontend, pid: h.PID, secret: h.SecretKey, tx: h.TxStatus, prepared: map[string]bool{}, answeredAt: time.Now()}
	if err := c.setPoint(h.ParameterStatuses[ParamPoint]); err != nil {
		c.Close()
		return nil, &ConnectError{Upstream: t.ID, Err: err}
	}
	return c, nil
}

func connectConfig(t Target, term topo.Term) (*pgconn.Config, error) {
	host, port, err := net.SplitHostPort(t.Addr)
	if err != nil {
		return nil, err
	}
	number, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return nil, err
	}
	cfg, err := pgconn.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, err
	}
	cfg.Host, cfg.Port = host, uint16(number)
	cfg.User, cfg.Password, cfg.Database = t.User, t.Password, string(t.Group)
	cfg.Fallbacks = nil
	if t.Dial != nil {
		cfg.DialFunc = pgconn.DialFunc(t.Dial)
	}
	if term != 0 {
		cfg.RuntimeParams[ParamTerm] = strconv.FormatUint(uint64(term), 10)
	}
	return cfg, nil
}

// Upstream returns the id of the database.
func (c *Conn) Upstream() topo.UpstreamID { return c.target.ID }

// Term returns the term under which the connection writes, 0 if it only reads.
func (c *Conn) Term() topo.Term { return c.term }

// Point returns the database's point as of the last answer on this connection.
func (c *Conn) Point() topo.Point { return c.point }

// InTransaction reports whether a transaction is open on the connection.
func (c *Conn) InTransaction() bool { return c.tx != 'I' }

// maxPrepared bounds the prepared statements of a connection; one with more is
// closed when it is released.
const maxPrepared = 500

// AnsweredAt returns the time of the last complete answer, or of the opening if
// there was none.
func (c *Conn) AnsweredAt() time.Time { return c.answeredAt }

// Clean reports whether the connection may serve another transaction.
func (c *Conn) Clean() bool {
	return !c.broken && c.pendingAnswers == 0 && c.tx == 'I' && !c.retired.Load() && len(c.prepared) <= maxPrepared
}

// Retire prevents the connection from serving another transaction: a cancel
// request was sent for it and may arrive late.
func (c *Conn) Retire() { c.retired.Store(true) }

// Prepared reports whether the named statement is prepared on the connection.
func (c *Conn) Prepared(name string) bool { return c.prepared[name] }

// MarkPrepared records that the named statement is prepared.
func (c *Conn) MarkPrepared(name string) { c.prepared[name] = true }

// Close closes the connection at once.
func (c *Conn) Close() {
	c.broken = true
	c.conn.Close()
}

// Abort makes the running statement fail.
func (c *Conn) Abort() { c.conn.Close() }

// Send writes the messages. answers is the number of ReadyForQuery messages with
// which the upstream answers them.
func (c *Conn) Send(answers int, msgs ...pgproto3.FrontendMessage) error {
	for _, m := range msgs {
		c.frontend.Send(m)
	}
	c.pendingAnswers += answers
	if err := c.frontend.Flush(); err != nil {
		c.broken = true
		return err
	}
	return nil
}

// Answer is the state after one complete answer of the upstream.
type Answer struct {
	// Tx is the transaction status: 'I' idle, 'T' in a transaction, 'E'
	// failed transaction.
	Tx byte
	// Err is the first error of the answer, nil when it succeeded.
	Err *pgconn.PgError
	// Point is the database's point after the answer.
	Point topo.Point
}

// Receive reads one answer up to ReadyForQuery and passes its messages to sink,
// which must not retain them. It does not pass on the ParameterStatus of the point
// and ReadyForQuery. An error means that the connection is broken and the answer
// incomplete.
func (c *Conn) Receive(ctx context.Context, sink func(pgproto3.BackendMessage) error) (Answer, error) {
	stop := context.AfterFunc(ctx, func() { c.conn.SetDeadline(time.Unix(1, 0)) })
	var a Answer
	for {
		msg, err := c.frontend.Receive()
		if err != nil {
			c.broken = true
			stop()
			return a, receiveError(ctx, err)
		}
		if ready, ok := msg.(*pgproto3.ReadyForQuery); ok {
			c.finish(&a, ready.TxStatus)
			if !stop() {
				c.broken = true
			}
			return a, nil
		}
		if err := c.handleMessage(&a, msg, sink); err != nil {
			c.broken = true
			stop()
			return a, err
		}
	}
}

func receiveError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

func (c *Conn) finish(a *Answer, tx byte) {
	c.pendingAnswers--
	c.tx = tx
	c.answeredAt = time.Now()
	a.Tx = tx
	a.Point = c.point
}

func (c *Conn) handleMessage(a *Answer, msg pgproto3.BackendMessage, sink func(pgproto3.BackendMessage) error) error {
	switch m := msg.(type) {
	case *pgproto3.ParameterStatus:
		if m.Name == ParamPoint {
			return c.setPoint(m.Value)
		}
	case *pgproto3.ErrorResponse:
		if a.Err == nil {
			a.Err = pgconn.ErrorResponseToPgError(m)
		}
	case *pgproto3.CopyInResponse:
		return fmt.Errorf("upstream %s: COPY is not supported", c.target.ID)
	}
	if sink == nil {
		return nil
	}
	return sink(msg)
}

// setPoint records the point that the upstream reports. A commit must not be taken for
// an earlier one, so an unreadable point is an error.
func (c *Conn) setPoint(text string) error {
	p, err := topo.ParsePoint(text)
	if err != nil {
		return fmt.Errorf("upstream %s: %s: %w", c.target.ID, ParamPoint, err)
	}
	c.point = p
	return nil
}

// Exec sends one simple query and reads its answer. rows holds the text
// values of the last result set.
func (c *Conn) Exec(ctx context.Context, sql string) (rows [][]string, a Answer, err error) {
	if err := c.Send(1, &pgproto3.Query{String: sql}); err != nil {
		return nil, Answer{}, err
	}
	a, err = c.Receive(ctx, CollectRows(&rows))
	return rows, a, err
}

// CollectRows returns a sink that stores the text values of the last result set.
func CollectRows(rows *[][]string) func(pgproto3.BackendMessage) error {
	return func(msg pgproto3.BackendMessage) error {
		switch m := msg.(type) {
		case *pgproto3.RowDescription:
			*rows = nil
		case *pgproto3.DataRow:
			row := make([]string, len(m.Values))
			for i, v := range m.Values {
				row[i] = string(v)
			}
			*rows = append(*rows, row)
		}
		return nil
	}
}

// Cancel retires the connection and sends the upstream a cancel request for the
// running statement.
func (c *Conn) Cancel(ctx context.Context) error {
	c.Retire()
	dial := c.target.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	conn, err := dial(ctx, "tcp", c.target.Addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	msg, err := (&pgproto3.CancelRequest{ProcessID: c.pid, SecretKey: c.secret}).Encode(nil)
	if err != nil {
		return err
	}
	_, err = conn.Write(msg)
	return err
}
