package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// gate is a handler that replies once it is released or cancelled.
type gate struct {
	entered, release chan struct{}
	// notified is the number of messages that arrived.
	notified atomic.Int64
}

// startGate returns a server with the handlers "wait" and "note", and a client.
func startGate(t *testing.T) (*gate, *Server, *Client, string) {
	g := &gate{entered: make(chan struct{}, 10), release: make(chan struct{})}
	s := NewServer(Options{})
	Handle(s, "wait", func(ctx context.Context, req number) (number, error) {
		g.entered <- struct{}{}
		select {
		case <-g.release:
			return req, nil
		case <-ctx.Done():
			return number{}, errors.New("cancelled")
		}
	})
	Handle(s, "note", func(context.Context, number) (struct{}, error) {
		g.notified.Add(1)
		return struct{}{}, nil
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	served := make(chan error, 1)
	go func() { served <- s.Serve(ln) }()
	c := NewClient(Options{})
	t.Cleanup(func() {
		c.Close()
		require.NoError(t, s.Close())
		require.NoError(t, <-served)
	})
	return g, s, c, ln.Addr().String()
}

type result struct {
	rep number
	err error
}

// call sends a request to the handler "wait" and returns once it runs.
func (g *gate) call(c *Client, addr string) <-chan result {
	done := make(chan result, 1)
	go func() {
		rep, err := Call[number](context.Background(), c, addr, "wait", number{7})
		done <- result{rep, err}
	}()
	<-g.entered
	return done
}

// Guards against calls that were read and get no reply since the server stops.
func TestShutdownLetsHandlersReply(t *testing.T) {
	g, s, c, addr := startGate(t)
	done := g.call(c, addr)
	require.Equal(t, 1, s.Running())
	cut := make(chan int)
	go func() { cut <- s.Shutdown(t.Context(), time.Minute) }()
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp", addr)
		if err == nil {
			conn.Close()
		}
		return err != nil
	}, 10*time.Second, time.Millisecond, "no new connections")
	_, err := Call[number](t.Context(), c, addr, "wait", number{8})
	require.Equal(t, &RemoteError{ErrStopping.Error()}, err, "a request that arrives later is refused with a reply")
	require.NoError(t, Notify(t.Context(), c, addr, "note", number{}))
	require.Eventually(t, func() bool { return g.notified.Load() == 1 }, 10*time.Second, time.Millisecond,
		"running handlers may depend on messages")
	close(g.release)
	require.Equal(t, result{rep: number{7}}, <-done)
	require.Zero(t, <-cut)
}

// Guards against calls that are cut since they outlast the time for them.
func TestShutdownCancelsHandlersThatRunOn(t *testing.T) {
	g, s, c, addr := startGate(t)
	done := g.call(c, addr)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.Zero(t, s.Shutdown(ctx, time.Minute))
	require.Equal(t, &RemoteError{"cancelled"}, (<-done).err)
}

func TestShutdownCountsTheCallsThatItCuts(t *testing.T) {
	_, s, c, addr := startGate(t)
	release := make(chan struct{})
	entered := make(chan struct{})
	Handle(s, "hang", func(context.Context, number) (number, error) {
		close(entered)
		<-release
		return number{}, nil
	})
	defer close(release)
	done := make(chan error, 1)
	go func() {
		_, err := Call[number](context.Background(), c, addr, "hang", number{})
		done <- err
	}()
	<-entered
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.Equal(t, 1, s.Shutdown(ctx, time.Millisecond))
	require.ErrorIs(t, <-done, ErrClosed)
}

// Guards against a reset that discards a reply because of frames that were not read.
func TestReplyOfAStoppingServerSurvivesUnreadFrames(t *testing.T) {
	g, s, _, addr := startGate(t)
	conn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, clientHandshake(conn, nil))
	out := &writer{conn: conn}
	request, err := msgpack.Marshal(number{7})
	require.NoError(t, err)
	require.NoError(t, out.write(&Frame{ID: 1, Kind: "wait", Body: request}))
	<-g.entered
	cut := make(chan int, 1)
	go func() { cut <- s.Shutdown(t.Context(), time.Minute) }()
	close(g.release)
	for range 100 {
		if out.write(&Frame{Kind: "note", Body: request}) != nil {
			break
		}
		time.Sleep(100 * time.Microsecond)
	}
	f, err := ReadFrame(conn)
	require.NoError(t, err)
	require.Equal(t, Frame{ID: 1, Body: request}, f)
	_, err = ReadFrame(conn)
	require.ErrorIs(t, err, io.EOF)
	require.NoError(t, conn.Close())
	require.Zero(t, <-cut)
}
