package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// Guards against repeated selection of a crashed upstream as the successor of a
// leaving primary. The registry kept it usable until its own announcement expired,
// although another upstream had taken over its address.
func TestUpstreamIsGoneAfterAnotherAnnouncesItsAddress(t *testing.T) {
	start := time.Unix(1000, 0)
	r := NewRegistry(time.Minute)
	old := topo.Announcement{Group: "g", ID: "old", Addr: "10.0.0.1:1", Role: topo.RoleReplica, Incarnation: 100, Seq: 1}
	next := topo.Announcement{Group: "g", ID: "next", Addr: "10.0.0.1:1", Role: topo.RoleReplica, Incarnation: 200, Seq: 1}
	require.Equal(t, Updated, r.Receive(old, start))
	require.Equal(t, Updated, r.Receive(next, start.Add(time.Second)))
	usable := r.Usable("g", start.Add(2*time.Second))
	require.Len(t, usable, 1)
	require.Equal(t, topo.UpstreamID("next"), usable[0].ID)
	k, _ := r.Get("g", "old")
	require.True(t, k.Gone)
	late := old
	late.Seq = 2
	require.Equal(t, RefusedAddress, r.Receive(late, start.Add(2*time.Second)), "a delayed announcement does not revive it")
}

func TestSuccessorPrefersFreshUpstreamsWithoutAFailedSwitchover(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(1000+s), 0) }
	known := func(id string, receivedAt int, position topo.Position) KnownUpstream {
		return KnownUpstream{
			Announcement: topo.Announcement{ID: topo.UpstreamID(id), Point: topo.Point{Position: position}}, ReceivedAt: at(receivedAt),
		}
	}
	silent, fresh, ahead := known("silent", 0, 9), known("fresh", 10, 1), known("ahead", 10, 2)
	id, ok := Successor([]KnownUpstream{silent, fresh, ahead}, nil, at(8))
	require.True(t, ok)
	require.Equal(t, topo.UpstreamID("ahead"), id)
	id, _ = Successor([]KnownUpstream{silent, fresh, ahead}, []topo.UpstreamID{"ahead"}, at(8))
	require.Equal(t, topo.UpstreamID("fresh"), id)
	id, _ = Successor([]KnownUpstream{silent, ahead}, []topo.UpstreamID{"ahead"}, at(8))
	require.Equal(t, topo.UpstreamID("silent"), id)
	_, ok = Successor(nil, nil, at(8))
	require.False(t, ok)
}
