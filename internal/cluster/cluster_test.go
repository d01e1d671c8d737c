package cluster

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/core/topo"
)

func startCluster(t testing.TB, profile string) *Cluster {
	t.Helper()
	p, err := NewProfile(profile)
	require.NoError(t, err)
	p.SetTargets(testWait)
	c, err := Start(context.Background(), Options{Profile: p, Seed: 1})
	require.NoError(t, err)
	t.Cleanup(c.Close)
	return c
}

func connect(t *testing.T, c *Cluster, e *Entry, g topo.GroupID, service string) *pgx.Conn {
	t.Helper()
	cfg, err := pgx.ParseConfig(fmt.Sprintf("postgres://app@%s/%s?sslmode=disable", e.Addr(), g))
	require.NoError(t, err)
	cfg.DialFunc = pgconn.DialFunc(c.CallerDial())
	cfg.RuntimeParams["cicadacove.service"] = service
	conn, err := pgx.ConnectConfig(t.Context(), cfg)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close(context.Background()) })
	return conn
}

// A caller writes on the primary and reads the write through another entry
// instance. Then the primary is isolated and a replica is promoted, and the
// caller's next write must succeed.
func TestSessionSurvivesFailover(t *testing.T) {
	c := startCluster(t, "selam")
	g := c.Profile.Groups()[0]
	ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
	defer cancel()
	writer := connect(t, c, c.Entry(0), g, c.Profile.Urgent)
	_, err := writer.Exec(ctx, "CREATE TABLE booking (id INTEGER PRIMARY KEY, item TEXT)")
	require.NoError(t, err)
	_, err = writer.Exec(ctx, "INSERT INTO booking (id, item) VALUES ($1, $2)", 1, "buzzer")
	require.NoError(t, err)

	reader := connect(t, c, c.Entry(1), g, c.Profile.Low)
	token := writer.PgConn().ParameterStatus("cicadacove.session_token")
	require.NotEmpty(t, token)
	_, err = reader.Exec(ctx, "SET cicadacove.session_token = '"+token+"'")
	require.NoError(t, err)
	var item string
	require.NoError(t, reader.QueryRow(ctx, "SELECT item FROM booking WHERE id = $1", 1).Scan(&item))
	require.Equal(t, "buzzer", item)

	formerPrimary, ok := c.Primary(g)
	require.True(t, ok)
	c.Net.Isolate(string(formerPrimary.ID()))
	for {
		_, err = writer.Exec(ctx, "INSERT INTO booking (id, item) VALUES ($1, $2)", 2, "buzzer")
		if err == nil {
			break
		}
		require.NoError(t, ctx.Err(), "no write succeeded after the failover: %v", err)
	}
	newPrimary, ok := c.Primary(g)
	require.True(t, ok)
	require.NotEqual(t, formerPrimary.ID(), newPrimary.ID())
	rows, err := newPrimary.Contents("SELECT id FROM booking ORDER BY id")
	require.NoError(t, err)
	require.Len(t, rows, 2)
}

// A write that arrives while there is no primary must wait, within its target,
// for the next primary, so that the caller need not resend it.
func TestWriteWaitsForTheNextPrimary(t *testing.T) {
	c, g, ctx := startClusterWith(t, nil)
	conn := connect(t, c, c.Entry(0), g, c.Profile.Urgent)
	execRetry(t, ctx, conn, "CREATE TABLE booking (id INTEGER PRIMARY KEY)")
	execRetry(t, ctx, conn, "INSERT INTO booking VALUES (1)")
	formerPrimary, ok := c.Primary(g)
	require.True(t, ok)
	c.Net.Isolate(string(formerPrimary.ID()))
	_, err := conn.Exec(ctx, "INSERT INTO booking VALUES (2)")
	require.NoError(t, err)
	newPrimary, ok := c.Primary(g)
	require.True(t, ok)
	require.NotEqual(t, formerPrimary.ID(), newPrimary.ID())
	rows, err := newPrimary.Contents("SELECT id FROM booking ORDER BY id")
	require.NoError(t, err)
	require.Len(t, rows, 2)
}
