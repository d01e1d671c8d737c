package upstream

import (
	"context"

	"github.com/cicadacove/cicadacove/internal/connpool"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// Pool holds the connections to one upstream, Set the pools of all upstreams
// and Member one pool of a set.
type (
	Pool   = connpool.Pool[*Conn]
	Set    = connpool.Set[*Conn]
	Member = connpool.Member[*Conn]
)

// NewSet returns an empty set. limit returns how many connections this instance
// may hold to an upstream.
func NewSet(user, password string, dial DialFunc, limit func(topo.Announcement) int) *Set {
	open := func(a topo.Announcement) connpool.OpenFunc[*Conn] {
		target := Target{ID: a.ID, Group: a.Group, Addr: a.Addr, User: user, Password: password, Dial: dial}
		return func(ctx context.Context, k connpool.Key) (*Conn, error) { return Connect(ctx, target, k.Term) }
	}
	return connpool.NewSet(open, limit)
}
