package cluster

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/caller"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/questionnaire"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/entry"
	"github.com/cicadacove/cicadacove/internal/users"
)

// drainGrace is the grace period in tests of a drain.
const drainGrace = 2400 * time.Millisecond

// beginStop starts the graceful shutdown of an entry instance. The channel receives
// its result.
func beginStop(t *testing.T, c *Cluster, e *Entry) <-chan error {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), drainGrace)
	t.Cleanup(cancel)
	ended := make(chan error, 1)
	go func() { ended <- c.Shutdown(ctx, e) }()
	return ended
}

func requireOutcome(t *testing.T, kind outcome.Kind, code string, err error) {
	t.Helper()
	var pgErr *pgconn.PgError
	require.ErrorAs(t, err, &pgErr, "the connection ended without an answer")
	require.Equal(t, kind, caller.Outcome(err).Kind, "%v", err)
	require.Equal(t, code, pgErr.Code)
}

func setDelay(c *Cluster, d time.Duration) {
	for _, db := range c.Databases() {
		db.SetDelay(d)
	}
}

func requireRowCount(t *testing.T, c *Cluster, g topo.GroupID, want int) {
	t.Helper()
	primary, ok := c.Primary(g)
	require.True(t, ok)
	rows, err := primary.Contents("SELECT id FROM booking")
	require.NoError(t, err)
	require.Len(t, rows, want)
}

// Guards against a closed connection in place of the answer to a write or a read that
// still runs near the end of the grace period.
func TestStatementsThatOutliveADrainAreAnswered(t *testing.T) {
	c, g, ctx := startClusterWith(t, nil)
	setup := connect(t, c, c.Entry(1), g, c.Profile.Urgent)
	execRetry(t, ctx, setup, "CREATE TABLE booking (id INTEGER)")
	writer := connect(t, c, c.Entry(0), g, c.Profile.Urgent)
	reader := connect(t, c, c.Entry(0), g, c.Profile.Low)
	setDelay(c, 2*drainGrace)
	errs := make(chan error, 2)
	go func() {
		_, err := writer.Exec(ctx, "INSERT INTO booking VALUES (1)")
		errs <- err
	}()
	go func() {
		_, err := reader.Exec(ctx, "SELECT 1")
		errs <- err
	}()
	time.Sleep(100 * time.Millisecond)
	ended := beginStop(t, c, c.Entry(0))
	for range cap(errs) {
		requireOutcome(t, outcome.NotRun, outcome.CodeShuttingDown, <-errs)
	}
	require.NoError(t, <-ended)
	setDelay(c, 0)
	requireRowCount(t, c, g, 0)
}

// Guards against a write that may have taken effect and whose caller gets no outcome: a
// statement without a request id, and a COMMIT that waits for its second copy.
func TestWritesThatOutliveADrainAreUnknown(t *testing.T) {
	c, g, ctx := startClusterWith(t, func(o *Options) {
		for i := range o.Profile.Answers.Services {
			if s := &o.Profile.Answers.Services[i]; s.Name == o.Profile.Normal {
				s.HarmDoubled = questionnaire.HarmNone
			}
		}
	})
	conn := connect(t, c, c.Entry(0), g, c.Profile.Urgent)
	execRetry(t, ctx, conn, "CREATE TABLE booking (id INTEGER)")
	tx, err := conn.Begin(ctx)
	require.NoError(t, err)
	_, err = tx.Exec(ctx, "INSERT INTO booking VALUES (1)")
	require.NoError(t, err)
	repeatable := connect(t, c, c.Entry(0), g, c.Profile.Normal)
	setDelay(c, 2*drainGrace)
	primary, ok := c.Primary(g)
	require.True(t, ok)
	for _, db := range c.Databases() {
		if db != primary {
			db.Hang(true)
		}
	}
	errs := make(chan error, 2)
	go func() { errs <- tx.Commit(ctx) }()
	go func() {
		_, err := repeatable.Exec(ctx, "DELETE FROM booking")
		errs <- err
	}()
	time.Sleep(100 * time.Millisecond)
	ended := beginStop(t, c, c.Entry(0))
	for range cap(errs) {
		requireOutcome(t, outcome.Unknown, outcome.CodeUnknownResult, <-errs)
	}
	require.NoError(t, <-ended)
}

