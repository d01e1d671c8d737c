package replog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// processAll does all pending work of a node with a disk that never fails.
func processAll(n *Node) (sent []Message, committed []Entry) {
	for n.HasReady() {
		rd := n.Ready()
		sent = append(append(sent, rd.Early...), rd.Messages...)
		committed = append(committed, rd.Committed...)
		n.Advance(rd)
	}
	return sent, committed
}

func messageFrom(sender string, m Message) Message {
	m.Cluster, m.From, m.FromAddr, m.To, m.ToAddr = "k", sender, sender, "a", "a"
	return m
}

func TestFollowerAppends(t *testing.T) {
	// The log holds entries 2 to 4 with terms 1, 1 and 2; entry 2 is committed.
	entries := []Entry{{Term: 1, Index: 2}, {Term: 1, Index: 3}, {Term: 2, Index: 4}}
	cases := []struct {
		name       string
		m          Message
		wantReply  Message
		wantLast   uint64
		wantCommit uint64
	}{
		{"next entry", Message{Index: 4, LogTerm: 2, Entries: []Entry{{Term: 3, Index: 5}}, Commit: 4},
			Message{Index: 5}, 5, 4},
		{"commit beyond the new entries", Message{Index: 2, LogTerm: 1, Entries: []Entry{{Term: 1, Index: 3}}, Commit: 9},
			Message{Index: 3}, 4, 3},
		{"commit beyond a matching entry", Message{Index: 3, LogTerm: 1, Commit: 9},
			Message{Index: 3}, 4, 3},
		{"gap", Message{Index: 7, LogTerm: 3, Commit: 7},
			Message{Index: 7, Reject: true, Hint: 4}, 4, 2},
		{"other term", Message{Index: 4, LogTerm: 1, Commit: 4},
			Message{Index: 4, Reject: true, Hint: 3}, 4, 2},
		{"conflict", Message{Index: 2, LogTerm: 1, Entries: []Entry{{Term: 3, Index: 3}}, Commit: 2},
			Message{Index: 3}, 3, 2},
		{"before the commit index", Message{Index: 1, LogTerm: 1, Entries: []Entry{{Term: 1, Index: 2}}},
			Message{Index: 2}, 4, 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			n := newNodeInRole(t, Follower)
			n.hard.Term = 3
			n.log.add(entries)
			n.log.commitTo(2)
			processAll(n)
			tc.m.Kind, tc.m.Term = MsgAppend, 3
			n.Step(messageFrom("b", tc.m))
			sent, _ := processAll(n)
			require.Len(t, sent, 1)
			got := Message{Index: sent[0].Index, Reject: sent[0].Reject, Hint: sent[0].Hint}
			require.Equal(t, tc.wantReply, got)
			require.Equal(t, tc.wantLast, n.log.last())
			require.Equal(t, tc.wantCommit, n.log.commit)
		})
	}
}

func TestFollowerSyncsBeforeApplyAndReply(t *testing.T) {
	n := newNodeInRole(t, Follower)
	n.Step(messageFrom("b", Message{Kind: MsgAppend, Term: 1, Index: 1, LogTerm: 1, Entries: []Entry{{Term: 1, Index: 2}}, Commit: 2}))
	rd := n.Ready()
	require.Len(t, rd.Entries, 1)
	require.Empty(t, rd.Early)
	require.Len(t, rd.Messages, 1)
	require.Empty(t, rd.Committed, "the entry is not synced yet")
	n.Advance(rd)
	require.Len(t, n.Ready().Committed, 1)
}

func TestLeaderCountsItsOwnEntriesOnceSynced(t *testing.T) {
	n := newNodeInRole(t, Leader)
	n.progress["b"].match = 2
	n.maybeCommit()
	require.EqualValues(t, 1, n.log.commit)
	processAll(n)
	require.EqualValues(t, 2, n.log.commit)
}

func TestEntriesOfEarlierTermsCommitWithEntryOfCurrentTerm(t *testing.T) {
	n := newNodeInRole(t, Follower)
	n.log.add([]Entry{{Term: 1, Index: 2}})
	for _, e := range []event{evElectionTimeout, evPreVoteWon, evVoteWon} {
		n.raise(e)
	}
	processAll(n)
	n.Step(messageFrom("b", Message{Kind: MsgAppendReply, Term: 2, Index: 2}))
	require.EqualValues(t, 1, n.log.commit)
	n.Step(messageFrom("b", Message{Kind: MsgAppendReply, Term: 2, Index: 3}))
	require.EqualValues(t, 3, n.log.commit)
}

