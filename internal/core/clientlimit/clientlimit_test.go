package clientlimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	start = time.Unix(1000, 0)
	rate  = Rate{Grace: 5 * time.Second, BytesPerSecond: 32 << 10}
)

const mib = 1 << 20

// resting returns a connection whose state began at the start and that moved bytes then.
func resting(id uint64, state State, held int64) Conn {
	return Conn{ID: id, State: state, Held: held, OpenedAt: start, Since: start, LastProgress: start, Transferred: held}
}

// Guards against an order by size alone: a client at an ordinary pace would lose its
// connection to those that stall.
func TestStalledConnectionsAreClosedFirst(t *testing.T) {
	now := start.Add(2 * time.Second)
	fast := resting(1, Receiving, 8*mib)
	fast.LastProgress = now.Add(-10 * time.Millisecond)
	trickle := resting(2, Receiving, mib)
	trickle.LastProgress, trickle.Transferred = now, 1000
	conns := []Conn{fast, trickle, resting(3, Sending, 2*mib), resting(4, Idle, 4*mib), resting(5, Serving, 9*mib)}
	require.Equal(t, []Closing{{3, Stalled}}, ForMemory(conns, mib, rate, now))
	require.Equal(t, []Closing{{3, Stalled}, {2, Stalled}, {4, IdleHolder}}, ForMemory(conns, 100*mib, rate, now),
		"neither the fast nor the one that is served")
}

// Guards against connections that hold parts of messages and all wait for the rest.
func TestWaitingConnectionsAreClosedWhenNoneElseCanBe(t *testing.T) {
	conns := []Conn{resting(1, Waiting, mib), resting(2, Waiting, 2*mib)}
	require.Empty(t, ForMemory(conns, mib, rate, start.Add(waitLimit-1)))
	require.Equal(t, []Closing{{2, Short}}, ForMemory(conns, mib, rate, start.Add(waitLimit)))
}

func TestSmallIdleSessionsAreKept(t *testing.T) {
	require.Empty(t, ForMemory([]Conn{resting(1, Idle, minIdleHeld-1)}, mib, rate, start.Add(time.Hour)))
}

// Guards against closing a session in use, or one that has just begun, for a new connection.
func TestForConnections(t *testing.T) {
	now := start.Add(startLimit)
	used, young, fast := resting(1, Idle, 0), resting(2, Starting, 0), resting(3, Receiving, 0)
	used.Used, young.Since = true, now
	fast.LastProgress, fast.Transferred = now, mib
	require.Empty(t, ForConnections([]Conn{used, young, fast, resting(7, Serving, 0)}, rate, now))
	older := resting(5, Idle, 0)
	older.Since = start.Add(-time.Second)
	require.Equal(t, []Closing{{8, Stalled}}, ForConnections([]Conn{used, fast, resting(8, Receiving, 0), older}, rate, now))
	require.Equal(t, []Closing{{5, Unused}}, ForConnections([]Conn{used, resting(4, Idle, 0), older}, rate, now))
	require.Equal(t, []Closing{{6, NotStarted}, {9, NotStarted}}, ForConnections([]Conn{older, resting(9, Starting, 0), resting(6, Starting, 0)}, rate, now))
	require.Equal(t, []Closing{{1, LongIdle}}, ForConnections([]Conn{used}, rate, start.Add(idleLimit)))
}

func TestDeadlineGrowsWithTheBytes(t *testing.T) {
	require.Equal(t, start.Add(5*time.Second), rate.Deadline(start, 0))
	require.Equal(t, start.Add(37*time.Second), rate.Deadline(start, mib))
	require.Equal(t, start.Add(517*time.Second), rate.Deadline(start, 16*mib), "no overflow")
}

// Guards against a choice of connections that progress or are served, and against closing
// more than is needed, for any set of connections.
func TestForMemoryOfRandomConnections(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		now := start.Add(10 * time.Second)
		var conns []Conn
		byID := map[uint64]Conn{}
		for id := range uint64(rng.IntN(30)) {
			c := Conn{
				ID: id, State: State(rng.IntN(6)), Held: rng.Int64N(2 * mib), OpenedAt: start, Transferred: rng.Int64N(mib),
				Since: start.Add(time.Duration(rng.Int64N(int64(10 * time.Second)))),
			}
			c.LastProgress = c.Since.Add(time.Duration(rng.Int64N(int64(now.Sub(c.Since)) + 1)))
			conns, byID[id] = append(conns, c), c
		}
		need := rng.Int64N(10 * mib)
		closings := ForMemory(conns, need, rate, now)
		freed := int64(0)
		for _, closing := range closings {
			require.Less(t, freed, need, "one more than needed")
			c := byID[closing.ID]
			require.NotEqual(t, Serving, c.State)
			require.NotEqual(t, Starting, c.State)
			if closing.Reason == Stalled {
				ordinary := now.Sub(c.LastProgress) < stallAfter && c.Transferred >= rate.BytesPerSecond*11
				require.False(t, ordinary, "%+v", c)
			}
			freed += c.Held
		}
	}
}
