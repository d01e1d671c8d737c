// Package accept accepts the connections of a listener.
package accept

import (
	"errors"
	"net"
	"time"

	"k8s.io/klog/v2"
)

// retryDelay is the delay after a failed accept, for example when the process
// has run out of file descriptors.
const retryDelay = 10 * time.Millisecond

// Each accepts connections and calls handle for each of them until the
// listener is closed. It logs other errors with the prefix and continues.
// handle must not block.
func Each(ln net.Listener, prefix string, handle func(net.Conn)) {
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
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
