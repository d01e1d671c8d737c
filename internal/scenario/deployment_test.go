package scenario

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/cluster"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/oracle"
	"github.com/cicadacove/cicadacove/internal/standin"
)

const (
	// requestTimeout limits one request of a caller.
	requestTimeout = 20 * time.Second
	// recoveryTimeout limits the recovery after the last fault has ended.
	recoveryTimeout = 60 * time.Second
	pollInterval    = 10 * time.Millisecond
	createTable     = "CREATE TABLE IF NOT EXISTS ledger (session TEXT, request TEXT, part INTEGER)"
	selectRows      = "SELECT session, request, part FROM ledger"
)

// deployment is a cluster under test, with the session tokens of its callers and
// the oracle that checks it.
type deployment struct {
	cluster *cluster.Cluster
	oracle  *oracle.Oracle

	mu       sync.Mutex
	tokens   map[string]string   // the latest token of each session that has one
	outcomes map[string][]string // descriptions of the outcomes of each request
}

// deployments counts the deployments of this process.
var deployments atomic.Uint32

// deploymentIP returns a loopback address for one deployment. Connections to other
// addresses, and listeners of other deployments, can't take a port of an instance that is
// down.
func deploymentIP() string {
	pid := os.Getpid()
	return net.IPv4(127, byte(100+deployments.Add(1)%100), byte(pid>>8), max(1, byte(pid))).String()
}

func newDeployment(ctx context.Context, o cluster.Options) (*deployment, error) {
	o.IP = deploymentIP()
	c, err := cluster.Start(ctx, o)
	if err != nil {
		return nil, err
	}
	d := &deployment{cluster: c, oracle: oracle.New(), tokens: make(map[string]string), outcomes: make(map[string][]string)}
	for _, g := range c.Profile.Groups() {
		if err := d.createTable(ctx, g); err != nil {
			c.Close()
			return nil, err
		}
	}
	return d, nil
}

func (d *deployment) createTable(ctx context.Context, g topo.GroupID) error {
	caller, err := d.connect(ctx, endpoint{entry: 0, group: g}, d.cluster.Profile.Urgent, identity{})
	if err != nil {
		return err
	}
	defer caller.Close(context.Background())
	for deadline := time.Now().Add(recoveryTimeout); ; time.Sleep(pollInterval) {
		err := exec(ctx, caller, createTable)
		if kindOf(err) != outcome.NotRun || time.Now().After(deadline) {
			return err
		}
	}
}

// endpoint is the entry instance and the group to which a caller sends a request.
type endpoint struct {
	entry int
	group topo.GroupID
}

// identity identifies a session. The entry instances look up a session by its id;
// a caller of a session without an id sends its token.
type identity struct {
	session string
	byID    bool
	maxAge  string // lowers the maximum data age of the service, unless empty
}

// connect opens a caller's connection.
func (d *deployment) connect(ctx context.Context, ep endpoint, service string, id identity) (*pgx.Conn, error) {
	address := fmt.Sprintf("postgres://app@%s/%s?sslmode=disable", d.cluster.Entry(ep.entry).Addr(), ep.group)
	config, err := pgx.ParseConfig(address)
	if err != nil {
		return nil, err
	}
	config.DialFunc = pgconn.DialFunc(d.cluster.CallerDial())
	config.DefaultQueryExecMode = pgx.QueryExecModeSimpleProtocol
	config.RuntimeParams["cicadacove.service"] = service
	if id.maxAge != "" {
		config.RuntimeParams["cicadacove.max_age"] = id.maxAge
	}
	if id.byID {
		config.RuntimeParams["cicadacove.session_id"] = id.session
	} else if token := d.token(id.session, ep.group); token != "" {
		config.RuntimeParams["cicadacove.session_token"] = token
	}
	fatal := &fatalError{}
	config.OnPgError = fatal.handle
	conn, err := pgx.ConnectConfig(ctx, config)
	if err == nil {
		conn.PgConn().CustomData()[fatalKey] = fatal
	}
	return conn, err
}

// fatalKey is the key of the fatalError in the custom data of a connection.
const fatalKey = "fatal error"

// fatalError stores the error with which a server closed a connection. pgx
// reports "conn closed" instead of it.
type fatalError struct{ err *pgconn.PgError }

