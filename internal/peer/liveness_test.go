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

// The client replaces a connection on which replies cease without an error,
// even if it only sends messages that have no reply.
func TestUnresponsiveLinkIsReplaced(t *testing.T) {
	s := NewServer(Options{})
	var received atomic.Int64
	Handle(s, "note", func(context.Context, int) (struct{}, error) {
		received.Add(1)
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
		return &blackholeConn{Conn: conn, silent: &silent, dialedBefore: !silent.Load()}, nil
	}})
	t.Cleanup(c.Close)
	require.NoError(t, Notify(t.Context(), c, ln.Addr().String(), "note", 1))
	require.Eventually(t, func() bool { return received.Load() == 1 }, 10*time.Second, time.Millisecond)
	silent.Store(true)
	require.Eventually(t, func() bool {
		_ = Notify(t.Context(), c, ln.Addr().String(), "note", 2)
		return received.Load() > 1
	}, 20*time.Second, 10*time.Millisecond)
}

// blackholeConn is a connection that discards all writes once silent is set, if
// it was dialed before that.
type blackholeConn struct {
	net.Conn
	silent       *atomic.Bool
	dialedBefore bool
}

func (c *blackholeConn) Write(b []byte) (int, error) {
	if c.dialedBefore && c.silent.Load() {
		return io.Discard.Write(b)
	}
	return c.Conn.Write(b)
}

// resetConn records that bytes which were not delivered are discarded on close.
type resetConn struct {
	*blackholeConn
	reset *atomic.Bool
}

func (c *resetConn) SetLinger(sec int) error {
	c.reset.Store(sec == 0)
	return nil
}

// Guards against requests held back by a partition that are delivered, and run, long after
// their senders have given them up.
func TestUnresponsiveLinkDiscardsItsRequests(t *testing.T) {
	s := NewServer(Options{})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go s.Serve(ln)
	t.Cleanup(func() { s.Close() })
	var silent, reset atomic.Bool
	c := NewClient(Options{Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &resetConn{&blackholeConn{Conn: conn, silent: &silent, dialedBefore: !silent.Load()}, &reset}, nil
	}})
	t.Cleanup(c.Close)
	_, err = Call[struct{}](t.Context(), c, ln.Addr().String(), kindPing, struct{}{})
	require.Error(t, err, "a ping has no body")
	silent.Store(true)
	_, err = Call[struct{}](t.Context(), c, ln.Addr().String(), "note", 1)
	require.ErrorIs(t, err, ErrClosed)
	require.True(t, reset.Load())
}
