// Package admin is the HTTP server of a process, and the client for it. The
// server provides the multi-team admin API, health checks, metrics and the
// time line, and receives the announcements of upstreams.
//
// The server is stateless: it reads and writes through the interfaces in
// Backends, so any entry instance can serve any request.
package admin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/revision"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/tlsfile"
)

// Limits of the server.
const (
	maxBodyBytes      = 1 << 20
	maxAnnounceBytes  = 64 << 10
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	shutdownTimeout   = 5 * time.Second
)

// Errors that a Configurator returns, wrapped or not.
var (
	// ErrUnavailable means that no leader could be reached and nothing was
	// changed.
	ErrUnavailable = errors.New("admin: no leader of the control voters can be reached")
	// ErrUnknown means that the change may or may not have been made. Sending
	// it again with the same request id returns its result.
	ErrUnknown = errors.New("admin: the result of the change is unknown")
)

// Configurator reads and changes the configuration at the current leader of
// the control voters.
type Configurator interface {
	Propose(ctx context.Context, cmd revision.Command) (revision.Result, error)
	// Preview returns the result that a command would have, without executing
	// it.
	Preview(ctx context.Context, cmd revision.Command) (revision.Result, error)
	View(ctx context.Context) (revision.View, error)
	History(ctx context.Context, q revision.HistoryQuery) (revision.History, error)
}

// Announcer receives the announcements of upstreams.
type Announcer interface {
	Announce(ctx context.Context, a topo.Announcement) error
}

// StatusSource reports the status of this process and its view of the upstreams
// and voters.
type StatusSource interface {
	Status() Status
	Upstreams() []Upstream
	Voters() []Voter
	// Config returns the active configuration of this process.
	Config() *contract.Config
	// Ready returns nil if the process accepts new callers.
	Ready() error
}

// Backends are the parts of the process that the server reads and changes.
// Groups, Metrics and Timeline may be nil.
type Backends struct {
	Config    Configurator
	Announcer Announcer
	Status    StatusSource
	Groups    GroupController
	Metrics   http.Handler
	Timeline  http.Handler
}

// Options configures a server.
type Options struct {
	// Tokens authenticates requests. When it is nil, every request has the
	// admin role for all teams; use this on loopback addresses only.
	Tokens *Tokens
	// AnnounceKey verifies the signatures of announcements. When it is empty,
	// the server also accepts unsigned announcements.
	AnnounceKey []byte
	// Certificate enables TLS when it is not nil.
	Certificate *tlsfile.Certificate
	// Now returns the current time; the default is time.Now.
	Now func() time.Time
}

// Server is the HTTP server.
type Server struct {
	backends Backends
	options  Options
	handler  http.Handler
}

// New returns a server.
func New(b Backends, o Options) *Server {
	if o.Now == nil {
		o.Now = time.Now
	}
	s := &Server{backends: b, options: o}
	s.handler = s.routes()
	return s
}

// Handler returns the HTTP handler with all routes of the server.
func (s *Server) Handler() http.Handler { return s.handler }

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", s.health)
	mux.HandleFunc("GET /readyz", s.ready)
	mux.HandleFunc("POST /v1/announce", s.announce)
	if s.backends.Metrics != nil {
		mux.Handle("GET /metrics", s.backends.Metrics)
	}
	if s.backends.Timeline != nil {
		mux.Handle("GET /v1/timeline", s.requireRole(RoleViewer, func(w http.ResponseWriter, r *http.Request, _ Identity) error {
			s.backends.Timeline.ServeHTTP(w, r)
			return nil
		}))
	}
	s.routeReads(mux)
	s.routeWrites(mux)
	return mux
}

func (s *Server) routeReads(mux *http.ServeMux) {
	mux.Handle("GET /v1/status", s.requireRole(RoleViewer, s.getStatus))
	mux.Handle("GET /v1/upstreams", s.requireRole(RoleViewer, s.getUpstreams))
	mux.Handle("GET /v1/voters", s.requireRole(RoleViewer, s.getVoters))
	mux.Handle("GET /v1/questionnaire", s.requireRole(RoleViewer, s.getQuestionnaire))
	mux.Handle("GET /v1/contracts", s.requireRole(RoleViewer, s.listContracts))
	mux.Handle("GET /v1/contracts/{id}", s.requireRole(RoleViewer, s.getContract))
	mux.Handle("GET /v1/contracts/{id}/answers", s.requireRole(RoleViewer, s.getAnswers))
	mux.Handle("GET /v1/contracts/{id}/explain", s.requireRole(RoleViewer, s.getExplain))
	mux.Handle("GET /v1/history", s.requireRole(RoleViewer, s.getHistory))
	mux.Handle("GET /v1/audit", s.requireRole(RoleAdmin, s.getAudit))
}

func (s *Server) routeWrites(mux *http.ServeMux) {
	mux.Handle("PUT /v1/contracts/{id}", s.requireRole(RoleAdmin, s.putContract))
	mux.Handle("DELETE /v1/contracts/{id}", s.requireRole(RoleAdmin, s.removeContract))
	mux.Handle("PUT /v1/contracts/{id}/answers", s.requireRole(RoleAdmin, s.putAnswers))
	mux.Handle("PATCH /v1/contracts/{id}/answers", s.requireRole(RoleOperator, s.amendAnswers))
	if s.backends.Groups != nil {
		mux.Handle("POST /v1/groups/{group}/switchover", s.requireRole(RoleOperator, s.switchover))
		mux.Handle("POST /v1/groups/{group}/remove", s.requireRole(RoleAdmin, s.removeUpstream))
	}
}

// Serve handles requests on the listener until ctx ends. It then closes the
// listener and waits up to shutdownTimeout for the requests in flight.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	server := &http.Server{
		Handler:           s.handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
	}
	shutdownErr := make(chan error, 1)
	cancelShutdown := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		shutdownErr <- server.Shutdown(shutdownCtx)
	})
	err := s.serve(server, l)
	if cancelShutdown() || !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return <-shutdownErr
}

func (s *Server) serve(server *http.Server, l net.Listener) error {
	klog.V(1).Infof("admin: listening on %s", l.Addr())
	if s.options.Certificate == nil {
		return server.Serve(l)
	}
	server.TLSConfig = s.options.Certificate.Config()
	return server.ServeTLS(l, "", "")
}
