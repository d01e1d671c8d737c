package failover

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/charts"
	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

const g = topo.GroupID("ledger-1")

var (
	start  = time.Unix(1000, 0)
	timing = DetectorTiming{Silence: 600 * time.Millisecond, EvidenceTTL: 900 * time.Millisecond, Minority: 5 * time.Second}
	e1, e2 = ctlstate.MemberKey{ID: "e1"}, ctlstate.MemberKey{ID: "e2"}
	e3, e4 = ctlstate.MemberKey{ID: "e3"}, ctlstate.MemberKey{ID: "e4"}
	live   = []ctlstate.MemberKey{e1, e2, e3, e4}
)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestDetector(t *testing.T) {
	failed := func(d *Detector, ms int, from ...ctlstate.MemberKey) {
		for _, m := range from {
			d.Failed(g, 1, m, at(ms))
		}
	}
	cases := []struct {
		name string
		feed func(d *Detector)
		live []ctlstate.MemberKey
		now  int
		want bool
	}{
		{"silence alone", func(*Detector) {}, live, 5000, false},
		{"one witness of four", func(d *Detector) { failed(d, 650, e1) }, live, 700, false},
		{"two witnesses", func(d *Detector) { failed(d, 650, e1, e2) }, live, 700, true},
		{"before the silence limit", func(d *Detector) { failed(d, 500, e1, e2) }, live, 599, false},
		{"another instance reaches it", func(d *Detector) {
			failed(d, 650, e1, e2)
			d.Reached(g, 1, e3, at(650))
		}, live, 700, false},
		{"witnesses have lost their lease", func(d *Detector) { failed(d, 650, e1, e2) }, []ctlstate.MemberKey{e3, e4}, 700, false},
		{"the only live instance", func(d *Detector) { failed(d, 650, e1) }, []ctlstate.MemberKey{e1}, 700, true},
		{"stale failures", func(d *Detector) { failed(d, 100, e1, e2) }, live, 1100, false},
		{"evidence of another term", func(d *Detector) { d.Failed(g, 2, e1, at(650)); d.Failed(g, 2, e2, at(650)) }, live, 700, false},
		{"primary announces itself", func(d *Detector) {
			failed(d, 650, e1, e2)
			d.RecordAnnouncement(g, 1, at(500))
		}, live, 700, false},
		{"primary announces itself but is unreachable", func(d *Detector) {
			d.RecordAnnouncement(g, 1, at(1150))
			failed(d, 1150, e1, e2)
		}, live, 1200, true},
		{"only a minority reaches it, for a short time", func(d *Detector) {
			for ms := 0; ms <= 4900; ms += 100 {
				failed(d, ms, e1, e2, e3)
				d.Reached(g, 1, e4, at(ms))
			}
		}, live, 4950, false},
		{"only a minority reaches it, for a long time", func(d *Detector) {
			for ms := 0; ms <= 5000; ms += 100 {
				failed(d, ms, e1, e2, e3)
				d.Reached(g, 1, e4, at(ms))
			}
		}, live, 5050, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			d := NewDetector(timing)
			d.Watch(g, 1, at(0))
			tc.feed(d)
			require.Equal(t, tc.want, d.Suspected(g, tc.live, at(tc.now)))
		})
	}
}

// A primary that is reachable from time to time must not be replaced.
func TestIntermittentlyReachablePrimaryIsKept(t *testing.T) {
	d := NewDetector(timing)
	d.Watch(g, 1, at(0))
	for ms := 0; ms < 20_000; ms += 50 {
		if ms%500 == 0 {
			d.Reached(g, 1, e3, at(ms))
		} else {
			d.Failed(g, 1, e1, at(ms))
			d.Failed(g, 1, e2, at(ms))
			d.Failed(g, 1, e3, at(ms))
		}
		require.False(t, ms < 5000 && d.Suspected(g, []ctlstate.MemberKey{e1, e3}, at(ms)), "at %d ms", ms)
	}
}

