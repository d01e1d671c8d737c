package replog

import "github.com/cicadacove/cicadacove/internal/core/replog/quorum"

// confirmState tracks a leader's pending requests for leadership confirmation
// (the ReadIndex protocol). A request joins the first heartbeat round that
// starts after it. At most one round runs at a time.
type confirmState struct {
	// round is the number of the latest round in this term.
	round uint64
	// pendingConfirms are requests that have not joined a round yet.
	pendingConfirms []uint64
	// activeConfirms are the requests of the current round. It is empty when no
	// round is running.
	activeConfirms []uint64
	// roundIndex is the commit index at the start of the round.
	roundIndex uint64
	// roundAcks holds the members that acknowledged a heartbeat of the round.
	roundAcks map[string]bool
	// confirmed and refused are returned by the next Ready.
	confirmed []Confirmation
	refused   []uint64
}

// Confirm requests proof that this node was the leader at some point after the
// call. The result is returned in Ready.Confirmed or Ready.Refused.
func (n *Node) Confirm(request uint64) {
	if n.role != Leader {
		n.refused = append(n.refused, request)
		return
	}
	n.pendingConfirms = append(n.pendingConfirms, request)
	n.startRound()
}

// startRound starts a round for the pending requests unless one is already
// running. A new leader must first commit an entry of its own term: until then
// its commit index may be lower than that of an earlier leader.
func (n *Node) startRound() {
	if len(n.activeConfirms) > 0 || len(n.pendingConfirms) == 0 || !n.committedInTerm() {
		return
	}
	n.round++
	n.activeConfirms, n.pendingConfirms = n.pendingConfirms, nil
	n.roundIndex = n.log.commit
	n.roundAcks = map[string]bool{n.cfg.ID: true}
	n.broadcastHeartbeat()
	n.finishRound()
}

func (n *Node) countRoundAck(m Message) {
	if m.Round != n.round || len(n.activeConfirms) == 0 {
		return
	}
	n.roundAcks[m.From] = true
	n.finishRound()
}

func (n *Node) finishRound() {
	if quorum.Tally(n.log.membership().Voters(), n.roundAcks) != quorum.Won {
		return
	}
	for _, id := range n.activeConfirms {
		n.confirmed = append(n.confirmed, Confirmation{Request: id, Index: n.roundIndex})
	}
	n.activeConfirms = nil
	n.startRound()
}

func (n *Node) refuseConfirms() {
	n.refused = append(n.refused, n.activeConfirms...)
	n.refused = append(n.refused, n.pendingConfirms...)
	n.activeConfirms, n.pendingConfirms = nil, nil
}
