package cli

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a SIGHUP that ends the process.
func TestSIGHUPDoesNotEndServe(t *testing.T) {
	d := newDeployment(t)
	d.settings = stopSettings
	d.startEntry(0)
	d.signal("entry-1", syscall.SIGHUP)
	time.Sleep(100 * time.Millisecond)
	conn, err := net.Dial("tcp", d.callers[0])
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	d.signal("entry-1", syscall.SIGTERM)
	require.NoError(t, d.wait("entry-1"))
}

// startBlocked starts an entry instance whose start waits for the returned function,
// since its users file is a pipe.
func (d *deployment) startBlocked(i int) (proceed func()) {
	path := filepath.Join(d.dir, "users.toml")
	users, err := os.ReadFile(path)
	require.NoError(d.t, err)
	require.NoError(d.t, os.Remove(path))
	require.NoError(d.t, syscall.Mkfifo(path, 0o600))
	cmd := exec.Command("cicadacove", "serve", d.writeSettings(i))
	cmd.Stderr = os.Stderr
	require.NoError(d.t, cmd.Start())
	d.running[fmt.Sprintf("entry-%d", i+1)] = cmd
	// Opening the pipe waits until the process opens it.
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0)
	require.NoError(d.t, err)
	return func() {
		_, err := pipe.Write(users)
		require.NoError(d.t, err)
		require.NoError(d.t, pipe.Close())
	}
}

// Guards against a SIGTERM during the start that ends the process like a crash.
func TestSIGTERMDuringTheStart(t *testing.T) {
	d := newDeployment(t)
	proceed := d.startBlocked(0)
	d.signal("entry-1", syscall.SIGTERM)
	time.Sleep(100 * time.Millisecond)
	proceed()
	require.NoError(t, d.wait("entry-1"))
}

// Guards against a second signal that has no effect while a start hangs.
func TestSecondSignalDuringTheStartEndsServe(t *testing.T) {
	d := newDeployment(t)
	d.startBlocked(0)
	d.signal("entry-1", syscall.SIGTERM)
	time.Sleep(100 * time.Millisecond)
	d.signal("entry-1", syscall.SIGTERM)
	var exit *exec.ExitError
	require.ErrorAs(t, d.wait("entry-1"), &exit)
	require.Equal(t, syscall.SIGTERM, exit.Sys().(syscall.WaitStatus).Signal())
}
