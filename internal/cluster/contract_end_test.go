package cluster

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/questionnaire"
	"github.com/cicadacove/cicadacove/internal/core/revision"
)

// contractEndDelay is the time from the change until the contract ends.
const contractEndDelay = 2 * time.Second

// TestContractEnds sets the end of a contract while a transaction is open.
// After that end every entry instance must refuse new work as not run, and the
// transaction must still commit.
func TestContractEnds(t *testing.T) {
	c := startCluster(t, "selam")
	ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
	defer cancel()
	g := c.Profile.Groups()[0]
	txConn := connect(t, c, c.Entry(0), g, c.Profile.Urgent)
	_, err := txConn.Exec(ctx, "CREATE TABLE booking (id INTEGER PRIMARY KEY)")
	require.NoError(t, err)
	tx, err := txConn.Begin(ctx)
	require.NoError(t, err)
	_, err = tx.Exec(ctx, "INSERT INTO booking (id) VALUES (1)")
	require.NoError(t, err)

	client := c.Entry(3).Node.Configurator()
	view, err := client.View(ctx)
	require.NoError(t, err)
	cmd := amendStockWait("end", view.Revision, "")
	cmd.Change.Set = []questionnaire.Setting{{Answer: "support_ends", Value: time.Now().Add(contractEndDelay).Format(time.RFC3339Nano)}}
	result, err := client.Propose(ctx, cmd)
	require.NoError(t, err)
	require.Equal(t, revision.Accepted, result.Kind, result.Errors)

	for _, e := range c.Entries() {
		conn := connect(t, c, e, g, c.Profile.Urgent)
		for id := 2; ; id++ {
			_, err := conn.Exec(ctx, "INSERT INTO booking (id) VALUES ($1) ON CONFLICT DO NOTHING", id)
			if err != nil {
				requireCode(t, outcome.CodeContractEnded, err)
				break
			}
		}
	}
	_, err = tx.Exec(ctx, "INSERT INTO booking (id) VALUES (-1)")
	require.NoError(t, err)
	require.NoError(t, tx.Commit(ctx))
	_, err = txConn.Exec(ctx, "SELECT 1")
	requireCode(t, outcome.CodeContractEnded, err)
}

func requireCode(t *testing.T, code string, err error) {
	t.Helper()
	var pg *pgconn.PgError
	require.True(t, errors.As(err, &pg), "%v", err)
	require.Equal(t, code, pg.Code, pg.Message)
}
