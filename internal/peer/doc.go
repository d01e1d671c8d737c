// Package peer carries typed requests between entry instances: msgpack messages
// in length-prefixed frames over TCP, with many concurrent requests on one
// connection.
//
//	s := peer.NewServer(peer.Options{Secret: secret})
//	peer.Handle(s, "lease.renew", func(ctx context.Context, req Renew) (Renewed, error) { ... })
//	go s.Serve(listener)
//
//	c := peer.NewClient(peer.Options{Secret: secret})
//	renewed, err := peer.Call[Renewed](ctx, c, "127.0.0.1:7001", "lease.renew", Renew{...})
//
// Client and server authenticate each other with the shared secret before the first
// request.
package peer

import (
	"context"
	"net"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/hlc"
)

// Options configures a Server or a Client.
type Options struct {
	// Secret is the shared secret with which client and server authenticate
	// each other.
	Secret []byte
	// Dial opens connections; nil means a net.Dialer.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Clock orders the events of the two processes; nil sends no timestamps.
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

// observe passes the timestamp of a received frame to the clock.
func (o *Options) observe(f *Frame) {
	if o.Clock != nil && f.Clock != nil {
		o.Clock.Observe(*f.Clock)
	}
}

const (
	// handshakeTimeout limits the dial and the handshake together in the
	// client, and the handshake in the server.
	handshakeTimeout = 2 * time.Second
	// writeTimeout limits the write of one frame, which blocks when the other
	// side does not read.
	writeTimeout = 5 * time.Second
	// pingInterval is the time between two checks of a link for unanswered
	// frames; pingTimeout is the longest wait for the reply to a ping.
	pingInterval = time.Second
	pingTimeout  = time.Second
	// kindPing is the request kind of a ping. Every server replies to it.
	kindPing = "peer.ping"
	// maxConcurrentRequests limits the concurrent requests of one connection.
	maxConcurrentRequests = 1024
	// maxKeptBuffer is the capacity up to which a connection keeps its buffer for the next
	// frame. An instance has a connection to each of the others.
	maxKeptBuffer = 64 << 10
)

// NotSentError means that a request was not sent, since no connection to the server could
// be used.
type NotSentError struct{ Err error }

// Error returns the text of the cause.
func (e *NotSentError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// RemoteError is an error that the server returned for a request.
type RemoteError struct{ Text string }

// Error returns the error text of the server.
func (e *RemoteError) Error() string { return e.Text }
