package measure

import (
	"context"
	"net"
	"sync/atomic"
)

// traffic counts the bytes that one process receives and sends on its
// connections.
type traffic struct {
	in, out atomic.Int64
}

// byteCounts holds the numbers of bytes received and sent.
type byteCounts struct{ in, out int64 }

func (t *traffic) counts() byteCounts { return byteCounts{t.in.Load(), t.out.Load()} }

// dial opens a counted connection.
func (t *traffic) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return countedConn{conn, t}, nil
}

// listen returns a listener on loopback whose connections are counted.
func (t *traffic) listen() (net.Listener, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, err
	}
	return countedListener{l, t}, nil
}

// loopback is an address with a free port.
const loopback = "127.0.0.1:0"

type countedListener struct {
	net.Listener
	traffic *traffic
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{conn, l.traffic}, nil
}

type countedConn struct {
	net.Conn
	traffic *traffic
}

// Read implements net.Conn.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.out.Add(int64(n))
	return n, err
}
