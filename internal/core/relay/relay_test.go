package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

func fleet(perZone ...int) []ctlstate.Member {
	var members []ctlstate.Member
	for z, n := range perZone {
		for i := range n {
			members = append(members, ctlstate.Member{
				ID: topo.InstanceID(fmt.Sprintf("entry-%d-%d", z, i)), Zone: topo.Zone(fmt.Sprint(z)),
			})
		}
	}
	return members
}

// Guards against relaying where each instance can use connections of its own, which would
// only add a hop.
func TestRelayingIsForFewConnections(t *testing.T) {
	for _, c := range []struct {
		d    Density
		want bool
	}{
		{Density{Connections: 73, Instances: 94}, false},
		{Density{Connections: 140, Instances: 118}, false},
		{Density{Connections: 70, Instances: 33, Organisations: 1}, false},
		{Density{Connections: 70, Instances: 33, Organisations: 84}, true},
		{Density{Connections: 70, Instances: 27, Organisations: 77}, true},
		{Density{Connections: 70, Instances: 27}, false},
		{Density{Connections: 46, Instances: 27}, false},
		{Density{Connections: 16, Instances: 5}, false},
		{Density{Connections: 55, Instances: 4, Organisations: 100}, false},
		{Density{Connections: 1, Instances: 2, Organisations: 100}, false},
	} {
		require.Equal(t, c.want, Needed(c.d, false), "%+v", c.d)
	}
	require.True(t, Needed(Density{Connections: 70, Instances: 12, Organisations: 84}, true), "a mass restart does not switch it off")
}

// Guards against more connections than the upstream has, and against an upstream whose
// slots can't all be used.
func TestHoldersShareWhatTheUpstreamHas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances, upstreams := rapid.IntRange(0, 700).Draw(t, "instances"), rapid.IntRange(0, 1000).Draw(t, "upstreams")
		connections, slots := rapid.IntRange(5, 1000).Draw(t, "connections"), rapid.IntRange(1, 64).Draw(t, "slots")
		n := HolderCount(instances, upstreams)
		require.LessOrEqual(t, n*ConnectionLimit(connections, n), connections)
		require.GreaterOrEqual(t, n*Slots(slots, n), slots)
		require.LessOrEqual(t, Slots(slots, n), slots)
	})
}

// Guards against a hop across zones that a direct connection would not need, and against
// holders that all change when one instance is lost.
func TestHoldersAreNearAndStable(t *testing.T) {
	members := fleet(30, 35, 29)
	for i := range 24 {
		id := topo.UpstreamID(fmt.Sprint("u", i))
		holders := Holders(id, topo.Zone(fmt.Sprint(i%3)), members, 4)
		require.Len(t, holders, 4)
		for _, h := range holders {
			require.Equal(t, fmt.Sprint(i%3), string(h.Zone))
		}
		var others []ctlstate.Member
		for _, m := range members {
			if m.ID != holders[1].ID {
				others = append(others, m)
			}
		}
		after := Holders(id, topo.Zone(fmt.Sprint(i%3)), others, 4)
		require.Equal(t, []topo.InstanceID{holders[0].ID, holders[2].ID, holders[3].ID}, []topo.InstanceID{after[0].ID, after[1].ID, after[2].ID})
	}
	require.Len(t, Holders("u", "elsewhere", members, 2), 2, "a zone without instances is served from others")
	require.Empty(t, Holders("u", "0", nil, 2))
}

// Guards against one holder that gets most of the load.
func TestLoadIsSpreadOverHolders(t *testing.T) {
	holders := Holders("u", "0", fleet(30), 4)
	first := map[topo.InstanceID]int{}
	for i := range 1000 {
		first[Order(holders, fmt.Sprint("organisation", i))[0].ID]++
	}
	for id, n := range first {
		require.InDelta(t, 250, n, 75, id)
	}
}

// Guards against requests that pile up at a holder that is suspended, and against one that
// is avoided although it answers.
func TestSilentHoldersAreAvoided(t *testing.T) {
	now := time.Unix(0, 0)
	after := func(d time.Duration) time.Time { return now.Add(d) }
	var h Health
	require.True(t, h.Usable(now))
	h.Sent(now)
	h.Sent(after(200 * time.Millisecond))
	require.True(t, h.Usable(after(200*time.Millisecond)))
	require.False(t, h.Usable(after(silenceLimit)), "silent")
	h.Answered(after(300 * time.Millisecond))
	require.True(t, h.Usable(after(300*time.Millisecond)), "answers again")
	require.False(t, h.Usable(after(600*time.Millisecond)), "the second request has no answer")
	h.Lost(after(700 * time.Millisecond))
	require.False(t, h.Usable(after(700*time.Millisecond)))
	require.True(t, h.Usable(after(1300*time.Millisecond)), "is tried again")
	h.Sent(after(2 * time.Second))
	h.Leaving(after(2 * time.Second))
	require.False(t, h.Usable(after(4*time.Second)))
	require.True(t, h.Usable(after(5*time.Second)))
	h.Sent(after(6 * time.Second))
	h.Lost(after(6100 * time.Millisecond))
	require.True(t, h.Usable(after(6100*time.Millisecond)), "a caller's short deadline is no evidence")
}