// TestChartTransitions takes every transition of the chart.
func TestChartTransitions(t *testing.T) {
	chart := LoadChart(charts.Read("failover.toml"))
	want := map[[2]string]string{
		{Steady, EventSuspected}:          "beginning",
		{Steady, EventSwitchover}:         "beginning",
		{Steady, EventResumeBegun}:        "fencing",
		{Steady, EventResumeChosen}:       "draining",
		{"beginning", EventBegun}:         "fencing",
		{"beginning", EventRefused}:       Steady,
		{"fencing", EventFenced}:          "choosing",
		{"fencing", EventHigherTerm}:      "beginning",
		{"choosing", EventChosen}:         "draining",
		{"choosing", EventRefused}:        Steady,
		{"draining", EventDrained}:        "promoting",
		{"promoting", EventPromoted}:      "completing",
		{"promoting", EventPromoteFailed}: "beginning",
		{"completing", EventCompleted}:    Steady,
		{"completing", EventRefused}:      Steady,
	}
	transitions := 0
	for _, s := range chart.States {
		transitions += len(s.On)
	}
	require.Len(t, want, transitions)
	for from, to := range want {
		m := &Machine{chart: chart, state: from[0]}
		_, ok := m.Step(from[1])
		require.True(t, ok, from)
		require.Equal(t, to, m.State(), from)
	}
	m := NewMachine(chart)
	_, ok := m.Step(EventPromoted)
	require.False(t, ok, "a late event")
	require.Equal(t, Steady, m.State())
}

func record(attempt *ctlstate.Attempt) ctlstate.GroupRecord {
	return ctlstate.GroupRecord{
		Group:     topo.Group{ID: g, Term: 1, Primary: "a"},
		Databases: []ctlstate.Database{{ID: "a"}, {ID: "b"}, {ID: "c"}},
		Attempt:   attempt,
	}
}

func TestAttemptPromotesTheHighestPointOfAMajority(t *testing.T) {
	a := NewAttempt(LoadChart(charts.Read("failover.toml")), g, at(0), false)
	_, commands := a.Handle(Suspect{}, record(nil), at(10))
	begin := commands[0].(Propose).Command.Begin
	require.Equal(t, topo.Term(2), begin.Term)

	begun := record(&ctlstate.Attempt{Term: 2})
	_, commands = a.Handle(Committed{Step: StepBegin}, begun, at(20))
	require.Equal(t, []Command{RequestRelease{1}, Fence{Term: 2}}, commands)
	name, _ := a.Handle(FenceConfirmed{Attempt: 2, Database: "b", Point: topo.Point{Term: 1, Position: 7}}, begun, at(30))
	require.Empty(t, name, "one database is not a majority")
	name, _ = a.Handle(FenceConfirmed{Attempt: 1, Database: "a"}, begun, at(31))
	require.Empty(t, name, "a reply to another attempt")
	_, commands = a.Handle(FenceConfirmed{Attempt: 2, Database: "c", Point: topo.Point{Term: 1, Position: 9}}, begun, at(32))
	require.Equal(t, &ctlstate.ChoosePrimary{Group: g, Term: 2, Primary: "c", Start: 9}, commands[0].(Propose).Command.Choose)

	chosen := record(&ctlstate.Attempt{Term: 2, Chosen: "c", Start: 9})
	_, commands = a.Handle(Committed{Attempt: 2, Step: StepChoose}, chosen, at(40))
	require.Equal(t, []Command{AwaitDrain{Term: 1, Begun: at(20)}}, commands)
	_, commands = a.Handle(LeasesDrained{Attempt: 2}, chosen, at(50))
	require.Equal(t, []Command{Promote{Database: ctlstate.Database{ID: "c"}, Term: 2}}, commands)
	_, commands = a.Handle(PromoteReply{Attempt: 2}, chosen, at(60))
	require.Equal(t, Stop{}, commands[0])
	require.Equal(t, topo.Term(3), commands[1].(Propose).Command.Begin.Term, "the attempt after a failed promotion uses a new term")
}

func TestResumedAttemptCountsFromTheElectionOnlyWhenInherited(t *testing.T) {
	chosen := record(&ctlstate.Attempt{Term: 2, Chosen: "c"})
	for inherited, begun := range map[bool]time.Time{true: at(0), false: at(10)} {
		a := NewAttempt(LoadChart(charts.Read("failover.toml")), g, at(0), false)
		_, commands := a.Handle(Resume{Inherited: inherited}, chosen, at(10))
		require.Equal(t, []Command{RequestRelease{1}, AwaitDrain{Term: 1, Begun: begun}}, commands)
	}
}

