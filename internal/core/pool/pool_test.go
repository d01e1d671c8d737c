package pool

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cicadacove/cicadacove/internal/core/topo"
	_ "github.com/cicadacove/cicadacove/internal/testseed"
)

// model is a simple driver that verifies each action.
type model struct {
	t       *rapid.T
	p       *Pool
	limit   int
	opening []Key
	conns   map[ConnID]Key
	users   map[ConnID]WaiterID
	waiting map[WaiterID]Key
	// organisations are those that requests are drawn from.
	organisations []string
	nextID        uint64
	now           time.Time
}

func (m *model) perform(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Open:
			m.opening = append(m.opening, a.Key)
			require.LessOrEqual(m.t, len(m.conns)+len(m.opening), m.limit, "the limit is exceeded")
		case Close:
			require.Contains(m.t, m.conns, a.Conn)
			require.NotContains(m.t, m.users, a.Conn, "closed while in use")
			delete(m.conns, a.Conn)
		case CloseInUse:
			require.Contains(m.t, m.users, a.Conn)
		case Assign:
			require.NotContains(m.t, m.users, a.Conn, "two requests on one connection")
			require.Equal(m.t, m.waiting[a.Waiter], m.conns[a.Conn], "a connection with another key")
			m.users[a.Conn] = a.Waiter
			delete(m.waiting, a.Waiter)
		case Fail:
			require.Contains(m.t, m.waiting, a.Waiter)
			delete(m.waiting, a.Waiter)
		}
	}
}

func (m *model) drawBusy() (ConnID, bool) {
	ids := m.p.busy()
	if len(ids) == 0 {
		return 0, false
	}
	return rapid.SampledFrom(ids).Draw(m.t, "connection"), true
}

func (m *model) acquire() {
	m.nextID++
	w := WaiterID(m.nextID)
	k := Key{Term: topo.Term(rapid.IntRange(0, 1).Draw(m.t, "term")), Organisation: rapid.SampledFrom(m.organisations).Draw(m.t, "organisation")}
	m.waiting[w] = k
	actions, _ := m.p.Acquire(w, k)
	m.perform(actions)
}

func (m *model) finishOpening() {
	if len(m.opening) == 0 {
		return
	}
	k := m.opening[0]
	m.opening = m.opening[1:]
	if rapid.IntRange(0, 3).Draw(m.t, "open fails") == 0 {
		m.perform(m.p.OpenFailed(k))
		return
	}
	m.nextID++
	id := ConnID(m.nextID)
	m.conns[id] = k
	m.perform(m.p.Opened(id, k, m.now))
}

func (m *model) release() {
	id, ok := m.drawBusy()
	if !ok {
		return
	}
	delete(m.users, id)
	m.perform(m.p.Release(id, rapid.IntRange(0, 3).Draw(m.t, "broken") > 0, m.now))
}

func (m *model) withdraw() {
	for w := WaiterID(1); w <= WaiterID(m.nextID); w++ {
		if _, waits := m.waiting[w]; waits {
			_, was := m.p.Withdraw(w)
			require.True(m.t, was)
			delete(m.waiting, w)
			return
		}
	}
}

// The limit is never exceeded, no connection serves two requests, keys match,
// and no request waits while a matching connection is idle or may be opened.
func TestPool(t *testing.T) {
	for _, organisations := range [][]string{{""}, {"", "a", "b"}} {
		testPool(t, organisations)
	}
}

func testPool(t *testing.T, organisations []string) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 5).Draw(t, "limit")
		m := &model{
			t: t, p: New(limit), limit: limit, now: time.Unix(0, 0),
			conns: map[ConnID]Key{}, users: map[ConnID]WaiterID{}, waiting: map[WaiterID]Key{}, organisations: organisations,
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2:
				m.acquire()
			case 3, 4:
				m.finishOpening()
			case 5, 6:
				m.release()
			case 7:
				m.withdraw()
			case 8:
				m.limit = rapid.IntRange(0, 5).Draw(t, "limit")
				m.perform(m.p.SetLimit(m.limit))
			case 9:
				m.now = m.now.Add(IdleLimit)
				m.perform(m.p.Reap(m.now, IdleLimit))
				m.perform(m.p.Warm(1, Key{}))
			}
			m.check()
		}
		m.perform(m.p.CloseNow(3))
		m.perform(m.p.Close())
		require.Empty(t, m.waiting, "closing ends all waits")
	})
}

func (m *model) check() {
	s := m.p.Stats()
	require.Equal(m.t, len(m.conns)+len(m.opening), s.Open)
	require.Equal(m.t, len(m.waiting), s.Waiting)
	if s.Waiting > 0 {
		if len(m.organisations) == 1 {
			require.Zero(m.t, s.Idle, "a request waits while a connection is idle")
		}
		for _, id := range m.p.idle {
			require.NotContains(m.t, slices.Collect(maps.Values(m.waiting)), m.conns[id], "a request waits while a matching connection is idle")
		}
		if len(m.unserved()) > 0 {
			require.Zero(m.t, s.Idle, "an idle connection has the place of one that a request waits for")
			require.GreaterOrEqual(m.t, s.Open, s.Limit, "a request waits although a connection may be opened")
		}
		blocked := s.Open >= s.Limit || len(m.opening) >= s.Waiting
		require.True(m.t, blocked, "a request waits although a connection may be opened")
	}
}

// unserved returns the keys for which fewer connections are being opened than requests
// wait.
func (m *model) unserved() []Key {
	missing := map[Key]int{}
	for _, k := range m.waiting {
		missing[k]++
	}
	for _, k := range m.opening {
		missing[k]--
	}
	maps.DeleteFunc(missing, func(_ Key, n int) bool { return n <= 0 })
	return slices.Collect(maps.Keys(missing))
}

func TestWithdrawReportsReason(t *testing.T) {
	p := New(1)
	p.Acquire(1, Key{})
	r, waiting := p.Withdraw(1)
	require.True(t, waiting)
	require.Equal(t, OpenTimeout, r)
	p.Opened(7, Key{}, time.Unix(0, 0))
	p.Acquire(2, Key{})
	p.Acquire(3, Key{})
	r, waiting = p.Withdraw(3)
	require.True(t, waiting)
	require.Equal(t, Exhausted, r)
	_, waiting = p.Withdraw(2)
	require.False(t, waiting, "the request already has the connection")
}
