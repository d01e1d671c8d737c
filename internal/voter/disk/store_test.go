package disk

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/core/replog"
)

func entry(index uint64) replog.Entry {
	return replog.Entry{Term: 1, Index: index, Data: []byte("an entry of the control log")}
}

func hardState(commit uint64) replog.HardState {
	return replog.HardState{Cluster: "k", Term: 1, Vote: "v", Commit: commit}
}

func openStore(t *testing.T, folder string) *Store {
	t.Helper()
	s, err := Open(folder)
	require.NoError(t, err)
	return s
}

// folderWithEntries returns a folder with entries 1 to n, each written by a
// Save of its own. The store is closed.
func folderWithEntries(t *testing.T, n uint64) string {
	t.Helper()
	folder := t.TempDir()
	s := openStore(t, folder)
	for i := uint64(1); i <= n; i++ {
		require.NoError(t, s.Save(hardState(i-1), []replog.Entry{entry(i)}))
	}
	require.NoError(t, s.Close())
	return folder
}

func TestReopenReturnsSavedState(t *testing.T) {
	folder := t.TempDir()
	s := openStore(t, folder)
	require.True(t, s.Report().Created)
	id := s.Identity()
	require.NotEmpty(t, id)
	require.Zero(t, s.Load())
	require.NoError(t, s.Save(hardState(0), []replog.Entry{entry(1), entry(2), entry(3)}))
	replaced := replog.Entry{Term: 2, Index: 2, Kind: replog.EntryMembers, Members: replog.Membership{{ID: "a", Addr: "b", Voter: true}}}
	require.NoError(t, s.Save(hardState(1), []replog.Entry{replaced}))
	require.NoError(t, s.Save(hardState(2), nil))
	require.NoError(t, s.Close())

	s = openStore(t, folder)
	defer s.Close()
	require.Equal(t, id, s.Identity())
	require.False(t, s.Report().Created)
	require.Equal(t, replog.StoredState{Hard: hardState(2), Entries: []replog.Entry{entry(1), replaced}}, s.Load())
}

func TestSnapshotBeginsAGeneration(t *testing.T) {
	folder := folderWithEntries(t, 5)
	s := openStore(t, folder)
	snapshot := replog.Snapshot{Index: 4, Term: 1, Members: replog.Membership{{ID: "a"}}, Data: []byte("state")}
	require.NoError(t, s.SaveSnapshot(hardState(4), snapshot, []replog.Entry{entry(5)}))
	require.NoError(t, s.Save(hardState(5), []replog.Entry{entry(6)}))
	require.NoError(t, s.Close())

	s = openStore(t, folder)
	defer s.Close()
	want := replog.StoredState{Hard: hardState(5), Snapshot: snapshot, Entries: []replog.Entry{entry(5), entry(6)}}
	require.Equal(t, want, s.Load())
	require.Equal(t, []string{"identity", "lock", "log-2", "mark", "snapshot-2"}, fileNames(t, folder))
}

func fileNames(t *testing.T, folder string) []string {
	t.Helper()
	fs, err := NewFS(folder)
	require.NoError(t, err)
	names, err := fs.List()
	require.NoError(t, err)
	return names
}

func TestSecondProcessIsRefused(t *testing.T) {
	folder := t.TempDir()
	s := openStore(t, folder)
	_, err := Open(folder)
	require.ErrorIs(t, err, ErrLocked)
	require.NoError(t, s.Close())
	require.NoError(t, openStore(t, folder).Close())
}

func rewriteFile(t *testing.T, folder, name string, f func([]byte) []byte) {
	t.Helper()
	path := filepath.Join(folder, name)
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, f(data), fileMode))
}

// TestTornWriteIsTruncatedAndReported interrupts the last write, which was not
// synced, after each of its bytes.
func TestTornWriteIsTruncatedAndReported(t *testing.T) {
	torn, _, err := encodeFrame(4, record{Hard: hardState(3), Entries: []replog.Entry{entry(4)}})
	require.NoError(t, err)
	for cut := 1; cut < len(torn); cut++ {
		folder := folderWithEntries(t, 3)
		rewriteFile(t, folder, "log-1", func(b []byte) []byte { return append(b, torn[:cut]...) })
		s := openStore(t, folder)
		require.EqualValues(t, cut, s.Report().TornBytes)
		require.Equal(t, "log-1", s.Report().TornFile)
		require.Len(t, s.Load().Entries, 3)
		require.NoError(t, s.Save(hardState(3), nil))
		require.NoError(t, s.Close())
		s = openStore(t, folder)
		require.Zero(t, s.Report().TornBytes, "Open has removed the torn write")
		require.NoError(t, s.Save(hardState(3), []replog.Entry{entry(4)}))
		require.NoError(t, s.Close())
	}
}

