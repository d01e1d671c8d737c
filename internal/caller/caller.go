// Package caller is a small client of the proxy for the demo, experiments and
// scenarios. It runs one session over several entry instances, sends the request
// attributes in SQL comments and returns the outcome of each request.
//
//	c := caller.New(caller.Options{Addrs: addrs, Database: "ledger-1", Session: "s1"})
//	o := c.Write(ctx, 0, "booking", "request-7", "INSERT INTO booking (id) VALUES ($1)", 7)
package caller

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/upstream"
)

// Options configures a Client.
type Options struct {
	// Addrs are the addresses at which the entry instances accept callers.
	Addrs    []string
	Database string
	User     string
	Password string
	// Session is the session's id. It is empty for a session that is identified
	// by its connections and tokens only.
	Session string
	// Dial opens connections; nil means a net.Dialer.
	Dial upstream.DialFunc
}

// Client is one caller. Only one goroutine at a time may use it.
type Client struct {
	opts  Options
	conns []*pgx.Conn
	// token is the latest session token that the proxy has sent.
	token string
}

// New returns a client without connections.
func New(opts Options) *Client {
	return &Client{opts: opts, conns: make([]*pgx.Conn, len(opts.Addrs))}
}

// Token returns the latest session token.
func (c *Client) Token() string { return c.token }

// Close closes all connections.
func (c *Client) Close() {
	for i := range c.conns {
		c.closeConn(i)
	}
}

func (c *Client) closeConn(entry int) {
	if conn := c.conns[entry]; conn != nil {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		conn.Close(ctx)
		c.conns[entry] = nil
	}
}

// Conn returns the connection to an entry instance and opens it if necessary.
func (c *Client) Conn(ctx context.Context, entry int) (*pgx.Conn, error) {
	if conn := c.conns[entry]; conn != nil && !conn.IsClosed() {
		return conn, nil
	}
	cfg, err := pgx.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, err
	}
	host, port, err := splitAddr(c.opts.Addrs[entry])
	if err != nil {
		return nil, err
	}
	cfg.Host, cfg.Port = host, port
	cfg.Fallbacks = nil
	cfg.Database, cfg.User, cfg.Password = c.opts.Database, c.opts.User, c.opts.Password
	if cfg.User == "" {
		cfg.User = "app"
	}
	if c.opts.Dial != nil {
		cfg.DialFunc = pgconn.DialFunc(c.opts.Dial)
	}
	cfg.DefaultQueryExecMode = pgx.QueryExecModeExec
	conn, err := pgx.ConnectConfig(ctx, cfg)
	if err != nil {
		return nil, err
	}
	c.conns[entry] = conn
	return conn, nil
}

// Attributes are the attributes of one request. The keys are their names without
// the prefix "cicadacove.".
type Attributes map[string]string

// Comment returns sql with the attributes in a sqlcommenter comment.
func Comment(sql string, attrs Attributes) string {
	var pairs []string
	for _, name := range []string{"service", "session_id", "session_token", "request_id", "max_age"} {
		if v := attrs[name]; v != "" {
			pairs = append(pairs, fmt.Sprintf("cicadacove.%s='%s'", name, url.PathEscape(v)))
		}
	}
	return sql + " /*" + strings.Join(pairs, ",") + "*/"
}

// Write runs a statement at an entry instance and returns its outcome, which is
// unknown when the answer is lost.
func (c *Client) Write(ctx context.Context, entry int, service, requestID, sql string, args ...any) outcome.Outcome {
	conn, err := c.Conn(ctx, entry)
	if err != nil {
		return ConnectOutcome(err)
	}
	text := Comment(sql, Attributes{"service": service, "session_id": c.opts.Session, "request_id": requestID})
	if _, err = conn.Exec(ctx, text, args...); err != nil {
		if conn.IsClosed() {
			c.closeConn(entry)
		}
		return Outcome(err)
	}
	c.storeToken(conn)
	return outcome.Outcome{Kind: outcome.Done}
}

func (c *Client) storeToken(conn *pgx.Conn) {
	if t := conn.PgConn().ParameterStatus("cicadacove.session_token"); t != "" {
		c.token = t
	}
}

// Read runs a query at an entry instance and returns the first column of its
// rows as text. If withToken is set, the request carries the session token.
func (c *Client) Read(ctx context.Context, entry int, service string, withToken bool, sql string, args ...any) ([]string, outcome.Outcome) {
	conn, err := c.Conn(ctx, entry)
	if err != nil {
		return nil, ConnectOutcome(err)
	}
	attrs := Attributes{"service": service, "session_id": c.opts.Session}
	if withToken {
		attrs["session_token"] = c.token
	}
	rows, err := conn.Query(ctx, Comment(sql, attrs), args...)
	if err != nil {
		return nil, c.handleReadError(entry, err)
	}
	var out []string
	for rows.Next() {
		out = append(out, string(rows.RawValues()[0]))
	}
	if err := rows.Err(); err != nil {
		return nil, c.handleReadError(entry, err)
	}
	return out, outcome.Outcome{Kind: outcome.Done}
}

func (c *Client) handleReadError(entry int, err error) outcome.Outcome {
	if conn := c.conns[entry]; conn != nil && conn.IsClosed() {
		c.closeConn(entry)
	}
	return Outcome(err)
}

// Outcome returns the outcome of a request from its error.
func Outcome(err error) outcome.Outcome {
	if err == nil {
		return outcome.Outcome{Kind: outcome.Done}
	}
	var pgErr *pgconn.PgError
	if !errors.As(err, &pgErr) {
		return outcome.UnknownResult(err.Error())
	}
	o := outcome.Outcome{Kind: outcome.Failed, Code: pgErr.Code, Reason: pgErr.Message}
	if kind, found := strings.CutPrefix(pgErr.Detail, "outcome: "); found {
		o.Kind = outcome.Kind(kind)
	}
	if hint, found := strings.CutPrefix(pgErr.Hint, "retry after "); found {
		if d, err := time.ParseDuration(hint); err == nil {
			o.RetryAfter = d
		}
	}
	return o
}

// ConnectOutcome returns the outcome of a request that was not sent because its
// connection could not be opened.
func ConnectOutcome(err error) outcome.Outcome {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return outcome.Refused(pgErr.Code, pgErr.Message)
	}
	return outcome.Refused("08001", err.Error())
}
