package standin

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"
)

func TestWrongTermsAreRefused(t *testing.T) {
	d := startPrimary(t)
	replica := start(t, Options{ID: "ledger-1/b", Primary: d.Addr()})
	_, err := pgx.Connect(t.Context(), url(d, 2))
	requireCode(t, codeTermRefused, err)
	_, err = pgx.Connect(t.Context(), url(replica, 1))
	requireCode(t, codeTermRefused, err)
	_, err = connect(t, replica, 0).Exec(t.Context(), "CREATE TABLE t (k TEXT)")
	requireCode(t, codeReadOnly, err)
	_, err = connect(t, d, 0).Exec(t.Context(), "CREATE TABLE t (k TEXT)")
	requireCode(t, codeTermRefused, err)

	writer, inTransaction := connect(t, d, 1), connect(t, d, 1)
	exec(t, writer, "CREATE TABLE t (k TEXT)")
	exec(t, inTransaction, "BEGIN")
	exec(t, inTransaction, "INSERT INTO t VALUES ('a')")
	require.Equal(t, []string{"ledger-1/a", "ledger-1", "primary", "1", "1", "2"},
		mustControl(t, d, "SELECT cicadacove_fence(2)"))
	_, err = inTransaction.Exec(t.Context(), "COMMIT")
	requireCode(t, codeTermRefused, err)
	_, err = writer.Exec(t.Context(), "INSERT INTO t VALUES ('b')")
	requireCode(t, codeTermRefused, err)
	_, err = control(t, d, "SELECT cicadacove_fence(1)")
	requireCode(t, codeTermRefused, err)
	exec(t, writer, "SELECT k FROM t")
	require.Equal(t, topo.Point{Term: 1, Position: 1}, d.Status().Point)
}

func TestFailoverDiscardsDivergingTail(t *testing.T) {
	a := startPrimary(t)
	b := start(t, Options{ID: "ledger-1/b", Primary: a.Addr()})
	c := start(t, Options{ID: "ledger-1/c", Primary: a.Addr()})
	writer := connect(t, a, 1)
	exec(t, writer, "CREATE TABLE t (k TEXT PRIMARY KEY)")
	exec(t, writer, "INSERT INTO t VALUES ($1)", "kept")
	waitForPoint(t, b, topo.Point{Term: 1, Position: 2})
	waitForPoint(t, c, topo.Point{Term: 1, Position: 2})

	mustControl(t, b, "SELECT cicadacove_fence(2)")
	mustControl(t, c, "SELECT cicadacove_fence(2)")
	exec(t, writer, "INSERT INTO t VALUES ('tail 1')")
	exec(t, writer, "INSERT INTO t VALUES ('tail 2')")
	_, err := control(t, c, "SELECT cicadacove_promote(3)")
	requireCode(t, codeTermRefused, err)
	promoted := mustControl(t, b, "SELECT cicadacove_promote(2)")
	require.Equal(t, []string{"ledger-1/b", "ledger-1", "primary", "2", "3", "2"}, promoted)
	require.Equal(t, promoted, mustControl(t, b, "SELECT cicadacove_promote(2)"))
	mustControl(t, c, "SELECT cicadacove_follow(2, '%s')", b.Addr())
	exec(t, connect(t, b, 2), "INSERT INTO t VALUES ('new')")
	end := topo.Point{Term: 2, Position: 4}
	row := mustControl(t, c, "SELECT cicadacove_wait('2/4', 20000)")
	require.Equal(t, []string{"2", "4"}, row[3:5])

	require.Equal(t, topo.Point{Term: 1, Position: 4}, a.Status().Point)
	mustControl(t, a, "SELECT cicadacove_follow(2, '%s')", b.Addr())
	waitForPoint(t, a, end)
	for _, d := range []*Database{a, b, c} {
		rows, err := d.Contents("SELECT k FROM t ORDER BY k")
		require.NoError(t, err)
		require.Equal(t, [][]any{{"kept"}, {"new"}}, rows, d.ID())
	}
	_, err = control(t, a, "SELECT cicadacove_follow(1, '"+c.Addr()+"')")
	requireCode(t, codeTermRefused, err)
}

func TestFencedReplicaRejectsLowerTerm(t *testing.T) {
	a := startPrimary(t)
	b := start(t, Options{ID: "ledger-1/b", Primary: a.Addr()})
	exec(t, connect(t, a, 1), "CREATE TABLE t (k TEXT)")
	waitForPoint(t, b, topo.Point{Term: 1, Position: 1})
	mustControl(t, b, "SELECT cicadacove_fence(2)")
	exec(t, connect(t, a, 1), "INSERT INTO t VALUES ('a')")
	entries, _, err := a.logAfter(topo.Point{Term: 1, Position: 1}, 1)
	require.NoError(t, err)
	require.Len(t, entries.rows, 1)
	e := entry{Point: topo.Point{Term: 1, Position: 2}}
	require.ErrorContains(t, b.applyEntry(e, 1, 0), "fenced")
	require.Equal(t, topo.Point{Term: 1, Position: 1}, b.Status().Point)
}

func TestReplicationLag(t *testing.T) {
	a := startPrimary(t)
	b := start(t, Options{ID: "ledger-1/b", Primary: a.Addr(), ReplicationLag: time.Hour})
	reader := connect(t, b, 0)
	exec(t, connect(t, a, 1), "CREATE TABLE t (k TEXT)")
	_, err := reader.Exec(t.Context(), "SELECT * FROM t")
	requireCode(t, codeNoTable, err)
	b.SetReplicationLag(0)
	mustControl(t, b, "SELECT cicadacove_follow(1, '%s')", "127.0.0.1:1")
	mustControl(t, b, "SELECT cicadacove_follow(1, '%s')", a.Addr())
	waitForPoint(t, b, topo.Point{Term: 1, Position: 1})
	exec(t, reader, "SELECT * FROM t")
	require.Equal(t, "1/1", reader.PgConn().ParameterStatus(paramPoint))
}

func TestAnnouncements(t *testing.T) {
	key := []byte("announcement key")
	received := make(chan topo.Announcement, 100)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		mac := hmac.New(sha256.New, key)
		mac.Write(body)
		if r.URL.Path != announcePath || r.Header.Get(signatureHeader) != hex.EncodeToString(mac.Sum(nil)) {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		var a topo.Announcement
		if json.Unmarshal(body, &a) == nil {
			received <- a
		}
	}))
	defer server.Close()
	d := start(t, Options{
		Role: topo.RolePrimary, Zone: "z1", AnnounceKey: key, AnnounceEvery: time.Hour,
		AnnounceTo: []string{"http://127.0.0.1:1", server.URL},
	})
	first := <-received
	require.Equal(t, d.Addr(), first.Addr)
	require.Equal(t, topo.Zone("z1"), first.Zone)
	require.False(t, first.Leaving)
	d.Leave()
	second := <-received
	require.True(t, second.Leaving)
	require.True(t, second.Newer(first))
}
