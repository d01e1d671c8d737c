package standin

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/cicadacove/cicadacove/internal/testseed"
)

const randomDatabases = 3

// TestRandomRoleChanges sends writes, fences, promotions and changes of the
// primary to three databases in random order. After a final failover, all three
// must have the same contents.
func TestRandomRoleChanges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		databases := startGroup(rt, ctx)
		defer closeAll(rt, databases)
		promoted := map[topo.Term]bool{1: true} // the control plane promotes only one primary in each term
		for i := range rapid.IntRange(1, 25).Draw(rt, "steps") {
			d := databases[rapid.IntRange(0, randomDatabases-1).Draw(rt, "database")]
			other := databases[rapid.IntRange(0, randomDatabases-1).Draw(rt, "other")]
			term := topo.Term(rapid.IntRange(1, 6).Draw(rt, "term"))
			switch rapid.SampledFrom([]string{"write", "write", "fence", "promote", "follow"}).Draw(rt, "action") {
			case "write":
				writeUnderTerm(rt, ctx, d, term, i)
			case "fence":
				requireSuccessOrRefusal(rt, changeRole(d, "fence", term, ""))
			case "promote":
				if !promoted[term] {
					err := changeRole(d, "promote", term, "")
					requireSuccessOrRefusal(rt, err)
					promoted[term] = err == nil
				}
			case "follow":
				requireSuccessOrRefusal(rt, changeRole(d, "follow", term, other.Addr()))
			}
		}
		primary := failOver(rt, databases, 7)
		requireSameContents(rt, ctx, primary, databases)
	})
}

func startGroup(rt *rapid.T, ctx context.Context) []*Database {
	var databases []*Database
	for i := range randomDatabases {
		o := Options{ID: topo.UpstreamID(fmt.Sprint("db", i)), Group: "g", Role: topo.RoleReplica, Term: 1}
		if i == 0 {
			o.Role = topo.RolePrimary
		} else {
			o.Primary = databases[0].Addr()
		}
		d, err := Start(ctx, o)
		require.NoError(rt, err)
		databases = append(databases, d)
	}
	writeUnderTerm(rt, ctx, databases[0], 1, -1)
	for _, d := range databases {
		require.NoError(rt, d.waitPoint(ctx, topo.Point{Term: 1, Position: 1}, 20*time.Second))
	}
	return databases
}

func closeAll(rt *rapid.T, databases []*Database) {
	for _, d := range databases {
		require.NoError(rt, d.Close())
	}
}

func changeRole(d *Database, function string, term topo.Term, addr string) error {
	return d.changeRole(&controlCall{function: function, args: []string{fmt.Sprint(term), addr}})
}

func requireSuccessOrRefusal(rt *rapid.T, err error) {
	if err == nil {
		return
	}
	var e *pgError
	require.ErrorAs(rt, err, &e)
	require.Equal(rt, codeTermRefused, e.Code)
}

// writeUnderTerm writes a row. The write must succeed if and only if the database
// is the primary of the term and not fenced.
func writeUnderTerm(rt *rapid.T, ctx context.Context, d *Database, term topo.Term, n int) {
	s := d.Status()
	allowed := s.Role == topo.RolePrimary && s.Point.Term == term && s.FencedTerm <= term
	conn, err := pgconn.Connect(ctx, url(d, term))
	if err == nil {
		_, err = conn.Exec(ctx, fmt.Sprintf("CREATE TABLE IF NOT EXISTS t (v TEXT); INSERT INTO t VALUES ('%d/%d')", term, n)).ReadAll()
		require.NoError(rt, conn.Close(ctx))
	}
	require.Equal(rt, allowed, err == nil, "%v", err)
}

// failOver fences all databases, promotes the one with the highest point and
// makes the others follow it.
func failOver(rt *rapid.T, databases []*Database, term topo.Term) *Database {
	primary := databases[0]
	for _, d := range databases {
		require.NoError(rt, changeRole(d, "fence", term, ""))
		if d.Status().Point.Compare(primary.Status().Point) > 0 {
			primary = d
		}
	}
	require.NoError(rt, changeRole(primary, "promote", term, ""))
	for _, d := range databases {
		if d != primary {
			require.NoError(rt, changeRole(d, "follow", term, primary.Addr()))
		}
	}
	return primary
}

func requireSameContents(rt *rapid.T, ctx context.Context, primary *Database, databases []*Database) {
	want, err := primary.Contents("SELECT v FROM t ORDER BY v")
	require.NoError(rt, err)
	for _, d := range databases {
		require.NoError(rt, d.waitPoint(ctx, primary.Status().Point, 20*time.Second))
		require.Equal(rt, primary.Status().Point, d.Status().Point)
		got, err := d.Contents("SELECT v FROM t ORDER BY v")
		require.NoError(rt, err)
		require.Equal(rt, want, got, d.ID())
	}
}
