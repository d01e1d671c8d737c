package cluster

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/caller"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/entry"
	"github.com/cicadacove/cicadacove/internal/users"
)

const (
	// testTimeout bounds one test. It is far above the time that a test needs.
	testTimeout = 60 * time.Second
	// testWait is the services' target in tests that do not test targets. It
	// is long, so that a busy machine does not make them fail.
	testWait = 20 * time.Second
)

func startClusterWith(t *testing.T, change func(*Options)) (*Cluster, topo.GroupID, context.Context) {
	t.Helper()
	p, err := NewProfile("selam")
	require.NoError(t, err)
	p.SetTargets(testWait)
	opts := Options{Profile: p, Seed: 1, Limits: entry.DefaultLimits()}
	if change != nil {
		change(&opts)
	}
	c, err := Start(context.Background(), opts)
	require.NoError(t, err)
	t.Cleanup(c.Close)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	return c, p.Groups()[0], ctx
}

// execRetry runs a statement and repeats it while its outcome is "not run", as
// callers should.
func execRetry(t *testing.T, ctx context.Context, conn *pgx.Conn, sql string, args ...any) {
	t.Helper()
	for {
		_, err := conn.Exec(ctx, sql, args...)
		if err == nil {
			return
		}
		require.Equal(t, outcome.NotRun, caller.Outcome(err).Kind, "%s: %v", sql, err)
		require.NoError(t, ctx.Err())
		time.Sleep(10 * time.Millisecond)
	}
}

func TestPreparedStatementsAndBatches(t *testing.T) {
	c, g, ctx := startClusterWith(t, nil)
	conn := connect(t, c, c.Entry(0), g, c.Profile.Normal)
	execRetry(t, ctx, conn, "CREATE TABLE item (id INTEGER, name TEXT)")
	for i := range 5 {
		execRetry(t, ctx, conn, "INSERT INTO item (id, name) VALUES ($1, $2)", i, "n")
	}
	batch := &pgx.Batch{}
	batch.Queue("INSERT INTO item (id, name) VALUES ($1, 'b')", 10)
	batch.Queue("INSERT INTO item (id, name) VALUES ($1, 'b')", 11)
	batch.Queue("SELECT count(*) FROM item")
	results := conn.SendBatch(ctx, batch)
	for range 2 {
		_, err := results.Exec()
		require.NoError(t, err)
	}
	var n int
	require.NoError(t, results.QueryRow().Scan(&n))
	require.NoError(t, results.Close())
	require.Equal(t, 7, n)
}

func TestTransactionKeepsItsConnection(t *testing.T) {
	c, g, ctx := startClusterWith(t, nil)
	conn := connect(t, c, c.Entry(1), g, c.Profile.Urgent)
	execRetry(t, ctx, conn, "CREATE TABLE booking (id INTEGER PRIMARY KEY)")
	tx, err := conn.Begin(ctx)
	require.NoError(t, err)
	_, err = tx.Exec(ctx, "INSERT INTO booking (id) VALUES ($1)", 1)
	require.NoError(t, err)
	var n int
	require.NoError(t, tx.QueryRow(ctx, "SELECT count(*) FROM booking").Scan(&n))
	require.Equal(t, 1, n)
	other := connect(t, c, c.Entry(1), g, c.Profile.Urgent)
	require.NoError(t, other.QueryRow(ctx, "SELECT count(*) FROM booking").Scan(&n))
	require.Equal(t, 0, n, "an open transaction must not be visible to another session")
	require.NoError(t, tx.Commit(ctx))
	require.NoError(t, other.QueryRow(ctx, "SELECT count(*) FROM booking").Scan(&n))
	require.Equal(t, 1, n)

	tx, err = conn.Begin(ctx)
	require.NoError(t, err)
	_, err = tx.Exec(ctx, "INSERT INTO booking (id) VALUES (1)")
	requireCode(t, "23505", err)
	_, err = tx.Exec(ctx, "SELECT 1")
	requireCode(t, "25P02", err)
	require.NoError(t, tx.Rollback(ctx))
}