// Guards against transactions that go on until their connections are closed.
func TestOpenTransactionsEndAtHalfTheGracePeriod(t *testing.T) {
	c, g, ctx := startClusterWith(t, nil)
	setup := connect(t, c, c.Entry(1), g, c.Profile.Urgent)
	execRetry(t, ctx, setup, "CREATE TABLE booking (id INTEGER)")
	idle := connect(t, c, c.Entry(0), g, c.Profile.Urgent)
	busy := connect(t, c, c.Entry(0), g, c.Profile.Urgent)
	for _, conn := range []*pgx.Conn{idle, busy} {
		execRetry(t, ctx, conn, "BEGIN")
		_, err := conn.Exec(ctx, "INSERT INTO booking VALUES (1)")
		require.NoError(t, err)
	}
	began := time.Now()
	ended := beginStop(t, c, c.Entry(0))
	var err error
	for err == nil {
		_, err = busy.Exec(ctx, "INSERT INTO booking VALUES (2)")
		time.Sleep(5 * time.Millisecond)
	}
	requireOutcome(t, outcome.NotRun, outcome.CodeShuttingDown, err)
	require.GreaterOrEqual(t, time.Since(began), drainGrace/2)
	_, err = idle.Exec(ctx, "COMMIT")
	requireOutcome(t, outcome.NotRun, outcome.CodeShuttingDown, err)
	require.NoError(t, <-ended)
	require.Less(t, time.Since(began), drainGrace)
	requireRowCount(t, c, g, 0)
}

// dialRaw opens a connection that the test uses without a driver.
func dialRaw(t *testing.T, e *Entry) (net.Conn, *pgproto3.Frontend) {
	t.Helper()
	conn, err := net.Dial("tcp", e.Addr())
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	return conn, pgproto3.NewFrontend(conn, conn)
}

// openRaw opens a session.
func openRaw(t *testing.T, e *Entry, g topo.GroupID, service string) (net.Conn, *pgproto3.Frontend) {
	t.Helper()
	conn, frontend := dialRaw(t, e)
	frontend.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{
		"user": "app", "database": string(g), "cicadacove.service": service,
	}})
	require.NoError(t, frontend.Flush())
	receiveUntilReady(t, frontend)
	return conn, frontend
}

func receiveUntilReady(t *testing.T, frontend *pgproto3.Frontend) []pgproto3.BackendMessage {
	t.Helper()
	var msgs []pgproto3.BackendMessage
	for {
		msg, err := frontend.Receive()
		require.NoError(t, err)
		if refusal, ok := msg.(*pgproto3.ErrorResponse); ok {
			copied := *refusal
			msg = &copied
		}
		msgs = append(msgs, msg)
		if _, ready := msg.(*pgproto3.ReadyForQuery); ready {
			return msgs
		}
	}
}

func requireShutdownRefusal(t *testing.T, msg pgproto3.BackendMessage) {
	t.Helper()
	refusal, ok := msg.(*pgproto3.ErrorResponse)
	require.True(t, ok, "%T", msg)
	require.Equal(t, "FATAL", refusal.Severity)
	require.Equal(t, outcome.CodeShuttingDown, refusal.Code, refusal.Message)
	require.Equal(t, "outcome: "+string(outcome.NotRun), refusal.Detail)
}

// Guards against a reset that destroys the refusal of requests that the instance has
// not read.
func TestUnreadRequestsDoNotResetTheRefusal(t *testing.T) {
	c, g, _ := startClusterWith(t, nil)
	conn, frontend := openRaw(t, c.Entry(0), g, c.Profile.Low)
	setDelay(c, 200*time.Millisecond)
	for range 4 {
		frontend.SendQuery(&pgproto3.Query{String: "SELECT '" + strings.Repeat("x", 64<<10) + "'"})
	}
	require.NoError(t, frontend.Flush())
	time.Sleep(50 * time.Millisecond)
	ended := beginStop(t, c, c.Entry(0))
	receiveUntilReady(t, frontend)
	msg, err := frontend.Receive()
	require.NoError(t, err)
	requireShutdownRefusal(t, msg)
	rest, err := io.ReadAll(conn)
	require.NoError(t, err, "the connection must end without a reset")
	require.Empty(t, rest)
	require.NoError(t, conn.Close())
	require.NoError(t, <-ended)
}

