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
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

func open(t require.TestingT, e *Engine[*fakeConn], database string) *client {
	s, refused := e.Open(database)
	require.NotNil(t, s, refused)
	return &client{s: s}
}

func TestOpenRefusesADatabaseWithoutRoute(t *testing.T) {
	s, refused := newEngine(newWorld()).Open("nowhere")
	require.Nil(t, s)
	require.Equal(t, outcome.CodeNoDatabase, refused.Code)
}

func TestAnswerCarriesTheUpstreamsSignatureAndRows(t *testing.T) {
	w := newWorld()
	c := open(t, newEngine(w), "strict")
	r := c.read("x")
	require.Equal(t, outcome.Done, r.Outcome.Kind)
	require.Equal(t, []string{"row of READ x"}, r.Rows)
	require.Equal(t, "sig", r.Signature)
	require.Equal(t, "id1", w.lastRun("x").id)
}

// Reads of other sessions find connections with other values and prepared
// statements on them.
func TestSessionStateFollowsTheSessionOverSharedConnections(t *testing.T) {
	w := newWorld()
	e := newEngine(w)
	one, two := open(t, e, "strict"), open(t, e, "strict")
	one.do(Statement{Verb: Set, Name: "tz", Value: "UTC"})
	one.do(Statement{Verb: Prepare, Name: "s1", Definition: Definition{Shape: "q1"}})
	two.do(Statement{Verb: Prepare, Name: "s1", Definition: Definition{Shape: "q2"}})
	for range 3 {
		one.do(Statement{Verb: Execute, Name: "s1", Text: "x"})
		require.Equal(t, map[string]string{"tz": "UTC"}, w.lastRun("q1 x").values)
		two.do(Statement{Verb: Execute, Name: "s1", Text: "y"})
		require.Empty(t, w.lastRun("q2 y").values)
	}
	require.Equal(t, outcome.CodeNoStatement, one.do(Statement{Verb: Execute, Name: "s2", Text: "x"}).Outcome.Code)
}

func TestTransactionStaysOnItsConnection(t *testing.T) {
	w := newWorld()
	e := newEngine(w)
	tx, other := open(t, e, "strict"), open(t, e, "strict")
	require.Equal(t, TxOpen, tx.begin(false).State)
	tx.write("t1")
	other.read("o1")
	tx.write("t2")
	require.Equal(t, w.lastRun("t1").conn, w.lastRun("t2").conn)
	require.NotEqual(t, w.lastRun("t1").conn, w.lastRun("o1").conn)
	require.True(t, w.lastRun("t2").inTx)
	r := tx.commit()
	require.Equal(t, outcome.Done, r.Outcome.Kind)
	require.Equal(t, TxNone, r.State)
	require.Equal(t, 1, w.committed["WRITE t1"])
	require.Equal(t, 1, w.committed["WRITE t2"])
}

