package agent

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/membership"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/ctlwire"
	"github.com/cicadacove/cicadacove/internal/dbcontrol"
	"github.com/cicadacove/cicadacove/internal/peer"
)

const g = topo.GroupID("ledger-1")

func newAgent(t *testing.T, key []byte) *Agent {
	t.Helper()
	a, err := New(Options{
		Self:   ctlstate.Member{ID: "e1", Incarnation: 1, PeerAddr: "127.0.0.1:1"},
		Client: peer.NewClient(peer.Options{}), Server: peer.NewServer(peer.Options{}), Databases: dbcontrol.New(dbcontrol.Options{}), AnnounceKey: key, Now: time.Now,
	})
	require.NoError(t, err)
	return a
}

func record(term topo.Term, changed uint64, attempt *ctlstate.Attempt) ctlstate.GroupRecord {
	return ctlstate.GroupRecord{
		Group:     topo.Group{ID: g, Term: term, Primary: "a"},
		Databases: []ctlstate.Database{{ID: "a", Addr: "127.0.0.1:2"}},
		Attempt:   attempt, Changed: changed,
	}
}

func renewed(index uint64, records ...ctlstate.GroupRecord) ctlwire.Renewed {
	return ctlwire.Renewed{Delta: ctlstate.Delta{Index: index, Groups: records}}
}

func TestNewReportsMissingOptions(t *testing.T) {
	_, err := New(Options{})
	require.ErrorContains(t, err, "self")
	_, err = New(Options{Self: ctlstate.Member{ID: "e1", Incarnation: 1, PeerAddr: "x"}})
	require.ErrorContains(t, err, "client, server and databases")
}

// A process that was paused for longer than its lease has no authority when it
// resumes, even if the answer to an earlier renewal is waiting for it.
func TestPausedProcessLosesItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAgent(t, nil)
		sentAt := time.Now()
		require.NoError(t, a.applyRenewal(sentAt, renewed(1, record(1, 1, nil))))
		require.True(t, a.Holds(g, 1))
		time.Sleep(a.timing.Lease)
		require.False(t, a.Holds(g, 1))
		require.NoError(t, a.applyRenewal(sentAt.Add(10*time.Millisecond), renewed(2)))
		require.False(t, a.Holds(g, 1))
		_, ok := a.Hold(g, 1)
		require.False(t, ok)
	})
}

func TestAuthorityEndsWhenFailoverBegins(t *testing.T) {
	a := newAgent(t, nil)
	require.NoError(t, a.applyRenewal(time.Now(), renewed(1, record(1, 1, nil))))
	got, ok := a.Authority(g)
	require.True(t, ok)
	require.Equal(t, Authority{Term: 1, Primary: "a", PrimaryAddr: "127.0.0.1:2"}, got)
	require.NoError(t, a.applyRenewal(time.Now(), renewed(2, record(1, 2, &ctlstate.Attempt{Term: 2}))))
	require.False(t, a.Holds(g, 1))
	require.NoError(t, a.applyRenewal(time.Now(), renewed(1, record(1, 1, nil))), "delayed answer")
	require.False(t, a.Holds(g, 1))
	known, ok := a.Group(g)
	require.True(t, ok)
	require.Equal(t, topo.Term(1), known.Term)
}

// The agent releases the lease only when no acknowledgement is being sent.
func TestReleaseWaitsForAcknowledgements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAgent(t, nil)
		require.NoError(t, a.applyRenewal(time.Now(), renewed(1, record(1, 1, nil))))
		release, ok := a.Hold(g, 1)
		require.True(t, ok)
		_, err := a.onReleaseLease(t.Context(), ctlwire.ReleaseLease{Group: g, Term: 1})
		require.ErrorIs(t, err, context.DeadlineExceeded)
		_, ok = a.Hold(g, 1)
		require.False(t, ok, "no new acknowledgement may start")
		go func() {
			time.Sleep(releaseTimeout / 2)
			release()
		}()
		released, err := a.onReleaseLease(t.Context(), ctlwire.ReleaseLease{Group: g, Term: 1})
		require.NoError(t, err)
		require.Equal(t, a.opts.Self.Key(), released.Key)
		require.NoError(t, a.applyRenewal(time.Now(), renewed(2)))
		require.False(t, a.Holds(g, 1), "a later renewal must not restore the lease on the term")
	})
}

func TestAnnouncementsAreAuthenticated(t *testing.T) {
	key := []byte("announcement key")
	a := newAgent(t, key)
	an := topo.Announcement{Group: g, ID: "a", Addr: "127.0.0.1:2", Role: topo.RolePrimary, Incarnation: 2, Seq: 1}
	body, err := json.Marshal(an)
	require.NoError(t, err)
	require.ErrorIs(t, a.AnnounceSigned(body, ""), ErrSignature)
	require.NoError(t, a.AnnounceSigned(body, membership.Sign(key, body)))
	var refused *AnnounceError
	require.ErrorAs(t, a.AnnounceSigned(body, membership.Sign(key, body)), &refused)
	require.Equal(t, membership.Stale, refused.Outcome)
	require.Empty(t, a.Upstreams(g), "the control log has not accepted it")
	require.NoError(t, a.applyRenewal(time.Now(), renewed(1, record(1, 1, nil))))
	require.Len(t, a.Upstreams(g), 1)
}

