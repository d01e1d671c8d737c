package attempt

import (
	"flag"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/cicadacove/cicadacove/internal/testseed"
)

// checks is the number of random runs of each property.
const checks = "5000"

func init() {
	if err := flag.Set("rapid.checks", checks); err != nil {
		panic(err)
	}
}

func always() bool { return true }
func never() bool  { return false }

func TestStep(t *testing.T) {
	cases := []struct {
		name   string
		mode   Mode
		events []Event
		limits Limits
		want   Action
	}{
		{"done", AtMostOnce, []Event{Authority, Opened, Ran, Committed, Confirmed, Delivered}, Limits{MayRetry: never}, None},
		{"no primary in time", AtMostOnce, []Event{TimedOut}, Limits{MayRetry: never}, Refuse},
		{"admission refuses", AtMostOnce, []Event{Authority, Refused}, Limits{MayRetry: never}, Report},
		{"nothing sent costs no retry", AtMostOnce, []Event{Authority, Unopened}, Limits{MayRetry: never}, Await},
		{"no effect is repeated", AtMostOnce, []Event{Authority, Opened, NoEffect}, Limits{MayRetry: always}, Await},
		{"no effect, budget spent", AtMostOnce, []Event{Authority, Opened, NoEffect}, Limits{MayRetry: never}, Refuse},
		{"no effect, target passed", AtMostOnce, []Event{Authority, Opened, NoEffect}, Limits{TargetPassed: true, MayRetry: always}, Refuse},
		{"lost COMMIT is resolved", AtMostOnce, []Event{Authority, Opened, Ran, Lost}, Limits{MayRetry: always}, Resolve},
		{"lease ends before the answer", AtMostOnce, []Event{Authority, Opened, Ran, Committed, Confirmed, Lost}, Limits{MayRetry: always}, Resolve},
		{"found done is confirmed again", AtMostOnce, []Event{Authority, Opened, Ran, Lost, FoundDone}, Limits{MayRetry: always}, Confirm},
		{"found cancelled", AtMostOnce, []Event{Authority, Opened, Ran, Lost, FoundCancelled}, Limits{MayRetry: always}, Refuse},
		{"never resolved", AtMostOnce, []Event{Authority, Opened, Ran, Lost, Unresolved, TimedOut}, Limits{MayRetry: always}, Unknown},
		{"repeatable, lease ends", Repeatable, []Event{Authority, Opened, Committed, Lost}, Limits{MayRetry: always}, Await},
		{"repeatable, lease ends, budget spent", Repeatable, []Event{Authority, Opened, Committed, Lost}, Limits{MayRetry: never}, Unknown},
		{"repeatable, answer lost", Repeatable, []Event{Authority, Opened, Lost}, Limits{MayRetry: always}, Await},
		{"repeatable, answer lost, budget spent", Repeatable, []Event{Authority, Opened, Lost}, Limits{MayRetry: never}, Unknown},
		{"repeatable, lost once, then no primary", Repeatable, []Event{Authority, Opened, Lost, TimedOut}, Limits{MayRetry: always}, Unknown},
		{"repeatable, lost once, then refused", Repeatable, []Event{Authority, Opened, Lost, Authority, Refused}, Limits{MayRetry: always}, Unknown},
		{"repeatable, lease ends before the answer", Repeatable, []Event{Authority, Opened, Committed, Confirmed, Lost}, Limits{MayRetry: always}, Await},
		{"COMMIT without effect is not repeated", CommitStored, []Event{NoEffect}, Limits{MayRetry: always}, Refuse},
		{"lost COMMIT of a stored id", CommitStored, []Event{Lost}, Limits{MayRetry: always}, Resolve},
		{"lost COMMIT of no id", CommitPlain, []Event{Lost}, Limits{MayRetry: always}, Unknown},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			m := New(tc.mode)
			action := m.Start()
			for _, e := range tc.events {
				action = m.Step(e, tc.limits)
			}
			require.Equal(t, tc.want, action)
		})
	}
}

func TestStepPanicsOnAnImpossibleEvent(t *testing.T) {
	require.Panics(t, func() { New(AtMostOnce).Step(Delivered, Limits{MayRetry: never}) })
}

// groupState is the state of a database group with respect to one request id: a
// primary, a lagging replica, and COMMITs in flight.
type groupState struct {
	term     int
	primary  databaseState
	replica  databaseState
	inFlight []commit
	nonces   int
}

// databaseState is the content of one database: the row of the request id and
// the numbers of the requests that took effect.
type databaseState struct {
	state   string // "", "cancelled" or "done"
	nonce   int
	effects []int
}

type commit struct {
	owner, term int
	takeOver    int
}

// claimHolds reports whether a claim would affect its row.
func (c databaseState) claimHolds(takeOver int) bool {
	if takeOver == 0 {
		return c.state == ""
	}
	return c.state == "cancelled" && c.nonce == takeOver
}

