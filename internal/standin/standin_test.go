package standin

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"
)

func start(t *testing.T, o Options) *Database {
	t.Helper()
	if o.ID == "" {
		o.ID = "ledger-1/a"
	}
	o.Group = "ledger-1"
	if o.Term == 0 {
		o.Term = 1
	}
	d, err := Start(t.Context(), o)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, d.Close()) })
	return d
}

func startPrimary(t *testing.T) *Database {
	return start(t, Options{Role: topo.RolePrimary})
}

func url(d *Database, term topo.Term) string {
	u := fmt.Sprintf("postgres://app:secret@%s/ledger-1?sslmode=disable", d.Addr())
	if term > 0 {
		u += fmt.Sprintf("&%s=%d", paramTerm, term)
	}
	return u
}

func connect(t *testing.T, d *Database, term topo.Term) *pgx.Conn {
	t.Helper()
	conn, err := pgx.Connect(t.Context(), url(d, term))
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close(context.Background()) })
	return conn
}

func exec(t *testing.T, conn *pgx.Conn, sql string, args ...any) {
	t.Helper()
	_, err := conn.Exec(t.Context(), sql, args...)
	require.NoError(t, err)
}

func requireCode(t *testing.T, code string, err error) {
	t.Helper()
	var e *pgconn.PgError
	require.ErrorAs(t, err, &e)
	require.Equal(t, code, e.Code, e.Message)
}

// control runs a control statement and returns its row.
func control(t *testing.T, d *Database, sql string) ([]string, error) {
	t.Helper()
	conn, err := pgconn.Connect(t.Context(), url(d, 0)+"&"+paramControl+"=on")
	require.NoError(t, err)
	defer conn.Close(t.Context())
	results, err := conn.Exec(t.Context(), sql).ReadAll()
	if err != nil {
		return nil, err
	}
	var row []string
	for _, value := range results[0].Rows[0] {
		row = append(row, string(value))
	}
	return row, nil
}

func mustControl(t *testing.T, d *Database, format string, args ...any) []string {
	t.Helper()
	row, err := control(t, d, fmt.Sprintf(format, args...))
	require.NoError(t, err)
	return row
}

func waitForPoint(t *testing.T, d *Database, p topo.Point) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	require.NoError(t, d.waitPoint(ctx, p, time.Minute), "waiting for %s, at %s", p, d.Status().Point)
}

func TestDefaultQueryModeOfPgx(t *testing.T) {
	d := startPrimary(t)
	conn := connect(t, d, 1)
	exec(t, conn, `CREATE TABLE booking (id TEXT PRIMARY KEY, sets INTEGER NOT NULL, deposit REAL, note TEXT)`)
	exec(t, conn, `INSERT INTO booking VALUES ($1, $2, $3, $4)`, "b1", 3, 12.5, nil)
	var sets int
	var deposit float64
	var note *string
	row := conn.QueryRow(t.Context(), `SELECT sets, deposit, note FROM booking WHERE id = $1`, "b1")
	require.NoError(t, row.Scan(&sets, &deposit, &note))
	require.Equal(t, 3, sets)
	require.Equal(t, 12.5, deposit)
	require.Nil(t, note)
	var total, count int
	require.NoError(t, conn.QueryRow(t.Context(),
		`UPDATE booking SET sets = sets + $1 WHERE id = $2 RETURNING sets`, 2, "b1").Scan(&total))
	require.Equal(t, 5, total)
	require.NoError(t, conn.QueryRow(t.Context(), `SELECT count(*) FROM booking`).Scan(&count))
	require.Equal(t, 1, count)
	tag, err := conn.Exec(t.Context(), `UPDATE booking SET note = 'x;y' WHERE sets >= $1`, 5)
	require.NoError(t, err)
	require.Equal(t, "UPDATE 1", tag.String())
	require.Equal(t, "1/4", conn.PgConn().ParameterStatus(paramPoint))
}

func TestSimpleProtocolWithSeveralStatements(t *testing.T) {
	d := startPrimary(t)
	conn := connect(t, d, 1).PgConn()
	results, err := conn.Exec(t.Context(), "CREATE TABLE t (k TEXT UNIQUE); INSERT INTO t VALUES ('a'); SELECT k FROM t -- ;").ReadAll()
	require.NoError(t, err)
	require.Len(t, results, 3)
	require.Equal(t, "a", string(results[2].Rows[0][0]))
	require.Equal(t, topo.Point{Term: 1, Position: 1}, d.Status().Point, "one implicit transaction")
	_, err = conn.Exec(t.Context(), "INSERT INTO t VALUES ('b'); INSERT INTO t VALUES ('a')").ReadAll()
	requireCode(t, codeUnique, err)
	rows, err := d.Contents("SELECT k FROM t")
	require.NoError(t, err)
	require.Equal(t, [][]any{{"a"}}, rows)
}

