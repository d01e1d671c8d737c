package faultnet

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// connect returns both ends of a connection from node a in z1 to node b in z2.
func connect(t *testing.T, n *Network) (dialed, accepted net.Conn) {
	t.Helper()
	listener, err := n.Listen("z2", "b")("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	dialed, err = n.Dialer("z1", "a")(t.Context(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	accepted, err = listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { dialed.Close(); accepted.Close() })
	return dialed, accepted
}

func read(t *testing.T, c net.Conn, n int) []byte {
	t.Helper()
	b := make([]byte, n)
	_, err := io.ReadFull(c, b)
	require.NoError(t, err)
	return b
}

func write(t *testing.T, c net.Conn, b []byte) {
	t.Helper()
	_, err := c.Write(b)
	require.NoError(t, err)
}

func TestDelayDoesNotReduceThroughput(t *testing.T) {
	n := New(1)
	n.SetDelay("z1", "z2", 5*time.Millisecond)
	n.SetJitter(0.5)
	dialed, accepted := connect(t, n)
	payload := bytes.Repeat([]byte("0123456789abcdef"), 1<<18)
	go func() {
		io.Copy(accepted, accepted)
	}()
	go dialed.Write(payload)
	start := time.Now()
	require.Equal(t, payload, read(t, dialed, len(payload)))
	require.GreaterOrEqual(t, time.Since(start), 10*time.Millisecond)
}

func TestPartitionHoldsBytesUntilHealed(t *testing.T) {
	faults := map[string]struct{ partition, heal func(*Network) }{
		"zones": {func(n *Network) { n.Partition("z2", "z1") }, func(n *Network) { n.Heal("z1", "z2") }},
		"node":  {func(n *Network) { n.Isolate("a") }, func(n *Network) { n.HealAll() }},
	}
	for name, tc := range faults {
		t.Run(name, func(t *testing.T) {
			n := New(1)
			dialed, accepted := connect(t, n)
			tc.partition(n)
			write(t, dialed, []byte("there"))
			write(t, accepted, []byte("back"))
			require.NoError(t, accepted.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
			_, err := accepted.Read(make([]byte, 1))
			require.ErrorIs(t, err, os.ErrDeadlineExceeded)
			require.NoError(t, dialed.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
			_, err = dialed.Read(make([]byte, 1))
			require.ErrorIs(t, err, os.ErrDeadlineExceeded)
			require.NoError(t, accepted.SetReadDeadline(time.Time{}))
			require.NoError(t, dialed.SetReadDeadline(time.Time{}))
			tc.heal(n)
			require.Equal(t, "there", string(read(t, accepted, 5)))
			require.Equal(t, "back", string(read(t, dialed, 4)))
		})
	}
}

func TestCloseIsNotSeenDuringPartition(t *testing.T) {
	n := New(1)
	dialed, accepted := connect(t, n)
	n.Partition("z1", "z2")
	write(t, dialed, []byte("last"))
	require.NoError(t, dialed.Close())
	require.ErrorIs(t, dialed.Close(), net.ErrClosed)
	_, err := dialed.Write([]byte("late"))
	require.ErrorIs(t, err, net.ErrClosed)
	require.NoError(t, accepted.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
	_, err = accepted.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.NoError(t, accepted.SetReadDeadline(time.Time{}))
	n.Heal("z1", "z2")
	rest, err := io.ReadAll(accepted)
	require.NoError(t, err)
	require.Equal(t, "last", string(rest))
}

func TestDialWaitsForHealOrContext(t *testing.T) {
	n := New(1)
	listener, err := n.Listen("z2", "b")("127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	addr := listener.Addr().String()
	n.IsolateAddr(addr)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err = n.Dialer("z1", "a")(ctx, "tcp", addr)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	n.RejoinAddr(addr)
	conn, err := n.Dialer("z1", "a")(t.Context(), "tcp", addr)
	require.NoError(t, err)
	require.NoError(t, conn.Close())
}
