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
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Server is an HTTP server. Create it with New.
type Server struct {
	http http.Server
	// cancel ends the contexts of all requests.
	cancel   context.CancelFunc
	stopping atomic.Bool
	running  atomic.Int64
}

// New returns a server. headerTimeout limits the wait for the headers of a request.
func New(handler http.Handler, headerTimeout time.Duration) *Server {
	requests, cancel := context.WithCancel(context.Background())
	s := &Server{cancel: cancel}
	s.http = http.Server{
		Handler: s.counted(handler), ReadHeaderTimeout: headerTimeout,
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

// Shutdown closes the listeners and the idle connections and waits for the running
// requests. When ctx ends it cancels those that still run, gives their handlers the
// time answer to respond, and cuts the rest. It returns their number.
func (s *Server) Shutdown(ctx context.Context, answer time.Duration) (cut int) {
	s.Notice()
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
