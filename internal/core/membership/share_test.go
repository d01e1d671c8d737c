package membership

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
)

func key(id string) ctlstate.MemberKey {
	return ctlstate.MemberKey{ID: "e" + "-" + "x", Incarnation: uint64(id[0])}
}

func TestSharesFollowTheCallersAndAddUp(t *testing.T) {
	a, b, c := key("a"), key("b"), key("c")
	sessions := map[ctlstate.MemberKey]int{a: 300, b: 0, c: 100}
	require.InDelta(t, 1, Share(a, sessions)+Share(b, sessions)+Share(c, sessions), 1e-9)
	require.Greater(t, Share(a, sessions), Share(c, sessions))
	require.InDelta(t, 1.0/6, Share(b, sessions), 1e-9, "an instance without callers keeps half an equal share")
	require.InDelta(t, 0.5, Share(a, map[ctlstate.MemberKey]int{a: 0, b: 0}), 1e-9)
	require.InDelta(t, 0.5, Share(c, map[ctlstate.MemberKey]int{a: 0}), 1e-9)
}
