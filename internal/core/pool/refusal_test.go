package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An upstream that still counts the connections of an instance after its power
// loss refuses new ones; requests then wait for existing connections.
func TestWaiterStaysQueuedAfterARefusalWhileConnectionsExist(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New(3)
	actions, _ := p.Acquire(1, Key{})
	require.Equal(t, []Action{Open{}}, actions)
	require.Equal(t, []Action{Assign{1, 7}}, p.Opened(7, Key{}, now))
	actions, _ = p.Acquire(2, Key{})
	require.Equal(t, []Action{Open{}}, actions)
	require.Empty(t, p.OpenRefused(Key{}, now), "the waiter keeps waiting")
	actions, _ = p.Acquire(3, Key{})
	require.Empty(t, actions, "no further connection is requested")
	require.Equal(t, []Action{Assign{2, 7}}, p.Release(7, true, now))
	require.Empty(t, p.Retry(now.Add(openBackoff-1)))
	require.Equal(t, []Action{Open{}}, p.Retry(now.Add(openBackoff)))
}

func TestWaiterFailsWhereNoConnectionExists(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New(3)
	p.Acquire(1, Key{})
	require.Equal(t, []Action{Fail{1}}, p.OpenRefused(Key{}, now))
}

// After a statement got no answer, connections that have been idle since before
// it may be broken too. The pool keeps those released later.
func TestConnectionsIdleSinceBeforeAreDropped(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New(3)
	p.Acquire(1, Key{})
	p.Acquire(2, Key{})
	p.Opened(7, Key{}, now)
	p.Opened(8, Key{}, now)
	p.Release(7, true, now)
	p.Release(8, true, now.Add(time.Second))
	require.Equal(t, []Action{Close{7}}, p.DropIdleSince(now.Add(time.Second)))
	require.Equal(t, 1, p.Stats().Idle)
}

// Guards against a request that is refused again and again, while this instance keeps idle
// connections of other organisations at an upstream that has no room for another one.
func TestRefusedConnectionTakesThePlaceOfAnIdleOne(t *testing.T) {
	now := time.Unix(1000, 0)
	north, south := Key{Organisation: "north"}, Key{Organisation: "south"}
	p := New(3)
	p.Acquire(1, north)
	p.Opened(7, north, now)
	p.Release(7, true, now)
	actions, _ := p.Acquire(2, south)
	require.Equal(t, []Action{Open{south}}, actions)
	require.Equal(t, []Action{Close{7}}, p.OpenRefused(south, now))
	require.Equal(t, []Action{Open{south}}, p.Retry(now.Add(openBackoff)))
}
