package voter

import (
	"crypto/rand"
	"slices"
	"sync"

	"github.com/cicadacove/cicadacove/internal/core/replog"
)

// MemoryStore is a Store in memory, for tests and simulations within one
// process. It keeps its content when the voter that uses it stops.
type MemoryStore struct {
	id string
	mu sync.Mutex
	// stored is the persistent state.
	stored replog.StoredState
	syncs  int
}

// NewMemoryStore returns an empty store with a new identity.
func NewMemoryStore() *MemoryStore { return &MemoryStore{id: rand.Text()} }

// Identity implements Store.
func (s *MemoryStore) Identity() string { return s.id }

// Load implements Store.
func (s *MemoryStore) Load() replog.StoredState {
	s.mu.Lock()
	defer s.mu.Unlock()
	stored := s.stored
	stored.Entries = slices.Clone(stored.Entries)
	return stored
}

// Save implements Store.
func (s *MemoryStore) Save(hard replog.HardState, entries []replog.Entry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.syncs++
	s.stored.Hard = hard
	if len(entries) > 0 {
		kept := entries[0].Index - s.stored.Snapshot.Index - 1
		s.stored.Entries = append(s.stored.Entries[:kept:kept], entries...)
	}
	return nil
}

// SaveSnapshot implements Store.
func (s *MemoryStore) SaveSnapshot(hard replog.HardState, snapshot replog.Snapshot, entries []replog.Entry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.syncs++
	s.stored = replog.StoredState{Hard: hard, Snapshot: snapshot, Entries: slices.Clone(entries)}
	return nil
}

// Syncs returns the number of saves; a store on disk syncs at each.
func (s *MemoryStore) Syncs() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.syncs
}

// Close implements Store.
func (s *MemoryStore) Close() error { return nil }
