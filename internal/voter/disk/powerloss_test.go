package disk

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

var errPowerLost = errors.New("power lost")

// memFS is a file system in memory that simulates a power loss, which loses all
// unsynced data. File contents and file names are synced separately.
type memFS struct {
	names, syncedNames map[string]*memFile
	// changesLeft is the number of changes until the power loss.
	changesLeft int
	// noSync makes Sync of files a no-op.
	noSync bool
}

type memFile struct {
	fs           *memFS
	data, synced []byte
}

func newMemFS(changes int) *memFS {
	return &memFS{names: map[string]*memFile{}, syncedNames: map[string]*memFile{}, changesLeft: changes}
}

func (m *memFS) countChange() error {
	if m.changesLeft--; m.changesLeft < 0 {
		return errPowerLost
	}
	return nil
}

// afterPowerLoss returns the file system as it is after the power loss. Up to
// tornBytes of the unsynced end of each file had reached the disk.
func (m *memFS) afterPowerLoss(tornBytes int) *memFS {
	restored := newMemFS(1 << 30)
	for name, f := range m.syncedNames {
		data := bytes.Clone(f.synced)
		if len(f.data) > len(data) {
			data = append(data, f.data[len(data):min(len(f.data), len(data)+tornBytes)]...)
		}
		file := &memFile{restored, data, bytes.Clone(data)}
		restored.names[name], restored.syncedNames[name] = file, file
	}
	return restored
}

func (m *memFS) Create(name string) (File, error) {
	f := &memFile{fs: m}
	if err := m.countChange(); err != nil {
		return nil, err
	}
	m.names[name] = f
	return f, nil
}

func (m *memFS) Open(name string) (File, error) {
	f, ok := m.names[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return f, nil
}

func (m *memFS) ReadFile(name string) ([]byte, error) {
	f, ok := m.names[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return bytes.Clone(f.data), nil
}

func (m *memFS) Rename(from, to string) error {
	if err := m.countChange(); err != nil {
		return err
	}
	m.names[to] = m.names[from]
	delete(m.names, from)
	return nil
}

func (m *memFS) Remove(name string) error {
	if err := m.countChange(); err != nil {
		return err
	}
	delete(m.names, name)
	return nil
}

func (m *memFS) List() ([]string, error) { return slices.Sorted(maps.Keys(m.names)), nil }

func (m *memFS) SyncDir() error {
	if err := m.countChange(); err != nil {
		return err
	}
	m.syncedNames = maps.Clone(m.names)
	return nil
}

func (m *memFS) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

func (f *memFile) WriteAt(data []byte, offset int64) (int, error) {
	if err := f.fs.countChange(); err != nil {
		return 0, err
	}
	if end := int(offset) + len(data); end > len(f.data) {
		f.data = append(f.data, make([]byte, end-len(f.data))...)
	}
	return copy(f.data[offset:], data), nil
}

func (f *memFile) Sync() error {
	if err := f.fs.countChange(); err != nil {
		return err
	}
	if !f.fs.noSync {
		f.synced = bytes.Clone(f.data)
	}
	return nil
}

func (f *memFile) Truncate(size int64) error {
	f.data = f.data[:size]
	return nil
}

func (f *memFile) Close() error { return nil }

// saveUntilPowerLoss saves entries until the power loss and opens the store
// again. It reports whether all saves succeeded before the power loss, and
// returns an error if the reopened store lacks saved entries or fails.
func saveUntilPowerLoss(m *memFS, tornBytes int) (completed bool, loss error) {
	var saved uint64
	s, err := OpenFS(m)
	if err == nil {
		saved, err = saveEntries(s, 1, 10)
	}
	reopened, openErr := OpenFS(m.afterPowerLoss(tornBytes))
	if openErr != nil {
		return err == nil, openErr
	}
	if last := reopened.lastIndex(); last < saved || last > saved+1 {
		return err == nil, fmt.Errorf("%d entries were saved, the reopened store has %d", saved, last)
	}
	_, saveErr := saveEntries(reopened, reopened.lastIndex()+1, reopened.lastIndex()+5)
	return err == nil, saveErr
}

// TestPowerLossLosesNothingSaved simulates a power loss after each change to
// the file system.
func TestPowerLossLosesNothingSaved(t *testing.T) {
	for _, tornBytes := range []int{0, 1, 20, 30, 1 << 20} {
		for changes, completed := 0, false; !completed; changes++ {
			var loss error
			completed, loss = saveUntilPowerLoss(newMemFS(changes), tornBytes)
			require.NoError(t, loss, "power loss after %d changes, %d unsynced bytes on disk", changes, tornBytes)
		}
	}
}

func TestPowerLossDetectsAMissingSync(t *testing.T) {
	m := newMemFS(60)
	m.noSync = true
	_, loss := saveUntilPowerLoss(m, 0)
	require.Error(t, loss)
}
