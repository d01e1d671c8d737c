package entry

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/accept"
	"github.com/cicadacove/cicadacove/internal/clientbudget"
	"github.com/cicadacove/cicadacove/internal/contain"
	"github.com/cicadacove/cicadacove/internal/core/admission"
	"github.com/cicadacove/cicadacove/internal/core/drain"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/retry"
	"github.com/cicadacove/cicadacove/internal/core/routing"
	"github.com/cicadacove/cicadacove/internal/core/session"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/groupstate"
	"github.com/cicadacove/cicadacove/internal/peer"
	"github.com/cicadacove/cicadacove/internal/upstream"
)

const (
	// maxRegistrySessions and registryRetention bound the memory of the
	// session registry that this instance keeps as a holder.
	maxRegistrySessions = 200_000
	registryRetention   = 10 * time.Minute
)

// Limits bounds the resources that callers may use.
type Limits struct {
	// Callers is the maximum number of concurrent caller connections.
	Callers int
	// MaxMessage is the maximum length of a caller's message in bytes.
	MaxMessage int
	// IdleTransaction is the maximum time for which a caller may be idle
	// inside a transaction.
	IdleTransaction time.Duration
	// CallerWrite is the timeout for sending an answer to a caller.
	CallerWrite time.Duration
	// Memory is the memory of the machine in bytes, from which the budget of the callers is
	// derived; 0 means no budget.
	Memory int64
	// Resolve is how long after a request's target the server still tries to
	// determine the outcome of a write whose answer was lost.
	Resolve time.Duration
}

// DefaultLimits returns the limits that apply unless the settings change them.
func DefaultLimits() Limits {
	return Limits{
		Callers:         10_000,
		MaxMessage:      16 << 20,
		IdleTransaction: 10 * time.Second,
		CallerWrite:     30 * time.Second,
		Resolve:         5 * time.Second,
	}
}

// Options configures a Server.
type Options struct {
	Self      topo.InstanceID
	Control   Control
	Upstreams *upstream.Set
	// Client and Peers send and receive session lookups and cancel requests
	// between entry instances.
	Client *peer.Client
	Peers  *peer.Server
	Signer *session.Signer
	// Users authenticates callers by SCRAM-SHA-256. If it is nil, the server
	// trusts every caller.
	Users Users
	// TLS is the configuration for callers that ask for TLS. If it is nil, the
	// server refuses TLS.
	TLS       *tls.Config
	Limits    Limits
	Routing   routing.Policy
	Admission admission.Policy
	// Shares provides this instance's share of the upstreams; nil means no
	// limit.
	Shares   Shares
	Observer Observer
	// ClientMetrics records what callers make the process hold; it may be nil.
	ClientMetrics clientbudget.Metrics
}

// Server serves the connections of callers.
type Server struct {
	opts      Options
	groups    *groupstate.Set
	confirmer *upstream.Confirmer
	callers   atomic.Int64
	nextPID   atomic.Uint32
	// clientBudget limits what callers make the process hold; nil limits nothing.
	clientBudget *clientbudget.Budget
	// lingering counts refused connections that wait for their callers.
	lingering atomic.Int64

	leaseMu sync.Mutex
	leases  map[topo.GroupID]*termLease

	registryMu sync.Mutex
	registry   *session.Registry

	budgetMu sync.Mutex
	budget   *retry.Budget

	// work ends when running statements are abandoned.
	work    context.Context
	abandon context.CancelCauseFunc

	mu       sync.Mutex
	sessions map[uint32]*callerSession
	// conns holds the accepted connections.
	conns map[net.Conn]connState
	step  drain.Step
	ln    net.Listener
	// wg counts Serve and the accepted connections.
	wg sync.WaitGroup
}

// connState is how far the caller of an accepted connection has got.
type connState int

const (
	// connStarting: the session is being opened.
	connStarting connState = iota
	// connOpen: the session is open.
	connOpen
	// connAnswered: the caller has been sent the reason why its session ends.
	connAnswered
)

