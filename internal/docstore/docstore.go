// Package docstore writes and reads the replicated document at the leader of
// the control voters, through any voter.
package docstore

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/document"
	"github.com/cicadacove/cicadacove/internal/peer"
	"github.com/cicadacove/cicadacove/internal/voter"
)

// Kinds of requests to a voter.
const (
	kindPut  = "document.put"
	kindRead = "document.read"
)

// ErrNoLeader means that this voter has no leader, or that the voter that it
// called is no longer the leader. After a put it means that the document may
// or may not take effect later.
var ErrNoLeader = errors.New("docstore: no leader")

// Store gives access to the document through one voter. It is safe for
// concurrent use.
type Store struct {
	log     voter.Log
	section *document.Section
	client  *peer.Client
}

// putReply and readReply are the replies to another voter.
type putReply struct {
	NotLeader bool            `msgpack:"n,omitempty"`
	Result    document.Result `msgpack:"r"`
}

type readReply struct {
	NotLeader bool              `msgpack:"n,omitempty"`
	Document  document.Document `msgpack:"d"`
	Found     bool              `msgpack:"f"`
}

// New returns a store and registers its handlers with the server.
func New(log voter.Log, section *document.Section, client *peer.Client, server *peer.Server) *Store {
	s := &Store{log: log, section: section, client: client}
	peer.Handle(server, kindPut, s.handlePut)
	peer.Handle(server, kindRead, s.handleRead)
	return s
}

// Put writes a version of the content and returns once its entry is committed.
// After an error, ErrNoLeader included, the document may still take effect.
func (s *Store) Put(ctx context.Context, version uint64, content []byte) (document.Result, error) {
	packed, err := document.Pack(content)
	if err != nil {
		return document.Result{}, err
	}
	return s.putAtLeader(ctx, document.Document{Version: version, Content: packed})
}

// putAtLeader puts a document through the log of this voter if it is the
// leader, else by a request to the leader.
func (s *Store) putAtLeader(ctx context.Context, d document.Document) (document.Result, error) {
	if s.log.Status().IsLeader() {
		return s.putLocal(ctx, d)
	}
	addr, err := s.leaderAddr()
	if err != nil {
		return document.Result{}, err
	}
	r, err := peer.Call[putReply](ctx, s.client, addr, kindPut, d)
	if err == nil && r.NotLeader {
		err = ErrNoLeader
	}
	return r.Result, err
}

// leaderAddr returns the address of the leader, or an error that tells why there is
// none.
func (s *Store) leaderAddr() (string, error) {
	status := s.log.Status()
	if status.LeaderAddr == "" {
		return "", fmt.Errorf("%w: %s", ErrNoLeader, status.DescribeNoLeader(time.Now()))
	}
	return status.LeaderAddr, nil
}

func (s *Store) putLocal(ctx context.Context, d document.Document) (document.Result, error) {
	data, err := ctlstate.Command{Section: document.Put(d)}.Encode()
	if err != nil {
		return document.Result{}, fmt.Errorf("docstore: %w", err)
	}
	out, err := s.log.Propose(ctx, data)
	if err != nil {
		return document.Result{}, err
	}
	return document.DecodeResult(out)
}

// Latest returns the content of the latest document, after a quorum has
// confirmed that the voter that reads it is the leader. found is false before
// the first document.
func (s *Store) Latest(ctx context.Context) (content []byte, found bool, err error) {
	d, found, err := s.readAtLeader(ctx)
	if err != nil || !found {
		return nil, false, err
	}
	content, err = document.Unpack(d.Content)
	return content, err == nil, err
}

// readAtLeader reads the document from the section of this voter if it is the
// leader, else by a request to the leader.
func (s *Store) readAtLeader(ctx context.Context) (d document.Document, found bool, err error) {
	if s.log.Status().IsLeader() {
		return s.readLocal(ctx)
	}
	addr, err := s.leaderAddr()
	if err != nil {
		return document.Document{}, false, err
	}
	r, err := peer.Call[readReply](ctx, s.client, addr, kindRead, struct{}{})
	if err == nil && r.NotLeader {
		err = ErrNoLeader
	}
	return r.Document, r.Found, err
}

func (s *Store) readLocal(ctx context.Context) (document.Document, bool, error) {
	if err := s.log.Confirm(ctx); err != nil {
		return document.Document{}, false, err
	}
	d, found := s.section.Latest()
	return d, found, nil
}

func (s *Store) handlePut(ctx context.Context, d document.Document) (putReply, error) {
	if !s.log.Status().IsLeader() {
		return putReply{NotLeader: true}, nil
	}
	r, err := s.putLocal(ctx, d)
	return putReply{Result: r}, err
}

func (s *Store) handleRead(ctx context.Context, _ struct{}) (readReply, error) {
	if !s.log.Status().IsLeader() {
		return readReply{NotLeader: true}, nil
	}
	d, found, err := s.readLocal(ctx)
	return readReply{Document: d, Found: found}, err
}
