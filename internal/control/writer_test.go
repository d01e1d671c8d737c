package control_test

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/agent"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/dbapi"
	"github.com/cicadacove/cicadacove/internal/dbcontrol"
)

const (
	writeTimeout = 300 * time.Millisecond
	writePause   = 3 * time.Millisecond
)

// ack is a write that a writer acknowledged.
type ack struct {
	id      string
	term    topo.Term
	at      time.Time
	durable bool
}

// writer writes at one entry instance in the way the entry code does: it needs
// authority, waits for a second database to confirm every other write, and
// acknowledges while it holds the lease.
type writer struct {
	d         *deployment
	e         *entryNode
	db        *dbcontrol.Client
	conn      *pgconn.PgConn
	authority agent.Authority
	number    int

	mu   sync.Mutex
	acks []ack
}

// startWriters runs one writer on each entry instance until the test ends.
func (d *deployment) startWriters() {
	a, ok := d.entries[0].agent.Authority(group)
	require.True(d.t, ok)
	w := &writer{d: d, e: d.entries[0]}
	require.NoError(d.t, w.connect(d.ctx, a))
	require.NoError(d.t, w.exec(d.ctx, "CREATE TABLE IF NOT EXISTS written (id TEXT PRIMARY KEY)"))
	d.await("every database has the table", func() bool {
		for _, db := range d.databases {
			if _, err := db.Contents("SELECT id FROM written"); err != nil {
				return false
			}
		}
		return true
	})
	for _, e := range d.entries {
		w := &writer{d: d, e: e, db: dbcontrol.New(dbcontrol.Options{Dial: d.net.Dialer(e.zone, string(e.id))})}
		d.writers = append(d.writers, w)
		d.writing.Go(func() { w.run(d.writeCtx) })
	}
	d.await("every writer has acknowledged", func() bool {
		for _, w := range d.writers {
			if len(w.acknowledged()) == 0 {
				return false
			}
		}
		return true
	})
}

// stopWriters stops the writers and returns the writes that they acknowledged.
func (d *deployment) stopWriters() []ack {
	d.stopWriting()
	d.writing.Wait()
	var all []ack
	for _, w := range d.writers {
		all = append(all, w.acknowledged()...)
	}
	return all
}

func (w *writer) acknowledged() []ack {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]ack(nil), w.acks...)
}

func (w *writer) run(ctx context.Context) {
	for ctx.Err() == nil {
		if a, ok := w.e.agent.Authority(group); ok {
			w.write(ctx, a)
		}
		time.Sleep(writePause)
	}
}

func (w *writer) write(ctx context.Context, a agent.Authority) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	w.number++
	id := fmt.Sprintf("%s-%d", w.e.id, w.number)
	durable := w.number%2 == 0
	err := w.connect(ctx, a)
	if err == nil {
		err = w.exec(ctx, "INSERT INTO written VALUES ('"+id+"')")
	}
	if err == nil && durable {
		err = w.confirm(ctx, a)
	}
	if err != nil {
		w.close()
		return
	}
	release, held := w.e.agent.Hold(group, a.Term)
	defer release()
	if !held {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.acks = append(w.acks, ack{id, a.Term, time.Now(), durable})
}

func (w *writer) connect(ctx context.Context, a agent.Authority) error {
	if w.conn != nil && !w.conn.IsClosed() && w.authority == a {
		return nil
	}
	host, port, err := net.SplitHostPort(a.PrimaryAddr)
	if err != nil {
		return err
	}
	config, err := pgconn.ParseConfig(fmt.Sprintf("host=%s port=%s user=u dbname=%s sslmode=disable", host, port, group))
	if err != nil {
		return err
	}
	config.RuntimeParams = map[string]string{"cicadacove.term": strconv.FormatUint(uint64(a.Term), 10)}
	config.DialFunc = w.d.net.Dialer(w.e.zone, string(w.e.id))
	w.close()
	w.authority = a
	w.conn, err = pgconn.ConnectConfig(ctx, config)
	return err
}

// close closes the connection without waiting for the server.
func (w *writer) close() {
	if w.conn == nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = w.conn.Close(ctx)
	w.conn = nil
}

func (w *writer) exec(ctx context.Context, sql string) error {
	_, err := w.conn.Exec(ctx, sql).ReadAll()
	return err
}

// confirm waits until a second database has the write.
func (w *writer) confirm(ctx context.Context, a agent.Authority) error {
	p, err := topo.ParsePoint(w.conn.ParameterStatus("cicadacove.point"))
	if err != nil {
		return err
	}
	others := w.e.agent.Upstreams(group)
	answers := make(chan bool, len(others))
	for _, u := range others {
		go func() {
			if u.ID == a.Primary {
				answers <- false
				return
			}
			s, err := w.db.Wait(ctx, dbapi.Location{Group: group, ID: u.ID, Addr: u.Addr}, p, writeTimeout)
			end, known := s.Point.Point()
			answers <- err == nil && s.FencedTerm <= a.Term && known && topo.Covers(end, p)
		}()
	}
	for range others {
		if <-answers {
			return nil
		}
	}
	return context.DeadlineExceeded
}

// checkWrites checks that the primary has every acknowledged write that a second
// database had confirmed.
func (d *deployment) checkWrites(acks []ack) {
	d.t.Helper()
	a, ok := d.entries[0].agent.Authority(group)
	require.True(d.t, ok)
	rows, err := d.databases[a.Primary].Contents("SELECT id FROM written")
	require.NoError(d.t, err)
	have := map[string]bool{}
	for _, r := range rows {
		have[fmt.Sprint(r[0])] = true
	}
	for _, k := range acks {
		require.True(d.t, have[k.id] || !k.durable, "write %s, acknowledged under term %d, is lost", k.id, k.term)
	}
}
