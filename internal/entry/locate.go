package entry

import (
	"context"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/session"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/peer"
)

// Kinds of peer requests.
const (
	kindLocate   = "entry.locate"
	kindRegister = "entry.register"
	kindCancel   = "entry.cancel"
)

const (
	// locateTimeout bounds a lookup at the session's holder.
	locateTimeout = 200 * time.Millisecond
	// registerRetry is the delay between attempts to register a write.
	registerRetry = 20 * time.Millisecond
)

// sessionRequest asks the holder for a session's latest write, or registers a
// write with it.
type sessionRequest struct {
	Epoch uint64      `msgpack:"e"`
	Key   session.Key `msgpack:"k"`
	Point topo.Point  `msgpack:"p"`
}

// sessionReply is the holder's reply. Known is false if the holder has no
// record of the session or if the epochs differ.
type sessionReply struct {
	Known bool       `msgpack:"k"`
	Point topo.Point `msgpack:"p"`
}

func (s *Server) handlePeerRequests() {
	if s.opts.Peers == nil {
		return
	}
	peer.Handle(s.opts.Peers, kindLocate, func(_ context.Context, r sessionRequest) (sessionReply, error) {
		return s.locateLocal(r), nil
	})
	peer.Handle(s.opts.Peers, kindRegister, func(_ context.Context, r sessionRequest) (sessionReply, error) {
		return s.registerLocal(r), nil
	})
	peer.Handle(s.opts.Peers, kindCancel, func(_ context.Context, r cancelRequest) (cancelReply, error) {
		return cancelReply{Found: s.cancelLocal(r)}, nil
	})
}

// locateLocal serves a lookup as the holder. The request's epoch must be
// active at this instance too.
func (s *Server) locateLocal(r sessionRequest) sessionReply {
	if !s.isActiveEpoch(r.Epoch) {
		return sessionReply{}
	}
	s.registryMu.Lock()
	defer s.registryMu.Unlock()
	point, known := s.registry.Get(r.Epoch, r.Key, time.Now())
	return sessionReply{Known: known, Point: point}
}

func (s *Server) registerLocal(r sessionRequest) sessionReply {
	if !s.isActiveEpoch(r.Epoch) {
		return sessionReply{}
	}
	s.registryMu.Lock()
	defer s.registryMu.Unlock()
	return sessionReply{Known: s.registry.Put(r.Epoch, r.Key, r.Point, time.Now())}
}

func (s *Server) isActiveEpoch(epoch uint64) bool {
	v, ok := s.opts.Control.View()
	return ok && v.Epoch == epoch
}

// callHolder sends a request to the session's holder in the active epoch. The
// holder is the entry instance that stores the session's latest write. ok is
// false if no epoch is active or the holder does not reply.
func (s *Server) callHolder(ctx context.Context, kind string, k session.Key, point topo.Point) (sessionReply, bool) {
	v, ok := s.opts.Control.View()
	if !ok {
		return sessionReply{}, false
	}
	holder, ok := session.Holder(k, v.Members)
	if !ok {
		return sessionReply{}, false
	}
	req := sessionRequest{Epoch: v.Epoch, Key: k, Point: point}
	if holder == s.opts.Self {
		if kind == kindRegister {
			return s.registerLocal(req), true
		}
		return s.locateLocal(req), true
	}
	addr, ok := s.opts.Control.PeerAddr(holder)
	if !ok {
		return sessionReply{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	reply, err := peer.Call[sessionReply](ctx, s.opts.Client, addr, kind, req)
	return reply, err == nil && s.isActiveEpoch(v.Epoch)
}

// requiredPoint is the point that the result of a read must include.
type requiredPoint struct {
	point topo.Point
	// pointUnknown is set if the session's latest write could not be determined.
	pointUnknown bool
}

// findRequiredPoint determines the session's latest write from this
// connection, from the token and, for a session with an id, from the session's
// holder.
func (c *callerSession) findRequiredPoint(ctx context.Context, req *request) (requiredPoint, outcome.Outcome, bool) {
	required := requiredPoint{point: c.lastWrite}
	token, o, ok := c.checkToken(req.attrs.Token)
	if !ok {
		return required, o, false
	}
	if token.Compare(required.point) > 0 {
		required.point = token
	}
	if req.attrs.SessionID == "" || req.service.MaxAge <= 0 {
		return required, outcome.Outcome{}, true
	}
	reply, ok := c.server.callHolder(ctx, kindLocate, session.Key{Session: req.attrs.SessionID, Group: c.group}, topo.Point{})
	if !ok || !reply.Known || c.isLostPoint(reply.Point) {
		required.pointUnknown = true
		return required, outcome.Outcome{}, true
	}
	if reply.Point.Compare(required.point) > 0 {
		required.point = reply.Point
	}
	return required, outcome.Outcome{}, true
}

// isLostPoint reports whether a failover has removed p, a point that the holder
// stores, from the group's log. The point need not belong to a write: after a
// read at the primary the holder stores the primary's point.
func (c *callerSession) isLostPoint(p topo.Point) bool {
	g, _ := c.server.opts.Control.Group(c.group)
	survives, known := g.Survives(p)
	return known && !survives
}

// register registers a write with the session's holder. This must succeed
// before the write is acknowledged. It returns false if ctx ends first.
func (c *callerSession) register(ctx context.Context, sessionID string, point topo.Point) bool {
	if sessionID == "" {
		return true
	}
	k := session.Key{Session: sessionID, Group: c.group}
	for {
		reply, ok := c.server.callHolder(ctx, kindRegister, k, point)
		if ok && reply.Known {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(registerRetry):
		}
	}
}

// registerPrimaryPoint registers the primary's point for a session of which
// the holder has no record. That point covers all writes of the session, so
// that its next reads may go to replicas.
func (c *callerSession) registerPrimaryPoint(sessionID string, point topo.Point) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), locateTimeout)
		defer cancel()
		c.server.callHolder(ctx, kindRegister, session.Key{Session: sessionID, Group: c.group}, point)
	}()
}
