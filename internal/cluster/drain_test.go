package cluster

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/entry"
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

func setDelay(c *Cluster, d time.Duration) {
	for _, db := range c.Databases() {
		db.SetDelay(d)
	}
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
