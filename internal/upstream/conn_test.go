package upstream

import (
	"net"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// answer is a ParameterStatus with the point, or none if it is empty, and ReadyForQuery.
func answer(point string) []pgproto3.BackendMessage {
	var messages []pgproto3.BackendMessage
	if point != "" {
		messages = append(messages, &pgproto3.ParameterStatus{Name: ParamPoint, Value: point})
	}
	return append(messages, &pgproto3.ReadyForQuery{TxStatus: 'I'})
}

// serveOne accepts one connection and answers its start with the first point and each
// statement with the next one.
func serveOne(t *testing.T, points ...string) Target {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		backend := pgproto3.NewBackend(conn, conn)
		if _, err := backend.ReceiveStartupMessage(); err != nil {
			return
		}
		backend.Send(&pgproto3.AuthenticationOk{})
		for _, point := range points {
			for _, m := range answer(point) {
				backend.Send(m)
			}
			if backend.Flush() != nil {
				return
			}
			if _, err := backend.Receive(); err != nil {
				return
			}
		}
	}()
	return Target{ID: "a", Group: "ledger", Addr: ln.Addr().String(), User: "app"}
}

// Guards against a database whose point is taken for the start of the log, or a commit for
// an earlier one, because it reports no point or an unreadable one.
func TestConnectionNeedsThePoint(t *testing.T) {
	for _, point := range []string{"", "-", "3", "x/y"} {
		_, err := Connect(t.Context(), serveOne(t, point), 3)
		var failed *ConnectError
		require.ErrorAs(t, err, &failed, "%q", point)
	}
	c, err := Connect(t.Context(), serveOne(t, "3/7", "", "3/9", "-"), 3)
	require.NoError(t, err)
	defer c.Close()
	for _, want := range []topo.Position{7, 9} {
		_, a, err := c.Exec(t.Context(), "SELECT 1")
		require.NoError(t, err)
		require.Equal(t, topo.Point{Term: 3, Position: want}, a.Point, "an absent point has not changed")
	}
	_, _, err = c.Exec(t.Context(), "SELECT 1")
	require.Error(t, err)
	require.False(t, c.Clean())
}
