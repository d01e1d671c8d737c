package entry

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/core/attempt"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/upstream"
)

// The server must not report a request that did not run as done, even if an
// earlier step of the attempt set that result: BEGIN may succeed and the
// connection fail before the claim of the request id is answered.
func TestRefusalNeverReportsDone(t *testing.T) {
	for _, mode := range []attempt.Mode{attempt.AtMostOnce, attempt.Begin, attempt.CommitStored} {
		w := &write{mode: mode, result: result{outcome: outcome.Outcome{Kind: outcome.Done}, body: []byte("BEGIN")}}
		w.setRefusal()
		require.Equal(t, outcome.NotRun, w.result.outcome.Kind)
		require.Empty(t, w.result.body)
	}
	w := &write{result: result{outcome: outcome.Refused(outcome.CodeOverloaded, "full")}}
	w.setRefusal()
	require.Equal(t, outcome.CodeOverloaded, w.result.outcome.Code, "setRefusal must keep the reason of the last attempt")
}

// A server that is closed before Serve accepts no connection.
func TestServeAfterClose(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := New(Options{Upstreams: upstream.NewSet("", "", nil, nil), Limits: DefaultLimits()})
	s.Close()
	require.NoError(t, s.Serve(ln))
	_, err = net.Dial("tcp", ln.Addr().String())
	require.Error(t, err)
}
