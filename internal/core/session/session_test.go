package session

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cicadacove/cicadacove/internal/core/topo"

	_ "github.com/cicadacove/cicadacove/internal/testseed"
)

func TestTokenRoundTripAndForgery(t *testing.T) {
	s := NewSigner([]byte("key"))
	want := Token{Group: "ledger-1", Point: topo.Point{Term: 3, Position: 77}}
	text := s.Sign(want)
	got, err := s.Verify(text, "ledger-1")
	require.NoError(t, err)
	require.Equal(t, want, got)

	_, err = s.Verify(text, "ledger-2")
	require.ErrorIs(t, err, ErrTokenWrongGroup)
	_, err = NewSigner([]byte("other")).Verify(text, "ledger-1")
	require.ErrorIs(t, err, ErrTokenSignature)
	for _, bad := range []string{"", "x", "!!!", text[:20]} {
		_, err = s.Verify(bad, "ledger-1")
		require.Error(t, err, bad)
	}
}

func FuzzVerifyToken(f *testing.F) {
	s := NewSigner([]byte("key"))
	good := s.Sign(Token{Group: "g", Point: topo.Point{Term: 1, Position: 2}})
	f.Add(good)
	f.Add("AAAA")
	f.Fuzz(func(t *testing.T, text string) {
		tok, err := s.Verify(text, "g")
		if err == nil {
			require.Equal(t, topo.Point{Term: 1, Position: 2}, tok.Point, "only the signed token is accepted")
		}
	})
}

func TestHolderMovesOnlyTheSessionsOfALostMember(t *testing.T) {
	all := []topo.InstanceID{"a", "b", "c", "d"}
	rest := all[:3]
	for i := range 1000 {
		k := Key{fmt.Sprint(i), "g"}
		before, _ := Holder(k, all)
		after, _ := Holder(k, rest)
		if before != "d" {
			require.Equal(t, before, after)
		}
	}
	_, ok := Holder(Key{}, nil)
	require.False(t, ok)
}

// The registry never returns a point older than the latest Put of the same
// epoch, whatever it has evicted.
func TestRegistryNeverAnswersTooOld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRegistry(3, 10*time.Second)
		now := time.Unix(0, 0)
		var epoch uint64
		latest := map[Key]topo.Point{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4).Draw(t, "seconds")) * time.Second)
			k := Key{fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "session")), "g"}
			switch rapid.IntRange(0, 9).Draw(t, "op") {
			case 0:
				epoch++
				clear(latest)
				_, known := r.Get(epoch, k, now)
				require.False(t, known, "a new epoch starts with an empty registry")
			case 1, 2, 3, 4:
				p := topo.Point{Term: 1, Position: topo.Position(rapid.IntRange(0, 50).Draw(t, "position"))}
				require.True(t, r.Put(epoch, k, p, now))
				if latest[k].Compare(p) < 0 {
					latest[k] = p
				}
			default:
				if p, known := r.Get(epoch, k, now); known {
					require.GreaterOrEqual(t, p.Compare(latest[k]), 0)
				}
			}
			require.LessOrEqual(t, r.Len(), 4)
		}
		if epoch > 0 {
			require.False(t, r.Put(epoch-1, Key{"x", "g"}, topo.Point{}, now), "an older epoch is refused")
		}
	})
}
