package entry

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/upstream"
)

// lateListener accepts one connection after it was closed, like an Accept that returns
// while the listener is being closed.
type lateListener struct {
	closed chan struct{}
	once   sync.Once
	mu     sync.Mutex
	conn   net.Conn
}

func (l *lateListener) Accept() (net.Conn, error) {
	<-l.closed
	time.Sleep(50 * time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	if conn := l.conn; conn != nil {
		l.conn = nil
		return conn, nil
	}
	return nil, net.ErrClosed
}

func (l *lateListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *lateListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a connection that is accepted as the drain begins, and cut since nobody
// waits for it.
func TestConnectionAcceptedAsTheDrainBeginsIsAnswered(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	caller, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer caller.Close()
	accepted, err := ln.Accept()
	require.NoError(t, err)
	s := New(Options{Upstreams: upstream.NewSet("", "", nil, nil), Limits: DefaultLimits()})
	late := &lateListener{closed: make(chan struct{}), conn: accepted}
	served := make(chan error, 1)
	go func() { served <- s.Serve(late) }()
	time.Sleep(50 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second)
	defer cancel()
	require.NoError(t, s.Shutdown(ctx, time.Now()))
	accepted.Close() // as at the end of the process
	msg, err := pgproto3.NewFrontend(caller, caller).Receive()
	require.NoError(t, err)
	refusal, ok := msg.(*pgproto3.ErrorResponse)
	require.True(t, ok, "%T", msg)
	require.Equal(t, outcome.CodeShuttingDown, refusal.Code)
	require.NoError(t, <-served)
}

// busyListener accepts nothing until it is released, like a process without processor
// time.
type busyListener struct {
	*net.TCPListener
	released chan struct{}
}

func (l *busyListener) Accept() (net.Conn, error) {
	<-l.released
	return l.TCPListener.Accept()
}

// Guards against a reset of callers that have connected before the listener is closed.
func TestCallersInTheQueueOfTheListenerAreAnswered(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	busy := &busyListener{ln.(*net.TCPListener), make(chan struct{})}
	s := New(Options{Upstreams: upstream.NewSet("", "", nil, nil), Limits: DefaultLimits()})
	served := make(chan error, 1)
	go func() { served <- s.Serve(busy) }()
	var callers []net.Conn
	for range 5 {
		caller, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		defer caller.Close()
		callers = append(callers, caller)
	}
	time.Sleep(50 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(ctx, time.Now()) }()
	time.Sleep(50 * time.Millisecond)
	close(busy.released)
	for _, caller := range callers {
		msg, err := pgproto3.NewFrontend(caller, caller).Receive()
		require.NoError(t, err)
		refusal, ok := msg.(*pgproto3.ErrorResponse)
		require.True(t, ok, "%T", msg)
		require.Equal(t, outcome.CodeShuttingDown, refusal.Code)
		require.NoError(t, caller.Close())
	}
	require.NoError(t, <-ended)
	require.NoError(t, <-served)
}
