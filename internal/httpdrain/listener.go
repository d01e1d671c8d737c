package httpdrain

import (
	"net"

	"github.com/cicadacove/cicadacove/internal/accept"
)

// listener passes the accepted connections of a Server to net/http.
type listener struct {
	net.Listener
	server *Server
	conns  chan *conn
	// drained is closed when no connection follows, done when net/http takes none.
	drained, done chan struct{}
}

func newListener(s *Server, ln net.Listener) *listener {
	return &listener{ln, s, make(chan *conn), make(chan struct{}), make(chan struct{})}
}

// run accepts connections until the listener is closed, or stopped and its queue empty.
func (l *listener) run() {
	defer close(l.drained)
	accept.Each(l.Listener, "httpdrain", func(nc net.Conn) {
		c, ok := l.server.open(nc)
		if !ok {
			nc.Close()
			return
		}
		if !l.server.track(c) {
			c.Close()
			return
		}
		select {
		case l.conns <- c:
		case <-l.done:
			c.Close()
		}
	})
}

// Accept returns the next accepted connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.drained:
		return nil, net.ErrClosed
	}
}
