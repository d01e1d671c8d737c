package httpdrain

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
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
	// interrupts counts the reads that are interrupted.
	interrupts *atomic.Int64
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

func (c gatedConn) SetReadDeadline(at time.Time) error {
	if !at.IsZero() && at.Before(time.Now()) {
		defer c.ln.interrupts.Add(1)
	}
	return c.TCPConn.SetReadDeadline(at)
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

// waiting returns the number of connections that wait for a further request.
func waiting(s *Server) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.conns {
		c.mu.Lock()
		if c.served && !c.begun {
			n++
		}
		c.mu.Unlock()
	}
	return n
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
		require.Eventually(t, func() bool { return waiting(s) == 1 }, 10*time.Second, time.Millisecond)
	}
	gated.gate.Lock()
	send(t, conn)
	time.Sleep(20*time.Millisecond + after)
	before := gated.interrupts.Load()
	cut := make(chan int)
	go func() { cut <- s.Shutdown(t.Context(), time.Minute) }()
	require.Eventually(t, func() bool { return gated.interrupts.Load() > before }, 10*time.Second, time.Millisecond)
	gated.gate.Unlock()
	resp, err := http.ReadResponse(in, nil)
	require.NoError(t, err)
	require.True(t, resp.Close)
	require.Zero(t, <-cut)
	require.NoError(t, <-served)
}

// heldListener holds one thing back until it is stopped, as a process does that gets no
// processor time just then.
type heldListener struct {
	*net.TCPListener
	// accept, accepted and read say what is held: the call of accept, the connection it
	// returned, the bytes of a read.
	accept, accepted, read atomic.Bool
	stop                   sync.Once
	stopped                chan struct{}
	holding                chan struct{}
}

func newHeldListener(t *testing.T) *heldListener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return &heldListener{TCPListener: ln.(*net.TCPListener), stopped: make(chan struct{}), holding: make(chan struct{}, 1)}
}

func (l *heldListener) hold(held *atomic.Bool) {
	if held.CompareAndSwap(true, false) {
		l.holding <- struct{}{}
		<-l.stopped
	}
}

func (l *heldListener) Accept() (net.Conn, error) {
	l.hold(&l.accept)
	conn, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	l.hold(&l.accepted)
	return heldConn{conn.(*net.TCPConn), l}, nil
}

func (l *heldListener) SetDeadline(at time.Time) error {
	defer l.stop.Do(func() { close(l.stopped) })
	return l.TCPListener.SetDeadline(at)
}

func (l *heldListener) Close() error {
	defer l.stop.Do(func() { close(l.stopped) })
	return l.TCPListener.Close()
}

type heldConn struct {
	*net.TCPConn
	ln *heldListener
}

func (c heldConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 {
		c.ln.hold(&c.ln.read)
	}
	return n, err
}

// Guards against a request that has arrived and is cut at the close of the listener.
func TestShutdownAnswersARequestThatHasArrived(t *testing.T) {
	for name, what := range map[string]func(*heldListener) *atomic.Bool{
		"on a connection in the queue":               func(l *heldListener) *atomic.Bool { return &l.accept },
		"on a connection that net/http doesn't know": func(l *heldListener) *atomic.Bool { return &l.accepted },
		"and is read, on a new connection":           func(l *heldListener) *atomic.Bool { return &l.read },
	} {
		t.Run(name, func(t *testing.T) {
			ln := newHeldListener(t)
			what(ln).Store(true)
			s, served := serveOn(t, ln)
			conn := dial(t, ln)
			send(t, conn)
			<-ln.holding
			requireAnswerAtShutdown(t, s, conn, served)
		})
	}
}

func TestShutdownAnswersARequestThatIsReadOnAKeptConnection(t *testing.T) {
	ln := newHeldListener(t)
	s, served := serveOn(t, ln)
	conn := dial(t, ln)
	send(t, conn)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.False(t, resp.Close)
	ln.read.Store(true)
	send(t, conn)
	<-ln.holding
	requireAnswerAtShutdown(t, s, conn, served)
}

// Guards against a new connection that is closed before its caller could send.
func TestShutdownAnswersTheFirstRequestOfAnAcceptedConnection(t *testing.T) {
	ln := newHeldListener(t)
	s, served := serveOn(t, ln)
	requireAnswerToParts(t, s, ln, dial(t, ln), "", "GET / HTTP/1.1\r\nHost: control\r\n\r\n")
	require.NoError(t, <-served)
}

