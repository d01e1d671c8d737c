// Package dbcontrol sends the control statements of
// docs/design/002-upstream-interface.md to databases: status, fence, promote,
// follow and wait.
package dbcontrol

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/cicadacove/cicadacove/internal/clock"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/dbapi"
)

// codeTermRefused is the SQLSTATE with which a database refuses a term below the
// one that it is fenced to.
const codeTermRefused = "CT001"

// maxIdle bounds the idle control connections to one database.
const maxIdle = 2

// Location and Status are those of dbapi.
type (
	Location = dbapi.Location
	Status   = dbapi.Status
)

// Options configures a Client.
type Options struct {
	User, Password string
	// Dial opens connections; nil means a net.Dialer.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Client pools control connections to databases. A database does not count them
// against its connection limit.
type Client struct {
	opts Options

	mu     sync.Mutex
	closed bool
	idle   map[target][]*pgconn.PgConn
}

type target struct {
	group topo.GroupID
	addr  string
}

// New returns a client without connections.
func New(opts Options) *Client {
	if opts.Dial == nil {
		opts.Dial = new(net.Dialer).DialContext
	}
	return &Client{opts: opts, idle: map[target][]*pgconn.PgConn{}}
}

var _ dbapi.Client = (*Client)(nil)

// Close closes all idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for t, conns := range c.idle {
		for _, conn := range conns {
			closeConn(conn)
		}
		delete(c.idle, t)
	}
}

// Status queries the state of the database.
func (c *Client) Status(ctx context.Context, at Location) (Status, error) {
	return c.run(ctx, target{at.Group, at.Addr}, always, "SELECT cicadacove_status()")
}

// Fence makes the database refuse all terms below t.
func (c *Client) Fence(ctx context.Context, p dbapi.Permit, at Location, t topo.Term) (Status, error) {
	return c.run(ctx, target{at.Group, at.Addr}, p.Check, fmt.Sprintf("SELECT cicadacove_fence(%d)", t))
}

// Promote makes the database the primary of term t.
func (c *Client) Promote(ctx context.Context, p dbapi.Permit, at Location, t topo.Term) (Status, error) {
	return c.run(ctx, target{at.Group, at.Addr}, p.Check, fmt.Sprintf("SELECT cicadacove_promote(%d)", t))
}

// Follow makes the database a replica of the primary of term t.
func (c *Client) Follow(ctx context.Context, p dbapi.Permit, at Location, t topo.Term, primary string) (Status, error) {
	return c.run(ctx, target{at.Group, at.Addr}, p.Check, fmt.Sprintf("SELECT cicadacove_follow(%d, '%s')", t, primary))
}

// Wait returns the status once the log of the database covers p, or after limit.
func (c *Client) Wait(ctx context.Context, at Location, p topo.Point, limit time.Duration) (Status, error) {
	return c.run(ctx, target{at.Group, at.Addr}, always, fmt.Sprintf("SELECT cicadacove_wait('%s', %d)", p, limit.Milliseconds()))
}

// check reports, immediately before a statement is sent, whether it may be.
type check func(now time.Time) error

// always is the check of statements that change nothing.
func always(time.Time) error { return nil }

// run executes a statement. It tries the idle connections, which may be broken,
// and then a new one; retries are safe because all control statements are
// idempotent.
func (c *Client) run(ctx context.Context, t target, may check, sql string) (Status, error) {
	for conn := c.takeIdle(t); conn != nil; conn = c.takeIdle(t) {
		s, err := c.exec(ctx, t, conn, may, sql)
		var refused *pgconn.PgError
		if err == nil || ctx.Err() != nil || errors.As(err, &refused) || errors.Is(err, dbapi.ErrHigherTerm) || errors.Is(err, dbapi.ErrPermitExpired) {
			return s, err
		}
	}
	conn, err := c.connect(ctx, t)
	if err != nil {
		return Status{}, err
	}
	return c.exec(ctx, t, conn, may, sql)
}

func (c *Client) exec(ctx context.Context, t target, conn *pgconn.PgConn, may check, sql string) (Status, error) {
	if err := may(clock.Now()); err != nil {
		c.putIdle(t, conn)
		return Status{}, err
	}
	results, err := conn.Exec(ctx, sql).ReadAll()
	if conn.IsClosed() {
		return Status{}, fmt.Errorf("dbcontrol: %s: %w", t.addr, err)
	}
	c.putIdle(t, conn)
	var refused *pgconn.PgError
	if errors.As(err, &refused) && refused.Code == codeTermRefused {
		return Status{}, dbapi.ErrHigherTerm
	}
	if err != nil {
		return Status{}, fmt.Errorf("dbcontrol: %s: %w", t.addr, err)
	}
	return parseStatus(results)
}

func (c *Client) takeIdle(t target) *pgconn.PgConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[t]
	if len(conns) == 0 {
		return nil
	}
	conn := conns[len(conns)-1]
	c.idle[t] = conns[:len(conns)-1]
	return conn
}

func (c *Client) putIdle(t target, conn *pgconn.PgConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.idle[t]) >= maxIdle {
		closeConn(conn)
		return
	}
	c.idle[t] = append(c.idle[t], conn)
}

func (c *Client) connect(ctx context.Context, t target) (*pgconn.PgConn, error) {
	host, portText, err := net.SplitHostPort(t.addr)
	if err != nil {
		return nil, fmt.Errorf("dbcontrol: address %q: %w", t.addr, err)
	}
	port, err := strconv.ParseUint(portText, 10, 16)
	if err != nil {
		return nil, fmt.Errorf("dbcontrol: address %q: %w", t.addr, err)
	}
	config, err := pgconn.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, fmt.Errorf("dbcontrol: %w", err)
	}
	config.Host, config.Port = host, uint16(port)
	config.User, config.Password = c.opts.User, c.opts.Password
	config.Database = string(t.group)
	config.Fallbacks = nil
	config.RuntimeParams = map[string]string{"cicadacove.control": "on"}
	config.DialFunc = c.opts.Dial
	return pgconn.ConnectConfig(ctx, config)
}

func closeConn(conn *pgconn.PgConn) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = conn.Close(ctx)
}

const statusColumns = 6

func parseStatus(results []*pgconn.Result) (Status, error) {
	if len(results) != 1 || len(results[0].Rows) != 1 || len(results[0].Rows[0]) != statusColumns {
		return Status{}, errors.New("dbcontrol: status: want one row of six columns")
	}
	row := results[0].Rows[0]
	var numbers [3]uint64
	for i := range numbers {
		n, err := strconv.ParseUint(string(row[3+i]), 10, 64)
		if err != nil {
			return Status{}, fmt.Errorf("dbcontrol: status: %w", err)
		}
		numbers[i] = n
	}
	return Status{
		ID:         topo.UpstreamID(row[0]),
		Role:       topo.Role(row[2]),
		Term:       topo.Term(numbers[0]),
		Point:      topo.Reported(topo.Point{Term: topo.Term(numbers[0]), Position: topo.Position(numbers[1])}),
		FencedTerm: topo.Term(numbers[2]),
	}, nil
}
