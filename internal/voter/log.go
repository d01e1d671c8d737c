// Package voter runs one voter of the replicated control log: it drives
// core/replog, writes to the Store and applies committed entries to a Machine.
package voter

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/replog"
)

// Log is the interface of the replicated log for the control plane.
type Log interface {
	// Propose appends data and waits until this voter has applied it. It
	// returns the result of Machine.Apply. Errors: ErrNotLeader when
	// nothing was appended, ErrUnknown when the entry may still commit.
	Propose(ctx context.Context, data []byte) (result []byte, err error)
	// Confirm returns nil once a quorum has confirmed, in a round of
	// messages that began after the call, that this voter is the leader.
	Confirm(ctx context.Context) error
	// Status returns the current status of this voter.
	Status() Status
	// Changed returns a channel that is closed at the next change of Status
	// or the next applied entry.
	Changed() <-chan struct{}
}

// Status describes one voter.
type Status struct {
	// ID is the voter's own identity; Leader is the last known leader, empty
	// when there is none.
	ID, Leader string
	// LeaderAddr is the peer address of the leader, empty while nothing is received from it.
	LeaderAddr string
	// Term is the term of the replicated log. The terms of database groups
	// are separate.
	Term uint64
	// Applied is the index of the last applied entry.
	Applied uint64
	// LeaderSince is when this voter became leader, by its own clock; zero
	// when it is not the leader.
	LeaderSince time.Time
	// Member is how this voter takes part in its cluster. LeaderlessSince is when it
	// lost its leader, zero while it has one.
	Member          replog.MemberKind
	LeaderlessSince time.Time
}

// IsLeader reports whether the voter has the role of the leader. Another voter
// may have been elected since; use Log.Confirm to rule that out.
func (s Status) IsLeader() bool { return !s.LeaderSince.IsZero() }

// DescribeNoLeader tells why this voter can't name a leader.
func (s Status) DescribeNoLeader(now time.Time) string {
	reason := "this instance is no member of the cluster"
	switch s.Member {
	case replog.VoterMember:
		reason = "this voter has no quorum"
	case replog.LearnerMember:
		reason = "this learner receives nothing from a leader"
	}
	if s.LeaderlessSince.IsZero() {
		return reason
	}
	return fmt.Sprintf("%s, for %v", reason, now.Sub(s.LeaderlessSince).Round(time.Millisecond))
}

// Machine is the state that the log replicates. Apply must be deterministic.
// The voter calls all methods from one goroutine.
type Machine interface {
	Apply(index uint64, data []byte) (result []byte)
	Snapshot() ([]byte, error)
	Restore(snapshot []byte) error
}

// Errors of Propose and Confirm.
var (
	ErrNotLeader = errors.New("voter: not the leader")
	ErrUnknown   = errors.New("voter: the entry may or may not commit")
)