func TestChoose(t *testing.T) {
	p := func(term topo.Term, position topo.Position) topo.Point {
		return topo.Point{Term: term, Position: position}
	}
	best, ok := Choose([]Fenced{{"a", p(1, 99)}, {"b", p(2, 5)}}, 2, "")
	require.True(t, ok)
	require.Equal(t, topo.UpstreamID("b"), best.ID, "a higher term beats a higher position")
	best, _ = Choose([]Fenced{{"a", p(2, 5)}, {"b", p(2, 5)}, {"c", p(2, 5)}}, 2, "c")
	require.Equal(t, topo.UpstreamID("c"), best.ID, "the target is preferred among equal points")
	_, ok = Choose([]Fenced{{"a", p(1, 1)}}, 2, "a")
	require.False(t, ok)
}

// If the primary alone acknowledges writes, no quorum of replicas can preserve
// them. The failover continues with the databases that reply in time, and
// records the start of the term as reported by the promoted database.
func TestTimedOutAttemptOfPrimaryOnlyGroupPromotesBestAvailable(t *testing.T) {
	for _, single := range []bool{true, false} {
		a := NewAttempt(LoadChart(charts.Read("failover.toml")), g, at(0), single)
		a.Handle(Suspect{}, record(nil), at(10))
		begun := record(&ctlstate.Attempt{Term: 2})
		a.Handle(Committed{Step: StepBegin}, begun, at(20))
		name, _ := a.Handle(FenceConfirmed{Attempt: 2, Database: "b", Point: topo.Point{Term: 1, Position: 7}}, begun, at(30))
		require.Empty(t, name)
		name, commands := a.Handle(FenceTimedOut{Attempt: 2}, begun, at(330))
		if !single {
			require.Empty(t, name, "a write may be on the databases that have not replied")
			continue
		}
		require.Equal(t, EventFenced, name)
		require.Equal(t, topo.UpstreamID("b"), commands[0].(Propose).Command.Choose.Primary)
		chosen := record(&ctlstate.Attempt{Term: 2, Chosen: "b", Start: 7})
		a.Handle(Committed{Attempt: 2, Step: StepChoose}, chosen, at(340))
		a.Handle(LeasesDrained{Attempt: 2}, chosen, at(350))
		began := topo.TermStart{Term: 4, Start: 8}
		_, commands = a.Handle(PromoteReply{Attempt: 2, OK: true, Began: began}, chosen, at(900))
		require.Equal(t, began, commands[0].(Propose).Command.Complete.Began)
	}
}

func TestLeavingDatabaseIsNotPromotedWhileAnotherIsAvailable(t *testing.T) {
	p := func(position topo.Position) topo.Point { return topo.Point{Term: 1, Position: position} }
	leaver := FenceConfirmed{Attempt: 2, Database: "a", Point: p(9), Leaving: true}
	behind := FenceConfirmed{Attempt: 2, Database: "b", Point: p(7)}
	level := FenceConfirmed{Attempt: 2, Database: "b", Point: p(9)}
	other := FenceConfirmed{Attempt: 2, Database: "c", Point: p(8)}
	timeout := FenceTimedOut{Attempt: 2}
	cases := []struct {
		name        string
		primaryOnly bool
		events      []Event
		want        topo.UpstreamID
	}{
		{"the others may lack a write until one more has replied", true, []Event{leaver, behind}, ""},
		{"the furthest of the others", true, []Event{leaver, behind, other}, "c"},
		{"another one has as much", true, []Event{leaver, level}, "b"},
		{"the only other one after the timeout", true, []Event{leaver, behind, timeout}, "b"},
		{"no other one after the timeout", true, []Event{leaver, timeout}, ""},
		{"one that replies after the timeout", true, []Event{leaver, timeout, behind}, "b"},
		{"acknowledged writes may be on the leaving one alone", false, []Event{leaver, behind, timeout}, "a"},
		{"acknowledged writes are on the others", false, []Event{leaver, behind, other}, "c"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			a := NewAttempt(LoadChart(charts.Read("failover.toml")), g, at(0), tc.primaryOnly)
			a.Handle(Suspect{}, record(nil), at(10))
			begun := record(&ctlstate.Attempt{Term: 2})
			a.Handle(Committed{Step: StepBegin}, begun, at(20))
			for _, e := range tc.events {
				a.Handle(e, begun, at(30))
			}
			require.Equal(t, tc.want, a.Chosen())
		})
	}
}
