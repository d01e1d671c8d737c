package spread

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
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
		out := NewAnnouncements(func() time.Time { return at }, 0)
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

// Members need the announcements of upstreams that change nothing only before
// they expire. Changes and upstreams that leave must reach them at once.
func TestMembersReceiveChangesAtOnceAndTheRestRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const heartbeat, refresh, upstreams = 1200 * time.Millisecond, 4800 * time.Millisecond, 60
		registry := membership.NewRegistry(20 * heartbeat)
		out := NewAnnouncements(time.Now, refresh)
		type sent struct {
			at    time.Time
			batch ctlwire.Announcements
		}
		var all []sent
		began := time.Now()
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			_ = out.Run(ctx, func(b ctlwire.Announcements) { all = append(all, sent{time.Now(), b}) })
		}()
		announce := func(i int, seq uint64, leaving bool) {
			a := topo.Announcement{Group: "g", ID: topo.UpstreamID(fmt.Sprint(i)), Addr: fmt.Sprintf("127.0.0.1:%d", i+1), Role: topo.RoleReplica, Incarnation: 1, Seq: seq, Leaving: leaving}
			changed := registry.Receive(a, time.Now()) == membership.Updated
			k, _ := registry.Get("g", a.ID)
			out.Add(k, changed)
		}
		for seq := uint64(1); seq <= 20; seq++ {
			for i := range upstreams {
				announce(i, seq, i == 0 && seq >= 18)
			}
			time.Sleep(heartbeat)
		}
		cancel()
		synctest.Wait()
		later := slices.DeleteFunc(slices.Clone(all), func(s sent) bool { return s.at.Equal(began) })
		require.Less(t, len(later), len(all), "the first announcements are sent at once")
		require.LessOrEqual(t, len(later), 8, "19 heartbeats of 60 upstreams: five refreshes, and three times leaving")
		var leavingAt []time.Time
		for _, s := range all {
			require.Empty(t, s.batch.Refreshed, "receivers that missed a change get it with the next message")
			for _, a := range s.batch.List {
				require.LessOrEqual(t, a.Age, refresh)
				if a.Announcement.Leaving && a.Age == 0 {
					leavingAt = append(leavingAt, s.at)
				}
			}
		}
		require.Len(t, leavingAt, 3, "each announcement that says so, at once")
	})
}
