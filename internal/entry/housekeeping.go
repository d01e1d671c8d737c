package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/core/pool"
	"github.com/cicadacove/cicadacove/internal/core/requestid"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/groupstate"
	"github.com/cicadacove/cicadacove/internal/upstream"
)

const (
	// sampleTick is how often the ages of the primaries' positions are looked at.
	sampleTick = 25 * time.Millisecond
	// poolTick is how often pools are warmed and reaped.
	poolTick = 250 * time.Millisecond
	// warmIdle is how many connections are kept open ahead for each upstream
	// in use.
	warmIdle = 2
	// purgeEvery is the mean time between deletions of old request ids.
	purgeEvery   = 10 * time.Minute
	purgeTimeout = 10 * time.Second
)

// Run does what callers do not wait for: it keeps the positions of primaries
// fresh where reads need them, opens connections ahead and deletes old
// request ids. It returns when ctx ends.
func (s *Server) Run(ctx context.Context) error {
	go every(ctx, sampleTick, func() { s.sampleAll(ctx) })
	go every(ctx, poolTick, s.tendPools)
	go s.purgeLoop(ctx)
	<-ctx.Done()
	return nil
}

func every(ctx context.Context, interval time.Duration, f func()) {
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

// sampleAll asks for the positions of the primaries whose replicas serve reads.
func (s *Server) sampleAll(ctx context.Context) {
	now := time.Now()
	s.groups.Each(func(id topo.GroupID, g *groupstate.Group) {
		if !g.StartSample(now) {
			return
		}
		go func() {
			defer g.EndSample()
			ctx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			if err := s.samplePrimary(ctx, id); err != nil {
				klog.V(4).Infof("entry: position of %s not learned: %v", id, err)
			}
		}()
	})
}

// tendPools opens connections ahead in the groups in use and closes idle ones.
func (s *Server) tendPools() {
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
				s.opts.Upstreams.Get(u.Announcement).Warm(warmIdle, 0)
			}
		}
		if auth, ok := s.opts.Control.Authority(id); ok {
			s.opts.Upstreams.Get(auth.Primary).Warm(warmIdle, auth.Term)
		}
	})
}

func (s *Server) purgeLoop(ctx context.Context) {
	for {
		pause := purgeEvery/2 + time.Duration(rand.Int64N(int64(purgeEvery)))
		select {
		case <-time.After(pause):
			s.groups.Each(func(id topo.GroupID, _ *groupstate.Group) { s.purge(ctx, id) })
		case <-ctx.Done():
			return
		}
	}
}

// purge deletes request ids past their retention.
func (s *Server) purge(ctx context.Context, id topo.GroupID) {
	auth, ok := s.opts.Control.Authority(id)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, purgeTimeout)
	defer cancel()
	m := s.opts.Upstreams.Get(auth.Primary)
	conn, err := m.Acquire(ctx, auth.Term)
	if err != nil {
		return
	}
	defer m.Release(conn)
	if _, a, err := conn.Exec(ctx, requestid.Purge(time.Now())); err != nil || a.Err != nil {
		klog.V(2).Infof("entry: request ids of %s not purged", id)
	}
}
