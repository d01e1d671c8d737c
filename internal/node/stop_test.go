package node

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/entry"
	"github.com/cicadacove/cicadacove/internal/peer"
)

// startAlone starts a process without a voter, whose voters can't be reached.
func startAlone(t *testing.T) *Node {
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		return l
	}
	n, err := Start(t.Context(), Options{
		ID: "entry-0", Zone: "a", Voters: []string{"127.0.0.1:1"}, Callers: listen(), Peers: listen(), Admin: listen(),
		PeerSecret: []byte("0123456789abcdef"), TokenKey: []byte("0123456789abcdef"), Limits: entry.DefaultLimits(),
	})
	require.NoError(t, err)
	t.Cleanup(n.Kill)
	return n
}

// Guards against a call that was read and gets no reply when the process stops.
func TestShutdownRepliesToTheCallsThatWereRead(t *testing.T) {
	n := startAlone(t)
	entered := make(chan struct{})
	peer.Handle(n.peers, "test.late", func(ctx context.Context, _ struct{}) (string, error) {
		close(entered)
		for { // until callers are refused
			conn, err := net.Dial("tcp", n.CallerAddr())
			if err != nil {
				time.Sleep(300 * time.Millisecond)
				return "done", ctx.Err()
			}
			conn.Close()
			time.Sleep(time.Millisecond)
		}
	})
	client := peer.NewClient(peer.Options{Secret: n.opts.PeerSecret})
	defer client.Close()
	type result struct {
		reply string
		err   error
	}
	done := make(chan result, 1)
	go func() {
		reply, err := peer.Call[string](context.Background(), client, n.PeerAddr(), "test.late", struct{}{})
		done <- result{reply, err}
	}()
	<-entered
	require.NoError(t, n.Shutdown(t.Context()))
	require.Equal(t, result{reply: "done"}, <-done)
}

// Guards against a request of an operator that is cut when the process stops.
func TestShutdownAnswersTheRequestsOfOperators(t *testing.T) {
	n := startAlone(t)
	type result struct {
		status int
		err    error
	}
	done := make(chan result, 1)
	go func() {
		resp, err := http.Get("http://" + n.AdminAddr() + "/v1/contracts")
		if err != nil {
			done <- result{err: err}
			return
		}
		done <- result{resp.StatusCode, resp.Body.Close()}
	}()
	time.Sleep(300 * time.Millisecond) // the search for a leader takes seconds
	require.NoError(t, n.Shutdown(t.Context()))
	require.Equal(t, result{status: http.StatusServiceUnavailable}, <-done)
}