// New returns a server and registers its handlers for peer requests.
func New(opts Options) *Server {
	if opts.Observer == nil {
		opts.Observer = noObserver{}
	}
	if opts.Shares == nil {
		opts.Shares = unlimitedShares{}
	}
	if opts.Routing == "" {
		opts.Routing = routing.Replicas
	}
	s := &Server{
		opts:     opts,
		groups:   groupstate.New(opts.Admission, opts.Shares),
		leases:   map[topo.GroupID]*termLease{},
		registry: session.NewRegistry(maxRegistrySessions, registryRetention),
		budget:   retry.NewBudget(),
		sessions: map[uint32]*callerSession{},
		conns:    map[net.Conn]connState{},
	}
	if opts.Limits.Memory > 0 {
		s.clientBudget = clientbudget.New(clientbudget.Options{Memory: opts.Limits.Memory, MaxConns: opts.Limits.Callers, Metrics: opts.ClientMetrics})
	}
	s.work, s.abandon = context.WithCancelCause(context.Background())
	opts.Upstreams.OnExhausted = opts.Shares.DemandChanged
	s.confirmer = upstream.NewConfirmer(s.observeStatus)
	s.nextPID.Store(rand.Uint32() >> 1)
	s.handlePeerRequests()
	return s
}

// Serve accepts callers until the listener is closed.
func (s *Server) Serve(ln net.Listener) error {
	s.mu.Lock()
	s.ln = ln
	draining := s.step > drain.Serve
	if !draining {
		s.wg.Add(1)
		defer s.wg.Done()
	}
	s.mu.Unlock()
	if draining {
		return ln.Close()
	}
	accept.Each(ln, "entry", func(conn net.Conn) {
		s.wg.Go(func() {
			if err := contain.Run(func() { s.serveConn(conn) }); err != nil {
				klog.ErrorS(err, "entry: unexpected error; the session ends", "stack", contain.Stack(err))
				conn.Close()
			}
		})
	})
	return nil
}

// Callers returns the number of connected callers.
func (s *Server) Callers() int { return int(s.callers.Load()) }

func (s *Server) serveConn(conn net.Conn) {
	defer s.forget(conn)
	account, ok := s.admit(conn)
	if !ok {
		return
	}
	defer account.Close()
	if n := s.callers.Add(1); s.clientBudget == nil && n > int64(s.opts.Limits.Callers) {
		s.callers.Add(-1)
		s.refuseConn(conn, conn, outcome.Refused(upstream.CodeTooManyConns, "this entry instance has too many callers"))
		return
	}
	defer s.callers.Add(-1)
	c, err := s.openSession(conn, account)
	if err != nil {
		klog.V(2).Infof("entry: caller %s refused: %v", conn.RemoteAddr(), err)
		conn.Close()
		return
	}
	if c == nil {
		conn.Close()
		return
	}
	defer s.untrack(c)
	c.run()
}

// beginStartup registers an accepted connection and bounds its startup.
func (s *Server) beginStartup(conn net.Conn) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.step == drain.Close {
		return errDraining
	}
	s.conns[conn] = connStarting
	limit := startupTimeout
	if s.step > drain.Serve {
		limit = drainStartupTimeout
	}
	return conn.SetDeadline(time.Now().Add(limit))
}

// endStartup registers the session of an accepted connection. It returns false if the
// server is draining.
func (s *Server) endStartup(conn net.Conn, c *callerSession) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.step > drain.Serve || conn.SetDeadline(time.Time{}) != nil {
		return false
	}
	s.conns[conn] = connOpen
	s.sessions[c.pid] = c
	return true
}

// markAnswered records that the caller has been sent the reason why its session ends.
func (s *Server) markAnswered(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.conns[conn]; ok {
		s.conns[conn] = connAnswered
	}
}

func (s *Server) forget(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

func (s *Server) untrack(c *callerSession) {
	s.mu.Lock()
	delete(s.sessions, c.pid)
	s.mu.Unlock()
	c.conn.Close()
}

// mayRetry takes one retry from the instance's retry budget, and reports
// whether there was one.
func (s *Server) mayRetry() bool {
	s.budgetMu.Lock()
	defer s.budgetMu.Unlock()
	return s.budget.Take()
}

func (s *Server) countAttempt() {
	s.budgetMu.Lock()
	defer s.budgetMu.Unlock()
	s.budget.Attempt()
}

func (s *Server) observeStatus(st upstream.Status, at time.Time) {
	s.groups.Get(st.Group).ObserveReplica(st.ID, st.Point, at)
}
