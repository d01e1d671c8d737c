package standin

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// faults holds the faults that are injected into the database.
type faults struct {
	statementDelay atomic.Int64 // additional nanoseconds of each statement
	breakIn        atomic.Int64 // statements up to the one whose response breaks; 0 for none
	mu             sync.Mutex
	hung           chan struct{} // closed when the database resumes; nil while it does not hang
}

// SetDelay delays each statement by extra.
func (d *Database) SetDelay(extra time.Duration) { d.faults.statementDelay.Store(int64(extra)) }

// BreakMidResponse lets skip statements complete. It closes the connection of the
// statement after them when half of the response is written. The database still
// executes all statements that the caller has sent by then.
func (d *Database) BreakMidResponse(skip int) { d.faults.breakIn.Store(int64(skip) + 1) }

// breaksNext counts a statement and reports whether the connection breaks during
// its response.
func (f *faults) breaksNext() bool {
	return f.breakIn.Load() > 0 && f.breakIn.Add(-1) == 0
}

// Hang stops or resumes all work of the database, including announcements. Open
// connections stay open.
func (d *Database) Hang(on bool) {
	f := &d.faults
	f.mu.Lock()
	defer f.mu.Unlock()
	if on && f.hung == nil {
		f.hung = make(chan struct{})
	}
	if !on && f.hung != nil {
		close(f.hung)
		f.hung = nil
	}
}

// waitWhileHung blocks while the database hangs.
func (f *faults) waitWhileHung(ctx context.Context) error {
	f.mu.Lock()
	hung := f.hung
	f.mu.Unlock()
	if hung == nil {
		return ctx.Err()
	}
	select {
	case <-hung:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// breakableConn is a connection that closes halfway through its next write if
// breakNextWrite is set.
type breakableConn struct {
	net.Conn
	breakNextWrite bool
}

// Write writes p. If breakNextWrite is set, it writes half of p and closes the
// connection.
func (c *breakableConn) Write(p []byte) (int, error) {
	if !c.breakNextWrite {
		return c.Conn.Write(p)
	}
	n, err := c.Conn.Write(p[:len(p)/2])
	if err != nil {
		return n, err
	}
	return n, c.Close()
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
