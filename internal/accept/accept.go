// Package accept accepts the connections of a listener.
package accept

import (
	"errors"
	"net"
	"os"
	"time"

	"k8s.io/klog/v2"
)

// retryDelay is the delay after a failed accept, for example when the process
// has run out of file descriptors.
const retryDelay = 10 * time.Millisecond

const (
	// quietTime is how long no connection may have come before a stopped listener is
	// closed, maxQueueTime how long it goes on accepting at most.
	quietTime    = 10 * time.Millisecond
	maxQueueTime = 100 * time.Millisecond
)

// deadliner is a listener with a deadline, such as *net.TCPListener.
type deadliner interface{ SetDeadline(time.Time) error }

// Stop makes Each accept the connections that wait in the listener's queue, close the
// listener and return; a close alone would reset them. A listener without a deadline
// is closed at once.
func Stop(ln net.Listener) error {
	if d, ok := ln.(deadliner); ok {
		return d.SetDeadline(time.Unix(1, 0))
	}
	return ln.Close()
}

// Each accepts connections and calls handle for each of them until the
// listener is closed or stopped. It logs other errors with the prefix and continues.
// handle must not block.
func Each(ln net.Listener, prefix string, handle func(net.Conn)) {
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			emptyQueue(ln, prefix, handle)
			return
		}
		if err != nil {
			klog.Warningf("%s: accept: %v", prefix, err)
			time.Sleep(retryDelay)
			continue
		}
		handle(conn)
	}
}

// emptyQueue handles the connections that wait in the queue of a stopped listener, and
// closes it.
func emptyQueue(ln net.Listener, prefix string, handle func(net.Conn)) {
	for end := time.Now().Add(maxQueueTime); time.Now().Before(end); {
		if d, ok := ln.(deadliner); ok {
			d.SetDeadline(time.Now().Add(quietTime)) // fails only if the listener is closed; then Accept fails too
		}
		conn, err := ln.Accept()
		if err != nil {
			break
		}
		handle(conn)
	}
	if err := ln.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		klog.Warningf("%s: close the listener: %v", prefix, err)
	}
}
