// Package accept takes in the connections of a listener.
package accept

import (
	"errors"
	"net"
	"time"

	"k8s.io/klog/v2"
)

// pause is the wait after a failed accept, for instance while the process has
// no descriptor left.
const pause = 10 * time.Millisecond

// Each calls handle for every connection until the listener is closed. Other
// errors are logged with the prefix and do not end it. handle must not wait.
func Each(ln net.Listener, prefix string, handle func(net.Conn)) {
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			klog.Warningf("%s: accept: %v", prefix, err)
			time.Sleep(pause)
			continue
		}
		handle(conn)
	}
}
