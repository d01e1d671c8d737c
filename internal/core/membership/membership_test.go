package membership

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

var start = time.Unix(1000, 0)

const ttl = 2 * time.Second

func announcement(incarnation, seq uint64) topo.Announcement {
	return topo.Announcement{
		Group: "ledger-1", ID: "ledger-1/a", Addr: "127.0.0.1:1", Role: topo.RoleReplica,
		Incarnation: incarnation, Seq: seq, Slots: 3, Connections: 20,
	}
}

func TestRegistryOrdersAnnouncements(t *testing.T) {
	r := NewRegistry(ttl)
	require.Equal(t, Updated, r.Receive(announcement(5, 2), start))
	require.Equal(t, Stale, r.Receive(announcement(5, 2), start), "a replay")
	require.Equal(t, Stale, r.Receive(announcement(4, 9), start), "an earlier incarnation")
	require.Equal(t, Renewed, r.Receive(announcement(5, 3), start))

	moved := announcement(5, 4)
	moved.Addr = "127.0.0.1:2"
	require.Equal(t, RefusedAddress, r.Receive(moved, start))
	moved.Incarnation = 6
	require.Equal(t, Updated, r.Receive(moved, start))
	require.Equal(t, RefusedAddress, r.Receive(announcement(5, 9), start))

	invalid := announcement(7, 1)
	invalid.Role = "king"
	require.Equal(t, RefusedMalformed, r.Receive(invalid, start))
}

// Guards against a countdown that is spread to all members with each heartbeat.
func TestAHintAloneIsNoChange(t *testing.T) {
	r := NewRegistry(ttl)
	first, next := announcement(5, 1), announcement(5, 2)
	first.ColdLeft, next.ColdLeft = 2*time.Second, time.Second
	require.Equal(t, Updated, r.Receive(first, start))
	require.Equal(t, Renewed, r.Receive(next, start))
}

func TestUsableExcludesLeavingAndExpiredUpstreams(t *testing.T) {
	r := NewRegistry(ttl)
	r.Receive(announcement(5, 1), start)
	require.Len(t, r.Usable("ledger-1", start.Add(ttl-1)), 1)
	require.Empty(t, r.Usable("ledger-1", start.Add(ttl)))
	require.Equal(t, Stale, r.Receive(announcement(5, 1), start.Add(ttl)), "a replay does not revive it")
	leaving := announcement(5, 2)
	leaving.Leaving = true
	require.Equal(t, Updated, r.Receive(leaving, start.Add(ttl)))
	require.Empty(t, r.Usable("ledger-1", start.Add(ttl)))
}

func TestRegistryIsBounded(t *testing.T) {
	r := NewRegistry(ttl)
	for i := range MaxUpstreamsPerGroup {
		a := announcement(1, 1)
		a.ID = topo.UpstreamID(rune('0' + i))
		require.Equal(t, Updated, r.Receive(a, start.Add(time.Duration(i))))
	}
	require.Equal(t, RefusedFull, r.Receive(announcement(1, 1), start))
	require.Equal(t, Updated, r.Receive(announcement(1, 1), start.Add(ttl)), "the oldest expired upstream is evicted")
	r.Prune(start.Add(time.Hour), time.Minute)
	require.Empty(t, r.All())
	for i := range MaxGroups {
		a := announcement(1, 1)
		a.Group = topo.GroupID(strconv.Itoa(i))
		require.Equal(t, Updated, r.Receive(a, start))
	}
	require.Equal(t, RefusedFull, r.Receive(announcement(1, 1), start), "one group too many")
}

func TestSignature(t *testing.T) {
	body := []byte(`{"id":"a"}`)
	require.True(t, Verify([]byte("key"), body, Sign([]byte("key"), body)))
	require.False(t, Verify([]byte("key"), body, Sign([]byte("other"), body)))
	require.False(t, Verify([]byte("key"), body, ""))
	require.True(t, Verify(nil, body, ""))
}

func TestHolderIsTheSameAtEveryMember(t *testing.T) {
	members := []ctlstate.Member{{ID: "e1"}, {ID: "e2"}, {ID: "e3"}}
	v := View{Members: members}
	counts := map[topo.InstanceID]int{}
	for i := range 3000 {
		session := string(rune(i))
		m, ok := v.Holder(session)
		require.True(t, ok)
		other, _ := View{Members: []ctlstate.Member{members[2], members[0], members[1]}}.Holder(session)
		require.Equal(t, m, other)
		counts[m.ID]++
	}
	for id, n := range counts {
		require.InDelta(t, 1000, n, 150, id)
	}
}

