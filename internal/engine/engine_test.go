package engine

import (
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/clock"
	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/pace"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

func open(t require.TestingT, e *Engine[*fakeConn], database string) *client {
	s, refused := e.Open(database, "")
	require.NotNil(t, s, refused)
	return &client{s: s}
}

func TestOpenRefusesADatabaseWithoutRoute(t *testing.T) {
	s, refused := newEngine(newFakeGroup()).Open("nowhere", "")
	require.Nil(t, s)
	require.Equal(t, outcome.CodeNoDatabase, refused.Code)
}

func TestAnswerCarriesTheUpstreamsSignatureAndRows(t *testing.T) {
	db := newFakeGroup()
	c := open(t, newEngine(db), "strict")
	r := c.read("x")
	require.Equal(t, outcome.Done, r.Outcome.Kind)
	require.Equal(t, []string{"row of READ x"}, r.Rows)
	require.Equal(t, "sig", r.Signature)
	require.Equal(t, "id1", db.lastRun("x").id)
}

// Sessions share connections on which other sessions have left values and
// prepared statements.
func TestSessionStateFollowsTheSessionOverSharedConnections(t *testing.T) {
	db := newFakeGroup()
	e := newEngine(db)
	one, two := open(t, e, "strict"), open(t, e, "strict")
	one.do(Statement{Verb: Set, Name: "tz", Value: "UTC"})
	one.do(Statement{Verb: Prepare, Name: "s1", Definition: Definition{Shape: "q1"}})
	two.do(Statement{Verb: Prepare, Name: "s1", Definition: Definition{Shape: "q2"}})
	for range 3 {
		one.do(Statement{Verb: Execute, Name: "s1", Text: "x"})
		require.Equal(t, map[string]string{"tz": "UTC"}, db.lastRun("q1 x").values)
		two.do(Statement{Verb: Execute, Name: "s1", Text: "y"})
		require.Empty(t, db.lastRun("q2 y").values)
	}
	require.Equal(t, outcome.CodeNoStatement, one.do(Statement{Verb: Execute, Name: "s2", Text: "x"}).Outcome.Code)
}

func TestTransactionStaysOnItsConnection(t *testing.T) {
	db := newFakeGroup()
	e := newEngine(db)
	tx, other := open(t, e, "strict"), open(t, e, "strict")
	require.Equal(t, TxOpen, tx.begin(false).State)
	tx.write("t1")
	other.read("o1")
	tx.write("t2")
	require.Equal(t, db.lastRun("t1").conn, db.lastRun("t2").conn)
	require.NotEqual(t, db.lastRun("t1").conn, db.lastRun("o1").conn)
	require.True(t, db.lastRun("t2").inTx)
	r := tx.commit()
	require.Equal(t, outcome.Done, r.Outcome.Kind)
	require.Equal(t, TxNone, r.State)
	require.Equal(t, 1, db.committed["WRITE t1"])
	require.Equal(t, 1, db.committed["WRITE t2"])
}

func TestBrokenConnectionBeforeCommitRollsBack(t *testing.T) {
	db := newFakeGroup()
	c := open(t, newEngine(db), "strict")
	c.begin(false)
	c.write("t1")
	db.fail = func(_ topo.UpstreamID, st Statement) failure {
		if st.Verb == Write {
			return lostAfter
		}
		return none
	}
	r := c.write("t2")
	require.Equal(t, outcome.NotRun, r.Outcome.Kind)
	require.Equal(t, TxFailed, r.State)
	require.Equal(t, outcome.CodeProtocol, c.read("x").Outcome.Code, "nothing runs until the caller ends the transaction")
	require.Equal(t, outcome.CodeRolledBack, c.commit().Outcome.Code)
	require.Empty(t, db.committed)
	db.fail = nil
	require.Equal(t, outcome.Done, c.read("x").Outcome.Kind)
}

func TestLostAnswerToACommitOrAWriteIsUnknown(t *testing.T) {
	db := newFakeGroup()
	c := open(t, newEngine(db), "strict")
	c.begin(false)
	c.write("t1")
	db.fail = func(_ topo.UpstreamID, st Statement) failure {
		if st.Verb == Commit || st.Verb == Write {
			return lostAfter
		}
		return none
	}
	require.Equal(t, outcome.Unknown, c.commit().Outcome.Kind)
	require.Equal(t, outcome.Unknown, c.write("single").Outcome.Kind)
	require.Equal(t, 1, db.committed["WRITE single"], "the engine sends a write once")
}

func TestReadIsRetriedAtAnotherUpstream(t *testing.T) {
	db := newFakeGroup()
	e := newEngine(db)
	c := open(t, e, "old")
	require.Equal(t, outcome.Done, c.read("first").Outcome.Kind, "the first read samples the primary's position")
	db.fail = func(id topo.UpstreamID, _ Statement) failure {
		if id == "b" {
			return lostAfter
		}
		return none
	}
	r := c.read("x")
	require.Equal(t, outcome.Done, r.Outcome.Kind)
	require.NotEqual(t, topo.UpstreamID("b"), db.lastRun("x").upstream)
}

// A replica must prove that it has the session's own commit; a lagging one is
// skipped in favour of another upstream.
func TestReadSeesTheSessionsOwnCommit(t *testing.T) {
	db := newFakeGroup()
	c := open(t, newEngine(db), "own")
	require.Equal(t, outcome.Done, c.write("w").Outcome.Kind)
	for range 5 {
		require.Equal(t, outcome.Done, c.read("x").Outcome.Kind)
		require.GreaterOrEqual(t, db.lastRun("x").point.Position, db.position)
	}
	db.catchUp("b")
	require.Eventually(t, func() bool {
		c.read("y")
		return db.lastRun("y").upstream == "b"
	}, time.Second, time.Millisecond)
	require.Equal(t, topo.UpstreamID("b"), db.lastRun("y").upstream, "the replica in the instance's zone serves once it has caught up")
}

func TestBoundedReadIsNotOlderThanItsAge(t *testing.T) {
	db := newFakeGroup()
	e := newEngine(db)
	writer, reader := open(t, e, "strict"), open(t, e, "old")
	require.Equal(t, outcome.Done, reader.read("first").Outcome.Kind)
	e.groups.Get(group).ObservePrimary(topo.Point{Term: 3, Position: 10}, time.Now().Add(-2*time.Minute))
	writer.write("w")
	require.Equal(t, outcome.Done, reader.read("x").Outcome.Kind)
}

// When a lease ends while a statement runs, a read may be stale and a write may
// be lost.
func TestLeaseIsCheckedAfterTheAnswer(t *testing.T) {
	db := newFakeGroup()
	c := open(t, newEngine(db), "strict")
	expireLease := func(topo.UpstreamID, Statement) failure {
		db.leased = false
		return none
	}
	db.fail = expireLease
	require.Equal(t, outcome.NotRun, c.read("x").Outcome.Kind)
	db.leased = true
	require.Equal(t, outcome.Unknown, c.write("w").Outcome.Kind)
	db.fail = nil
	require.Equal(t, outcome.CodeNoPrimary, c.write("w2").Outcome.Code, "the engine sends nothing without a lease")
	require.Zero(t, db.committed["WRITE w2"])
}

func TestWriteWaitsBrieflyForAPrimary(t *testing.T) {
	db := newFakeGroup()
	db.leased = false
	c := open(t, newEngine(db), "strict")
	time.AfterFunc(20*time.Millisecond, func() { db.setLease(true) })
	require.Equal(t, outcome.Done, c.write("w").Outcome.Kind)
}

func TestIdleTransactionIsRolledBack(t *testing.T) {
	db := newFakeGroup()
	c := open(t, newEngine(db), "strict")
	c.begin(false)
	c.write("t1")
	c.s.RollBackIdle()
	require.Equal(t, outcome.CodeRolledBack, c.commit().Outcome.Code)
	require.Empty(t, db.committed)
}

func TestTransactionWithoutStatementsCommitsAtAnUpstream(t *testing.T) {
	c := open(t, newEngine(newFakeGroup()), "strict")
	c.begin(false)
	r := c.commit()
	require.Equal(t, outcome.Done, r.Outcome.Kind)
	require.Equal(t, "sig", r.Signature)
}

// A read-only transaction has no effect, so the caller may retry it even if the
// answer to its COMMIT is lost.
func TestLostReadOnlyCommitIsRolledBack(t *testing.T) {
	db := newFakeGroup()
	c := open(t, newEngine(db), "old")
	c.begin(true)
	require.Equal(t, outcome.Done, c.read("x").Outcome.Kind)
	db.fail = func(_ topo.UpstreamID, st Statement) failure {
		if st.Verb == Commit {
			return lostAfter
		}
		return none
	}
	r := c.commit()
	require.Equal(t, outcome.NotRun, r.Outcome.Kind)
	require.Equal(t, outcome.CodeRolledBack, r.Outcome.Code)
	require.Equal(t, TxNone, r.State)
}

// A replica that fails all statements is avoided after a few reads, which are
// retried elsewhere, and is used again once it recovers.
func TestReadsAvoidAnUpstreamThatFails(t *testing.T) {
	db := newFakeGroup()
	e := newEngine(db)
	c := open(t, e, "old")
	require.Equal(t, outcome.Done, c.read("first").Outcome.Kind, "the first read samples the primary's position")
	attempts := 0
	db.fail = func(id topo.UpstreamID, st Statement) failure {
		if id == "b" && st.Verb == Read {
			attempts++
			return failing
		}
		return none
	}
	const reads = 50
	for range reads {
		require.Equal(t, outcome.Done, c.read("x").Outcome.Kind)
	}
	require.Positive(t, attempts)
	require.Less(t, attempts, reads/5, "reads avoid the failing upstream")
	db.fail = nil
	require.Eventually(t, func() bool {
		c.read("y")
		return db.lastRun("y").upstream == "b"
	}, 10*time.Second, 10*time.Millisecond, "the upstream is used again")
}

// Reads that fail at all upstreams are retried only within the budget.
func TestFailedReadsAreRetriedWithinABudget(t *testing.T) {
	db := newFakeGroup()
	e := newEngine(db)
	c := open(t, e, "old")
	require.Equal(t, outcome.Done, c.read("first").Outcome.Kind)
	attempts := 0
	db.fail = func(_ topo.UpstreamID, st Statement) failure {
		if st.Verb == Read {
			attempts++
			return failing
		}
		return none
	}
	const reads = 300
	for range reads {
		require.Equal(t, outcome.Failed, c.read("x").Outcome.Kind)
	}
	require.Less(t, attempts, reads*3/2)
}

// A busy upstream refuses a statement without running it, so a single write and
// the first statement of a transaction may be retried.
func TestStatementsAreRetriedAtABusyPrimary(t *testing.T) {
	for _, refusals := range []int{1, maxBusyAttempts - 1} {
		db := newFakeGroup()
		c := open(t, newEngine(db), "strict")
		left := refusals
		db.fail = func(_ topo.UpstreamID, st Statement) failure {
			if st.Verb != Write || left == 0 {
				return none
			}
			left--
			return busy
		}
		require.Equal(t, outcome.Done, c.write("single").Outcome.Kind)
		require.Equal(t, 1, db.committed["WRITE single"])
		left = refusals
		c.begin(false)
		require.Equal(t, outcome.Done, c.write("first").Outcome.Kind)
		require.Equal(t, TxOpen, c.s.State())
		left = 1
		require.Equal(t, outcome.CodeRolledBack, c.write("second").Outcome.Code, "the first statement has run")
		require.Equal(t, outcome.CodeRolledBack, c.commit().Outcome.Code)
		require.Zero(t, db.committed["WRITE first"])
	}
}

// An isolated instance refuses at once, so that callers have time to try another
// instance.
func TestIsolatedInstanceRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		db := newFakeGroup()
		e := newEngine(db)
		c := open(t, e, "strict")
		db.leased, db.isolated = false, true
		began := time.Now()
		require.Equal(t, outcome.CodeNoPrimary, c.write("w").Outcome.Code)
		require.Zero(t, time.Since(began))
		s, refused := e.Open("strict", "")
		require.Nil(t, s)
		require.Equal(t, outcome.CodeNoPrimary, refused.Code)
	})
}