// Forwarding does not extend the lifetime of an announcement.
func TestForwardedAnnouncementKeepsItsAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAgent(t, nil)
		require.NoError(t, a.applyRenewal(time.Now(), renewed(1, record(1, 1, nil))))
		an := topo.Announcement{Group: g, ID: "a", Addr: "127.0.0.1:2", Role: topo.RolePrimary, Incarnation: 2, Seq: 1}
		_, err := a.onAnnounce(t.Context(), ctlwire.Announcements{List: []ctlwire.AgedAnnouncement{{Announcement: an, Age: time.Second}}})
		require.NoError(t, err)
		require.Len(t, a.Upstreams(g), 1)
		time.Sleep(a.timing.AnnouncementTTL - time.Second)
		require.Empty(t, a.Upstreams(g))
	})
}

func TestViewRequiresLeaseAndSettledEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAgent(t, nil)
		self := a.opts.Self
		epoch := ctlstate.Epoch{Number: 1, Members: []ctlstate.MemberKey{self.Key()}}
		delta := ctlstate.Delta{
			Index: 1, Full: true, Members: []ctlstate.MemberRecord{{Member: self, Changed: 1}},
			Epochs: &ctlstate.Epochs{Active: epoch, Changed: 1},
		}
		require.NoError(t, a.applyRenewal(time.Now(), ctlwire.Renewed{Delta: delta}))
		v, ok := a.View()
		require.True(t, ok)
		require.Equal(t, []ctlstate.Member{self}, v.Members)
		next := ctlstate.Epochs{Active: epoch, Next: &ctlstate.Epoch{Number: 2}, Changed: 2}
		p, err := a.onPublish(t.Context(), ctlwire.Publish{Delta: ctlstate.Delta{Epochs: &next}})
		require.NoError(t, err)
		require.Equal(t, uint64(2), p.Confirmed)
		_, ok = a.View()
		require.False(t, ok)
	})
}

// The agent does not probe a primary that answers on data connections. It reports a
// reachable primary twice per Timing.Silence and a failure at once.
func TestEvidenceOfDataConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAgent(t, nil)
		self := a.opts.Self
		delta := ctlstate.Delta{
			Index: 1, Full: true, Members: []ctlstate.MemberRecord{{Member: self, Changed: 1}},
			Groups: []ctlstate.GroupRecord{record(1, 1, nil)},
			Epochs: &ctlstate.Epochs{Active: ctlstate.Epoch{Number: 1, Members: []ctlstate.MemberKey{self.Key()}}, Changed: 1},
		}
		require.NoError(t, a.applyRenewal(time.Now(), ctlwire.Renewed{Delta: delta}))
		require.Len(t, a.probeTargets(), 1)
		a.ReportPrimary(g, 1, true)
		require.Empty(t, a.probeTargets())
		require.Equal(t, map[reportKey]bool{{g, 1}: true}, a.evidence.Take())
		time.Sleep(a.timing.Probe)
		require.Len(t, a.probeTargets(), 1)
		a.ReportPrimary(g, 1, true)
		require.Empty(t, a.evidence.Take())
		a.ReportPrimary(g, 1, false)
		require.Equal(t, map[reportKey]bool{{g, 1}: false}, a.evidence.Take())
		time.Sleep(a.timing.Silence / 2)
		a.ReportPrimary(g, 1, true)
		require.Equal(t, map[reportKey]bool{{g, 1}: true}, a.evidence.Take())
	})
}

// The wall clock at the start of a run may be behind that of the previous run.
func TestIncarnationIsRaisedOnlyBeforeFirstRegistration(t *testing.T) {
	a := newAgent(t, nil)
	a.raiseIncarnation(ctlwire.Answer{Status: ctlwire.Superseded, Highest: 70})
	require.EqualValues(t, 71, a.key().Incarnation)
	a.raiseIncarnation(ctlwire.Answer{Status: ctlwire.Failed, Highest: 90})
	require.EqualValues(t, 71, a.key().Incarnation)
	a.wasRegistered = true
	a.raiseIncarnation(ctlwire.Answer{Status: ctlwire.Superseded, Highest: 80})
	require.EqualValues(t, 71, a.key().Incarnation, "a run that was replaced must not replace its successor")
}

// A new leader notifies all members; one without a lease contacts it at once.
func TestInstanceWithoutLeaseAdoptsPublishingLeader(t *testing.T) {
	a := newAgent(t, nil)
	_, err := a.onPublish(t.Context(), ctlwire.Publish{Leader: "voter"})
	require.NoError(t, err)
	require.Equal(t, []string{"voter"}, a.leaderCandidates())
	require.True(t, a.sleep(t.Context(), time.Hour), "the next renewal starts at once")
	require.NoError(t, a.applyRenewal(time.Now(), renewed(1, record(1, 1, nil))))
	_, err = a.onPublish(t.Context(), ctlwire.Publish{Leader: "another"})
	require.NoError(t, err)
	require.Equal(t, []string{"voter"}, a.leaderCandidates(), "an instance with a lease keeps its leader")
	require.Empty(t, a.wake)
}

// failingSink can't apply any configuration.
type failingSink struct{}

func (failingSink) Revision() uint64   { return 1 }
func (failingSink) Apply([]byte) error { return errors.New("unknown field") }

// Guards against work under a lease by an instance that can't apply the latest configuration.
func TestNoLeaseWithoutTheLatestConfiguration(t *testing.T) {
	a := newAgent(t, nil)
	require.NoError(t, a.applyRenewal(time.Now(), renewed(1, record(1, 1, nil))))
	until := a.LeaseUntil()
	a.config = failingSink{}
	answer := renewed(2)
	answer.Config = []byte("2")
	var failed *ConfigError
	require.ErrorAs(t, a.applyRenewal(time.Now().Add(time.Second), answer), &failed)
	require.Equal(t, until, a.LeaseUntil())
}
