package entry

import (
	"context"
	"errors"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// leasePollInterval bounds the delay until this instance notices that a lease
// has expired.
const leasePollInterval = 25 * time.Millisecond

// errLeaseEnded aborts work that requires the lease.
var errLeaseEnded = errors.New("entry: the lease on the group's term has ended")

// termLease is a context that ends with the lease on one term of a group. All
// requests of the term share it.
type termLease struct {
	term topo.Term
	ctx  context.Context
}

// leaseContext returns a context that ends when the lease no longer covers
// the term.
func (s *Server) leaseContext(id topo.GroupID, term topo.Term) context.Context {
	s.leaseMu.Lock()
	defer s.leaseMu.Unlock()
	if l := s.leases[id]; l != nil && l.term == term && l.ctx.Err() == nil {
		return l.ctx
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	s.leases[id] = &termLease{term, ctx}
	go s.watchLease(id, term, cancel)
	return ctx
}

func (s *Server) watchLease(id topo.GroupID, term topo.Term, cancel context.CancelCauseFunc) {
	for {
		changed := s.opts.Control.Changed()
		if !s.opts.Control.Holds(id, term) {
			cancel(errLeaseEnded)
			return
		}
		select {
		case <-changed:
		case <-time.After(leasePollInterval):
		}
	}
}

// underLease returns a context that ends with ctx or with the lease on the
// term. The caller must call the cancel function.
func (c *callerSession) underLease(ctx context.Context, term topo.Term) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(c.server.leaseContext(c.group, term), func() { cancel(errLeaseEnded) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}