func TestBrokenConnectionBeforeCommitKeepsNothing(t *testing.T) {
	w := newWorld()
	c := open(t, newEngine(w), "strict")
	c.begin(false)
	c.write("t1")
	w.fail = func(_ topo.UpstreamID, st Statement) failure {
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
	require.Empty(t, w.committed)
	w.fail = nil
	require.Equal(t, outcome.Done, c.read("x").Outcome.Kind)
}

func TestLostAnswerToACommitOrAWriteIsUnknown(t *testing.T) {
	w := newWorld()
	c := open(t, newEngine(w), "strict")
	c.begin(false)
	c.write("t1")
	w.fail = func(_ topo.UpstreamID, st Statement) failure {
		if st.Verb == Commit || st.Verb == Write {
			return lostAfter
		}
		return none
	}
	require.Equal(t, outcome.Unknown, c.commit().Outcome.Kind)
	require.Equal(t, outcome.Unknown, c.write("single").Outcome.Kind)
	require.Equal(t, 1, w.committed["WRITE single"], "a write is sent once")
}

func TestReadIsRepeatedElsewhere(t *testing.T) {
	w := newWorld()
	e := newEngine(w)
	c := open(t, e, "old")
	require.Equal(t, outcome.Done, c.read("first").Outcome.Kind, "the first read samples the primary's position")
	w.fail = func(id topo.UpstreamID, _ Statement) failure {
		if id == "b" {
			return lostAfter
		}
		return none
	}
	r := c.read("x")
	require.Equal(t, outcome.Done, r.Outcome.Kind)
	require.NotEqual(t, topo.UpstreamID("b"), w.lastRun("x").upstream)
}

// The replica proves that it holds the session's own commit; one that lags is
// left for another upstream.
func TestReadSeesTheSessionsOwnCommit(t *testing.T) {
	w := newWorld()
	c := open(t, newEngine(w), "own")
	require.Equal(t, outcome.Done, c.write("w").Outcome.Kind)
	for range 5 {
		require.Equal(t, outcome.Done, c.read("x").Outcome.Kind)
		require.GreaterOrEqual(t, w.lastRun("x").point.Position, w.position)
	}
	w.catchUp("b")
	require.Eventually(t, func() bool {
		c.read("y")
		return w.lastRun("y").upstream == "b"
	}, time.Second, time.Millisecond)
	require.Equal(t, topo.UpstreamID("b"), w.lastRun("y").upstream, "the replica of the zone serves once it has caught up")
}

func TestBoundedReadIsNotOlderThanItsAge(t *testing.T) {
	w := newWorld()
	e := newEngine(w)
	writer, reader := open(t, e, "strict"), open(t, e, "old")
	require.Equal(t, outcome.Done, reader.read("first").Outcome.Kind)
	e.groups.Get(group).ObservePrimary(topo.Point{Term: 3, Position: 10}, time.Now().Add(-2*time.Minute))
	writer.write("w")
	require.Equal(t, outcome.Done, reader.read("x").Outcome.Kind)
}

// A lease that ends while the statement runs: what was read may be stale, and
// what was written may be lost.
func TestLeaseIsCheckedAfterTheAnswer(t *testing.T) {
	w := newWorld()
	c := open(t, newEngine(w), "strict")
	lapse := func(topo.UpstreamID, Statement) failure {
		w.leased = false
		return none
	}
	w.fail = lapse
	require.Equal(t, outcome.NotRun, c.read("x").Outcome.Kind)
	w.leased = true
	require.Equal(t, outcome.Unknown, c.write("w").Outcome.Kind)
	w.fail = nil
	require.Equal(t, outcome.CodeNoPrimary, c.write("w2").Outcome.Code, "without a lease nothing is sent")
	require.Zero(t, w.committed["WRITE w2"])
}

func TestWriteWaitsALittleForAPrimary(t *testing.T) {
	w := newWorld()
	w.leased = false
	c := open(t, newEngine(w), "strict")
	time.AfterFunc(20*time.Millisecond, func() { w.setLease(true) })
	require.Equal(t, outcome.Done, c.write("w").Outcome.Kind)
}

func TestIdleTransactionIsRolledBack(t *testing.T) {
	w := newWorld()
	c := open(t, newEngine(w), "strict")
	c.begin(false)
	c.write("t1")
	c.s.IdleTooLong()
	require.Equal(t, outcome.CodeRolledBack, c.commit().Outcome.Code)
	require.Empty(t, w.committed)
}

func TestTransactionWithoutStatementsCommitsAtAnUpstream(t *testing.T) {
	c := open(t, newEngine(newWorld()), "strict")
	c.begin(false)
	r := c.commit()
	require.Equal(t, outcome.Done, r.Outcome.Kind)
	require.Equal(t, "sig", r.Signature)
}

// Nothing of a transaction that only read can be kept, whatever became of its
// COMMIT, so the caller may begin again.
func TestLostCommitOfReadsKeepsNothing(t *testing.T) {
	w := newWorld()
	c := open(t, newEngine(w), "old")
	c.begin(true)
	require.Equal(t, outcome.Done, c.read("x").Outcome.Kind)
	w.fail = func(_ topo.UpstreamID, st Statement) failure {
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

// A replica that fails whatever it is asked is left alone after a few reads,
// which are answered by others, and used again once it serves.
func TestReadsAvoidAnUpstreamThatFails(t *testing.T) {
	w := newWorld()
	e := newEngine(w)
	c := open(t, e, "old")
	require.Equal(t, outcome.Done, c.read("first").Outcome.Kind, "the first read samples the primary's position")
	asked := 0
	w.fail = func(id topo.UpstreamID, st Statement) failure {
		if id == "b" && st.Verb == Read {
			asked++
			return failing
		}
		return none
	}
	const reads = 50
	for range reads {
		require.Equal(t, outcome.Done, c.read("x").Outcome.Kind)
	}
	require.Positive(t, asked)
	require.Less(t, asked, reads/5, "its failures keep reads away")
	w.fail = nil
	require.Eventually(t, func() bool {
		c.read("y")
		return w.lastRun("y").upstream == "b"
	}, 10*time.Second, 10*time.Millisecond, "it is tried again")
}

// Reads that fail everywhere are not repeated without bound.
func TestFailedReadsAreRepeatedWithinABudget(t *testing.T) {
	w := newWorld()
	e := newEngine(w)
	c := open(t, e, "old")
	require.Equal(t, outcome.Done, c.read("first").Outcome.Kind)
	asked := 0
	w.fail = func(_ topo.UpstreamID, st Statement) failure {
		if st.Verb == Read {
			asked++
			return failing
		}
		return none
	}
	const reads = 300
	for range reads {
		require.Equal(t, outcome.Failed, c.read("x").Outcome.Kind)
	}
	require.Less(t, asked, reads*3/2)
}

// A refusal of a busy upstream means that the statement has not run, so it may
// be offered again: a single write, and the first statement of a transaction.
func TestStatementsAreOfferedAgainToABusyPrimary(t *testing.T) {
	for _, refusals := range []int{1, maxBusyAttempts - 1} {
		w := newWorld()
		c := open(t, newEngine(w), "strict")
		left := refusals
		w.fail = func(_ topo.UpstreamID, st Statement) failure {
			if st.Verb != Write || left == 0 {
				return none
			}
			left--
			return busy
		}
		require.Equal(t, outcome.Done, c.write("single").Outcome.Kind)
		require.Equal(t, 1, w.committed["WRITE single"])
		left = refusals
		c.begin(false)
		require.Equal(t, outcome.Done, c.write("first").Outcome.Kind)
		require.Equal(t, TxOpen, c.s.State())
		left = 1
		require.Equal(t, outcome.CodeRolledBack, c.write("second").Outcome.Code, "the first statement has run")
		require.Equal(t, outcome.CodeRolledBack, c.commit().Outcome.Code)
		require.Zero(t, w.committed["WRITE first"])
	}
}

// An instance that is cut off refuses at once, so that callers go elsewhere
// while there is time.
func TestStrandedInstanceRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		e := newEngine(w)
		c := open(t, e, "strict")
		w.leased, w.stranded = false, true
		began := time.Now()
		require.Equal(t, outcome.CodeNoPrimary, c.write("w").Outcome.Code)
		require.Zero(t, time.Since(began))
		s, refused := e.Open("strict")
		require.Nil(t, s)
		require.Equal(t, outcome.CodeNoPrimary, refused.Code)
	})
}

