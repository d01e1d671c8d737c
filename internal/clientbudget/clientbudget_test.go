package clientbudget

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/core/clientlimit"
)

// recorder records the reasons of closed connections.
type recorder struct {
	mu      sync.Mutex
	reasons []string
}

func (r *recorder) ClientBytes(string, int64) {}

func (r *recorder) ClientClosed(_, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reasons = append(r.reasons, reason)
}

func (r *recorder) all() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.reasons)
}

// testMemory gives a budget of 3 MB.
const testMemory = 10_000_000

func open(t *testing.T, b *Budget) (*Account, *atomic.Bool) {
	closed := &atomic.Bool{}
	a, ok := b.Open("test", "client", func() { closed.Store(true) })
	require.True(t, ok)
	return a, closed
}

func requireEmpty(t *testing.T, b *Budget) {
	t.Helper()
	require.Equal(t, b.size, b.free(), "bytes are still reserved")
	require.Empty(t, b.waiters)
}

// Guards against a reservation that never gets the memory that others release.
func TestReservationWaitsForARelease(t *testing.T) {
	b := New(Options{Memory: testMemory})
	first, firstClosed := open(t, b)
	second, _ := open(t, b)
	first.Enter(clientlimit.Serving)
	require.NoError(t, first.Reserve(t.Context(), Message, 2_500_000))
	granted := make(chan error, 1)
	go func() { granted <- second.Reserve(t.Context(), Message, 1_000_000) }()
	time.Sleep(20 * time.Millisecond)
	require.Empty(t, granted)
	first.ReleaseAll(Message)
	require.NoError(t, <-granted)
	require.False(t, firstClosed.Load())
	first.Close()
	second.Close()
	requireEmpty(t, b)
}

// Guards against bytes that are never released, where a request still waits for memory
// when its connection ends, and against a wait that others then queue behind.
func TestEndOfAConnectionEndsItsWaits(t *testing.T) {
	b := New(Options{Memory: testMemory})
	first, _ := open(t, b)
	second, _ := open(t, b)
	first.Enter(clientlimit.Serving)
	require.NoError(t, first.Reserve(t.Context(), Message, 2_500_000))
	waited := make(chan error, 1)
	go func() { waited <- second.Reserve(t.Context(), Answer, 1_000_000) }()
	require.Eventually(t, func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(b.waiters) == 1
	}, 10*time.Second, time.Millisecond)
	second.Close()
	first.Close()
	require.ErrorIs(t, <-waited, ErrShort)
	requireEmpty(t, b)
}

// Guards against a client that keeps memory while it stalls and others wait for it.
func TestStalledConnectionIsClosedForAnother(t *testing.T) {
	metrics := &recorder{}
	b := New(Options{Memory: testMemory, Metrics: metrics})
	stalled, closed := open(t, b)
	stalled.Enter(clientlimit.Receiving)
	require.NoError(t, stalled.Reserve(t.Context(), Message, 2_500_000))
	other, _ := open(t, b)
	go func() { // as the goroutine of the connection does when its read fails
		for !closed.Load() {
			time.Sleep(time.Millisecond)
		}
		stalled.Close()
	}()
	require.NoError(t, other.Reserve(t.Context(), Answer, 1_000_000))
	require.Eventually(t, func() bool { return slices.Equal([]string{string(clientlimit.Stalled)}, metrics.all()) }, 10*time.Second, time.Millisecond)
	other.Close()
	requireEmpty(t, b)
}

func TestReservationThatNeverFitsFailsAtOnce(t *testing.T) {
	b := New(Options{Memory: testMemory})
	a, closed := open(t, b)
	require.ErrorIs(t, a.Reserve(t.Context(), Message, b.size+1), ErrShort)
	require.True(t, closed.Load())
	a.Close()
	require.ErrorIs(t, a.Reserve(t.Context(), Message, 1), ErrShort, "a late reservation would never be released")
	requireEmpty(t, b)
}

func TestConnectionsBeyondTheLimitAreRefused(t *testing.T) {
	metrics := &recorder{}
	b := New(Options{Memory: testMemory, MaxConns: 2, Metrics: metrics})
	open(t, b)
	open(t, b)
	_, ok := b.Open("test", "client", func() {})
	require.False(t, ok)
	require.Equal(t, []string{string(clientlimit.TooMany)}, metrics.all())
}

func TestNoBudgetLimitsNothing(t *testing.T) {
	var b *Budget
	a, ok := b.Open("test", "client", nil)
	require.True(t, ok)
	require.NoError(t, a.Reserve(t.Context(), Message, 1<<40))
	a.Enter(clientlimit.Idle)
	a.Progress(1)
	a.Use("r1")
	a.Note(clientlimit.Short)
	a.ReleaseAll(Message)
	a.Close()
	require.Nil(t, FromContext(NewContext(t.Context(), a)))
	require.Nil(t, FromContext(t.Context()))
}

// Guards against a buffer that grows before its memory is reserved.
func TestBufferReservesItsCapacity(t *testing.T) {
	b := New(Options{Memory: testMemory})
	a, _ := open(t, b)
	m := Buffer{Account: a, Kind: Message, Copies: 2}
	text := strings.Repeat("v", 300_000)
	for i := 0; i < len(text); i += 1000 {
		require.NoError(t, m.Append(t.Context(), []byte(text[i:i+1000])))
		if cap(m.bytes) > SmallRead {
			require.Equal(t, int64(2*cap(m.bytes)), a.total())
		}
	}
	require.Equal(t, text, string(m.Bytes()))
	a.Close()
	requireEmpty(t, b)
}

// Guards against bytes that are never released, on any path of many connections that
// reserve, wait, are closed and end.
func TestBooksBalance(t *testing.T) {
	b := New(Options{Memory: testMemory})
	var wg sync.WaitGroup
	for seed := range uint64(16) {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, 0))
			for range 30 {
				var closed atomic.Bool
				a, ok := b.Open("test", "client", func() { closed.Store(true) })
				if !ok {
					continue
				}
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
				for range 5 {
					kind := Kind(rng.IntN(int(kinds)))
					a.Enter(clientlimit.State(rng.IntN(5)))
					if a.Reserve(ctx, kind, rng.Int64N(800_000)) != nil || closed.Load() {
						break
					}
					a.Release(kind, rng.Int64N(400_000))
				}
				cancel()
				a.Close()
			}
		})
	}
	wg.Wait()
	requireEmpty(t, b)
	require.Empty(t, b.accounts)
	require.Zero(t, b.closing)
}