// When connections are scarce, they are assigned by rank, not in order of
// arrival.
func TestScarceConnectionsGoToUrgentWorkFirst(t *testing.T) {
	db := newFakeGroup()
	e := newEngine(db)
	e.opts.Share = func() float64 { return 0 } // one connection
	holder := open(t, e, "strict")
	holder.begin(false)
	holder.write("first")
	e.maintain(t.Context())
	gt := e.groups.Get(group).Gate(db.announcement(db.primary))
	var reads sync.WaitGroup
	for _, database := range []string{"least urgent", "strict"} {
		c := open(t, e, database)
		reads.Go(func() { c.read(database) })
		require.Eventually(t, func() bool {
			l := gt.Load()
			return l.Queued[contract.Ranks] == 1 && (database != "strict" || l.Queued[contract.RankUrgent] == 1)
		}, 10*time.Second, time.Millisecond)
	}
	require.Equal(t, outcome.Done, holder.commit().Outcome.Kind)
	reads.Wait()
	var order []string
	for _, r := range db.runs {
		if strings.HasPrefix(r.text, "READ ") {
			order = append(order, r.text)
		}
	}
	require.Equal(t, []string{"READ strict", "READ least urgent"}, order)
	require.Equal(t, 1, db.conns)
}

// recordedEvents records the ends of statements.
type recordedEvents struct {
	noEvents
	ended []StatementEnd
	paced []pace.Change
}