func (f *fatalError) handle(_ *pgconn.PgConn, e *pgconn.PgError) bool {
	if e.Severity != "FATAL" {
		return true
	}
	f.err = e
	return false
}

// exec executes a statement.
func exec(ctx context.Context, conn *pgx.Conn, sql string) error {
	_, err := conn.Exec(ctx, sql)
	if fatal := conn.PgConn().CustomData()[fatalKey].(*fatalError); err != nil && fatal.err != nil {
		return fatal.err
	}
	return err
}

func tokenKey(session string, g topo.GroupID) string { return session + "@" + string(g) }

func (d *deployment) token(session string, g topo.GroupID) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tokens[tokenKey(session, g)]
}

func (d *deployment) storeToken(session string, g topo.GroupID, conn *pgx.Conn) {
	token := conn.PgConn().ParameterStatus("cicadacove.session_token")
	if token == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tokens[tokenKey(session, g)] = token
}

// kindOf returns the outcome that a caller infers from an error.
func kindOf(err error) outcome.Kind {
	if err == nil {
		return outcome.Done
	}
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		if kind, found := strings.CutPrefix(pgErr.Detail, "outcome: "); found {
			return outcome.Kind(kind)
		}
		return outcome.Failed
	}
	var connectErr *pgconn.ConnectError
	if errors.As(err, &connectErr) {
		return outcome.NotRun
	}
	return outcome.Unknown
}

// codeOf returns the SQLSTATE of an error, or an empty string.
func codeOf(err error) string {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return pgErr.Code
	}
	return ""
}

// writeRequest is one request of a caller that writes rows.
type writeRequest struct {
	endpoint
	identity
	requestID string
	parts     int
	// transaction sends each part as a statement of an explicit transaction.
	transaction bool
	service     string
}

// write sends a request and reports its outcome to the oracle.
func (d *deployment) write(ctx context.Context, req writeRequest) error {
	d.oracle.BeginWrite(tokenKey(req.session, req.group), req.requestID, req.parts, true)
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	conn, err := d.connect(ctx, req.endpoint, req.service, req.identity)
	if err != nil {
		d.oracle.EndWrite(req.requestID, outcome.NotRun)
		return err
	}
	defer closeCaller(conn)
	kind, err := send(ctx, conn, req)
	if kind == outcome.Done {
		d.storeToken(req.session, req.group, conn)
	}
	d.oracle.EndWrite(req.requestID, kind)
	d.recordOutcome(req, kind, err)
	return err
}

// recordOutcome stores the outcome of a copy of a request, so that a failed test
// can print it.
func (d *deployment) recordOutcome(req writeRequest, kind outcome.Kind, err error) {
	line := fmt.Sprintf("%s through %s: %s: %v", time.Now().Format("15:04:05.000000"), d.cluster.Entry(req.entry).ID, kind, err)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outcomes[req.requestID] = append(d.outcomes[req.requestID], line)
}

func (d *deployment) outcomesOf(request string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.outcomes[request]
}

func closeCaller(conn *pgx.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), pollInterval)
	defer cancel()
	_ = conn.Close(ctx) // the caller does not use it again, so an error does not matter
}

func send(ctx context.Context, conn *pgx.Conn, req writeRequest) (outcome.Kind, error) {
	tag := fmt.Sprintf(" /*cicadacove.request_id='%s'*/", req.requestID)
	if !req.transaction {
		err := exec(ctx, conn, insertParts(req, 0, req.parts)+tag)
		return kindOf(err), err
	}
	if err := exec(ctx, conn, "BEGIN"+tag); err != nil {
		return outcome.NotRun, err
	}
	for part := range req.parts {
		if err := exec(ctx, conn, insertParts(req, part, part+1)); err != nil {
			return outcome.NotRun, err
		}
	}
	err := exec(ctx, conn, "COMMIT")
	return kindOf(err), err
}

func insertParts(req writeRequest, from, to int) string {
	var rows []string
	for part := from; part < to; part++ {
		rows = append(rows, fmt.Sprintf("('%s', '%s', %d)", req.session, req.requestID, part))
	}
	return "INSERT INTO ledger VALUES " + strings.Join(rows, ", ")
}

