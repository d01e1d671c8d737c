package httpdrain

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// start serves a handler and returns a connection to it.
func start(t *testing.T, handler http.HandlerFunc) (*Server, net.Conn) {
	s := New(handler, time.Minute)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	served := make(chan error, 1)
	go func() { served <- s.Serve(ln) }()
	t.Cleanup(func() {
		s.Close()
		require.NoError(t, <-served)
	})
	conn, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	return s, conn
}

func send(t *testing.T, conn net.Conn) {
	_, err := conn.Write([]byte("GET / HTTP/1.1\r\nHost: control\r\n\r\n"))
	require.NoError(t, err)
}

func ended(t *testing.T) context.Context {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	return ctx
}

func TestShutdownWaitsForARunningRequest(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	s, conn := start(t, func(w http.ResponseWriter, r *http.Request) {
		close(entered)
		<-release
		if r.Context().Err() != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	send(t, conn)
	<-entered
	require.Equal(t, 1, s.Running())
	cut := make(chan int)
	go func() { cut <- s.Shutdown(t.Context(), time.Minute) }()
	require.Never(t, func() bool { return s.Running() == 0 }, 20*time.Millisecond, time.Millisecond)
	close(release)
	require.Zero(t, <-cut)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
}

// Guards against requests that are cut since they outlast the time for them.
func TestCancelledRequestIsAnswered(t *testing.T) {
	entered := make(chan struct{})
	s, conn := start(t, func(w http.ResponseWriter, r *http.Request) {
		close(entered)
		<-r.Context().Done()
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	send(t, conn)
	<-entered
	require.Zero(t, s.Shutdown(ended(t), time.Minute))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
}

func TestShutdownCountsTheRequestsThatItCuts(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	defer close(release)
	s, conn := start(t, func(http.ResponseWriter, *http.Request) {
		close(entered)
		<-release
	})
	send(t, conn)
	<-entered
	require.Equal(t, 1, s.Shutdown(ended(t), time.Millisecond))
	_, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.Error(t, err)
}

// Guards against connections that are closed without notice while their callers may
// send.
func TestNoticeAsksCallersToClose(t *testing.T) {
	s, conn := start(t, func(http.ResponseWriter, *http.Request) {})
	in := bufio.NewReader(conn)
	for _, stopping := range []bool{false, true} {
		if stopping {
			s.Notice()
		}
		send(t, conn)
		resp, err := http.ReadResponse(in, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Equal(t, stopping, resp.Close)
	}
}
