package connpool

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/core/topo"
)

type fakeConn struct{ closed bool }

func (c *fakeConn) Clean() bool { return !c.closed }
func (c *fakeConn) Close()      { c.closed = true }
func (c *fakeConn) Abort()      { c.closed = true }

// A primary's address may be known before its announcement arrives. If the pool
// then keeps the limit 0, the instance refuses all reads permanently (seed 3262 of
// TestRandomPlans).
func TestLimitFollowsTheFirstAnnouncement(t *testing.T) {
	open := func(topo.Announcement) OpenFunc[*fakeConn] { return nil }
	s := NewSet(open, func(a topo.Announcement) int { return a.Connections / 4 })
	defer s.Close()
	known := topo.Announcement{ID: "ledger-2/b", Addr: "127.0.0.1:1"}
	m := s.Get(known)
	require.Zero(t, m.Stats().Limit)
	announced := known
	announced.Connections = 20
	require.Same(t, m, s.Get(announced))
	require.Equal(t, 5, m.Stats().Limit)
	require.Same(t, m, s.Get(known))
	require.Equal(t, 5, m.Stats().Limit)
}
