package control_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/control"
	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/membership"
	"github.com/cicadacove/cicadacove/internal/core/replog"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/ctlwire"
	"github.com/cicadacove/cicadacove/internal/dbcontrol"
	"github.com/cicadacove/cicadacove/internal/peer"
	"github.com/cicadacove/cicadacove/internal/voter"
)

// followerLog is the log of a voter that knows no leader.
type followerLog struct{}

func (followerLog) Propose(context.Context, []byte) ([]byte, error) {
	return nil, errors.New("not the leader")
}
func (followerLog) Confirm(context.Context) error { return errors.New("not the leader") }
func (followerLog) Status() voter.Status          { return voter.Status{ID: "follower"} }
func (followerLog) Changed() <-chan struct{}      { return make(chan struct{}) }

// follower returns the controller of a voter that does not lead and knows the
// given other voters and members.
func follower(t *testing.T, voters []string, members []ctlstate.Member, known func(topo.GroupID) bool) *control.Controller {
	machine := ctlstate.NewMachine(nil)
	for i, m := range members {
		cmd, err := ctlstate.Command{Register: &ctlstate.Register{Member: m}}.Encode()
		require.NoError(t, err)
		machine.Apply(uint64(i+1), cmd)
	}
	client, server := peer.NewClient(peer.Options{}), peer.NewServer(peer.Options{})
	t.Cleanup(client.Close)
	return control.New(control.Options{
		Self: "127.0.0.1:1", Log: followerLog{}, State: machine, Client: client, Server: server,
		Databases: dbcontrol.New(dbcontrol.Options{}), Voters: func() []string { return voters },
		Upstreams: control.Upstreams{Known: known},
	})
}

// listener returns the address of a process that receives announcements of a kind,
// and the announcements that it has received.
func listener(t *testing.T, kind string) (addr string, received chan ctlwire.Announcements) {
	received = make(chan ctlwire.Announcements, 16)
	server := peer.NewServer(peer.Options{})
	peer.Handle(server, kind, func(_ context.Context, a ctlwire.Announcements) (ctlwire.Empty, error) {
		received <- a
		return ctlwire.Empty{}, nil
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	return ln.Addr().String(), received
}

// deadAddr returns an address at which nothing listens.
func deadAddr(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, ln.Close())
	return ln.Addr().String()
}

func announcement(id topo.UpstreamID, addr string, seq uint64) topo.Announcement {
	return topo.Announcement{Group: "g", ID: id, Addr: addr, Role: topo.RolePrimary, Slots: 3, Incarnation: 1, Seq: seq}
}

func leaving(a topo.Announcement) topo.Announcement {
	a.Leaving = true
	return a
}

func TestVoterThatHasNotJoinedAcknowledgesNoAnnouncement(t *testing.T) {
	c := follower(t, nil, nil, nil)
	_, err := c.Announce(t.Context(), announcement("a", "10.0.0.1:1", 1))
	require.ErrorIs(t, err, control.ErrNotForwarded)
	_, err = c.Announce(t.Context(), leaving(announcement("a", "10.0.0.1:1", 2)))
	require.ErrorIs(t, err, control.ErrNotForwarded)
}

func TestLeavingIsAcknowledgedOnceAnotherProcessKnows(t *testing.T) {
	voterAddr, toVoter := listener(t, ctlwire.KindAnnouncements)
	memberAddr, toMember := listener(t, ctlwire.KindAnnounce)
	cases := []struct {
		name     string
		voters   []string
		members  []ctlstate.Member
		received chan ctlwire.Announcements
	}{
		{"a voter, another one is down", []string{deadAddr(t), voterAddr}, nil, toVoter},
		{"a member, while all other voters are down", []string{deadAddr(t)}, []ctlstate.Member{{ID: "e1", Incarnation: 1, PeerAddr: memberAddr}}, toMember},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := follower(t, tc.voters, tc.members, nil)
			_, err := c.Announce(t.Context(), leaving(announcement("a", "10.0.0.1:1", 1)))
			require.NoError(t, err)
			got := <-tc.received
			require.Len(t, got.List, 1)
			require.True(t, got.List[0].Announcement.Leaving)
		})
	}
}

func TestLeavingIsNotAcknowledgedWhileNoOtherProcessAnswers(t *testing.T) {
	c := follower(t, []string{deadAddr(t)}, nil, nil)
	_, err := c.Announce(t.Context(), leaving(announcement("a", "10.0.0.1:1", 1)))
	require.ErrorIs(t, err, control.ErrNotForwarded)
	_, err = c.Announce(t.Context(), leaving(announcement("a", "10.0.0.1:1", 1)))
	require.ErrorIs(t, err, control.ErrNotForwarded, "the same announcement again")
}

