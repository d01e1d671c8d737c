package voter

import "github.com/cicadacove/cicadacove/internal/core/replog"

// Store persists the state of a voter. Save and SaveSnapshot return only after
// the data is synced; after an error the store accepts no further writes.
type Store interface {
	// Identity returns the unique identity of this store. A new store
	// generates its identity.
	Identity() string
	// Load returns the content of the store as of its opening.
	Load() replog.StoredState
	// Save stores the state and the entries. They replace all stored entries
	// from the index of the first one on.
	Save(hard replog.HardState, entries []replog.Entry) error
	// SaveSnapshot replaces the whole content with the state, the snapshot and
	// the entries that follow the snapshot.
	SaveSnapshot(hard replog.HardState, snapshot replog.Snapshot, entries []replog.Entry) error
	Close() error
}
