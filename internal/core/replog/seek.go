package replog

import (
	"slices"
	"time"
)

const (
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

// seekState is what a node without a leader knows of others.
type seekState struct {
	// joinDue is when the node sends its next join requests.
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

// recordAnswer records what the answer to a join request names.
func (n *Node) recordAnswer(m Message) {
	n.learnContacts(m.Contacts...)
	if m.LeaderAddr != "" {
		n.leaderHint, n.leaderHintAt = m.LeaderAddr, n.now
	}
	if n.answered != nil && len(n.answered) < maxContacts {
		n.answered[m.From] = true
	}
}
