package replog

import (
	"fmt"

	"github.com/cicadacove/cicadacove/internal/charts"
	"github.com/cicadacove/cicadacove/internal/statechart"
)

// ChartFile is the file name of the voter role state chart.
const ChartFile = "voter.toml"

// Role is a node's state in the chart.
type Role string

// Roles.
const (
	Learner      Role = "learner"
	Follower     Role = "follower"
	PreCandidate Role = "pre_candidate"
	Candidate    Role = "candidate"
	Leader       Role = "leader"
)

type event string

const (
	evElectionTimeout    event = "election_timeout"
	evPreVoteWon         event = "pre_vote_won"
	evVoteWon            event = "vote_won"
	evVoteLost           event = "vote_lost"
	evLeaderSeen         event = "leader_seen"
	evHigherTerm         event = "higher_term"
	evQuorumLost         event = "quorum_lost"
	evTransferLeadership event = "hand_over"
	evVoterAdded         event = "voter_added"
	evVoterRemoved       event = "voter_removed"
)

type action func(*Node)

// roleActions maps the chart's action names to their implementations.
func roleActions() map[string]action {
	return map[string]action{
		"restart_timer":  (*Node).restartElectionTimer,
		"start_pre_vote": (*Node).startPreVote,
		"start_vote":     (*Node).startVote,
		"start_leading":  (*Node).startLeading,
		"stop_leading":   (*Node).stopLeading,
	}
}

// Vocabulary returns the events and actions that the chart may use.
func Vocabulary() statechart.Vocabulary {
	events := []event{
		evElectionTimeout, evPreVoteWon, evVoteWon, evVoteLost, evLeaderSeen,
		evHigherTerm, evQuorumLost, evTransferLeadership, evVoterAdded, evVoterRemoved,
	}
	v := statechart.Vocabulary{}
	for _, e := range events {
		v.Events = append(v.Events, string(e))
	}
	for name := range roleActions() {
		v.Actions = append(v.Actions, name)
	}
	return v
}

// LoadChart loads and validates the embedded chart.
func LoadChart() *statechart.Chart {
	return statechart.MustLoad(charts.Read(ChartFile), Vocabulary())
}

// raise applies the transition for the event and runs its actions. It panics if
// the current state does not handle the event; callers raise events only in
// states that do.
func (n *Node) raise(e event) {
	to, actions, ok := n.chart.Next(string(n.role), string(e))
	if !ok {
		panic(fmt.Sprintf("replog: event %s in state %s", e, n.role))
	}
	n.role = Role(to)
	for _, name := range actions {
		n.actions[name](n)
	}
}