func TestNewLeaderRefusesMembershipChangesBeforeFirstCommit(t *testing.T) {
	n := newNodeInRole(t, Leader)
	processAll(n)
	_, _, err := n.AddLearner(Member{ID: "d", Addr: "d"})
	require.ErrorIs(t, err, ErrChangePending)
	n.Step(messageFrom("b", Message{Kind: MsgAppendReply, Term: 2, Index: 2}))
	_, _, err = n.AddLearner(Member{ID: "d", Addr: "d"})
	require.NoError(t, err)
}

func TestConfirmCountsOnlyRepliesOfItsRound(t *testing.T) {
	n := newNodeInRole(t, Leader)
	n.Confirm(1)
	processAll(n)
	require.Zero(t, n.round, "no round before the first commit")
	n.Step(messageFrom("b", Message{Kind: MsgAppendReply, Term: 2, Index: 2}))
	require.EqualValues(t, 1, n.round)
	n.Step(messageFrom("b", Message{Kind: MsgHeartbeatReply, Term: 2, Round: 1}))
	require.Equal(t, []Confirmation{{1, 2}}, n.Ready().Confirmed)
	n.Confirm(2)
	n.Step(messageFrom("c", Message{Kind: MsgHeartbeatReply, Term: 2, Round: 1}))
	require.Empty(t, n.Ready().Confirmed)
	n.Step(messageFrom("c", Message{Kind: MsgHeartbeatReply, Term: 2, Round: 2}))
	require.Equal(t, []Confirmation{{2, 2}}, n.Ready().Confirmed)
}

func TestNodeThatVotedDoesNotBootstrap(t *testing.T) {
	for _, uninitialised := range []bool{true, false} {
		n := New(Config{
			ID: "a", Addr: "a", Peers: []string{"a", "b"}, NewCluster: "new", Now: time.Unix(1000, 0),
			HeartbeatInterval: simHeartbeat, ElectionTimeout: simElection,
		})
		if !uninitialised {
			n.Step(messageFrom("c", Message{Kind: MsgVote, Term: 4, Index: 1, LogTerm: 1}))
		}
		n.Step(messageFrom("b", Message{Kind: MsgJoinReply}))
		require.Equal(t, uninitialised, n.hasMembers())
	}
}

func TestSnapshotFromLeader(t *testing.T) {
	members := Membership{{ID: "a", Addr: "a", Voter: true}, {ID: "b", Addr: "b", Voter: true}}
	cases := []struct {
		name         string
		index, term  uint64
		wantRestored bool
		wantReply    uint64
	}{
		{"newer", 9, 1, true, 9},
		{"the log agrees", 3, 1, false, 3},
		{"older than the commit index", 2, 1, false, 2},
		{"the log disagrees", 3, 2, true, 3},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			n := newNodeInRole(t, Follower)
			n.log.add([]Entry{{Term: 1, Index: 2}, {Term: 1, Index: 3}, {Term: 1, Index: 4}})
			n.log.commitTo(2)
			processAll(n)
			s := &Snapshot{Index: tc.index, Term: tc.term, Members: members}
			n.Step(messageFrom("b", Message{Kind: MsgSnapshot, Term: 1, Snapshot: s}))
			rd := n.Ready()
			require.Equal(t, tc.wantRestored, rd.Snapshot != nil)
			require.Equal(t, tc.wantReply, rd.Messages[0].Index)
			if tc.wantRestored {
				require.Equal(t, members, n.Status().Members)
				require.Equal(t, tc.index, n.log.last())
			}
		})
	}
}

func TestSendersWithLowerTermLearnHigherTerm(t *testing.T) {
	n := newNodeInRole(t, Follower)
	n.hard.Term = 5
	processAll(n)
	for _, m := range []Message{
		{Kind: MsgAppend, Term: 4}, {Kind: MsgHeartbeat, Term: 4}, {Kind: MsgSnapshot, Term: 4}, {Kind: MsgPreVote, Term: 4},
	} {
		n.Step(messageFrom("b", m))
		sent, _ := processAll(n)
		require.Len(t, sent, 1)
		require.True(t, sent[0].Reject)
		require.EqualValues(t, 5, sent[0].Term)
	}
	lead := newNodeInRole(t, Leader)
	lead.Step(messageFrom("b", Message{Kind: MsgAppendReply, Term: 5, Reject: true}))
	require.Equal(t, Follower, lead.role)
}
