package cli

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/examples"
	"github.com/cicadacove/cicadacove/internal/caller"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
)

// testTimeout limits the whole test. It is far longer than the test needs.
const testTimeout = 2 * time.Minute

// deployment is three entry instances and one group of three databases. Each
// runs in a separate process.
type deployment struct {
	t         *testing.T
	ctx       context.Context
	dir       string
	callers   []string
	peers     []string
	admins    []string
	databases []string
	running   map[string]*exec.Cmd
	// settings and env are added to those of the entry instances that start next.
	settings string
	env      []string
	// databaseArgs are added to those of the databases.
	databaseArgs []string
}

// processIP returns a loopback address of this process. Outgoing connections of other
// processes have other addresses, and so can't use a port between its choice and its use.
func processIP() string {
	pid := os.Getpid()
	return net.IPv4(127, 90, byte(pid>>8), max(1, byte(pid))).String()
}

func freeAddrs(t *testing.T, n int) []string {
	t.Helper()
	var addrs []string
	for range n {
		ln, err := net.Listen("tcp", processIP()+":0")
		require.NoError(t, err)
		defer ln.Close()
		addrs = append(addrs, ln.Addr().String())
	}
	return addrs
}

func newDeployment(t *testing.T) *deployment {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	addrs := freeAddrs(t, 12)
	d := &deployment{
		t: t, ctx: ctx, dir: t.TempDir(), running: map[string]*exec.Cmd{},
		callers: addrs[0:3], peers: addrs[3:6], admins: addrs[6:9], databases: addrs[9:12],
	}
	d.write("peer.secret", strings.Repeat("s", 32))
	d.write("password", "database password")
	var verifier bytes.Buffer
	require.Equal(t, ExitOK, Main([]string{"user", "app"}, strings.NewReader("caller password\n"), &verifier, os.Stderr))
	d.write("users.toml", verifier.String())
	t.Cleanup(func() {
		for name := range d.running {
			d.kill(name)
		}
	})
	return d
}