// The server rolls back a transaction that the caller leaves idle. Later
// statements must not run outside of the transaction.
func TestIdleTransactionIsRolledBack(t *testing.T) {
	c, g, ctx := startClusterWith(t, func(o *Options) { o.Limits.IdleTransaction = 50 * time.Millisecond })
	conn := connect(t, c, c.Entry(0), g, c.Profile.Normal)
	execRetry(t, ctx, conn, "CREATE TABLE note (id INTEGER)")
	execRetry(t, ctx, conn, "BEGIN")
	_, err := conn.Exec(ctx, "INSERT INTO note VALUES (1)")
	require.NoError(t, err)
	time.Sleep(300 * time.Millisecond)
	_, err = conn.Exec(ctx, "INSERT INTO note VALUES (2)")
	requireCode(t, "25P02", err)
	tag, err := conn.Exec(ctx, "COMMIT")
	require.NoError(t, err)
	require.Equal(t, "ROLLBACK", tag.String())
	var n int
	require.NoError(t, conn.QueryRow(ctx, "SELECT count(*) FROM note").Scan(&n))
	require.Equal(t, 0, n)
}

// A request that is resent under the same request id gets the first answer,
// also at another instance. A different request under that id is refused.
func TestResendGetsTheFirstAnswer(t *testing.T) {
	c, g, ctx := startClusterWith(t, nil)
	setup := connect(t, c, c.Entry(0), g, c.Profile.Normal)
	execRetry(t, ctx, setup, "CREATE TABLE booking (id INTEGER PRIMARY KEY AUTOINCREMENT, item TEXT)")
	insert := caller.Comment("INSERT INTO booking (item) VALUES ('set') RETURNING id", caller.Attributes{"service": c.Profile.Urgent, "request_id": "r-1"})
	var ids []int
	for i := range Entries {
		conn := connect(t, c, c.Entry(i), g, c.Profile.Urgent)
		var id int
		require.NoError(t, conn.QueryRow(ctx, insert).Scan(&id))
		ids = append(ids, id)
	}
	require.Equal(t, []int{1, 1, 1, 1}, ids)
	_, err := setup.Exec(ctx, caller.Comment("INSERT INTO booking (item) VALUES ('other')", caller.Attributes{"service": c.Profile.Urgent, "request_id": "r-1"}))
	requireCode(t, outcome.CodeDuplicate, err)
}

// A request id that the caller sets for the session applies to the next write
// only.
func TestSessionRequestIDNamesOneWrite(t *testing.T) {
	c, g, ctx := startClusterWith(t, nil)
	conn := connect(t, c, c.Entry(0), g, c.Profile.Urgent)
	execRetry(t, ctx, conn, "CREATE TABLE booking (id INTEGER)")
	execRetry(t, ctx, conn, "SET cicadacove.request_id = 'r-7'")
	execRetry(t, ctx, conn, "INSERT INTO booking VALUES (1)")
	execRetry(t, ctx, conn, "INSERT INTO booking VALUES (1)")
	execRetry(t, ctx, conn, "SET cicadacove.request_id = 'r-7'")
	execRetry(t, ctx, conn, "INSERT INTO booking VALUES (1)")
	var n int
	require.NoError(t, conn.QueryRow(ctx, "SELECT count(*) FROM booking").Scan(&n))
	require.Equal(t, 2, n, "the third insert is a resend of the first")
}

func TestUnsupportedFeaturesAreRefused(t *testing.T) {
	c, g, ctx := startClusterWith(t, nil)
	conn := connect(t, c, c.Entry(0), g, c.Profile.Normal)
	for _, sql := range []string{
		"COPY t FROM STDIN", "LISTEN x", "CREATE TEMP TABLE t (a int)", "SET search_path = x",
		"SELECT pg_advisory_lock(1)", "INSERT INTO t VALUES (1); COMMIT", "PREPARE p AS SELECT 1",
	} {
		_, err := conn.Exec(ctx, sql)
		requireCode(t, outcome.CodeUnsupported, err)
		require.Equal(t, outcome.NotRun, caller.Outcome(err).Kind)
	}
	_, err := conn.Exec(ctx, "SET application_name = 'x'")
	require.NoError(t, err, "the session must continue")
}

