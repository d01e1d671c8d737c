// Package document replicates one versioned document: the highest version
// wins, and its bytes are kept as they were sent.
//
// The package is pure and deterministic.
package document

import (
	"fmt"
	"sync"

	"github.com/cicadacove/cicadacove/internal/codec"
)

// Document is the content at one version.
type Document struct {
	Version uint64 `msgpack:"v"`
	// Content is in the form of Pack where it comes from a docstore.
	Content []byte `msgpack:"c"`
}

// Result says what became of a document that was put.
type Result struct {
	// Version is the version held afterwards.
	Version uint64 `msgpack:"v"`
	// Accepted is false when the version was not higher than the one held.
	Accepted bool `msgpack:"a"`
}

// Section is the document as the opaque section of the replicated control
// state (ctlstate.Section). It is safe for concurrent use.
type Section struct {
	mu   sync.RWMutex
	held *Document
}

// NewSection returns a section without a document.
func NewSection() *Section { return &Section{} }

// Put encodes the command that puts a document.
func Put(d Document) []byte { return codec.Marshal(d) }

// DecodeResult reads what Apply returned.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	if err := codec.Unmarshal(data, &r); err != nil {
		return Result{}, fmt.Errorf("document: result: %w", err)
	}
	return r, nil
}

// Decode reads a document in the form of Delta.
func Decode(update []byte) (Document, error) {
	var d Document
	if err := codec.Unmarshal(update, &d); err != nil {
		return Document{}, fmt.Errorf("document: update: %w", err)
	}
	return d, nil
}

// Apply takes the document in if its version is higher than the one held.
func (s *Section) Apply(_ uint64, command []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, err := Decode(command)
	if err != nil {
		return codec.Marshal(Result{Version: s.revision()})
	}
	accepted := s.held == nil || d.Version > s.held.Version
	if accepted {
		s.held = &d
	}
	return codec.Marshal(Result{Version: s.held.Version, Accepted: accepted})
}

// Latest returns the document. It must not be changed. ok is false before the
// first one.
func (s *Section) Latest() (d Document, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.held == nil {
		return Document{}, false
	}
	return *s.held, true
}

// Snapshot returns the state in binary form, empty without a document.
func (s *Section) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.held == nil {
		return nil, nil
	}
	return codec.Marshal(*s.held), nil
}

// Restore replaces the state by that of a snapshot.
func (s *Section) Restore(snapshot []byte) error {
	var held *Document
	if len(snapshot) > 0 {
		d, err := Decode(snapshot)
		if err != nil {
			return err
		}
		held = &d
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = held
	return nil
}

// Revision returns the version held, zero without a document.
func (s *Section) Revision() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.revision()
}

func (s *Section) revision() uint64 {
	if s.held == nil {
		return 0
	}
	return s.held.Version
}

// Delta returns the document for a reader that holds the given version, nil
// when there is nothing newer.
func (s *Section) Delta(from uint64) []byte {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.held == nil || s.held.Version <= from {
		return nil
	}
	return codec.Marshal(*s.held)
}
