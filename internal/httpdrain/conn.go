package httpdrain

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cicadacove/cicadacove/internal/clientbudget"
	"github.com/cicadacove/cicadacove/internal/core/clientlimit"
)

// phase says which connections end because the server stops.
type phase int32

const (
	// serving ends none.
	serving phase = iota
	// endingServed ends the connections that have served a request and wait for another.
	endingServed
	// endingAll also ends those that wait for their first request.
	endingAll
)

// conn is a connection of a Server from its accept to its close. The goroutine that reads
// it decides whether it ends, so that no request is between a read and that decision.
type conn struct {
	net.Conn
	server  *Server
	account *clientbudget.Account

	mu sync.Mutex
	// deadline is the read deadline that net/http has set.
	deadline time.Time
	// served is set once a request has been answered, begun while bytes of a request have
	// been read that isn't answered.
	served, begun bool
}

// Read reads bytes of a request. Between two requests it returns io.EOF if the connection
// ends and no bytes have arrived.
func (c *conn) Read(b []byte) (int, error) {
	for {
		if c.ends() {
			return 0, io.EOF
		}
		n, err := c.Conn.Read(b)
		if n > 0 {
			c.account.Progress(n)
			c.setBegun()
			return n, err
		}
		if !c.resume(err) {
			return n, err
		}
	}
}

func (c *conn) ends() bool {
	c.mu.Lock()
	served, begun := c.served, c.begun
	c.mu.Unlock()
	switch phase(c.server.phase.Load()) {
	case serving:
		return false
	case endingServed:
		return served && !begun && !unread(c.Conn)
	default:
		return !begun && !unread(c.Conn)
	}
}

func (c *conn) setBegun() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.begun {
		c.account.Enter(clientlimit.Receiving)
	}
	c.begun = true
}

// setServed records that the connection waits for its next request.
func (c *conn) setServed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.account.Enter(clientlimit.Idle)
	c.served, c.begun = true, false
}

// interrupt makes a waiting Read look at the phase of the server again.
func (c *conn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is closed
}

// resume reports whether a read failed because of interrupt, and restores the deadline
// then.
func (c *conn) resume(err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !errors.Is(err, os.ErrDeadlineExceeded) || (!c.deadline.IsZero() && !time.Now().Before(c.deadline)) {
		return false
	}
	return c.Conn.SetReadDeadline(c.deadline) == nil
}

// SetReadDeadline sets the deadline of Read.
func (c *conn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = at
	return c.Conn.SetReadDeadline(at)
}

// SetDeadline sets the deadlines of Read and Write.
func (c *conn) SetDeadline(at time.Time) error {
	return errors.Join(c.SetReadDeadline(at), c.SetWriteDeadline(at))
}

// CloseWrite ends the writing half of the connection if it has halves.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection.
func (c *conn) Close() error {
	defer c.server.untrack(c)
	defer c.account.Close()
	return c.Conn.Close()
}

// unread reports whether bytes have arrived that nobody has read.
func unread(nc net.Conn) bool {
	inner, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := inner.SyscallConn()
	if err != nil {
		return false
	}
	arrived := false
	err = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		arrived = n > 0 && err == nil
	})
	return arrived && err == nil
}
