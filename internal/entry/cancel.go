package entry

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/cicadacove/cicadacove/internal/peer"
	"github.com/cicadacove/cicadacove/internal/upstream"
)

// cancelTimeout bounds the forwarding of a cancel request to other entry
// instances or to the upstream.
const cancelTimeout = time.Second

// cancelRequest identifies the session whose request the caller wants to
// cancel.
type cancelRequest struct {
	PID    uint32 `msgpack:"p"`
	Secret []byte `msgpack:"s"`
}

type cancelReply struct {
	Found bool `msgpack:"f"`
}

func decodeSecret(b []byte) uint32 {
	if len(b) != 4 {
		return 0
	}
	return binary.BigEndian.Uint32(b)
}

// cancelLocal cancels the session's running request if the session is at this
// instance.
func (s *Server) cancelLocal(r cancelRequest) bool {
	s.mu.Lock()
	c, ok := s.sessions[r.PID]
	s.mu.Unlock()
	if !ok || decodeSecret(r.Secret) != decodeSecret(c.secret[:]) {
		return false
	}
	c.cancelActive()
	return true
}

// cancelOnPeers forwards a cancel request to the other entry instances, since
// the load balancer may send it to any instance.
func (s *Server) cancelOnPeers(r cancelRequest) {
	v, ok := s.opts.Control.View()
	if !ok || s.opts.Client == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	for _, m := range v.Members {
		addr, ok := s.opts.Control.PeerAddr(m)
		if !ok || m == s.opts.Self {
			continue
		}
		reply, err := peer.Call[cancelReply](ctx, s.opts.Client, addr, kindCancel, r)
		if err == nil && reply.Found {
			return
		}
	}
}

func (c *callerSession) setActiveConn(conn *upstream.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeConn = conn
}

func (c *callerSession) cancelActive() {
	// While the lock is held, the session cannot release the connection before
	// it is marked as retired.
	c.mu.Lock()
	conn := c.activeConn
	if conn != nil {
		conn.Retire()
	}
	c.mu.Unlock()
	if conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	conn.Cancel(ctx)
}
