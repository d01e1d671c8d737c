// Package httpdrain serves HTTP requests and stops without cutting one that has
// arrived.
//
// A caller that keeps its connection may send a request at any time, and a request
// that crosses the close of its connection gets no answer. So a stopping server first
// goes on serving and tells each caller with its next answer to close the connection,
// and only then closes the connections that are idle.
package httpdrain

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cicadacove/cicadacove/internal/clock"
)

// Server is an HTTP server. Create it with New.
type Server struct {
	http http.Server
	// cancel ends the contexts of all requests.
	cancel   context.CancelFunc
	stopping atomic.Bool
	running  atomic.Int64

	mu sync.Mutex
	// idle holds the connections that wait for a request, the first one included:
	// net/http closes those too that are new for some seconds.
	idle map[net.Conn]struct{}
}

// New returns a server. headerTimeout limits the wait for the headers of a request.
func New(handler http.Handler, headerTimeout time.Duration) *Server {
	requests, cancel := context.WithCancel(context.Background())
	s := &Server{cancel: cancel, idle: map[net.Conn]struct{}{}}
	s.http = http.Server{
		Handler: s.counted(handler), ReadHeaderTimeout: headerTimeout, ConnState: s.connState,
		BaseContext: func(net.Listener) context.Context { return requests },
	}
	return s
}

func (s *Server) counted(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.running.Add(1)
		defer s.running.Add(-1)
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

func (s *Server) connState(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateNew || state == http.StateIdle {
		s.idle[conn] = struct{}{}
		return
	}
	delete(s.idle, conn)
}

// idleConns returns the connections that wait for a request.
func (s *Server) idleConns() []net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.idle))
}

// awaitRead returns once each idle connection on which bytes have arrived has become
// active, or when ctx ends. A connection becomes active when its request is read, some
// time after its bytes.
func (s *Server) awaitRead(ctx context.Context) {
	arrived := map[net.Conn]bool{}
	for {
		waiting := false
		for _, conn := range s.idleConns() {
			arrived[conn] = arrived[conn] || unread(conn)
			waiting = waiting || arrived[conn]
		}
		if !waiting || !clock.Sleep(ctx, unreadInterval) {
			return
		}
	}
}

// unread reports whether bytes have arrived that nobody has read.
func unread(conn net.Conn) bool {
	if outer, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = outer.NetConn()
	}
	inner, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := inner.SyscallConn()
	if err != nil {
		return false
	}
	arrived := false
	err = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		arrived = n > 0 && err == nil
	})
	return arrived && err == nil
}

// unreadInterval is the time between two checks for requests that are not read yet.
const unreadInterval = time.Millisecond

// Serve accepts connections until the server is shut down or closed, and then returns
// nil.
func (s *Server) Serve(ln net.Listener) error {
	if err := s.http.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Notice makes the server tell each caller, with the answer to a request that arrives
// from now on, to close the connection.
func (s *Server) Notice() { s.stopping.Store(true) }

// Running returns the number of requests that are being served.
func (s *Server) Running() int { return int(s.running.Load()) }

// Shutdown waits until requests that have arrived are read, closes the listeners and the
// idle connections and waits for the running requests. When ctx ends it cancels those
// that still run, gives their handlers the time answer to respond, and cuts the rest. It
// returns their number.
func (s *Server) Shutdown(ctx context.Context, answer time.Duration) (cut int) {
	s.Notice()
	s.awaitRead(ctx)
	if s.http.Shutdown(ctx) == nil {
		return 0
	}
	s.cancel()
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), answer)
	defer cancel()
	if s.http.Shutdown(last) != nil {
		cut = s.Running()
	}
	s.Close()
	return cut
}

// Close closes the listeners and all connections at once.
func (s *Server) Close() {
	s.cancel()
	s.http.Close()
}
