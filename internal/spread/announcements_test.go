package spread

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/core/membership"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/ctlwire"
)

func TestReceiverThatMissedTheChangeLearnsOfLeavingFromTheNextHeartbeat(t *testing.T) {
	now := time.Unix(1000, 0)
	sender, receiver := membership.NewRegistry(time.Minute), membership.NewRegistry(time.Minute)
	announce := func(seq uint64, leaving bool, at time.Time) ctlwire.Announcements {
		a := topo.Announcement{Group: "g", ID: "a", Addr: "127.0.0.1:1", Role: topo.RolePrimary, Incarnation: 1, Seq: seq, Leaving: leaving}
		outcome := sender.Receive(a, at)
		out := NewAnnouncements(func() time.Time { return at })
		k, _ := sender.Get("g", "a")
		out.Add(k, outcome == membership.Updated)
		return batchOf(out.out.Take(), at)
	}
	Apply(receiver, announce(4, false, now), now)
	announce(5, true, now.Add(time.Second)) // lost
	later := now.Add(2 * time.Second)
	Apply(receiver, announce(6, true, later), later)
	k, _ := receiver.Get("g", "a")
	require.True(t, k.Leaving)
	require.Equal(t, time.Second, k.LeavingFor(later), "counted from the lost announcement")
}
