package node

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/admin"
)

// A process with a voter lists all members of the log and marks the leader. A
// process without a voter lists the addresses in its settings.
func TestVotersListsAllMembers(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	d := &deployment{t: t, dir: t.TempDir(), ctx: ctx}
	d.start()
	defer d.kill()
	for _, n := range d.nodes {
		require.Eventually(t, func() bool { return len(leadersOf(status{n}.Voters())) == 1 }, testTimeout, time.Millisecond)
		voters := status{n}.Voters()
		require.ElementsMatch(t, d.addrs, addrsOf(voters))
		require.Equal(t, n.Voter.NodeStatus().ID, voterWithAppliedIndex(voters))
	}

	n := &Node{opts: Options{Voters: d.addrs}}
	require.Equal(t, d.addrs, addrsOf(status{n}.Voters()))
	require.Empty(t, leadersOf(status{n}.Voters()))
}

func addrsOf(voters []admin.Voter) []string {
	var addrs []string
	for _, v := range voters {
		addrs = append(addrs, v.Addr)
	}
	return addrs
}

func leadersOf(voters []admin.Voter) []string {
	var ids []string
	for _, v := range voters {
		if v.Leader {
			ids = append(ids, v.ID)
		}
	}
	return ids
}

// voterWithAppliedIndex returns the id of the voter that has an applied index.
func voterWithAppliedIndex(voters []admin.Voter) string {
	for _, v := range voters {
		if v.Applied > 0 {
			return v.ID
		}
	}
	return ""
}
