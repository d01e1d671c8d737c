// Package httpdrain serves HTTP requests and stops without cutting one that has
// arrived.
//
// A caller that keeps its connection may send a request at any time, and a request
// that crosses the close of its connection gets no answer. So a stopping server first
// goes on serving and tells each caller with its next answer to close the connection.
// Then it accepts the connections that are in the listener's queue, ends those that wait
// for a further request, and waits for the others. net/http isn't shut down before all
// connections are closed, since it drops the requests that it reads after that.
package httpdrain

import (
	"context"
	"crypto/tls"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/accept"
	"github.com/cicadacove/cicadacove/internal/clientbudget"
	"github.com/cicadacove/cicadacove/internal/core/clientlimit"
)

// Server is an HTTP server. Create it with New.
type Server struct {
	http http.Server
	// cancel ends the contexts of all requests.
	cancel   context.CancelFunc
	stopping atomic.Bool
	running  atomic.Int64
	// phase holds a phase.
	phase atomic.Int32
	// budget limits what clients make the process hold; nil limits nothing. protocol names
	// the server in its log and metrics.
	budget   *clientbudget.Budget
	protocol string

	mu sync.Mutex
	// stopped is set once no connection is accepted except those in the queues of the
	// listeners, closed once no connection is.
	stopped, closed bool
	listeners       map[*listener]struct{}
	// conns holds the connections from their accept to their close.
	conns map[*conn]struct{}
	// changed is closed and replaced when a listener or a connection has ended.
	changed chan struct{}
}

// New returns a server. headerTimeout limits the wait for the headers of a request.
func New(handler http.Handler, headerTimeout time.Duration) *Server {
	requests, cancel := context.WithCancel(context.Background())
	s := &Server{
		cancel: cancel, listeners: map[*listener]struct{}{}, conns: map[*conn]struct{}{}, changed: make(chan struct{}),
	}
	s.http = http.Server{
		Handler: s.counted(handler), ReadHeaderTimeout: headerTimeout, ConnState: connState,
		BaseContext: func(net.Listener) context.Context { return requests },
		ConnContext: func(ctx context.Context, nc net.Conn) context.Context {
			return clientbudget.NewContext(ctx, inner(nc).account)
		},
	}
	return s
}

// inner returns the connection of the server below TLS.
func inner(nc net.Conn) *conn {
	if outer, ok := nc.(*tls.Conn); ok {
		nc = outer.NetConn()
	}
	return nc.(*conn)
}

func (s *Server) counted(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.running.Add(1)
		defer s.running.Add(-1)
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		account := clientbudget.FromContext(r.Context())
		account.Use("")
		if r.ContentLength == 0 {
			account.Enter(clientlimit.Serving)
		}
		defer account.ReleaseAll(clientbudget.Answer)
		defer account.ReleaseAll(clientbudget.Message)
		handler.ServeHTTP(w, r)
	})
}

func connState(nc net.Conn, state http.ConnState) {
	if state != http.StateIdle {
		return
	}
	inner(nc).setServed()
}

// Serve accepts connections until the server is shut down or closed, and then returns
// nil.
func (s *Server) Serve(ln net.Listener) error { return s.serve(ln, nil) }

// ServeTLS is Serve with TLS.
func (s *Server) ServeTLS(ln net.Listener, config *tls.Config) error { return s.serve(ln, config) }

func (s *Server) serve(ln net.Listener, config *tls.Config) error {
	l := newListener(s, ln)
	if !s.trackListener(l) {
		return ln.Close()
	}
	defer s.untrackListener(l)
	var accepted net.Listener = l
	if config != nil {
		accepted = tls.NewListener(l, config)
	}
	go l.run()
	err := s.http.Serve(accepted)
	close(l.done)
	<-l.drained
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Notice makes the server tell each caller, with the answer to a request that arrives
// from now on, to close the connection.
func (s *Server) Notice() { s.stopping.Store(true) }

// Running returns the number of requests that are being served.
func (s *Server) Running() int { return int(s.running.Load()) }

// Shutdown accepts the connections in the queues of the listeners, closes the listeners,
// ends the connections that wait for a further request and waits for the others. When ctx
// ends it cancels the requests that still run, gives their handlers the time answer to
// respond, and cuts the rest. It returns their number.
func (s *Server) Shutdown(ctx context.Context, answer time.Duration) (cut int) {
	s.Notice()
	s.stopListeners()
	s.enter(endingServed)
	if !s.awaitEnd(ctx) {
		s.cancel()
		s.enter(endingAll)
		last, cancel := context.WithTimeout(context.WithoutCancel(ctx), answer)
		defer cancel()
		if !s.awaitEnd(last) {
			cut = s.Running()
		}
	}
	s.Close()
	return cut
}

// Close closes the listeners and all connections at once.
func (s *Server) Close() {
	s.cancel()
	listeners, conns := s.close()
	for _, l := range listeners {
		logClose(l.Listener.Close())
	}
	for _, c := range conns {
		c.Close()
	}
	s.http.Close()
}

func (s *Server) close() ([]*listener, []*conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped, s.closed = true, true
	return slices.Collect(maps.Keys(s.listeners)), slices.Collect(maps.Keys(s.conns))
}

func (s *Server) stopListeners() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	for l := range s.listeners {
		logClose(accept.Stop(l.Listener))
	}
}

func logClose(err error) {
	if err != nil && !errors.Is(err, net.ErrClosed) {
		klog.InfoS("httpdrain: could not stop a listener", "reason", err.Error())
	}
}

// enter makes the connections follow a phase.
func (s *Server) enter(p phase) {
	s.phase.Store(int32(p))
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.interrupt()
	}
}

// awaitEnd returns true once all listeners and connections are closed, or false when ctx
// ends before.
func (s *Server) awaitEnd(ctx context.Context) bool {
	for {
		s.mu.Lock()
		ended, changed := len(s.listeners)+len(s.conns) == 0, s.changed
		s.mu.Unlock()
		if ended {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

func (s *Server) trackListener(l *listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return false
	}
	s.listeners[l] = struct{}{}
	return true
}

func (s *Server) untrackListener(l *listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.listeners, l)
	s.notifyChanged()
}

func (s *Server) track(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) untrack(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, tracked := s.conns[c]; tracked {
		delete(s.conns, c)
		s.notifyChanged()
	}
}

// notifyChanged must be called with the lock held.
func (s *Server) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}