// Guards against a part of a request that holds a drain, or ends without an answer.
func TestPartsOfRequestsAreRefusedAtADrain(t *testing.T) {
	c, g, _ := startClusterWith(t, nil)
	query, err := (&pgproto3.Query{String: "SELECT 1"}).Encode(nil)
	require.NoError(t, err)
	parse, err := (&pgproto3.Parse{Query: "SELECT 1"}).Encode(nil)
	require.NoError(t, err)
	for name, sent := range map[string][]byte{"header": query[:3], "body": query[:9], "unit": parse} {
		t.Run(name, func(t *testing.T) {
			e := c.Entry(map[string]int{"header": 0, "body": 1, "unit": 3}[name])
			conn, frontend := openRaw(t, e, g, c.Profile.Low)
			_, err := conn.Write(sent)
			require.NoError(t, err)
			time.Sleep(50 * time.Millisecond)
			ended := beginStop(t, c, e)
			msg, err := frontend.Receive()
			require.NoError(t, err)
			requireShutdownRefusal(t, msg)
			_, err = frontend.Receive()
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
			require.NoError(t, conn.Close())
			require.NoError(t, <-ended)
		})
	}
}

// Guards against a request that the idle transaction limit cuts in two.
func TestIdleLimitKeepsThePartOfARequest(t *testing.T) {
	c, g, _ := startClusterWith(t, func(o *Options) { o.Limits.IdleTransaction = 50 * time.Millisecond })
	conn, frontend := openRaw(t, c.Entry(0), g, c.Profile.Low)
	frontend.SendQuery(&pgproto3.Query{String: "BEGIN"})
	require.NoError(t, frontend.Flush())
	receiveUntilReady(t, frontend)
	query, err := (&pgproto3.Query{String: "SELECT 1"}).Encode(nil)
	require.NoError(t, err)
	for _, cut := range []int{3, 9} {
		_, err = conn.Write(query[:cut])
		require.NoError(t, err)
		time.Sleep(200 * time.Millisecond)
		_, err = conn.Write(query[cut:])
		require.NoError(t, err)
		refusal, ok := receiveUntilReady(t, frontend)[0].(*pgproto3.ErrorResponse)
		require.True(t, ok)
		require.Equal(t, "25P02", refusal.Code)
	}
	frontend.SendQuery(&pgproto3.Query{String: "ROLLBACK"})
	frontend.SendQuery(&pgproto3.Query{String: "SELECT 1"})
	require.NoError(t, frontend.Flush())
	receiveUntilReady(t, frontend)
	require.IsType(t, &pgproto3.RowDescription{}, receiveUntilReady(t, frontend)[0])
}

// Guards against a connection without a session that holds a drain and ends without a
// reason.
func TestStartupIsRefusedAtADrain(t *testing.T) {
	c, _, _ := startClusterWith(t, nil)
	_, silent := dialRaw(t, c.Entry(0))
	asking, encryption := dialRaw(t, c.Entry(0))
	encryption.Send(&pgproto3.SSLRequest{})
	require.NoError(t, encryption.Flush())
	answer := make([]byte, 1)
	_, err := io.ReadFull(asking, answer)
	require.NoError(t, err)
	require.Equal(t, "N", string(answer))
	began := time.Now()
	ended := beginStop(t, c, c.Entry(0))
	for _, frontend := range []*pgproto3.Frontend{silent, encryption} {
		msg, err := frontend.Receive()
		require.NoError(t, err)
		requireShutdownRefusal(t, msg)
	}
	require.Less(t, time.Since(began), drainGrace*11/12)
	require.NoError(t, <-ended)
}

// Guards against a reset that destroys the refusal of one caller too many.
func TestRefusalOfTooManyCallersIsNotReset(t *testing.T) {
	c, g, _ := startClusterWith(t, func(o *Options) { o.Limits = entry.DefaultLimits(); o.Limits.Callers = 1 })
	openRaw(t, c.Entry(0), g, c.Profile.Low)
	conn, frontend := dialRaw(t, c.Entry(0))
	frontend.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "app"}})
	require.NoError(t, frontend.Flush())
	msg, err := frontend.Receive()
	require.NoError(t, err)
	refusal, ok := msg.(*pgproto3.ErrorResponse)
	require.True(t, ok, "%T", msg)
	require.Equal(t, "53300", refusal.Code)
	_, err = io.ReadAll(conn)
	require.NoError(t, err, "the connection must end without a reset")
}