// applyCommit delivers a COMMIT. It takes effect if its term is not fenced and
// its claim still holds.
func (g *groupState) applyCommit(c commit) bool {
	if c.term != g.term || !g.primary.claimHolds(c.takeOver) {
		return false
	}
	g.primary.state = "done"
	g.primary.effects = append(append([]int(nil), g.primary.effects...), c.owner)
	return true
}

func (g *groupState) failover() {
	g.term++
	g.primary = g.replica
}

// requestCopy is one copy of the request at an entry instance.
type requestCopy struct {
	number   int
	m        *Machine
	action   Action
	term     int
	takeOver int
	reported string
}

// perform performs the copy's action on the group.
func (r *requestCopy) perform(t *rapid.T, g *groupState) Event {
	oneInFour := func(name string) bool { return rapid.IntRange(0, 3).Draw(t, name) == 0 }
	switch r.action {
	case Await:
		r.term = g.term
		return Authority
	case Open:
		if oneInFour("unopened") {
			return Unopened
		}
		return Opened
	case Run:
		if oneInFour("run fails") || r.term != g.term {
			return NoEffect
		}
		if !g.primary.claimHolds(r.takeOver) {
			return AlreadyRan
		}
		return Ran
	case Commit:
		return r.commit(t, g)
	case LookUp:
		if oneInFour("look-up lost") || r.term != g.term {
			return Lost
		}
		if g.primary.state == "done" {
			return FoundDone
		}
		r.takeOver = 0
		if g.primary.state == "cancelled" {
			r.takeOver = g.primary.nonce
		}
		return NoEffect
	case Confirm:
		if oneInFour("confirmation lost") || r.term != g.term {
			return Lost
		}
		g.replica = g.primary
		return Confirmed
	case Deliver:
		if r.term != g.term {
			return Lost
		}
		r.reported = "done"
		return Delivered
	case Resolve:
		return r.resolve(t, g)
	}
	panic("no action: " + string(r.action))
}

func (r *requestCopy) commit(t *rapid.T, g *groupState) Event {
	c := commit{owner: r.number, term: r.term, takeOver: r.takeOver}
	switch rapid.SampledFrom([]string{"answered", "lost before", "lost after", "on its way"}).Draw(t, "commit") {
	case "answered":
		if g.applyCommit(c) {
			return Committed
		}
		return NoEffect
	case "lost after":
		g.applyCommit(c)
	case "on its way":
		g.inFlight = append(g.inFlight, c)
	}
	return Lost
}

func (r *requestCopy) resolve(t *rapid.T, g *groupState) Event {
	switch rapid.IntRange(0, 5).Draw(t, "resolve") {
	case 0:
		return Unresolved
	case 1:
		return TimedOut
	}
	r.term = g.term
	if g.primary.state == "done" {
		return FoundDone
	}
	g.nonces++
	g.primary.state, g.primary.nonce = "cancelled", g.nonces
	return FoundCancelled
}

// Callers send and resend two copies of one request through two entry instances,
// while answers are lost, COMMITs arrive late and the group fails over to a
// lagging replica. The request runs at most once, an acknowledged request is not
// lost, and a copy that was reported as "not run" never takes effect.
func TestAtMostOnceAndCorrectOutcomes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := &groupState{}
		var copies []*requestCopy
		open := func() *requestCopy {
			r := &requestCopy{number: len(copies) + 1, m: New(AtMostOnce)}
			r.action = r.m.Start()
			copies = append(copies, r)
			return r
		}
		running := []*requestCopy{open(), open()}
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				g.failover()
			case 1:
				g.replica = g.primary
			case 2:
				if len(g.inFlight) > 0 {
					g.applyCommit(g.inFlight[0])
					g.inFlight = g.inFlight[1:]
				}
			default:
				i := rapid.IntRange(0, len(running)-1).Draw(t, "copy")
				if r := running[i]; advance(t, g, r) && r.reported != "done" && len(copies) < 8 {
					running[i] = open() // the caller resends
				}
			}
		}
		for _, c := range g.inFlight {
			g.applyCommit(c)
		}
		check(t, g, copies)
	})
}

// advance performs one action and reports whether the copy has ended.
func advance(t *rapid.T, g *groupState, r *requestCopy) bool {
	switch r.action {
	case None:
		return true
	case Refuse, Report:
		r.reported, r.action = "not run", None
		return true
	case Unknown:
		r.reported, r.action = "unknown", None
		return true
	}
	e := r.perform(t, g)
	retry := rapid.Bool().Draw(t, "may retry")
	r.action = r.m.Step(e, Limits{MayRetry: func() bool { return retry }})
	return r.action == None
}

func check(t *rapid.T, g *groupState, copies []*requestCopy) {
	require.LessOrEqual(t, len(g.primary.effects), 1, "the request ran more than once")
	for _, r := range copies {
		switch r.reported {
		case "done":
			require.Len(t, g.primary.effects, 1, "an acknowledged request is lost")
		case "not run":
			require.NotContains(t, g.primary.effects, r.number, "copy %d was reported as not run", r.number)
		}
	}
}
