// Package configrpc carries configuration requests of operators to the leader
// of the control voters, from the entry instance that received them.
package configrpc

import (
	"context"
	"errors"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/revision"
	"github.com/cicadacove/cicadacove/internal/peer"
	"github.com/cicadacove/cicadacove/internal/voter"
)

// Kinds of requests to a voter.
const (
	kindPropose = "config.propose"
	kindPreview = "config.preview"
	kindView    = "config.view"
	kindHistory = "config.history"
)

// serverTimeout limits the time that a voter spends on one request.
const serverTimeout = 3 * time.Second

// status is the result of a request at a voter.
type status string

const (
	statusOK status = "ok"
	// statusNotLeader means that the request did not run; reply.LeaderAddr is
	// the address of the leader, if known.
	statusNotLeader status = "not leader"
	// statusUnknown means that the change may or may not take effect.
	statusUnknown status = "unknown"
)

// request is the body of every request.
type request struct {
	Command []byte                `msgpack:"c,omitempty"`
	Query   revision.HistoryQuery `msgpack:"q"`
}

// reply is the body of every reply. Body is encoded by package revision.
type reply struct {
	Status     status `msgpack:"s"`
	LeaderAddr string `msgpack:"l,omitempty"`
	Body       []byte `msgpack:"b,omitempty"`
}

// Server handles the requests to one voter.
type Server struct {
	log     voter.Log
	section *revision.Section
}

// Serve registers the handlers of a voter. section is the section of the
// control state that log replicates.
func Serve(s *peer.Server, log voter.Log, section *revision.Section) {
	server := &Server{log: log, section: section}
	peer.Handle(s, kindPropose, server.propose)
	peer.Handle(s, kindPreview, server.preview)
	peer.Handle(s, kindView, server.view)
	peer.Handle(s, kindHistory, server.history)
}

func (s *Server) propose(ctx context.Context, req request) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, serverTimeout)
	defer cancel()
	data, err := ctlstate.Command{Section: req.Command}.Encode()
	if err != nil {
		return reply{}, err
	}
	result, err := s.log.Propose(ctx, data)
	switch {
	case err == nil:
		return reply{Status: statusOK, Body: result}, nil
	case errors.Is(err, voter.ErrNotLeader):
		return s.notLeader(), nil
	}
	return reply{Status: statusUnknown}, nil
}

func (s *Server) preview(ctx context.Context, req request) (reply, error) {
	cmd, err := revision.DecodeCommand(req.Command)
	if err != nil {
		return reply{}, err
	}
	return s.read(ctx, func() []byte { return s.section.Preview(cmd).Encode() })
}

func (s *Server) view(ctx context.Context, _ request) (reply, error) {
	return s.read(ctx, func() []byte { return s.section.View().Encode() })
}

func (s *Server) history(ctx context.Context, req request) (reply, error) {
	return s.read(ctx, func() []byte { return s.section.History(req.Query).Encode() })
}

// read replies with the result of encode, which reads the section, once a
// quorum has confirmed that this voter is the leader. The read therefore
// reflects every accepted change.
func (s *Server) read(ctx context.Context, encode func() []byte) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, serverTimeout)
	defer cancel()
	if err := s.log.Confirm(ctx); err != nil {
		return s.notLeader(), nil
	}
	return reply{Status: statusOK, Body: encode()}, nil
}

// notLeader returns a reply with the address of the leader, if known.
func (s *Server) notLeader() reply {
	return reply{Status: statusNotLeader, LeaderAddr: s.log.Status().LeaderAddr}
}
