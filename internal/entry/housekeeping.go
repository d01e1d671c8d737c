package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/connpool"
	"github.com/cicadacove/cicadacove/internal/core/pool"
	"github.com/cicadacove/cicadacove/internal/core/requestid"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/groupstate"
	"github.com/cicadacove/cicadacove/internal/upstream"
)

const (
	// sampleInterval is the time between checks whether the recorded positions
	// of the primaries are too old.
	sampleInterval = 25 * time.Millisecond
	// poolInterval is the time between two rounds of pool maintenance.
	poolInterval = 250 * time.Millisecond
	// warmConns is the number of idle connections that the pool of each
	// upstream in use keeps open in advance.
	warmConns = 2
	// purgeInterval is the mean time between deletions of expired request ids.
	purgeInterval = 10 * time.Minute
	purgeTimeout  = 10 * time.Second
)

// Run does the background work of the server: it refreshes the positions of
// primaries for reads that need them, maintains the connection pools and
// deletes expired request ids. It returns when ctx ends.
func (s *Server) Run(ctx context.Context) error {
	go runEvery(ctx, sampleInterval, func() { s.sampleAll(ctx) })
	go runEvery(ctx, poolInterval, s.maintainPools)
	go s.purgeLoop(ctx)
	<-ctx.Done()
	return nil
}

func runEvery(ctx context.Context, interval time.Duration, f func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			f()
		case <-ctx.Done():
			return
		}
	}
}

// sampleAll queries the positions of the primaries whose replicas serve reads.
func (s *Server) sampleAll(ctx context.Context) {
	now := time.Now()
	s.groups.Each(func(id topo.GroupID, g *groupstate.Group) {
		if !g.StartSample(now) {
			return
		}
		go func() {
			defer g.EndSample()
			ctx, cancel := context.WithTimeout(ctx, positionTimeout)
			defer cancel()
			if err := s.samplePrimary(ctx, id); err != nil {
				klog.V(4).Infof("entry: could not query the position of the primary of %s: %v", id, err)
			}
		}()
	})
}

// maintainPools closes idle connections, retries failed upstreams and opens
// connections in advance for the groups in use.
func (s *Server) maintainPools() {
	now := time.Now()
	s.opts.Upstreams.Each(func(id topo.UpstreamID, m *upstream.Member) {
		m.Reap(now, pool.IdleLimit)
		m.Retry(now)
		s.closeExcess(id, m)
	})
	s.groups.Each(func(id topo.GroupID, g *groupstate.Group) {
		if !g.Active(now) {
			return
		}
		state, _ := s.opts.Control.Group(id)
		for _, u := range s.opts.Control.Upstreams(id) {
			if u.ID != state.Primary {
				s.opts.Upstreams.Get(u.Announcement).Warm(warmConns, connpool.Key{})
			}
		}
		if auth, ok := s.opts.Control.Authority(id); ok {
			s.opts.Upstreams.Get(auth.Primary).Warm(warmConns, connpool.Key{Term: auth.Term})
		}
	})
}

func (s *Server) purgeLoop(ctx context.Context) {
	for {
		pause := purgeInterval/2 + time.Duration(rand.Int64N(int64(purgeInterval)))
		select {
		case <-time.After(pause):
			s.groups.Each(func(id topo.GroupID, _ *groupstate.Group) { s.purge(ctx, id) })
		case <-ctx.Done():
			return
		}
	}
}

// purge deletes the request ids of a group whose retention has passed.
func (s *Server) purge(ctx context.Context, id topo.GroupID) {
	auth, ok := s.opts.Control.Authority(id)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, purgeTimeout)
	defer cancel()
	m := s.opts.Upstreams.Get(auth.Primary)
	conn, err := m.Acquire(ctx, connpool.Key{Term: auth.Term})
	if err != nil {
		return
	}
	defer m.Release(conn)
	if _, a, err := conn.Exec(ctx, requestid.Purge(time.Now())); err != nil || a.Err != nil {
		klog.V(2).Infof("entry: could not purge the request ids of %s", id)
	}
}