// TestTruncationOfAcknowledgedData truncates a log at each byte. Open must
// return an error, since all of the log was acknowledged.
func TestTruncationOfAcknowledgedData(t *testing.T) {
	folder := folderWithEntries(t, 3)
	path := filepath.Join(folder, "log-1")
	intact, err := os.ReadFile(path)
	require.NoError(t, err)
	for size := range intact {
		require.NoError(t, os.WriteFile(path, intact[:size], fileMode))
		_, err := Open(folder)
		var corrupt *CorruptError
		require.ErrorAs(t, err, &corrupt, "truncated to %d bytes", size)
		require.Equal(t, "log-1", corrupt.File)
	}
	require.NoError(t, os.WriteFile(path, intact, fileMode))
	require.NoError(t, openStore(t, folder).Close())
}

// TestEachBitFlipIsDetected flips a bit in each byte of each file.
func TestEachBitFlipIsDetected(t *testing.T) {
	folder := folderWithEntries(t, 3)
	for _, name := range []string{"log-1", "snapshot-1", "identity"} {
		path := filepath.Join(folder, name)
		intact, err := os.ReadFile(path)
		require.NoError(t, err)
		for i := range intact {
			flipped := append([]byte(nil), intact...)
			flipped[i] ^= 1 << (i % 8)
			require.NoError(t, os.WriteFile(path, flipped, fileMode))
			_, err := Open(folder)
			var corrupt *CorruptError
			require.ErrorAs(t, err, &corrupt, "%s byte %d", name, i)
			require.Equal(t, name, corrupt.File)
			require.LessOrEqual(t, corrupt.Offset, int64(i))
			require.NotEmpty(t, corrupt.Field)
		}
		require.NoError(t, os.WriteFile(path, intact, fileMode))
	}
	require.NoError(t, openStore(t, folder).Close())
}

// TestBitFlipBeyondTheMark damages a frame that a stale mark does not cover.
// The frame after it shows that the damage is not that of a torn write.
func TestBitFlipBeyondTheMark(t *testing.T) {
	folder := folderWithEntries(t, 1)
	staleMark, err := os.ReadFile(filepath.Join(folder, markName))
	require.NoError(t, err)
	s := openStore(t, folder)
	flipOffset := s.size + headerBytes + 3
	for i := uint64(2); i <= 3; i++ {
		require.NoError(t, s.Save(hardState(i-1), []replog.Entry{entry(i)}))
	}
	require.NoError(t, s.Close())
	rewriteFile(t, folder, markName, func([]byte) []byte { return staleMark })
	rewriteFile(t, folder, "log-1", func(b []byte) []byte {
		b[flipOffset] ^= 1
		return b
	})
	_, err = Open(folder)
	var corrupt *CorruptError
	require.ErrorAs(t, err, &corrupt)
	require.Equal(t, FieldChecksum, corrupt.Field)
}

// TestMismatchedFilesAreDetected combines files and frames that are intact
// but do not belong together.
func TestMismatchedFilesAreDetected(t *testing.T) {
	cases := []struct {
		want   Field
		damage func(folder string)
	}{
		{FieldSnapshot, func(folder string) {
			other := folderWithEntries(t, 1)
			s := openStore(t, other)
			require.NoError(t, s.SaveSnapshot(hardState(1), replog.Snapshot{Index: 1, Term: 1}, nil))
			require.NoError(t, s.Close())
			data, err := os.ReadFile(filepath.Join(other, "snapshot-2"))
			require.NoError(t, err)
			rewriteFile(t, folder, "snapshot-1", func([]byte) []byte { return data })
		}},
		{FieldSequence, func(folder string) {
			rewriteFile(t, folder, "log-1", func(b []byte) []byte {
				first, _ := decodeFrame(b, 0)
				second, _ := decodeFrame(b[first.size:], 1)
				return append(b[:first.size], b[first.size+second.size:]...)
			})
		}},
		{FieldCommit, func(folder string) {
			s := openStore(t, folder)
			require.NoError(t, s.Save(hardState(9), nil))
			require.NoError(t, s.Close())
		}},
		{FieldEntryIndex, func(folder string) {
			s := openStore(t, folder)
			require.NoError(t, s.Save(hardState(3), []replog.Entry{entry(5)}))
			require.NoError(t, s.Close())
		}},
		{FieldName, func(folder string) {
			require.NoError(t, os.Remove(filepath.Join(folder, "identity")))
		}},
	}
	for _, tc := range cases {
		folder := folderWithEntries(t, 3)
		tc.damage(folder)
		_, err := Open(folder)
		var corrupt *CorruptError
		require.ErrorAs(t, err, &corrupt, tc.want)
		require.Equal(t, tc.want, corrupt.Field)
	}
}

func TestMissingFiles(t *testing.T) {
	for _, name := range []string{"identity", "snapshot-1", "log-1", "mark"} {
		folder := folderWithEntries(t, 3)
		require.NoError(t, os.Remove(filepath.Join(folder, name)))
		_, err := Open(folder)
		var corrupt *CorruptError
		require.ErrorAs(t, err, &corrupt, name)
		require.Equal(t, name, corrupt.File)
	}
}

