package admin

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// fakeGroups is a GroupController that records its calls and returns err.
type fakeGroups struct {
	calls []string
	err   error
}

func (g *fakeGroups) Switchover(_ context.Context, id topo.GroupID, to topo.UpstreamID) error {
	g.calls = append(g.calls, fmt.Sprintf("switch %s to %s", id, to))
	return g.err
}

func (g *fakeGroups) RemoveUpstream(_ context.Context, id topo.GroupID, u topo.UpstreamID) error {
	g.calls = append(g.calls, fmt.Sprintf("remove %s from %s", u, id))
	return g.err
}

func TestGroupOperations(t *testing.T) {
	ts, g := newTestServer(t, nil), &fakeGroups{}
	tokens, err := LoadTokens(filepath.Join(ts.dir, "tokens.toml"))
	require.NoError(t, err)
	server := httptest.NewServer(New(Backends{Config: ts, Announcer: ts, Status: ts, Groups: g}, Options{Tokens: tokens}).Handler())
	t.Cleanup(server.Close)
	ts.url = server.URL

	own := string(ts.state.Config().Contracts[1].Groups[0])
	require.Equal(t, "selam", ts.state.Config().Contracts[1].Team)
	path, body := "/v1/groups/"+own, `{"upstream": "x/b"}`
	cases := []struct {
		holder, path, body string
		err                error
		status             int
	}{
		{"vera", path + "/switchover", body, nil, http.StatusForbidden},
		{"omar", path + "/remove", body, nil, http.StatusForbidden},
		{"bea", path + "/switchover", body, nil, http.StatusNotFound},
		{"omar", path + "/switchover", `{}`, nil, http.StatusBadRequest},
		{"omar", path + "/switchover", body, nil, http.StatusOK},
		{"omar", path + "/switchover", body, fmt.Errorf("%w: it lags", ErrGroupRefused), http.StatusUnprocessableEntity},
		{"ada", path + "/remove", body, fmt.Errorf("%w: none", ErrUnavailable), http.StatusServiceUnavailable},
		{"ada", path + "/remove", body, nil, http.StatusOK},
	}
	for _, tc := range cases {
		g.err = tc.err
		status, data := ts.call(t, tc.holder, "POST", tc.path, tc.body)
		require.Equal(t, tc.status, status, "%v: %s", tc, data)
	}
	switched, removed := "switch "+own+" to x/b", "remove x/b from "+own
	require.Equal(t, []string{switched, switched, removed, removed}, g.calls)

	g.err = nil
	response, err := ts.client(t, "omar").Switchover(t.Context(), topo.GroupID(own), "x/b")
	require.NoError(t, err)
	require.Equal(t, GroupResponse{topo.GroupID(own), "x/b"}, response)
}
