package voter

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/core/replog"
)

// captureLog collects the log lines of the test.
func captureLog(t *testing.T) *bytes.Buffer {
	var buf bytes.Buffer
	klog.LogToStderr(false)
	klog.SetOutput(&buf)
	t.Cleanup(func() { klog.LogToStderr(true) })
	return &buf
}

func TestVoterWithoutLeaderLogsWhatItKnows(t *testing.T) {
	buf := captureLog(t)
	lost := time.Unix(1000, 0)
	members := replog.Membership{}.With(replog.Member{ID: "a", Addr: "10.0.0.1:1", Voter: true})
	status := replog.Status{ID: "a", Role: replog.Follower, Term: 3, Members: members, LeaderlessSince: lost}
	var l leaderlessLog
	for at := time.Duration(0); at < 8*time.Second; at += 100 * time.Millisecond {
		l.update(status, lost.Add(at))
	}
	klog.Flush()
	require.Equal(t, 2, strings.Count(buf.String(), "voter: no leader"), "after one second and then every five: %s", buf)
	require.Contains(t, buf.String(), `member="voter"`)
	require.Contains(t, buf.String(), "voter a at 10.0.0.1:1")
	status.LeaderlessSince, status.Leader = time.Time{}, "b"
	l.update(status, lost.Add(9*time.Second))
	l.update(status, lost.Add(10*time.Second))
	klog.Flush()
	require.Equal(t, 1, strings.Count(buf.String(), "voter: leader found"))
	require.Contains(t, buf.String(), "leaderless_ms=9000")
}

func TestShortElectionIsNotLogged(t *testing.T) {
	buf := captureLog(t)
	lost := time.Unix(1000, 0)
	var l leaderlessLog
	l.update(replog.Status{LeaderlessSince: lost}, lost.Add(700*time.Millisecond))
	l.update(replog.Status{Leader: "b"}, lost.Add(800*time.Millisecond))
	klog.Flush()
	require.Empty(t, buf.String())
}

func TestNoLeaderNamesTheReason(t *testing.T) {
	now := time.Unix(1000, 0)
	for member, want := range map[replog.MemberKind]string{
		replog.NoMember:      "this instance is no member of the cluster, for 2s",
		replog.LearnerMember: "this learner receives nothing from a leader, for 2s",
		replog.VoterMember:   "this voter has no quorum, for 2s",
	} {
		s := Status{Member: member, LeaderlessSince: now.Add(-2 * time.Second)}
		require.Equal(t, want, s.DescribeNoLeader(now))
	}
}