func (h *recordedEvents) UpstreamPaced(_ topo.UpstreamID, c pace.Change) {
	h.paced = append(h.paced, c)
}

func (h *recordedEvents) StatementEnded(e StatementEnd) { h.ended = append(h.ended, e) }

// While an upstream's queue delays urgent work, the instance holds back the least
// urgent work. The instance refuses held work early enough for the caller to try
// another instance, and reports the hold time and the queue wait behind it.
func TestLeastUrgentWorkIsHeldBackThenRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		db := newFakeGroup()
		e := newEngine(db)
		events := &recordedEvents{}
		e.opts.Events = events
		const statements, took = 30, 500 * time.Millisecond
		for range statements {
			e.groups.Get(group).ObserveTime(db.primary, took, 0, clock.Now())
		}
		began := time.Now()
		r := open(t, e, "least urgent").read("low")
		require.Equal(t, outcome.CodeOverloaded, r.Outcome.Code)
		require.Positive(t, r.Outcome.RetryAfter)
		require.Less(t, time.Since(began), time.Second, "refused before its target")
		require.Empty(t, db.lastRun("low").id, "the statement has not run")
		require.Equal(t, time.Since(began), events.ended[0].Held)
		require.Positive(t, events.ended[0].UpstreamWait)
		require.Equal(t, outcome.Done, open(t, e, "strict").read("urgent").Outcome.Kind)
		require.Zero(t, events.ended[1].Held)
	})
}