func TestAnnouncementOfAnUnknownGroupRetiresNoUpstream(t *testing.T) {
	addr, _ := listener(t, ctlwire.KindAnnouncements)
	c := follower(t, []string{addr}, nil, func(g topo.GroupID) bool { return g == "g" })
	outcome, err := c.Announce(t.Context(), announcement("a", "10.0.0.1:1", 1))
	require.NoError(t, err)
	require.True(t, outcome.Accepted())
	stranger := announcement("b", "10.0.0.1:1", 1)
	stranger.Group, stranger.Incarnation = "other", 2
	outcome, err = c.Announce(t.Context(), stranger)
	require.NoError(t, err)
	require.Equal(t, membership.RefusedGroup, outcome)
	outcome, _ = c.Announce(t.Context(), announcement("a", "10.0.0.1:1", 2))
	require.Equal(t, membership.Renewed, outcome, "the upstream is still followed")
}

func TestAddressOfAnUpstreamThatAnnouncesItselfIsNotTakenOver(t *testing.T) {
	addr, _ := listener(t, ctlwire.KindAnnouncements)
	c := follower(t, []string{addr}, nil, nil)
	_, err := c.Announce(t.Context(), announcement("a", "10.0.0.1:1", 1))
	require.NoError(t, err)
	next := announcement("b", "10.0.0.1:1", 1)
	next.Incarnation = 2
	outcome, err := c.Announce(t.Context(), next)
	require.NoError(t, err)
	require.Equal(t, membership.RefusedAddress, outcome, "a has just announced itself")
	outcome, _ = c.Announce(t.Context(), announcement("a", "10.0.0.1:1", 2))
	require.Equal(t, membership.Renewed, outcome)

	require.Eventually(t, func() bool {
		next.Seq++
		outcome, _ := c.Announce(t.Context(), next)
		return outcome == membership.Updated
	}, 5*time.Second, 20*time.Millisecond, "once a is silent, b takes the address over")
	outcome, _ = c.Announce(t.Context(), announcement("a", "10.0.0.1:1", 3))
	require.Equal(t, membership.RefusedAddress, outcome, "late")
}

// Guards against instances that can't leave a voter which knows no leader: it names the
// voters that it knows.
func TestVoterWithoutALeaderNamesItsContacts(t *testing.T) {
	client, server := peer.NewClient(peer.Options{}), peer.NewServer(peer.Options{})
	t.Cleanup(client.Close)
	control.New(control.Options{
		Self: "127.0.0.1:1", Log: followerLog{}, State: ctlstate.NewMachine(nil), Client: client, Server: server,
		Databases: dbcontrol.New(dbcontrol.Options{}), Contacts: func() []string { return []string{"127.0.0.1:2"} },
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	registered, err := peer.Call[ctlwire.Answer](t.Context(), client, ln.Addr().String(), ctlwire.KindRegister, ctlwire.Register{})
	require.NoError(t, err)
	require.Equal(t, ctlwire.Answer{Status: ctlwire.NotLeader, Contacts: []string{"127.0.0.1:2"}}, registered)
	renewed, err := peer.Call[ctlwire.Renewed](t.Context(), client, ln.Addr().String(), ctlwire.KindRenew, ctlwire.Renew{})
	require.NoError(t, err)
	require.Equal(t, registered, renewed.Answer)
}

// outsiderLog is the log of a voter that is no member of the cluster.
type outsiderLog struct{ followerLog }

func (outsiderLog) Status() voter.Status {
	return voter.Status{ID: "outsider", Member: replog.NoMember}
}

// Guards against heartbeats that a voter acknowledges, or lets wait for the members of its
// old log, though it is no member any more.
func TestVoterThatWasRemovedRefusesAnnouncementsAtOnce(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { silent.Close() })
	client := peer.NewClient(peer.Options{})
	t.Cleanup(client.Close)
	c := control.New(control.Options{
		Self: "127.0.0.1:1", Log: outsiderLog{}, State: ctlstate.NewMachine(nil), Client: client, Server: peer.NewServer(peer.Options{}),
		Databases: dbcontrol.New(dbcontrol.Options{}), Voters: func() []string { return []string{silent.Addr().String()} },
		Timing: control.Timing{Call: time.Minute},
	})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	for _, a := range []topo.Announcement{announcement("a", "10.0.0.1:1", 1), leaving(announcement("a", "10.0.0.1:1", 2))} {
		_, err = c.Announce(ctx, a)
		require.ErrorIs(t, err, control.ErrNotForwarded)
		require.ErrorContains(t, err, "no member of the cluster")
	}
	_, err = c.UpstreamEnded("a")
	require.ErrorIs(t, err, control.ErrNotForwarded)
	require.NoError(t, ctx.Err(), "at once")
}
