package peer

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A connection that takes everything and brings nothing back is replaced,
// also when only messages without a reply use it.
func TestSilentLinkIsReplaced(t *testing.T) {
	s := NewServer(Options{})
	var arrived atomic.Int64
	Handle(s, "note", func(context.Context, int) (struct{}, error) {
		arrived.Add(1)
		return struct{}{}, nil
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go s.Serve(ln)
	t.Cleanup(func() { s.Close() })
	var silent atomic.Bool
	c := NewClient(Options{Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &swallowing{Conn: conn, silent: &silent, began: !silent.Load()}, nil
	}})
	t.Cleanup(c.Close)
	require.NoError(t, Notify(t.Context(), c, ln.Addr().String(), "note", 1))
	require.Eventually(t, func() bool { return arrived.Load() == 1 }, 10*time.Second, time.Millisecond)
	silent.Store(true)
	require.Eventually(t, func() bool {
		_ = Notify(t.Context(), c, ln.Addr().String(), "note", 2)
		return arrived.Load() > 1
	}, 20*time.Second, 10*time.Millisecond)
}

// swallowing is a connection that passes nothing on once silent is set, if it
// began before.
type swallowing struct {
	net.Conn
	silent *atomic.Bool
	began  bool
}

func (c *swallowing) Write(b []byte) (int, error) {
	if c.began && c.silent.Load() {
		return io.Discard.Write(b)
	}
	return c.Conn.Write(b)
}
