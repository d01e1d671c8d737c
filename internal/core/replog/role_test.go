package replog

import (
	"cmp"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/charts"
	"github.com/cicadacove/cicadacove/internal/statechart"
)

// newNodeInRole returns a node in the given role, in a cluster of three.
func newNodeInRole(t *testing.T, role Role) *Node {
	t.Helper()
	members := Membership{}
	for _, id := range []string{"a", "b", "c"} {
		members = members.With(Member{ID: id, Addr: id, Voter: id != "a" || role != Learner})
	}
	n := New(Config{
		ID: "a", Addr: "a", Now: time.Unix(1000, 0),
		HeartbeatInterval: simHeartbeat, ElectionTimeout: simElection,
		Stored: StoredState{
			Hard:     HardState{Cluster: "k", Term: 1},
			Snapshot: Snapshot{Index: 1, Term: 1, Members: members},
		},
	})
	steps := map[Role]int{Learner: 0, Follower: 0, PreCandidate: 1, Candidate: 2, Leader: 3}
	for i, e := range []event{evElectionTimeout, evPreVoteWon, evVoteWon} {
		if i < steps[role] {
			n.raise(e)
		}
	}
	require.Equal(t, role, n.role)
	return n
}

// TestEachTransitionOfTheChart raises every event in every state that handles
// it.
func TestEachTransitionOfTheChart(t *testing.T) {
	chart := LoadChart()
	require.Equal(t, string(Learner), chart.Initial)
	for _, state := range chart.States {
		for _, transition := range state.On {
			n := newNodeInRole(t, Role(state.Name))
			n.now = n.now.Add(time.Minute)
			n.raise(event(transition.Event))
			require.Equal(t, Role(transition.To), n.role, "%s on %s", state.Name, transition.Event)
			requireActions(t, n, transition)
		}
	}
}

// requireActions checks that the actions of the transition were executed.
func requireActions(t *testing.T, n *Node, transition statechart.Transition) {
	t.Helper()
	for _, name := range transition.Actions {
		switch name {
		case "restart_timer":
			require.True(t, n.electionDeadline.After(n.now), transition.Event)
		case "start_pre_vote":
			require.Equal(t, MsgPreVote, n.messages[len(n.messages)-1].Kind)
		case "start_vote":
			require.Equal(t, MsgVote, n.messages[len(n.messages)-1].Kind)
			require.Equal(t, "a", n.hard.Vote)
		case "start_leading":
			require.Equal(t, EntryEmpty, n.log.entries[len(n.log.entries)-1].Kind)
		case "stop_leading":
			require.Nil(t, n.progress)
		default:
			t.Fatalf("no check for action %s", name)
		}
	}
}

func TestInvalidChartIsRejected(t *testing.T) {
	data := string(charts.Read(ChartFile))
	_, err := statechart.Load([]byte(data+"\n[[state]]\nname = \"observer\"\n"), Vocabulary())
	require.ErrorContains(t, err, `"observer" is unreachable`)
	v := Vocabulary()
	v.Actions = append(v.Actions, "resign")
	_, err = statechart.Load([]byte(data), v)
	require.ErrorContains(t, err, `action "resign" has no transition`)
}

func TestVotes(t *testing.T) {
	stored := StoredState{
		Hard:     HardState{Cluster: "k", Term: 3},
		Snapshot: Snapshot{Index: 1, Term: 1, Members: Membership{{ID: "a", Addr: "a", Voter: true}, {ID: "b", Addr: "b", Voter: true}}},
		Entries:  []Entry{{Term: 2, Index: 2}, {Term: 3, Index: 3}},
	}
	cases := []struct {
		name            string
		vote            string
		hasActiveLeader bool
		m               Message
		wantReply       bool
		wantReject      bool
		wantTerm        uint64
		wantVote        string
	}{
		{"equal log", "", false, Message{Kind: MsgVote, Term: 4, Index: 3, LogTerm: 3}, true, false, 4, "b"},
		{"longer log", "", false, Message{Kind: MsgVote, Term: 4, Index: 9, LogTerm: 3}, true, false, 4, "b"},
		{"shorter log", "", false, Message{Kind: MsgVote, Term: 4, Index: 2, LogTerm: 3}, true, true, 4, ""},
		{"longer log of an older term", "", false, Message{Kind: MsgVote, Term: 4, Index: 9, LogTerm: 2}, true, true, 4, ""},
		{"second vote", "a", false, Message{Kind: MsgVote, Term: 3, Index: 3, LogTerm: 3}, true, true, 3, "a"},
		{"repeated vote", "b", false, Message{Kind: MsgVote, Term: 3, Index: 3, LogTerm: 3}, true, false, 3, "b"},
		{"leader is active", "", true, Message{Kind: MsgVote, Term: 9, Index: 9, LogTerm: 8}, false, false, 3, ""},
		{"old term", "", false, Message{Kind: MsgVote, Term: 2, Index: 9, LogTerm: 2}, false, false, 3, ""},
		{"pre-vote", "", false, Message{Kind: MsgPreVote, Term: 4, Index: 3, LogTerm: 3}, true, false, 3, ""},
		{"pre-vote, leader is active", "", true, Message{Kind: MsgPreVote, Term: 4, Index: 3, LogTerm: 3}, true, true, 3, ""},
		{"pre-vote, shorter log", "", false, Message{Kind: MsgPreVote, Term: 4, Index: 2, LogTerm: 2}, true, true, 3, ""},
		{"pre-vote of an old term", "", false, Message{Kind: MsgPreVote, Term: 2, Index: 3, LogTerm: 3}, true, true, 3, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			stored.Hard.Vote = tc.vote
			n := New(Config{ID: "a", Addr: "a", Now: time.Unix(1000, 0), HeartbeatInterval: simHeartbeat, ElectionTimeout: simElection, Stored: stored})
			if tc.hasActiveLeader {
				n.leader, n.lastLeaderContact = "c", n.now
			}
			tc.m.From, tc.m.FromAddr, tc.m.To, tc.m.Cluster = "b", "b", "a", "k"
			n.Step(tc.m)
			rd := n.Ready()
			require.Equal(t, tc.wantTerm, rd.Hard.Term)
			require.Equal(t, tc.wantVote, rd.Hard.Vote)
			require.Empty(t, rd.Early, "a vote is sent only after its sync")
			require.Equal(t, tc.wantReply, len(rd.Messages) == 1)
			if tc.wantReply {
				require.Equal(t, tc.wantReject, rd.Messages[0].Reject)
			}
		})
	}
}

func TestInvalidMessagesAreDropped(t *testing.T) {
	n := newNodeInRole(t, Follower)
	for name, m := range map[string]Message{
		"another identity at this address": {Kind: MsgVote, Cluster: "k", To: "a-old", From: "b"},
		"no receiver":                      {Kind: MsgVote, Cluster: "k", From: "b"},
		"another cluster":                  {Kind: MsgVote, Cluster: "other", To: "a", From: "b"},
		"no cluster":                       {Kind: MsgVote, To: "a", From: "b"},
		"a copy of another node":           {Kind: MsgVote, Cluster: "k", To: "a", From: "b", FromAddr: "elsewhere"},
		"itself":                           {Kind: MsgVote, Cluster: "k", To: "a", From: "a"},
	} {
		m.Term, m.FromAddr = 9, cmp.Or(m.FromAddr, m.From)
		n.Step(m)
		require.False(t, n.HasReady(), name)
	}
}
