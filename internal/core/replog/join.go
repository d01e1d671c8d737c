package replog

import (
	"maps"
	"slices"
	"time"
)

// maxJoinRequests limits the number of pending join requests.
const maxJoinRequests = 16

// joinState holds the peers' replies to a node without a cluster, and the join
// requests that a leader has received.
type joinState struct {
	// uninitialisedPeers maps the address of each peer that has reported no
	// cluster state to its identity. It covers replies since this node started.
	uninitialisedPeers map[string]string
	// joinRequests maps an address to the latest join request from it.
	joinRequests map[string]joinRequest
}

// joinRequest is the latest request of a node to join the cluster.
type joinRequest struct {
	id string
	at time.Time
}

// hasMembers reports whether the log holds the membership of a cluster.
func (n *Node) hasMembers() bool { return len(n.log.membership()) > 0 }

// isUninitialised reports whether this node has neither hard state nor log
// entries, and so has made no commitment to any cluster.
func (n *Node) isUninitialised() bool {
	return n.hard == HardState{} && n.log.last() == 0
}

// onJoin replies to a node without a leader. If this node leads and the sender is no
// member, it admits the sender, in place of a member that had its address.
func (n *Node) onJoin(m Message) {
	n.reply(m, Message{
		Kind: MsgJoinReply, Reject: !n.isUninitialised(),
		Contacts: n.knownAddrs(), LeaderAddr: n.activeLeaderAddr(),
	})
	if n.role != Leader {
		n.learnContacts(m.FromAddr)
		return
	}
	members := n.log.membership()
	if _, ok := members.Find(m.From); ok {
		return
	}
	if _, ok := members.FindAddr(m.FromAddr); !ok {
		n.recordJoinRequest(m)
		return
	}
	if n.needsVoters() && n.promotionPending() {
		return // two replacements at once would leave too few voters
	}
	// An error needs no reply: the node retries.
	_, _, _ = n.Replace(Member{ID: m.From, Addr: m.FromAddr})
}

func (n *Node) recordJoinRequest(m Message) {
	if n.joinRequests == nil {
		n.joinRequests = map[string]joinRequest{}
	}
	maps.DeleteFunc(n.joinRequests, func(_ string, r joinRequest) bool { return n.now.Sub(r.at) > joinRequestTTL })
	if _, known := n.joinRequests[m.FromAddr]; known || len(n.joinRequests) < maxJoinRequests {
		n.joinRequests[m.FromAddr] = joinRequest{m.From, n.now}
	}
}

// joiningMembers returns the nodes with pending join requests, ordered by
// address.
func (n *Node) joiningMembers() Membership {
	var out Membership
	for _, addr := range slices.Sorted(maps.Keys(n.joinRequests)) {
		id := n.joinRequests[addr].id
		if _, ok := n.log.membership().Find(id); !ok {
			out = append(out, Member{ID: id, Addr: addr})
		}
	}
	return out
}

func (n *Node) onJoinReply(m Message) {
	n.recordAnswer(m)
	if n.hasMembers() {
		return
	}
	if n.uninitialisedPeers == nil {
		n.uninitialisedPeers = map[string]string{}
	}
	if m.Reject {
		delete(n.uninitialisedPeers, m.FromAddr)
		return
	}
	n.uninitialisedPeers[m.FromAddr] = m.From
	n.maybeBootstrap()
}

// maybeBootstrap creates a cluster of all peers if none of them has any cluster
// state and this node has the lowest address. A single peer that has state or
// does not reply prevents it, because the peers may be the remainder of a
// cluster whose other disks were lost.
func (n *Node) maybeBootstrap() {
	if n.cfg.JoinOnly || !n.isUninitialised() || len(n.cfg.Peers) == 0 || slices.Min(n.cfg.Peers) != n.cfg.Addr {
		return
	}
	members := Membership{}.With(Member{ID: n.cfg.ID, Addr: n.cfg.Addr, Voter: true})
	for _, addr := range n.cfg.Peers {
		if addr == n.cfg.Addr {
			continue
		}
		id, uninitialised := n.uninitialisedPeers[addr]
		if !uninitialised {
			return
		}
		members = members.With(Member{ID: id, Addr: addr, Voter: true})
	}
	n.bootstrap(members)
}

func (n *Node) bootstrap(members Membership) {
	s := Snapshot{Index: bootstrapIndex, Term: bootstrapTerm, Members: members}
	n.hard = HardState{Cluster: n.cfg.NewCluster, Term: bootstrapTerm}
	n.log.restore(s)
	n.received = &s
	n.followMembership()
	n.electionDeadline = n.now
}
