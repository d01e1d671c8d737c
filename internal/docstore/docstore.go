// Package docstore puts and reads the replicated document at the leader of the
// control voters, through any voter.
package docstore

import (
	"context"
	"errors"
	"fmt"

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

// ErrNoLeader means that no voter can tell now. For a put it means that the
// document may or may not be in force later.
var ErrNoLeader = errors.New("docstore: no voter leads")

// Store reaches the document through one voter. It is safe for concurrent use.
type Store struct {
	log     voter.Log
	section *document.Section
	client  *peer.Client
}

// putReply and readReply answer another voter.
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
	peer.Handle(server, kindPut, s.onPut)
	peer.Handle(server, kindRead, s.onRead)
	return s
}

// Put commits a content and returns once a quorum holds it. Error: ErrNoLeader
// and others; the document may then be in force all the same.
func (s *Store) Put(ctx context.Context, version uint64, content []byte) (document.Result, error) {
	packed, err := document.Pack(content)
	if err != nil {
		return document.Result{}, err
	}
	return s.forward(ctx, document.Document{Version: version, Content: packed})
}

// forward puts a document here if this voter leads, else at the leader.
func (s *Store) forward(ctx context.Context, d document.Document) (document.Result, error) {
	if s.log.Status().IsLeader() {
		return s.put(ctx, d)
	}
	addr := s.log.Status().LeaderAddr
	if addr == "" {
		return document.Result{}, ErrNoLeader
	}
	r, err := peer.Call[putReply](ctx, s.client, addr, kindPut, d)
	if err == nil && r.NotLeader {
		err = ErrNoLeader
	}
	return r.Result, err
}

func (s *Store) put(ctx context.Context, d document.Document) (document.Result, error) {
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

// Latest returns the content after a quorum has confirmed that there is no
// later one. found is false before the first document.
func (s *Store) Latest(ctx context.Context) (content []byte, found bool, err error) {
	d, found, err := s.ask(ctx)
	if err != nil || !found {
		return nil, false, err
	}
	content, err = document.Unpack(d.Content)
	return content, err == nil, err
}

// ask reads the document here if this voter leads, else at the leader.
func (s *Store) ask(ctx context.Context) (d document.Document, found bool, err error) {
	if s.log.Status().IsLeader() {
		return s.latest(ctx)
	}
	addr := s.log.Status().LeaderAddr
	if addr == "" {
		return document.Document{}, false, ErrNoLeader
	}
	r, err := peer.Call[readReply](ctx, s.client, addr, kindRead, struct{}{})
	if err == nil && r.NotLeader {
		err = ErrNoLeader
	}
	return r.Document, r.Found, err
}

func (s *Store) latest(ctx context.Context) (document.Document, bool, error) {
	if err := s.log.Confirm(ctx); err != nil {
		return document.Document{}, false, err
	}
	d, found := s.section.Latest()
	return d, found, nil
}

func (s *Store) onPut(ctx context.Context, d document.Document) (putReply, error) {
	if !s.log.Status().IsLeader() {
		return putReply{NotLeader: true}, nil
	}
	r, err := s.put(ctx, d)
	return putReply{Result: r}, err
}

func (s *Store) onRead(ctx context.Context, _ struct{}) (readReply, error) {
	if !s.log.Status().IsLeader() {
		return readReply{NotLeader: true}, nil
	}
	d, found, err := s.latest(ctx)
	return readReply{Document: d, Found: found}, err
}
