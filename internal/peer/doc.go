// Package peer carries typed requests between entry instances: msgpack in
// length-framed TCP, many requests at once on one connection.
//
//	s := peer.NewServer(peer.Options{Secret: secret})
//	peer.Handle(s, "lease.renew", func(ctx context.Context, req Renew) (Renewed, error) { ... })
//	go s.Serve(listener)
//
//	c := peer.NewClient(peer.Options{Secret: secret})
//	renewed, err := peer.Call[Renewed](ctx, c, "127.0.0.1:7001", "lease.renew", Renew{...})
//
// Both sides prove that they know the secret before the first request.
package peer

import (
	"context"
	"net"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/hlc"
)

// Options configures a Server or a Client.
type Options struct {
	// Secret authenticates both sides of a connection.
	Secret []byte
	// Dial opens connections; nil means a net.Dialer.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Clock orders the events of both sides; nil sends no timestamps.
	Clock Clock
}

// Clock is a hybrid logical clock. Every frame carries a timestamp of the
// sender's clock, which the receiver's clock observes.
type Clock interface {
	Stamp() hlc.Timestamp
	Observe(received hlc.Timestamp)
}

// stamp sets the timestamp of a frame to be sent.
func (o *Options) stamp(f *Frame) {
	if o.Clock == nil {
		return
	}
	t := o.Clock.Stamp()
	f.Clock = &t
}

// observe takes over the timestamp of a received frame.
func (o *Options) observe(f *Frame) {
	if o.Clock != nil && f.Clock != nil {
		o.Clock.Observe(*f.Clock)
	}
}

const (
	// handshakeTimeout bounds the exchange of proofs.
	handshakeTimeout = 2 * time.Second
	// writeTimeout bounds the write of one frame to a peer that does not read.
	writeTimeout = 5 * time.Second
	// pingEvery is how often a link is checked on which nothing came back for
	// what was sent, pingTimeout how long the answer may take.
	pingEvery   = time.Second
	pingTimeout = time.Second
	// kindPing is answered by every server.
	kindPing = "peer.ping"
	// maxConcurrent bounds the requests of one connection that run at once.
	maxConcurrent = 1024
)

// RemoteError is the failure of a request at the other side.
type RemoteError struct{ Text string }

// Error returns the other side's text.
func (e *RemoteError) Error() string { return e.Text }
