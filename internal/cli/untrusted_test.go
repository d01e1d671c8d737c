package cli

import (
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The bounds of the tests with untrusted callers. The numbers of callers are such that
// each crowd exceeds a bound if the process holds all that it is sent.
const (
	// untrustedMemoryMb is the bound of the peak of resident memory.
	untrustedMemoryMb = 256
	// untrustedCallers is the limit of connections in the settings, maxUntrustedFiles the
	// bound of open descriptors.
	untrustedCallers  = 300
	maxUntrustedFiles = 360
	// crowdLimit ends a crowd whose writes block.
	crowdLimit = 3 * time.Second
)

// untrustedSettings lower the limits of the entry instances.
var untrustedSettings = fmt.Sprintf("[limits]\ncallers = %d\nmemory = \"%dMiB\"\n", untrustedCallers, untrustedMemoryMb)

// pgMessage is a message of the PostgreSQL protocol.
func pgMessage(kind byte, body string) string {
	header := binary.BigEndian.AppendUint32([]byte{kind}, uint32(len(body)+4))
	return string(header) + body
}

// legalQuery is a statement of 15 MiB without its last byte.
var legalQuery = func() string {
	whole := pgMessage('Q', "SELECT '"+strings.Repeat("v", 15<<20)+"'\x00")
	return whole[:len(whole)-1]
}()

var pgCrowds = []struct {
	name     string
	callers  int
	sessions bool
	act      func(net.Conn)
}{
	{"stop before the startup", 600, false, func(net.Conn) {}},
	{"stop within a statement", 40, true, func(c net.Conn) { send(c, legalQuery) }},
	{"statements in small pieces", 40, true, func(c net.Conn) {
		for text := legalQuery; len(text) > 0 && send(c, text[:min(8000, len(text))]); {
			text = text[min(8000, len(text)):]
		}
	}},
	{"statements sent slowly", 40, true, func(c net.Conn) {
		for ok := send(c, legalQuery[:len(legalQuery)*3/4]); ok; ok = send(c, "x") {
			time.Sleep(100 * time.Millisecond)
		}
	}},
	{"stop within a statement of a transaction", 40, true, func(c net.Conn) { send(c, pgMessage('Q', "BEGIN\x00")+legalQuery) }},
	{"whole statements", 40, true, func(c net.Conn) { send(c, legalQuery+"\x00") }},
	{"message far too long", 40, true, func(c net.Conn) { send(c, pgMessage('Q', strings.Repeat("v", 64<<20))) }},
	{"pipelined without reading", 40, true, func(c net.Conn) {
		for send(c, strings.Repeat(pgMessage('Q', "SELECT id FROM booking\x00"), 1000)) {
		}
	}},
	{"prepared statements", 40, true, func(c net.Conn) {
		for i := 0; i < 16 && send(c, pgMessage('P', fmt.Sprintf("s%d\x00SELECT '%s'\x00\x00\x00", i, strings.Repeat("v", 1<<20)))); i++ {
		}
	}},
}

func send(c net.Conn, text string) bool {
	_, err := c.Write([]byte(text))
	return err == nil
}

// dialUntrusted connects to an entry instance and opens a session if it is wanted. It
// returns nil if it is refused.
func (d *deployment) dialUntrusted(entry int, session bool) net.Conn {
	if !session {
		conn, err := net.DialTimeout("tcp", d.callers[entry], crowdLimit)
		if err != nil {
			return nil
		}
		return conn
	}
	hijacked, err := d.connect(entry).PgConn().Hijack()
	require.NoError(d.t, err)
	return hijacked.Conn
}

// requireWithinBounds requires that an entry instance runs and has stayed within its
// bounds.
func (d *deployment) requireWithinBounds(name string) {
	pid := d.running[name].Process.Pid
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	require.NoError(d.t, err, "the process has exited")
	_, rest, found := strings.Cut(string(status), "VmHWM:")
	require.True(d.t, found, "the process has exited")
	peak, err := strconv.Atoi(strings.Fields(rest)[0])
	require.NoError(d.t, err)
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	require.NoError(d.t, err, "the process has exited")
	d.t.Logf("peak of resident memory %d MB, %d descriptors", peak/1024, len(files))
	require.LessOrEqual(d.t, peak/1024, untrustedMemoryMb, "MB of resident memory at the peak")
	require.LessOrEqual(d.t, len(files), maxUntrustedFiles, "open descriptors")
}

// Guards against callers that make an entry instance hold more than the memory or the
// descriptors of its machine, or keep others from being served.
func TestUntrustedCallers(t *testing.T) {
	for _, crowd := range pgCrowds {
		t.Run(crowd.name, func(t *testing.T) {
			d := newDeployment(t)
			d.settings = untrustedSettings
			for i := range 3 {
				d.startEntry(i)
			}
			for i := range 3 {
				d.startDatabase(i)
			}
			d.applyContract()
			cl := d.caller()
			d.writeUntilDone(cl, 0, "returns", "table", "CREATE TABLE booking (id TEXT)")
			var wg sync.WaitGroup
			for range crowd.callers {
				conn := d.dialUntrusted(0, crowd.sessions)
				if conn == nil {
					continue
				}
				t.Cleanup(func() { conn.Close() })
				wg.Go(func() {
					if conn.SetDeadline(time.Now().Add(crowdLimit)) == nil {
						crowd.act(conn)
					}
				})
			}
			wg.Wait()
			time.Sleep(time.Second)
			d.writeUntilDone(d.caller(), 0, "booking", "ordinary", "INSERT INTO booking VALUES ('b1')")
			d.requireWithinBounds("entry-1")
		})
	}
}

// Guards against a limit that a single statement of legal size exceeds.
func TestCallerOfALongStatementIsServed(t *testing.T) {
	d := newDeployment(t)
	d.settings = untrustedSettings
	for i := range 3 {
		d.startEntry(i)
	}
	for i := range 3 {
		d.startDatabase(i)
	}
	d.applyContract()
	d.writeUntilDone(d.caller(), 0, "returns", "table", "CREATE TABLE booking (id TEXT)")
	d.writeUntilDone(d.caller(), 0, "booking", "long", "INSERT INTO booking VALUES ('"+strings.Repeat("v", 15<<20)+"')")
	d.requireWithinBounds("entry-1")
}
