package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/charts"
	"github.com/cicadacove/cicadacove/internal/core/membership"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/statechart"
)

// requireTransitions checks that a chart has exactly the wanted transitions.
func requireTransitions(t *testing.T, chart *statechart.Chart, want map[[2]string]string) {
	t.Helper()
	transitions := 0
	for _, s := range chart.States {
		transitions += len(s.On)
	}
	require.Len(t, want, transitions)
	for from, wanted := range want {
		to, _, ok := chart.Next(from[0], from[1])
		require.True(t, ok, from)
		require.Equal(t, wanted, to, from)
	}
}

func TestLeaseChartTransitions(t *testing.T) {
	requireTransitions(t, loadLeaseChart(charts.Read("lease.toml")), map[[2]string]string{
		{stateUnregistered, eventRegistered}: "waiting",
		{stateUnregistered, eventLeave}:      stateLeft,
		{"waiting", eventGranted}:            stateHeld,
		{"waiting", eventUnknownMember}:      stateUnregistered,
		{"waiting", eventLeave}:              stateLeft,
		{stateHeld, eventGranted}:            stateHeld,
		{stateHeld, eventExpired}:            "waiting",
		{stateHeld, eventUnknownMember}:      stateUnregistered,
		{stateHeld, eventLeave}:              stateLeft,
	})
}

func TestUpstreamChartTransitions(t *testing.T) {
	requireTransitions(t, loadUpstreamChart(charts.Read("upstream.toml")), map[[2]string]string{
		{"unknown", eventServing}: "usable",
		{"unknown", eventLeaving}: "leaving",
		{"unknown", eventSilent}:  "silent",
		{"usable", eventServing}:  "usable",
		{"usable", eventLeaving}:  "leaving",
		{"usable", eventSilent}:   "silent",
		{"leaving", eventLeaving}: "leaving",
		{"leaving", eventServing}: "usable",
		{"leaving", eventSilent}:  "silent",
		{"silent", eventSilent}:   "silent",
		{"silent", eventServing}:  "usable",
		{"silent", eventLeaving}:  "leaving",
	})
}

func TestTrackerReportsUpstreamChanges(t *testing.T) {
	const ttl = 2 * time.Second
	now := time.Unix(1000, 0)
	r, tracker := membership.NewRegistry(ttl), newUpstreamTracker()
	a := topo.Announcement{Group: "g", ID: "a", Addr: "127.0.0.1:1", Role: topo.RoleReplica, Incarnation: 1, Seq: 1}
	r.Receive(a, now)
	require.True(t, tracker.update(r, now), "offered")
	require.False(t, tracker.update(r, now))
	require.True(t, tracker.update(r, now.Add(ttl)), "withdrawn")
	a.Seq = 2
	r.Receive(a, now.Add(ttl))
	require.True(t, tracker.update(r, now.Add(ttl)), "offered again")
	a.Seq, a.Leaving = 3, true
	r.Receive(a, now.Add(ttl))
	require.True(t, tracker.update(r, now.Add(ttl)), "withdrawn")
}
