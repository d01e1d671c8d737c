package replog

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxJoinRequests limits the number of pending join requests.
	maxJoinRequests = 16
	// maxContacts limits the number of addresses learned from other nodes.
	maxContacts = 32
	// joinIntervalHeartbeats is the number of heartbeat intervals between two rounds of
	// join requests.
	joinIntervalHeartbeats = 2
	// seekAfterTimeouts is the number of election timeouts without a leader after which
	// a member sends join requests.
	seekAfterTimeouts = 2
	// leaderHintTTL is how long the address of a leader that others have named is valid.
	leaderHintTTL = time.Second
)

// joinState holds what a node without a leader knows of others, and the join requests
// that a leader has received.
type joinState struct {
	// joinDue is when a node without a leader sends its next join requests.
	joinDue time.Time
	// seeds are configured addresses besides Config.Peers. contacts are addresses
	// learned from other nodes since the last contact with a leader, the latest last.
	seeds, contacts []string
	// asked is the number of nodes that were sent the latest round of join requests;
	// answered holds the identities of those that have answered it.
	asked    int
	answered map[string]bool
	// leaderHint is the address of the leader by the latest answer, at leaderHintAt.
	leaderHint   string
	leaderHintAt time.Time
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

// seekLeader asks all known nodes for the leader while none is active. A node that is
// no member is admitted by it. A member waits for an election first.
func (n *Node) seekLeader() {
	if n.hasActiveLeader() || n.now.Before(n.joinDue) {
		return
	}
	if n.hasMembers() && n.now.Sub(n.lastLeaderContact) < seekAfterTimeouts*n.cfg.ElectionTimeout {
		return
	}
	n.joinDue = n.now.Add(joinIntervalHeartbeats * n.cfg.HeartbeatInterval)
	addrs := n.knownAddrs()
	n.asked, n.answered = len(addrs), map[string]bool{}
	for _, addr := range addrs {
		n.send(Message{Kind: MsgJoin, ToAddr: addr})
	}
	n.maybeBootstrap()
}

// knownAddrs returns the addresses of all other nodes that this node knows: the members
// by its log, the configured ones, and those that others have named.
func (n *Node) knownAddrs() []string {
	var addrs []string
	for _, m := range n.log.membership() {
		addrs = append(addrs, m.Addr)
	}
	addrs = slices.Concat(addrs, n.cfg.Peers, n.seeds, n.contacts)
	slices.Sort(addrs)
	addrs = slices.Compact(addrs)
	return slices.DeleteFunc(addrs, func(addr string) bool { return addr == n.cfg.Addr })
}

// SetSeeds sets further addresses to contact while there is no leader. They don't affect
// the bootstrap of a cluster.
func (n *Node) SetSeeds(addrs []string) { n.seeds = slices.Clone(addrs) }

// learnContacts keeps addresses of other nodes, at most maxContacts, while no leader is
// active.
func (n *Node) learnContacts(addrs ...string) {
	if n.hasActiveLeader() {
		return
	}
	known := n.knownAddrs()
	for _, addr := range addrs[:min(len(addrs), maxContacts)] {
		if addr == "" || addr == n.cfg.Addr || slices.Contains(known, addr) || slices.Contains(n.contacts, addr) {
			continue
		}
		n.contacts = append(n.contacts, addr)
	}
	n.contacts = n.contacts[max(0, len(n.contacts)-maxContacts):]
}

// activeLeaderAddr returns the address of the active leader, empty if there is none.
func (n *Node) activeLeaderAddr() string {
	if !n.hasActiveLeader() {
		return ""
	}
	m, _ := n.log.membership().Find(n.leader)
	return m.Addr
}

// hintedLeaderAddr returns the address of the leader that others have named lately to a
// node that is no member.
func (n *Node) hintedLeaderAddr() string {
	if n.now.Sub(n.leaderHintAt) > leaderHintTTL {
		return ""
	}
	return n.leaderHint
}

// learnFormerPeer keeps the address of a node that still sends messages to the identity
// which this node's address had before its disk was lost.
func (n *Node) learnFormerPeer(m Message) {
	if m.To != n.cfg.ID && m.ToAddr == n.cfg.Addr && (n.hard.Cluster == "" || n.hard.Cluster == m.Cluster) {
		n.learnContacts(m.FromAddr)
	}
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
	n.learnContacts(m.Contacts...)
	if m.LeaderAddr != "" {
		n.leaderHint, n.leaderHintAt = m.LeaderAddr, n.now
	}
	if n.answered != nil && len(n.answered) < maxContacts {
		n.answered[m.From] = true
	}
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
