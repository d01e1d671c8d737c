// Package document replicates one versioned document: the highest version
// wins, and its content is stored unchanged.
//
// The package is deterministic and does no I/O.
package document

import (
	"fmt"
	"sync"

	"github.com/cicadacove/cicadacove/internal/codec"
)

// Document is the content at one version.
type Document struct {
	Version uint64 `msgpack:"v"`
	// Content is compressed by Pack if it comes from a docstore.
	Content []byte `msgpack:"c"`
}

// Result is the result of putting a document.
type Result struct {
	// Version is the current version afterwards.
	Version uint64 `msgpack:"v"`
	// Accepted is false if the version was not higher than the current one.
	Accepted bool `msgpack:"a"`
}

// Section wraps the document as the opaque section of the replicated control
// state (ctlstate.Section). It is safe for concurrent use.
type Section struct {
	mu      sync.RWMutex
	current *Document
}

// NewSection returns a section without a document.
func NewSection() *Section { return &Section{} }

// Put returns the encoded command that puts a document.
func Put(d Document) []byte { return codec.Marshal(d) }

// DecodeResult decodes a result that Apply returned.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	if err := codec.Unmarshal(data, &r); err != nil {
		return Result{}, fmt.Errorf("document: result: %w", err)
	}
	return r, nil
}

// Decode decodes a document that Delta returned.
func Decode(update []byte) (Document, error) {
	var d Document
	if err := codec.Unmarshal(update, &d); err != nil {
		return Document{}, fmt.Errorf("document: update: %w", err)
	}
	return d, nil
}

// Apply stores the document of the command if its version is higher than the
// current one.
func (s *Section) Apply(_ uint64, command []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, err := Decode(command)
	if err != nil {
		return codec.Marshal(Result{Version: s.revision()})
	}
	accepted := s.current == nil || d.Version > s.current.Version
	if accepted {
		s.current = &d
	}
	return codec.Marshal(Result{Version: s.current.Version, Accepted: accepted})
}

// Latest returns the current document, which must not be modified. ok is false if
// there is none yet.
func (s *Section) Latest() (d Document, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.current == nil {
		return Document{}, false
	}
	return *s.current, true
}

// Snapshot returns the encoded state, empty without a document.
func (s *Section) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.current == nil {
		return nil, nil
	}
	return codec.Marshal(*s.current), nil
}

// Restore replaces the state with that of a snapshot.
func (s *Section) Restore(snapshot []byte) error {
	var current *Document
	if len(snapshot) > 0 {
		d, err := Decode(snapshot)
		if err != nil {
			return err
		}
		current = &d
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = current
	return nil
}

// Revision returns the current version, zero without a document.
func (s *Section) Revision() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.revision()
}

func (s *Section) revision() uint64 {
	if s.current == nil {
		return 0
	}
	return s.current.Version
}

// Delta returns the encoded document for a reader at the given version, nil if
// there is no later version. A reader without a document is at version 0 too, so that a
// document of that version is always returned.
func (s *Section) Delta(from uint64) []byte {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.current == nil || s.current.Version <= from && s.current.Version > 0 {
		return nil
	}
	return codec.Marshal(*s.current)
}