// Guards against work that is refused for the pace of the only database that can serve
// it, and against urgent work that waits for the pace.
func TestLeastUrgentWorkWaitsForThePaceAndIsThenServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		db := newFakeGroup()
		e := newEngine(db)
		events := &recordedEvents{}
		e.opts.Events = events
		for range 10 {
			e.groups.Get(group).ObserveOutcome(db.primary, false, clock.Now())
		}
		c := open(t, e, "least urgent")
		for range 3 {
			require.Equal(t, outcome.Done, c.read("low").Outcome.Kind)
		}
		require.Zero(t, events.ended[0].Held)
		require.Positive(t, events.ended[1].Held)
		require.Equal(t, outcome.Done, open(t, e, "strict").read("urgent").Outcome.Kind)
		require.Zero(t, events.ended[3].Held)
		require.Len(t, events.paced, 1, "one notification for each change")
		require.Equal(t, pace.Failed, events.paced[0].Reason)
	})
}

func TestNothingIsSentToAnUpstreamThatAcceptsNoNewWork(t *testing.T) {
	db := newFakeGroup()
	e := newEngine(db)
	c, tx := open(t, e, "strict"), open(t, e, "strict")
	tx.begin(false)
	tx.write("t1")
	db.ending = map[topo.UpstreamID]bool{"a": true}
	before := len(db.runs)
	require.Equal(t, outcome.NotRun, c.write("w1").Outcome.Kind)
	require.Equal(t, outcome.NotRun, c.read("r1").Outcome.Kind)
	require.Len(t, db.runs, before)
	require.Equal(t, outcome.Done, tx.write("t2").Outcome.Kind, "an open transaction may end")
	require.Equal(t, outcome.Done, tx.commit().Outcome.Kind)
}
