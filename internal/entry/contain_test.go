package entry

import (
	"net"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/upstream"
)

// failingControl causes a runtime error at each use: its interface is nil.
type failingControl struct{ Control }

// Guards against an unexpected error that ends the process with the requests of all
// other callers. The caller learns that the result is unknown, and its session ends.
func TestUnexpectedErrorEndsOneSession(t *testing.T) {
	s := New(Options{Control: failingControl{}, Upstreams: upstream.NewSet("", "", nil, nil), Limits: DefaultLimits()})
	caller, conn := net.Pipe()
	defer caller.Close()
	c := s.newSession(conn, pgproto3.NewBackend(conn, conn))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.run()
	}()
	frontend := pgproto3.NewFrontend(caller, caller)
	frontend.SendQuery(&pgproto3.Query{String: "SELECT 1"})
	require.NoError(t, frontend.Flush())
	msg, err := frontend.Receive()
	require.NoError(t, err)
	refusal, ok := msg.(*pgproto3.ErrorResponse)
	require.True(t, ok, "%T", msg)
	require.Equal(t, outcome.CodeUnknownResult, refusal.Code)
	require.NotContains(t, refusal.Message, "nil pointer", "callers get no internals")
	_, err = frontend.Receive()
	require.Error(t, err, "the connection is closed")
	<-ended
}