func TestErrorsHaveSQLSTATE(t *testing.T) {
	d := startPrimary(t)
	conn := connect(t, d, 1)
	exec(t, conn, `CREATE TABLE t (k TEXT PRIMARY KEY)`)
	for sql, code := range map[string]string{
		"SELEC 1":                    codeSyntax,
		"SELECT * FROM absent":       codeNoTable,
		"SELECT absent FROM t":       codeNoColumn,
		"SAVEPOINT s":                codeUnsupported,
		"CREATE TABLE t (k TEXT)":    codeTableExists,
		"SELECT cicadacove_fence(x)": codeInvalidParameter,
	} {
		_, err := conn.Exec(t.Context(), sql)
		requireCode(t, code, err)
	}
	exec(t, conn, "BEGIN")
	_, err := conn.Exec(t.Context(), "SELECT * FROM absent")
	requireCode(t, codeNoTable, err)
	_, err = conn.Exec(t.Context(), "SELECT 1")
	requireCode(t, codeFailedTransaction, err)
	require.Equal(t, byte('E'), conn.PgConn().TxStatus())
	exec(t, conn, "ROLLBACK")
	require.Equal(t, byte('I'), conn.PgConn().TxStatus())
}

func TestConcurrentTransactions(t *testing.T) {
	d := startPrimary(t)
	a, b := connect(t, d, 1), connect(t, d, 1)
	exec(t, a, `CREATE TABLE t (k TEXT PRIMARY KEY, n INTEGER)`)
	exec(t, a, `INSERT INTO t VALUES ('x', 1)`)
	exec(t, a, "BEGIN")
	exec(t, b, "BEGIN")
	exec(t, a, `INSERT INTO t VALUES ('a', 1)`)
	exec(t, b, `INSERT INTO t VALUES ('b', 1)`)
	exec(t, a, `INSERT INTO t VALUES ('same', 1)`)
	exec(t, b, `INSERT INTO t VALUES ('same', 2)`)
	exec(t, a, "COMMIT")
	_, err := b.Exec(t.Context(), "COMMIT")
	requireCode(t, codeUnique, err)

	var n int
	exec(t, a, "BEGIN")
	require.NoError(t, a.QueryRow(t.Context(), `SELECT n FROM t WHERE k = 'x'`).Scan(&n))
	exec(t, a, `INSERT INTO t VALUES ('c', $1)`, n)
	exec(t, b, `UPDATE t SET n = 7 WHERE k = 'x'`)
	_, err = a.Exec(t.Context(), "COMMIT")
	requireCode(t, codeSerialization, err)
	rows, err := d.Contents("SELECT k FROM t ORDER BY k")
	require.NoError(t, err)
	require.Equal(t, [][]any{{"a"}, {"same"}, {"x"}}, rows)
}

func TestPasswords(t *testing.T) {
	for _, cleartext := range []bool{false, true} {
		d := start(t, Options{Role: topo.RolePrimary, User: "app", Password: "secret", Cleartext: cleartext})
		connect(t, d, 1)
		_, err := pgx.Connect(t.Context(), strings.Replace(url(d, 1), "secret", "wrong", 1))
		requireCode(t, codeBadPassword, err)
	}
}

func TestConnectionLimit(t *testing.T) {
	d := start(t, Options{Role: topo.RolePrimary, Connections: 2})
	connect(t, d, 1)
	second := connect(t, d, 1)
	_, err := pgx.Connect(t.Context(), url(d, 1))
	requireCode(t, codeTooManyConnections, err)
	mustControl(t, d, "SELECT cicadacove_status()")
	require.NoError(t, second.Close(t.Context()))
	require.Eventually(t, func() bool { return d.OpenConnections() == 1 }, 10*time.Second, time.Millisecond)
	connect(t, d, 1)
}

func TestCancelRequest(t *testing.T) {
	d := start(t, Options{Role: topo.RolePrimary, ServiceTime: time.Hour})
	conn := connect(t, d, 1)
	execErr := make(chan error, 1)
	go func() {
		_, err := conn.Exec(context.Background(), "SELECT 1", pgx.QueryExecModeSimpleProtocol)
		execErr <- err
	}()
	require.Eventually(t, func() bool { return len(d.slots) == 1 }, 10*time.Second, time.Millisecond)
	require.NoError(t, conn.PgConn().CancelRequest(t.Context()))
	requireCode(t, codeCanceled, <-execErr)
	require.Empty(t, d.slots)
}

func TestBreakMidResponse(t *testing.T) {
	d := startPrimary(t)
	conn := connect(t, d, 1)
	exec(t, conn, `CREATE TABLE t (k TEXT)`)
	d.BreakMidResponse(0)
	_, err := conn.Exec(t.Context(), `INSERT INTO t VALUES ('a')`, pgx.QueryExecModeSimpleProtocol)
	require.Error(t, err)
	require.True(t, conn.IsClosed())
	rows, err := d.Contents("SELECT k FROM t")
	require.NoError(t, err)
	require.Equal(t, [][]any{{"a"}}, rows, "the write took effect although its response was lost")
}

func TestRestartKeepsContents(t *testing.T) {
	d := startPrimary(t)
	conn := connect(t, d, 1)
	exec(t, conn, `CREATE TABLE t (k TEXT)`)
	addr, before := d.Addr(), d.announcement()
	require.NoError(t, d.Restart(0))
	_, err := conn.Exec(t.Context(), "SELECT 1")
	require.Error(t, err)
	require.Equal(t, addr, d.Addr())
	require.True(t, d.announcement().Newer(before))
	exec(t, connect(t, d, 1), `INSERT INTO t VALUES ('a')`)
}
