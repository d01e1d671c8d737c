package httpdrain

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
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

// gatedListener accepts connections that read nothing while the gate is closed, like
// those of a process that gets no processor time.
type gatedListener struct {
	net.Listener
	gate *sync.RWMutex
	// looks counts the checks for unread bytes.
	looks *atomic.Int64
}

func (l gatedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return gatedConn{conn.(*net.TCPConn), l}, nil
}

type gatedConn struct {
	*net.TCPConn
	ln gatedListener
}

func (c gatedConn) SyscallConn() (syscall.RawConn, error) {
	defer c.ln.looks.Add(1)
	return c.TCPConn.SyscallConn()
}

func (c gatedConn) Read(b []byte) (int, error) {
	raw, err := c.TCPConn.SyscallConn()
	if err != nil {
		return 0, err
	}
	// Wait for bytes without reading them.
	_ = raw.Read(func(uintptr) bool { return unread(c.TCPConn) })
	c.ln.gate.RLock()
	defer c.ln.gate.RUnlock()
	return c.TCPConn.Read(b)
}

// Guards against a request that has arrived and is cut since nobody has read it yet.
func TestShutdownAnswersARequestThatHasArrivedUnread(t *testing.T) {
	t.Run("on a kept connection", func(t *testing.T) { testUnread(t, true, 0) })
	// net/http takes a new connection for an idle one after 5 s.
	t.Run("on a new connection", func(t *testing.T) { testUnread(t, false, 6500*time.Millisecond) })
}

// testUnread stops a server a while after a request has arrived, on a connection that has
// served one before if kept is set.
func testUnread(t *testing.T, kept bool, after time.Duration) {
	s := New(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), time.Minute)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	gated := gatedListener{ln, new(sync.RWMutex), new(atomic.Int64)}
	served := make(chan error, 1)
	go func() { served <- s.Serve(gated) }()
	conn, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	in := bufio.NewReader(conn)
	if kept {
		send(t, conn)
		_, err = http.ReadResponse(in, nil)
		require.NoError(t, err)
		require.Eventually(t, func() bool { return len(s.idleConns()) == 1 }, 10*time.Second, time.Millisecond)
	}
	gated.gate.Lock()
	send(t, conn)
	time.Sleep(20*time.Millisecond + after)
	cut := make(chan int)
	go func() { cut <- s.Shutdown(t.Context(), time.Minute) }()
	require.Eventually(t, func() bool { return gated.looks.Load() > 0 }, 10*time.Second, time.Millisecond)
	gated.gate.Unlock()
	resp, err := http.ReadResponse(in, nil)
	require.NoError(t, err)
	require.True(t, resp.Close)
	require.Zero(t, <-cut)
	require.NoError(t, <-served)
}
