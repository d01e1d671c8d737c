package node

import (
	"context"

	"github.com/cicadacove/cicadacove/internal/core/grant"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/grants"
)

// requestsPerSlot is how many requests of all instances may be in progress for
// each slot of a database. A request occupies one of these places for its
// whole exchange with the database, but occupies a slot only while a statement
// runs. With one place per slot, the slots would be idle during the round
// trips. The excess requests queue in the database.
const requestsPerSlot = 2

// shares adapts the grants to entry.Shares.
type shares struct {
	*grants.Grants
	ctx context.Context
}

// Use implements entry.Shares.
func (s shares) Use(a topo.Announcement) {
	if a.Slots == 0 || a.Connections == 0 {
		return
	}
	s.SetUpstream(s.ctx, a.ID, grant.Amount{Slots: a.Slots * requestsPerSlot, Connections: a.Connections})
}

func (n *Node) buildShares(ctx context.Context) shares {
	n.grants = grants.New(grants.Options{
		Self: n.opts.ID, Client: n.client, Server: n.peers,
		View: n.grantView,
		Usage: func(id topo.UpstreamID) grants.Usage {
			return grants.UsageFrom(n.Entry.Usage(id))
		},
		Changed: func(id topo.UpstreamID) { n.Entry.ShareChanged(id) },
	})
	return shares{n.grants, ctx}
}

// grantView returns the active epoch in the form that the grants use.
func (n *Node) grantView() (grants.View, bool) {
	v, ok := n.Agent.View()
	if !ok {
		return grants.View{}, false
	}
	out := grants.View{Epoch: v.Epoch, Until: n.Agent.LeaseUntil()}
	for _, m := range v.Members {
		out.Members = append(out.Members, grants.Member{ID: m.ID, Addr: m.PeerAddr})
	}
	return out, true
}