func TestBadInputIsRefusedWithoutCrash(t *testing.T) {
	c, g, ctx := startClusterWith(t, func(o *Options) { o.Limits.MaxMessage = 64 << 10 })
	good := connect(t, c, c.Entry(0), g, c.Profile.Normal)
	unknownService := connect(t, c, c.Entry(0), g, "nobody")
	_, err := unknownService.Exec(ctx, "SELECT 1")
	requireCode(t, outcome.CodeUnknownService, err)
	_, err = unknownService.Exec(ctx, "SET cicadacove.session_token = 'forged'")
	requireCode(t, outcome.CodeBadToken, err)
	_, err = unknownService.Exec(ctx, "SELECT 1 /*cicadacove.max_age='soon'*/")
	requireCode(t, "22023", err)

	long := connect(t, c, c.Entry(0), g, c.Profile.Normal)
	_, err = long.Exec(ctx, "SELECT '"+string(make([]byte, 70<<10))+"'")
	requireCode(t, "54000", err)

	raw, err := net.Dial("tcp", c.Entry(0).Addr())
	require.NoError(t, err)
	defer raw.Close()
	_, err = raw.Write([]byte{0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0})
	require.NoError(t, err)
	_, err = raw.Read(make([]byte, 1))
	require.Error(t, err, "a malformed startup message must close its connection")

	_, err = good.Exec(ctx, "SELECT 1")
	require.NoError(t, err)
}

// Guards against reads that are refused although the primary could serve them: a
// caller may tolerate less than the age at which a position arrives.
func TestReadsOfAnyMaximumAgeAreServed(t *testing.T) {
	c, g, ctx := startClusterWith(t, nil)
	conn := connect(t, c, c.Entry(0), g, c.Profile.Low)
	for _, age := range []string{"0s", "1ns", "1ms", "2562047h"} {
		ageCtx, cancel := context.WithTimeout(ctx, testTimeout/6)
		execRetry(t, ageCtx, conn, "SELECT 1 /*cicadacove.max_age='"+age+"'*/")
		cancel()
	}
}

// A cancel request must reach the session even if the load balancer sends it
// to another entry instance.
func TestCancelThroughAnotherInstance(t *testing.T) {
	c, g, ctx := startClusterWith(t, nil)
	conn := connect(t, c, c.Entry(0), g, c.Profile.Low)
	_, err := conn.Exec(ctx, "SELECT 1")
	require.NoError(t, err)
	for _, db := range c.Databases() {
		db.SetDelay(700 * time.Millisecond)
	}
	failed := make(chan error, 1)
	go func() {
		_, err := conn.Exec(ctx, "SELECT 2")
		failed <- err
	}()
	cancelUntil(t, c, conn, failed)
}

// cancelUntil sends cancel requests to another instance until the request
// ends, and requires that its error reports the cancellation.
func cancelUntil(t *testing.T, c *Cluster, conn *pgx.Conn, failed chan error) {
	t.Helper()
	msg, err := (&pgproto3.CancelRequest{ProcessID: conn.PgConn().PID(), SecretKey: conn.PgConn().SecretKey()}).Encode(nil)
	require.NoError(t, err)
	for {
		raw, err := net.Dial("tcp", c.Entry(2).Addr())
		require.NoError(t, err)
		_, err = raw.Write(msg)
		require.NoError(t, err)
		raw.Close()
		select {
		case err := <-failed:
			requireCode(t, outcome.CodeTimeout, err)
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func TestSCRAMAndTLS(t *testing.T) {
	verifier, err := users.NewVerifier("app", "secret")
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "users.toml")
	require.NoError(t, os.WriteFile(path, []byte("[[user]]\nname = \"app\"\nverifier = \""+verifier+"\"\n"), 0o600))
	credentials, err := users.Load(path)
	require.NoError(t, err)
	c, g, ctx := startClusterWith(t, func(o *Options) {
		o.Users = credentials
		o.TLS = &tls.Config{Certificates: []tls.Certificate{selfSigned(t)}}
	})
	open := func(password string) error {
		cfg, err := pgx.ParseConfig("postgres://app:" + password + "@" + c.Entry(0).Addr() + "/" + string(g) + "?sslmode=require")
		require.NoError(t, err)
		conn, err := pgx.ConnectConfig(ctx, cfg)
		if err != nil {
			return err
		}
		defer conn.Close(ctx)
		_, err = conn.Exec(ctx, "SET cicadacove.service = '"+c.Profile.Low+"'")
		return err
	}
	require.NoError(t, open("secret"))
	requireCode(t, "28P01", open("wrong"))
}

func selfSigned(t *testing.T) tls.Certificate {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}