// faultyFS is a file system that fails after a number of written bytes or of
// changes. Like a full disk it writes the part of the data that fits.
type faultyFS struct {
	FS
	bytesLeft   int
	changesLeft int
}

var errNoSpace = errors.New("no space left on device")

func (fs *faultyFS) countChange() error {
	if fs.changesLeft--; fs.changesLeft < 0 {
		return errNoSpace
	}
	return nil
}

func (fs *faultyFS) Create(name string) (File, error) {
	if err := fs.countChange(); err != nil {
		return nil, err
	}
	f, err := fs.FS.Create(name)
	return &faultyFile{f, fs}, err
}

func (fs *faultyFS) Open(name string) (File, error) {
	f, err := fs.FS.Open(name)
	return &faultyFile{f, fs}, err
}

func (fs *faultyFS) Rename(from, to string) error {
	if err := fs.countChange(); err != nil {
		return err
	}
	return fs.FS.Rename(from, to)
}

func (fs *faultyFS) Remove(name string) error {
	if err := fs.countChange(); err != nil {
		return err
	}
	return fs.FS.Remove(name)
}

func (fs *faultyFS) SyncDir() error {
	if err := fs.countChange(); err != nil {
		return err
	}
	return fs.FS.SyncDir()
}

func (fs *faultyFS) Lock(name string) (io.Closer, error) { return fs.FS.Lock(name) }

type faultyFile struct {
	File
	fs *faultyFS
}

func (f *faultyFile) WriteAt(data []byte, offset int64) (int, error) {
	if fits := f.fs.bytesLeft; fits < len(data) {
		f.fs.bytesLeft = 0
		n, _ := f.File.WriteAt(data[:fits], offset)
		return n, errNoSpace
	}
	f.fs.bytesLeft -= len(data)
	return f.File.WriteAt(data, offset)
}

func (f *faultyFile) Sync() error {
	if err := f.fs.countChange(); err != nil {
		return err
	}
	return f.File.Sync()
}

// saveEntries saves the entries in the range, and a snapshot after every fourth
// one. It returns the index of the last entry whose save succeeded.
func saveEntries(s *Store, from, to uint64) (saved uint64, err error) {
	saved = from - 1
	for i := from; i <= to; i++ {
		if err := s.Save(hardState(i-1), []replog.Entry{entry(i)}); err != nil {
			return saved, err
		}
		saved = i
		if i%4 != 0 {
			continue
		}
		snapshot := replog.Snapshot{Index: i, Term: 1, Data: []byte("state")}
		if err := s.SaveSnapshot(hardState(i), snapshot, nil); err != nil {
			return saved, err
		}
	}
	return saved, nil
}

// TestFullDiskLosesNothing fails the file system after each number of bytes and
// of changes. The reopened store must hold all entries whose save succeeded.
func TestFullDiskLosesNothing(t *testing.T) {
	const unlimited = 1 << 30
	run := func(bytes, changes int) (completed bool) {
		folder := t.TempDir()
		base, err := NewFS(folder)
		require.NoError(t, err)
		fs := &faultyFS{base, bytes, changes}
		var saved uint64
		s, err := OpenFS(fs)
		if err == nil {
			saved, err = saveEntries(s, 1, 10)
			if err != nil {
				require.ErrorIs(t, err, errNoSpace)
				require.ErrorIs(t, s.Save(hardState(1), nil), errNoSpace, "no save succeeds after a failed one")
			}
			_ = s.Close()
		}
		reopened := openStore(t, folder)
		defer reopened.Close()
		require.GreaterOrEqual(t, reopened.lastIndex(), saved, "bytes %d, changes %d", bytes, changes)
		require.LessOrEqual(t, reopened.lastIndex(), saved+1)
		_, saveErr := saveEntries(reopened, reopened.lastIndex()+1, reopened.lastIndex()+5)
		require.NoError(t, saveErr)
		return err == nil
	}
	for bytes := 0; !run(bytes, unlimited); bytes += 7 {
	}
	for changes := 0; !run(unlimited, changes); changes++ {
	}
}

func TestOpenWritableFailsOnADiskThatRefusesWrites(t *testing.T) {
	full := &refusingFS{FS: mustFS(t, folderWithEntries(t, 3))}
	s, err := OpenFS(full)
	require.NoError(t, err, "reading alone succeeds")
	require.NoError(t, s.close())
	_, err = OpenWritableFS(full)
	require.True(t, IsUnavailable(err), err)
	require.False(t, IsUnavailable(&CorruptError{}))
}

func mustFS(t *testing.T, folder string) FS {
	t.Helper()
	fs, err := NewFS(folder)
	require.NoError(t, err)
	return fs
}

// refusingFS creates no files.
type refusingFS struct{ FS }

func (refusingFS) Create(string) (File, error) { return nil, syscall.ENOSPC }