// Guards against a request whose first part has been read and that is cut before the rest
// has arrived.
func TestShutdownAnswersARequestThatArrivesInParts(t *testing.T) {
	for name, kept := range map[string]bool{"on a new connection": false, "on a kept connection": true} {
		t.Run(name, func(t *testing.T) {
			ln := newHeldListener(t)
			s, served := serveOn(t, ln)
			conn := dial(t, ln)
			if kept {
				send(t, conn)
				_, err := http.ReadResponse(bufio.NewReader(conn), nil)
				require.NoError(t, err)
			}
			requireAnswerToParts(t, s, ln, conn, "GET / HTTP/1.1\r\nHo", "st: control\r\n\r\n")
			require.NoError(t, <-served)
		})
	}
}

// requireAnswerToParts shuts a server down between two parts of a request.
func requireAnswerToParts(t *testing.T, s *Server, ln *heldListener, conn net.Conn, first, second string) {
	t.Helper()
	_, err := conn.Write([]byte(first))
	require.NoError(t, err)
	time.Sleep(20 * time.Millisecond)
	cut := make(chan int)
	go func() { cut <- s.Shutdown(t.Context(), time.Minute) }()
	<-ln.stopped
	time.Sleep(200 * time.Millisecond)
	_, err = conn.Write([]byte(second))
	require.NoError(t, err)
	requireAnswer(t, conn)
	require.Zero(t, <-cut)
}

func serveOn(t *testing.T, ln net.Listener) (*Server, <-chan error) {
	s := New(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), time.Minute)
	served := make(chan error, 1)
	go func() { served <- s.Serve(ln) }()
	t.Cleanup(s.Close)
	return s, served
}

func dial(t *testing.T, ln net.Listener) net.Conn {
	conn, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	return conn
}

func requireAnswer(t *testing.T, conn net.Conn) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err, "a request is cut")
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.True(t, resp.Close)
}

func requireAnswerAtShutdown(t *testing.T, s *Server, conn net.Conn, served <-chan error) {
	t.Helper()
	cut := make(chan int)
	go func() { cut <- s.Shutdown(t.Context(), time.Minute) }()
	requireAnswer(t, conn)
	require.Zero(t, <-cut)
	require.NoError(t, <-served)
}

// Guards against a body that is cut by the interrupt of a waiting read.
func TestShutdownReadsTheRestOfABody(t *testing.T) {
	entered, bodies := make(chan struct{}), make(chan string, 1)
	s, conn := start(t, func(_ http.ResponseWriter, r *http.Request) {
		close(entered)
		body, err := io.ReadAll(r.Body)
		if err != nil {
			body = []byte(err.Error())
		}
		bodies <- string(body)
	})
	_, err := conn.Write([]byte("PUT / HTTP/1.1\r\nHost: control\r\nContent-Length: 4\r\n\r\nab"))
	require.NoError(t, err)
	<-entered
	cut := make(chan int)
	go func() { cut <- s.Shutdown(t.Context(), time.Minute) }()
	require.Eventually(t, func() bool { return phase(s.phase.Load()) == endingServed }, 10*time.Second, time.Millisecond)
	time.Sleep(20 * time.Millisecond)
	_, err = conn.Write([]byte("cd"))
	require.NoError(t, err)
	require.Equal(t, "abcd", <-bodies)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Zero(t, <-cut)
}

func TestShutdownEndsConnectionsThatHaveServed(t *testing.T) {
	s, conn := start(t, func(http.ResponseWriter, *http.Request) {})
	requireServedAndEnded(t, s, conn)
}

func TestShutdownEndsTLSConnectionsThatHaveServed(t *testing.T) {
	certified := httptest.NewTLSServer(nil)
	defer certified.Close()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := New(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { require.NotNil(t, r.TLS) }), time.Minute)
	served := make(chan error, 1)
	go func() { served <- s.ServeTLS(ln, certified.TLS) }()
	config := certified.Client().Transport.(*http.Transport).TLSClientConfig.Clone()
	config.ServerName = "example.com"
	conn, err := tls.Dial("tcp", ln.Addr().String(), config)
	require.NoError(t, err)
	defer conn.Close()
	requireServedAndEnded(t, s, conn)
	require.NoError(t, <-served)
}

func requireServedAndEnded(t *testing.T, s *Server, conn net.Conn) {
	send(t, conn)
	in := bufio.NewReader(conn)
	resp, err := http.ReadResponse(in, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Zero(t, s.Shutdown(t.Context(), time.Minute))
	_, err = in.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

func TestShutdownEndsNewConnectionsAtItsEnd(t *testing.T) {
	s, conn := start(t, func(http.ResponseWriter, *http.Request) {})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	require.Zero(t, s.Shutdown(ctx, time.Minute))
	require.ErrorIs(t, ctx.Err(), context.DeadlineExceeded)
	_, err := conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}