// read reads the session's own rows and has the oracle check them.
func (d *deployment) read(ctx context.Context, ep endpoint, id identity, service string) ([]oracle.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	conn, err := d.connect(ctx, ep, service, id)
	if err != nil {
		return nil, err
	}
	defer closeCaller(conn)
	read := d.oracle.BeginRead(tokenKey(id.session, ep.group))
	rows, err := queryRows(ctx, conn, selectRows+" WHERE session = $1", id.session)
	if err != nil {
		return nil, err
	}
	read.End(withGroupSessions(rows, ep.group), string(d.cluster.Entry(ep.entry).ID))
	return rows, nil
}

func queryRows(ctx context.Context, conn *pgx.Conn, sql string, args ...any) ([]oracle.Row, error) {
	result, err := conn.Query(ctx, sql, args...)
	if err != nil {
		return nil, err
	}
	return pgx.CollectRows(result, pgx.RowToStructByPos[oracle.Row])
}

func withGroupSessions(rows []oracle.Row, g topo.GroupID) []oracle.Row {
	tagged := make([]oracle.Row, len(rows))
	for i, r := range rows {
		tagged[i] = r
		tagged[i].Session = tokenKey(r.Session, g)
	}
	return tagged
}

// recover ends all faults and waits until all instances may write and the
// databases have converged.
func (d *deployment) recover(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	d.cluster.Net.HealAll()
	for _, db := range d.cluster.Databases() {
		if db.Leaving() {
			if err := db.Restart(0); err != nil {
				return err
			}
		}
		db.Hang(false)
		db.SetDelay(0)
		db.SetReplicationLag(d.cluster.Profile.Lag)
	}
	for _, e := range d.cluster.Entries() {
		if e.Node == nil {
			if err := d.cluster.Restart(e, true); err != nil {
				return err
			}
		}
	}
	if err := d.cluster.WaitReady(ctx); err != nil {
		return err
	}
	return d.awaitConvergence(ctx)
}

// awaitConvergence waits until all databases of each group hold the same log.
func (d *deployment) awaitConvergence(ctx context.Context) error {
	for {
		divergence := d.divergence()
		if divergence == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("databases do not converge: %s", divergence)
		case <-time.After(pollInterval):
		}
	}
}

func (d *deployment) divergence() string {
	for _, g := range d.cluster.Profile.Groups() {
		primary, ok := d.cluster.Primary(g)
		if !ok {
			return fmt.Sprintf("group %s has no primary", g)
		}
		want := primary.Status()
		if want.Role != topo.RolePrimary {
			return fmt.Sprintf("%s is a %s", want.ID, want.Role)
		}
		for _, db := range d.databasesOf(g) {
			if got := db.Status(); got.Point != want.Point {
				return fmt.Sprintf("%s is at %s, the primary %s at %s", got.ID, got.Point, want.ID, want.Point)
			}
		}
	}
	return ""
}

func (d *deployment) databasesOf(g topo.GroupID) []*standin.Database {
	var list []*standin.Database
	for _, db := range d.cluster.Databases() {
		if db.Status().Group == g {
			list = append(list, db)
		}
	}
	return list
}

// checkContents has the oracle compare the final contents with the requests.
func (d *deployment) checkContents() error {
	var all []oracle.Row
	for _, g := range d.cluster.Profile.Groups() {
		primary, ok := d.cluster.Primary(g)
		if !ok {
			return fmt.Errorf("group %s has no primary", g)
		}
		rows, err := primary.Contents(selectRows)
		if err != nil {
			return err
		}
		for _, r := range rows {
			row := oracle.Row{Session: r[0].(string), Request: r[1].(string), Part: int(r[2].(int64))}
			all = append(all, withGroupSessions([]oracle.Row{row}, g)...)
		}
	}
	d.oracle.Finish(all)
	return nil
}

// Guards against an outgoing connection that takes the port of an instance that is down.
func TestInstanceRestartsThoughAConnectionHasItsPort(t *testing.T) {
	profile, err := cluster.NewProfile("selam")
	require.NoError(t, err)
	d, err := newDeployment(t.Context(), cluster.Options{Profile: profile, Seed: 1})
	require.NoError(t, err)
	defer d.cluster.Close()
	e := d.cluster.Entry(2)
	addr, err := netip.ParseAddrPort(e.Addr())
	require.NoError(t, err)
	d.cluster.Kill(e)
	other, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer other.Close()
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: int(addr.Port())}}
	conn, err := dialer.Dial("tcp", other.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, d.cluster.Restart(e, true))
}
