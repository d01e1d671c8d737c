package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	_ "github.com/cicadacove/cicadacove/internal/testseed"
)

var (
	start  = time.Unix(1000, 0)
	timing = Timing{Duration: 1500 * time.Millisecond, Margin: 50 * time.Millisecond, DriftPPM: 1000}
)

const g = topo.GroupID("ledger-1")

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func member(id string) ctlstate.MemberKey {
	return ctlstate.MemberKey{ID: topo.InstanceID(id), Incarnation: 1}
}

func TestHolderCountsFromSendTime(t *testing.T) {
	h := NewHolder(timing)
	require.False(t, h.Covers(g, 1, at(0)))
	h.Renew(at(0))
	require.True(t, h.Covers(g, 1, at(1449)))
	require.False(t, h.Covers(g, 1, at(1450)), "the lease ends before the margin")
	h.Renew(at(400))
	h.Renew(at(200))
	require.True(t, h.Covers(g, 1, at(1849)), "a late reply to an older renewal has no effect")
}

func TestReleasedTermIsNeverCoveredAgain(t *testing.T) {
	h := NewHolder(timing)
	h.Renew(at(0))
	h.Release(g, 3)
	h.Release(g, 2)
	h.Renew(at(400))
	require.False(t, h.Covers(g, 3, at(500)))
	require.True(t, h.Covers(g, 4, at(500)))
	require.True(t, h.Covers("ledger-2", 1, at(500)), "other groups keep their lease")
	h.Close()
	h.Renew(at(500))
	require.False(t, h.Covers(g, 4, at(500)), "a closed lease is not renewed")
}

func TestNewLeaderWaitsForLeasesOfEarlierLeaders(t *testing.T) {
	gr := NewGranter(timing, at(0))
	members := []ctlstate.MemberKey{member("e1"), member("e2")}
	drained, until := gr.Drained(members, g, 1, at(100), at(100))
	require.False(t, drained)
	require.Equal(t, at(0).Add(timing.GranterDuration()), until)
	gr.RecordRelease(member("e1"), g, 1)
	gr.Closed(member("e2"))
	drained, _ = gr.Drained(members, g, 1, at(100), at(100))
	require.True(t, drained)
}

func TestDrainIgnoresRenewalsAfterFailoverBegan(t *testing.T) {
	gr := NewGranter(timing, at(0))
	gr.Grant(member("e1"), at(9000))
	_, until := gr.Drained([]ctlstate.MemberKey{member("e1")}, g, 1, at(8000), at(8100))
	require.Equal(t, at(8000).Add(timing.GranterDuration()), until)
}

// For any two clocks whose rates differ by less than the bound, the granter
// considers a lease held at least as long as the holder considers it valid.
func TestGranterOutlastsHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slow := rapid.Float64Range(0.9995, 1).Draw(t, "holder's clock")
		fast := rapid.Float64Range(1, 1.0004).Draw(t, "granter's clock")
		sent := rapid.Int64Range(0, 1e9).Draw(t, "sent, ns")
		delay := rapid.Int64Range(0, 1e9).Draw(t, "network delay, ns")
		clock := func(speed float64, ns int64) time.Time { return start.Add(time.Duration(float64(ns) * speed)) }

		h := NewHolder(Timing{Duration: timing.Duration, DriftPPM: timing.DriftPPM})
		h.Renew(clock(slow, sent))
		gr := NewGranter(timing, start.Add(-time.Hour))
		gr.Grant(member("e1"), clock(fast, sent+delay))
		for now := sent; now < sent+4e9; now += 1e6 {
			if !gr.Held(member("e1"), clock(fast, now)) {
				require.False(t, h.Valid(clock(slow, now)), "at %d ns", now)
			}
		}
	})
}
