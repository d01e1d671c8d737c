package cluster

import (
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/core/outcome"
)

// Guards against a final refusal of a database or a service by an instance that control can't reach.
func TestNothingIsDeniedWithoutContactToControl(t *testing.T) {
	c, g, ctx := startClusterWith(t, nil)
	e := c.Entry(3)
	known := connect(t, c, e, g, "unknown")
	open := func() error {
		cfg, err := pgx.ParseConfig("postgres://app@" + e.Addr() + "/added?sslmode=disable")
		require.NoError(t, err)
		cfg.DialFunc = pgconn.DialFunc(c.CallerDial())
		_, err = pgx.ConnectConfig(ctx, cfg)
		return err
	}
	execute := func() error {
		_, err := known.Exec(ctx, "SELECT 1")
		return err
	}
	requireCode(t, outcome.CodeNoDatabase, open())
	requireCode(t, outcome.CodeUnknownService, execute())
	for i := range 3 {
		c.Net.Isolate(string(c.Entry(i).ID))
	}
	require.Eventually(t, func() bool { return !e.Node.Agent.ConfigTrust().MayDeny }, settleTimeout, 20*time.Millisecond)
	requireCode(t, outcome.CodeConfigUnconfirmed, open())
	requireCode(t, outcome.CodeConfigUnconfirmed, execute())
}