// Guards against a closed connection in place of the end of an answer whose first part
// the caller has, on a replica and inside a transaction.
func TestTruncatedAnswerEndsWithAnError(t *testing.T) {
	c, g, ctx := startClusterWith(t, nil)
	setup := connect(t, c, c.Entry(0), g, c.Profile.Urgent)
	execRetry(t, ctx, setup, "CREATE TABLE booking (id INTEGER, note TEXT)")
	for i := range 40 {
		execRetry(t, ctx, setup, "INSERT INTO booking VALUES ($1, $2)", i, strings.Repeat("x", 64<<10))
	}
	for _, begin := range []bool{false, true} {
		conn := connect(t, c, c.Entry(0), g, c.Profile.Low)
		execRetry(t, ctx, conn, "SELECT count(*) FROM booking /*cicadacove.max_age='0s'*/")
		if begin {
			execRetry(t, ctx, conn, "BEGIN")
		}
		for _, db := range c.Databases() {
			db.BreakMidResponse(0)
		}
		_, err := conn.Exec(ctx, "SELECT id, note FROM booking")
		for _, db := range c.Databases() {
			db.BreakMidResponse(-1)
		}
		var answer *pgconn.PgError
		require.ErrorAs(t, err, &answer, "the answer ended without an error")
		require.False(t, conn.IsClosed(), "the session goes on")
	}
}

// Guards against a TLS or SCRAM handshake that holds a drain, and against "authentication
// failed" in place of the true reason.
func TestStalledHandshakesEndAtADrain(t *testing.T) {
	verifier, err := users.NewVerifier("app", "secret")
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "users.toml")
	require.NoError(t, os.WriteFile(path, []byte("[[user]]\nname = \"app\"\nverifier = \""+verifier+"\"\n"), 0o600))
	credentials, err := users.Load(path)
	require.NoError(t, err)
	c, g, _ := startClusterWith(t, func(o *Options) {
		o.Users = credentials
		o.TLS = &tls.Config{Certificates: []tls.Certificate{selfSigned(t)}}
	})
	encrypting, request := dialRaw(t, c.Entry(0))
	request.Send(&pgproto3.SSLRequest{})
	require.NoError(t, request.Flush())
	answer := make([]byte, 1)
	_, err = io.ReadFull(encrypting, answer)
	require.NoError(t, err)
	require.Equal(t, "S", string(answer))
	_, proving := dialRaw(t, c.Entry(0))
	proving.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "app", "database": string(g)}})
	require.NoError(t, proving.Flush())
	msg, err := proving.Receive()
	require.NoError(t, err)
	require.IsType(t, &pgproto3.AuthenticationSASL{}, msg)
	ended := beginStop(t, c, c.Entry(0))
	msg, err = proving.Receive()
	require.NoError(t, err)
	requireShutdownRefusal(t, msg)
	_, err = io.ReadAll(encrypting)
	require.NoError(t, err, "without keys there is no refusal, but also no reset")
	require.NoError(t, <-ended)
}

// Guards against a caller that doesn't read its answer and holds a stop beyond its grace
// period.
func TestCallerThatDoesNotReadDoesNotHoldAStop(t *testing.T) {
	c, g, ctx := startClusterWith(t, nil)
	setup := connect(t, c, c.Entry(1), g, c.Profile.Urgent)
	execRetry(t, ctx, setup, "CREATE TABLE booking (id INTEGER, note TEXT)")
	execRetry(t, ctx, setup, "INSERT INTO booking VALUES (1, $1)", strings.Repeat("x", 512<<10))
	conn, frontend := openRaw(t, c.Entry(0), g, c.Profile.Low)
	require.NoError(t, conn.(*net.TCPConn).SetReadBuffer(4<<10))
	for range 40 {
		frontend.SendQuery(&pgproto3.Query{String: "SELECT note FROM booking"})
	}
	require.NoError(t, frontend.Flush())
	time.Sleep(time.Second)
	began := time.Now()
	require.ErrorContains(t, <-beginStop(t, c, c.Entry(0)), "connections were closed")
	require.Less(t, time.Since(began), drainGrace)
}
