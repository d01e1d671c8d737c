// Package lingering closes connections so that the peer receives all that was
// written before.
package lingering

import (
	"errors"
	"io"
	"net"
	"time"
)

// maxDiscarded bounds the bytes that Close reads from a peer that goes on sending.
const maxDiscarded = 1 << 20

// Close ends the writing half, discards what the peer still sends until it has closed
// its half or the limit has passed, and closes the connection. A connection that is
// closed with unread bytes is reset, and a reset discards what the peer has not
// received yet. The error is that of the final close.
func Close(conn net.Conn, limit time.Duration) error {
	half, ok := conn.(interface{ CloseWrite() error })
	if !ok {
		return conn.Close()
	}
	if err := errors.Join(half.CloseWrite(), conn.SetReadDeadline(time.Now().Add(limit))); err == nil {
		// An error means that there is nothing left to discard.
		_, _ = io.CopyN(io.Discard, conn, maxDiscarded)
	}
	return conn.Close()
}