func TestEpochWaitsForEveryMember(t *testing.T) {
	k := func(id string) ctlstate.MemberKey {
		return ctlstate.MemberKey{ID: topo.InstanceID(id), Incarnation: 1}
	}
	active := ctlstate.Epoch{Number: 1, Members: []ctlstate.MemberKey{k("e1"), k("e2")}}
	next := ctlstate.Epoch{Number: 2, Members: []ctlstate.MemberKey{k("e1")}}
	members := []MemberStatus{
		{Key: k("e1"), Live: true, Held: true, Confirmed: 2},
		{Key: k("e2"), Live: false, Held: true, Confirmed: 1},
	}
	require.Equal(t, EpochStep{Prepare: &next}, NextEpochStep(ctlstate.Epochs{Active: active}, members, time.Hour))
	prepared := ctlstate.Epochs{Active: active, Next: &next}
	require.Equal(t, EpochStep{}, NextEpochStep(prepared, members, time.Hour), "e2 may still use epoch 1")
	members[1].Held = false
	require.Equal(t, EpochStep{Activate: 2}, NextEpochStep(prepared, members, time.Hour))
	require.False(t, UsableEpoch(prepared, k("e1")))
	require.Equal(t, uint64(2), ConfirmedEpoch(prepared))
	done := ctlstate.Epochs{Active: next}
	require.True(t, UsableEpoch(done, k("e1")))
	require.False(t, UsableEpoch(done, k("e2")))
	require.Equal(t, EpochStep{}, NextEpochStep(done, members, time.Hour))
}

func TestLeavingSinceIsTheEarliestReceiptOfTheIncarnation(t *testing.T) {
	r, start := NewRegistry(time.Second), time.Unix(1000, 0)
	leaving := announcement(5, 2)
	leaving.Leaving = true
	r.Receive(announcement(5, 1), start)
	r.Import(KnownUpstream{Announcement: leaving, ReceivedAt: start.Add(3 * time.Second), LeavingSince: start.Add(2 * time.Second)})
	leaving.Seq = 3
	r.Receive(leaving, start.Add(4*time.Second))
	k, _ := r.Get(leaving.Group, leaving.ID)
	require.Equal(t, 4*time.Second, k.LeavingFor(start.Add(6*time.Second)))
	r.Receive(announcement(6, 1), start.Add(5*time.Second))
	k, _ = r.Get(leaving.Group, leaving.ID)
	require.Zero(t, k.LeavingFor(start.Add(6*time.Second)), "a later incarnation does not leave")
}

// A restart of many members is a few epochs, not one for each.
func TestMembersThatJoinTogetherShareAnEpoch(t *testing.T) {
	const members, joining, interval = 120, 60, 10 * time.Millisecond
	var status []MemberStatus
	for i := range members {
		status = append(status, MemberStatus{Key: ctlstate.MemberKey{ID: topo.InstanceID(fmt.Sprintf("e%03d", i)), Incarnation: 1}, Live: i >= joining, Held: true})
	}
	var e ctlstate.Epochs
	prepared, last := 0, -time.Hour
	for now := time.Duration(0); now < 3*time.Second; now += interval {
		if i := int(now / interval); i < joining {
			status[i].Live = true
		}
		step := NextEpochStep(e, status, now-last)
		if step.Prepare != nil {
			e.Next, last = step.Prepare, now
			prepared++
		}
		if step.Activate != 0 {
			e.Active, e.Next = *e.Next, nil
		}
		for i := range status {
			status[i].Confirmed = ConfirmedEpoch(e)
		}
	}
	require.Len(t, e.Active.Members, members)
	require.Nil(t, e.Next)
	require.LessOrEqual(t, prepared, 5)
}

func TestPeersAreFewAndSpread(t *testing.T) {
	var members []ctlstate.Member
	for i := range 120 {
		members = append(members, ctlstate.Member{ID: topo.InstanceID(fmt.Sprintf("e%03d", i))})
	}
	asked := map[topo.InstanceID]int{}
	for _, m := range members {
		peers := Peers(m.ID, members, 3)
		require.Len(t, peers, 3)
		for _, p := range peers {
			require.NotEqual(t, m.ID, p.ID)
			asked[p.ID]++
		}
	}
	for id, n := range asked {
		require.LessOrEqual(t, n, 12, id)
	}
	require.Empty(t, Peers("e000", members[:1], 3))
	require.Len(t, Peers("e000", members[:2], 3), 1)
}

// Guards against announcements whose numbers overflow where slots and connections are
// shared among the instances.
func TestAnnouncementsOutOfRangeAreRefused(t *testing.T) {
	for name, change := range map[string]func(*topo.Announcement){
		"many slots":           func(a *topo.Announcement) { a.Slots = topo.MaxSlots + 1 },
		"negative slots":       func(a *topo.Announcement) { a.Slots = -1 },
		"many connections":     func(a *topo.Announcement) { a.Connections = topo.MaxConnections + 1 },
		"negative connections": func(a *topo.Announcement) { a.Connections = -1 },
	} {
		a := announcement(5, 2)
		change(&a)
		require.Equal(t, RefusedMalformed, NewRegistry(ttl).Receive(a, start), name)
	}
	largest := announcement(5, 2)
	largest.Slots, largest.Connections = topo.MaxSlots, topo.MaxConnections
	require.Equal(t, Updated, NewRegistry(ttl).Receive(largest, start))
}