// With fewer connections than requests, the rank decides who gets the next
// one, not the order of arrival.
func TestScarceConnectionsGoToUrgentWorkFirst(t *testing.T) {
	w := newWorld()
	e := newEngine(w)
	e.opts.Share = func() float64 { return 0 } // one connection
	holder := open(t, e, "strict")
	holder.begin(false)
	holder.write("first")
	e.tend(t.Context())
	gt := e.groups.Get(group).Gate(w.announcement(w.primary))
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
	for _, r := range w.runs {
		if strings.HasPrefix(r.text, "READ ") {
			order = append(order, r.text)
		}
	}
	require.Equal(t, []string{"READ strict", "READ least urgent"}, order)
	require.Equal(t, 1, w.conns)
}

// heldEvents keeps what is told of statements.
type heldEvents struct {
	noEvents
	ended []Ended
}

func (h *heldEvents) Ended(e Ended) { h.ended = append(h.ended, e) }

// While an upstream's queue delays urgent work, the least urgent work waits at
// the instance. It is refused while its caller can still go elsewhere, and the
// log tells for how long it was held and why.
func TestLeastUrgentWorkIsHeldBackThenRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		e := newEngine(w)
		events := &heldEvents{}
		e.opts.Events = events
		const statements, took = 30, 500 * time.Millisecond
		for range statements {
			e.groups.Get(group).ObserveTime(w.primary, took, 0, clock.Now())
		}
		began := time.Now()
		r := open(t, e, "least urgent").read("low")
		require.Equal(t, outcome.CodeOverloaded, r.Outcome.Code)
		require.Positive(t, r.Outcome.RetryAfter)
		require.Less(t, time.Since(began), time.Second, "its target")
		require.Empty(t, w.lastRun("low").id, "it has not run")
		require.Equal(t, time.Since(began), events.ended[0].Held)
		require.Positive(t, events.ended[0].UpstreamWait)
		require.Equal(t, outcome.Done, open(t, e, "strict").read("urgent").Outcome.Kind)
		require.Zero(t, events.ended[1].Held)
	})
}