func (d *deployment) write(name, text string) string {
	path := filepath.Join(d.dir, name)
	require.NoError(d.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// start runs the command in a separate process and waits for the line of
// addresses that the command prints once it serves.
func (d *deployment) start(name string, args ...string) {
	cmd := exec.Command("cicadacove", args...)
	cmd.Stderr = os.Stderr
	cmd.Env = append(os.Environ(), d.env...)
	out, err := cmd.StdoutPipe()
	require.NoError(d.t, err)
	require.NoError(d.t, cmd.Start())
	d.running[name] = cmd
	line, err := bufio.NewReader(out).ReadString('\n')
	require.NoError(d.t, err, "%s did not start", name)
	require.True(d.t, json.Valid([]byte(line)), line)
}

func (d *deployment) kill(name string) {
	cmd := d.running[name]
	delete(d.running, name)
	require.NoError(d.t, cmd.Process.Kill())
	cmd.Wait()
}

func (d *deployment) startEntry(i int) {
	d.start(fmt.Sprintf("entry-%d", i+1), "serve", d.writeSettings(i))
}

// writeSettings writes the settings file of an entry instance and returns its path.
func (d *deployment) writeSettings(i int) string {
	settings := fmt.Sprintf(`[instance]
id = "entry-%d"
zone = "zone-%d"
[caller]
listen = %q
users_file = %q
[peer]
listen = %q
secret_file = %q
voters = ["%s"]
[admin]
listen = %q
[control]
voter = true
data_dir = %q
[upstream]
password_file = %q
`, i+1, i+1, d.callers[i], filepath.Join(d.dir, "users.toml"), d.peers[i], filepath.Join(d.dir, "peer.secret"),
		strings.Join(d.peers, `", "`), d.admins[i], filepath.Join(d.dir, fmt.Sprintf("data-%d", i+1)), filepath.Join(d.dir, "password"))
	return d.write(fmt.Sprintf("entry-%d.toml", i+1), settings+d.settings)
}

func (d *deployment) startDatabase(i int) {
	args := []string{
		"standin", "--id", fmt.Sprintf("ledger-1/%d", i+1), "--group", "ledger-1", "--zone", fmt.Sprintf("zone-%d", i+1),
		"--listen", d.databases[i], "--announce-to", "http://" + d.admins[i], "--user", "cicadacove", "--password", "database password",
	}
	if i == 0 {
		args = append(args, "--role", "primary")
	} else {
		args = append(args, "--primary", d.databases[0])
	}
	d.start(fmt.Sprintf("database-%d", i+1), append(args, d.databaseArgs...)...)
}

// applyContract activates Selam's contract for the group ledger-1.
func (d *deployment) applyContract() {
	answers, err := examples.Answers("selam")
	require.NoError(d.t, err)
	text := strings.Replace(string(answers), `["ledger-1", "ledger-2", "ledger-3"]`, `["ledger-1"]`, 1)
	path := d.write("answers.toml", text)
	var out bytes.Buffer
	require.Equal(d.t, ExitOK, Main([]string{"contract", "apply", path, "--admin", "http://" + d.admins[1]}, nil, &out, os.Stderr), out.String())
}

func (d *deployment) caller() *caller.Client {
	cl := caller.New(caller.Options{Addrs: d.callers, Database: "ledger-1", User: "app", Password: "caller password"})
	d.t.Cleanup(cl.Close)
	return cl
}

// writeUntilDone repeats a write with the same request id until its outcome is
// done.
func (d *deployment) writeUntilDone(cl *caller.Client, entry int, service, id, sql string) {
	for {
		o := cl.Write(d.ctx, entry, service, id, sql)
		if o.Kind == outcome.Done {
			return
		}
		require.NoError(d.t, d.ctx.Err(), "%s: %s %s", sql, o.Code, o.Reason)
		time.Sleep(20 * time.Millisecond)
	}
}

// TestSeparateProcesses tests that a deployment of separate processes continues
// to serve bookings after the loss of the primary, the loss of an entry instance
// and its restart from disk, and a graceful shutdown.
func TestSeparateProcesses(t *testing.T) {
	d := newDeployment(t)
	for i := range 3 {
		d.startEntry(i)
	}
	for i := range 3 {
		d.startDatabase(i)
	}
	d.applyContract()
	cl := d.caller()
	d.writeUntilDone(cl, 0, "returns", "table", "CREATE TABLE booking (id TEXT)")
	d.writeUntilDone(cl, 0, "booking", "r1", "INSERT INTO booking VALUES ('b1')")
	d.requireRows(cl, 1, "b1")

	d.kill("database-1")
	d.writeUntilDone(cl, 1, "booking", "r2", "INSERT INTO booking VALUES ('b2')")
	d.requireRows(cl, 2, "b1", "b2")

	d.kill("entry-1")
	d.writeUntilDone(cl, 1, "booking", "r3", "INSERT INTO booking VALUES ('b3')")
	d.startEntry(0)
	d.writeUntilDone(cl, 0, "booking", "r4", "INSERT INTO booking VALUES ('b4')")
	d.writeUntilDone(cl, 0, "booking", "r3", "INSERT INTO booking VALUES ('b3')")
	d.requireRows(cl, 2, "b1", "b2", "b3", "b4")

	entry3 := d.running["entry-3"]
	delete(d.running, "entry-3")
	require.NoError(t, entry3.Process.Signal(syscall.SIGTERM))
	require.NoError(t, entry3.Wait(), "a graceful shutdown exits with 0")
	d.writeUntilDone(cl, 0, "booking", "r5", "INSERT INTO booking VALUES ('b5')")
}

// requireRows reads the session's own writes at an entry instance, repeats a
// failed read, and requires the wanted rows.
func (d *deployment) requireRows(cl *caller.Client, entry int, want ...string) {
	for {
		rows, o := cl.Read(d.ctx, entry, "stock", true, "SELECT id FROM booking ORDER BY id")
		if o.Kind == outcome.Done {
			require.Equal(d.t, want, rows)
			return
		}
		require.NoError(d.t, d.ctx.Err(), "%s %s", o.Code, o.Reason)
		time.Sleep(20 * time.Millisecond)
	}
}
