package cli

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/caller"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
)

// stopSettings make a stop short.
const stopSettings = "[limits]\ndrain_delay = \"200ms\"\nshutdown_timeout = \"2400ms\"\n"

// wait waits for the end of a process that was sent a signal.
func (d *deployment) wait(name string) error {
	cmd := d.running[name]
	delete(d.running, name)
	return cmd.Wait()
}

func (d *deployment) signal(name string, s os.Signal) {
	require.NoError(d.t, d.running[name].Process.Signal(s))
}

// answers collects the outcomes of the requests of several callers.
type answers struct {
	mu sync.Mutex
	// done holds the ids of acknowledged rows, maybe those of rows with an unknown
	// outcome.
	done, maybe map[int]bool
	cut         []error
	refused     int
	nextID      int
}

func (a *answers) newID() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.nextID++
	return a.nextID
}

// record records the outcome of a request that commits the rows, and reports whether the
// caller goes on.
func (a *answers) record(err error, ids ...int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	kind := outcome.Done
	if err != nil {
		kind = caller.Outcome(err).Kind
	}
	for _, id := range ids {
		a.done[id] = a.done[id] || kind == outcome.Done
		a.maybe[id] = a.maybe[id] || kind == outcome.Unknown
	}
	var answer *pgconn.PgError
	switch {
	case err != nil && !errors.As(err, &answer):
		a.cut = append(a.cut, err)
	case kind == outcome.NotRun:
		a.refused++
	}
	return err == nil
}

// stopLoad runs a request, or a transaction, and reports whether it succeeded.
type stopLoad func(ctx context.Context, conn *pgx.Conn, a *answers) bool

// stopLoads are single writes, short transactions, and one transaction that the caller
// doesn't end.
var stopLoads = []struct {
	callers int
	run     stopLoad
}{
	{8, func(ctx context.Context, conn *pgx.Conn, a *answers) bool {
		id := a.newID()
		_, err := conn.Exec(ctx, "INSERT INTO booking VALUES ($1)", id)
		return a.record(err, id)
	}},
	{3, func(ctx context.Context, conn *pgx.Conn, a *answers) bool {
		first, second := a.newID(), a.newID()
		_, err := conn.Exec(ctx, "BEGIN")
		for _, id := range []int{first, second} {
			if err == nil {
				_, err = conn.Exec(ctx, "INSERT INTO booking VALUES ($1)", id)
			}
		}
		if err != nil {
			return a.record(err)
		}
		_, err = conn.Exec(ctx, "COMMIT")
		return a.record(err, first, second)
	}},
	{1, func(ctx context.Context, conn *pgx.Conn, a *answers) bool {
		_, err := conn.Exec(ctx, "BEGIN")
		if err == nil {
			_, err = conn.Exec(ctx, "INSERT INTO booking VALUES ($1)", a.newID())
		}
		for err == nil {
			_, err = conn.Exec(ctx, "SELECT 1")
			time.Sleep(10 * time.Millisecond)
		}
		return a.record(err)
	}},
}

func (d *deployment) connect(entry int) *pgx.Conn {
	cfg, err := pgx.ParseConfig((&url.URL{
		Scheme: "postgres", User: url.UserPassword("app", "caller password"), Host: d.callers[entry],
		Path: "/ledger-1", RawQuery: "sslmode=disable",
	}).String())
	require.NoError(d.t, err)
	cfg.RuntimeParams["cicadacove.service"] = "booking"
	cfg.DefaultQueryExecMode = pgx.QueryExecModeExec
	conn, err := pgx.ConnectConfig(d.ctx, cfg)
	require.NoError(d.t, err)
	d.t.Cleanup(func() { conn.Close(context.Background()) })
	return conn
}

// load runs the callers at an entry instance until their sessions end.
func (d *deployment) load(entry int, a *answers) *sync.WaitGroup {
	var wg sync.WaitGroup
	for _, load := range stopLoads {
		for range load.callers {
			conn := d.connect(entry)
			wg.Go(func() {
				for !conn.IsClosed() && d.ctx.Err() == nil {
					if !load.run(d.ctx, conn, a) && !conn.IsClosed() {
						// The outcome of the request is recorded; this ends its transaction.
						_, _ = conn.Exec(d.ctx, "ROLLBACK")
					}
				}
			})
		}
	}
	return &wg
}

// requireAnswers requires that no caller was cut, and that the database has the rows that
// were acknowledged and no others.
func (d *deployment) requireAnswers(a *answers) {
	require.Empty(d.t, a.cut, "requests ended without an answer")
	rows, err := d.connect(0).Query(d.ctx, "SELECT id FROM booking")
	require.NoError(d.t, err)
	stored, err := pgx.CollectRows(rows, pgx.RowTo[int])
	require.NoError(d.t, err)
	found := map[int]bool{}
	for _, id := range stored {
		found[id] = true
		require.True(d.t, a.done[id] || a.maybe[id], "row %d is stored; its caller has neither done nor unknown", id)
	}
	for id, done := range a.done {
		require.True(d.t, !done || found[id], "row %d was acknowledged and is not stored", id)
	}
	require.NotEmpty(d.t, stored)
	require.NotZero(d.t, a.refused)
	d.t.Logf("%d rows stored, %d requests refused", len(stored), a.refused)
}

// Guards against requests that a stop cuts after the database has run them, with
// goroutines that run in parallel and with such that don't.
func TestStopUnderLoadAnswersEveryRequest(t *testing.T) {
	for _, procs := range []int{1, 2} {
		t.Run(fmt.Sprintf("GOMAXPROCS=%d", procs), func(t *testing.T) {
			d := newDeployment(t)
			d.settings, d.env = stopSettings, []string{fmt.Sprintf("GOMAXPROCS=%d", procs)}
			d.databaseArgs = []string{"--slots", "24", "--connections", "240", "--service-time", "2ms"}
			for i := range 3 {
				d.startEntry(i)
			}
			for i := range 3 {
				d.startDatabase(i)
			}
			d.applyContract()
			d.writeUntilDone(d.caller(), 2, "returns", "table", "CREATE TABLE booking (id INTEGER)")
			a := &answers{done: map[int]bool{}, maybe: map[int]bool{}}
			load := d.load(2, a)
			time.Sleep(300 * time.Millisecond)
			d.signal("entry-3", syscall.SIGTERM)
			err := d.wait("entry-3")
			load.Wait()
			d.requireAnswers(a)
			require.NoError(t, err, "a graceful shutdown exits with 0")
		})
	}
}
