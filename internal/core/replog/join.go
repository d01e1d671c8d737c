package replog

import (
	"maps"
	"slices"
	"time"
)

// maxWaiting limits the remembered nodes that ask to join.
const maxWaiting = 16

// joining holds what a node outside any cluster learns of its peers, and what
// a leader knows of nodes that ask to join.
type joining struct {
	joinDue time.Time
	// blankPeers maps the address of each peer that belongs to no cluster to
	// its identity, as answered since this node's start.
	blankPeers map[string]string
	// waiting maps the address of a node that asks to join to its request.
	waiting map[string]joinRequest
}

// joinRequest is the latest request of a node that asks to join.
type joinRequest struct {
	id string
	at time.Time
}

// hasMembers reports whether this node knows the members of its cluster.
func (n *Node) hasMembers() bool { return len(n.log.membership()) > 0 }

// isBlank reports whether this node has promised nothing to any cluster.
func (n *Node) isBlank() bool {
	return n.hard == HardState{} && n.log.last() == 0
}

func (n *Node) tickLearner() {
	if n.hasMembers() || n.now.Before(n.joinDue) {
		return
	}
	n.joinDue = n.now.Add(2 * n.cfg.HeartbeatInterval)
	for _, addr := range n.cfg.Peers {
		if addr != n.cfg.Addr {
			n.send(Message{Kind: MsgJoin, ToAddr: addr})
		}
	}
	n.maybeForm()
}

// onJoin answers a node that belongs to no cluster. The leader also gives it
// the place of the member that had its address.
func (n *Node) onJoin(m Message) {
	n.reply(m, Message{Kind: MsgJoinReply, Reject: !n.isBlank()})
	if n.role != Leader {
		return
	}
	members := n.log.membership()
	if _, ok := members.Find(m.From); ok {
		return
	}
	if _, ok := members.FindAddr(m.FromAddr); !ok {
		n.noteWaiting(m)
		return
	}
	// A refusal needs no answer: the node asks again.
	_, _, _ = n.Replace(Member{ID: m.From, Addr: m.FromAddr})
}

func (n *Node) noteWaiting(m Message) {
	if n.waiting == nil {
		n.waiting = map[string]joinRequest{}
	}
	if _, known := n.waiting[m.FromAddr]; known || len(n.waiting) < maxWaiting {
		n.waiting[m.FromAddr] = joinRequest{m.From, n.now}
	}
}

// waitingMembers lists the nodes that ask to join, by address.
func (n *Node) waitingMembers() Membership {
	var out Membership
	for _, addr := range slices.Sorted(maps.Keys(n.waiting)) {
		id := n.waiting[addr].id
		if _, ok := n.log.membership().Find(id); !ok {
			out = append(out, Member{ID: id, Addr: addr})
		}
	}
	return out
}

func (n *Node) onJoinReply(m Message) {
	if n.hasMembers() {
		return
	}
	if n.blankPeers == nil {
		n.blankPeers = map[string]string{}
	}
	if m.Reject {
		delete(n.blankPeers, m.FromAddr)
		return
	}
	n.blankPeers[m.FromAddr] = m.From
	n.maybeForm()
}

// maybeForm forms a cluster of all peers when each belongs to none and this
// node has the lowest address. One peer with any state, or one that does not
// answer, forbids it: the peers may be the rest of a cluster whose other disks
// were lost.
func (n *Node) maybeForm() {
	if n.cfg.JoinOnly || !n.isBlank() || len(n.cfg.Peers) == 0 || slices.Min(n.cfg.Peers) != n.cfg.Addr {
		return
	}
	members := Membership{}.With(Member{ID: n.cfg.ID, Addr: n.cfg.Addr, Voter: true})
	for _, addr := range n.cfg.Peers {
		if addr == n.cfg.Addr {
			continue
		}
		id, blank := n.blankPeers[addr]
		if !blank {
			return
		}
		members = members.With(Member{ID: id, Addr: addr, Voter: true})
	}
	n.form(members)
}

func (n *Node) form(members Membership) {
	s := Snapshot{Index: formationIndex, Term: formationTerm, Members: members}
	n.hard = HardState{Cluster: n.cfg.NewCluster, Term: formationTerm}
	n.log.restore(s)
	n.received = &s
	n.followMembership()
	n.electionDeadline = n.now
}
