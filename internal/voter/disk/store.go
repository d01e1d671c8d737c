// Package disk stores the log of a voter in one data folder.
//
//	lock           locked by the process that uses the folder
//	identity       the identity of the voter that owns the folder
//	snapshot-<g>   generation g: the snapshot that the log starts from
//	log-<g>        generation g: frames, each written by one Save
//	mark           the length up to which the log was synced
//
// The store writes a new generation beside the old one and removes the old one
// once the new one is complete. The only damage that it repairs is an
// interrupted write at the end of a log, which was never acknowledged.
package disk

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"syscall"

	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/core/replog"
)

const (
	lockName        = "lock"
	identityName    = "identity"
	snapshotPrefix  = "snapshot-"
	logPrefix       = "log-"
	temporarySuffix = ".tmp"

	firstGeneration = 1
	identityBytes   = 10
)

// record is the payload of a log frame.
type record struct {
	Hard    replog.HardState `msgpack:"h"`
	Entries []replog.Entry   `msgpack:"e,omitempty"`
	// SnapshotChecksum is set in the first record of a log.
	SnapshotChecksum uint32 `msgpack:"s,omitempty"`
}

type identity struct {
	ID string `msgpack:"id"`
}

// Report is the result of the checks of Open.
type Report struct {
	// Created is set when the folder was empty.
	Created bool
	// TornBytes is the number of bytes that Open cut from TornFile at
	// TornOffset: an interrupted write, which was never acknowledged.
	TornBytes  int64
	TornOffset int64
	TornFile   string
	// Frames is the number of frames read from the log.
	Frames int
}

// Store is an open data folder. It is not safe for concurrent use.
type Store struct {
	fs     FS
	lock   io.Closer
	id     string
	report Report
	loaded replog.StoredState

	generation uint64
	log        File
	// size is the length of the log up to the last synced frame.
	size int64
	// sequence is the number of the next frame.
	sequence uint64
	markFile File
	mark     mark
	// writeErr is the first error of a write. After it the content of the
	// disk is unknown, so the store writes nothing more.
	writeErr error
}

// Open locks the folder, then checks and reads its files.
func Open(folder string) (*Store, error) {
	fs, err := NewFS(folder)
	if err != nil {
		return nil, err
	}
	return OpenFS(fs)
}

// OpenWritable is like Open. It also fails if the folder can't be written now.
func OpenWritable(folder string) (*Store, error) {
	fs, err := NewFS(folder)
	if err != nil {
		return nil, err
	}
	return OpenWritableFS(fs)
}

// OpenWritableFS is like OpenWritable, but on the given file system.
func OpenWritableFS(fs FS) (*Store, error) {
	s, err := OpenFS(fs)
	if err != nil {
		return nil, err
	}
	if err := s.checkWritable(); err != nil {
		return nil, errors.Join(err, s.close())
	}
	return s, nil
}

// probeBytes is the size of the file that checkWritable writes.
const probeBytes = 64 << 10

// checkWritable writes, syncs and removes a file.
func (s *Store) checkWritable() error {
	const name = "probe" + temporarySuffix
	if err := s.writeTemporary(name, make([]byte, probeBytes)); err != nil {
		return fmt.Errorf("disk: %s: %w", name, err)
	}
	return s.fs.Remove(name)
}

// IsUnavailable reports whether an error means that the disk is full or fails. It
// may pass, unlike wrong settings or damaged files.
func IsUnavailable(err error) bool {
	for _, cause := range []error{syscall.ENOSPC, syscall.EDQUOT, syscall.EIO, syscall.EROFS} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// OpenFS is like Open, but on the given file system.
func OpenFS(fs FS) (*Store, error) {
	lock, err := fs.Lock(lockName)
	if err != nil {
		return nil, err
	}
	s := &Store{fs: fs, lock: lock}
	if err := s.open(); err != nil {
		return nil, errors.Join(err, s.close())
	}
	if r := s.report; r.TornBytes > 0 {
		klog.Warningf("disk: %s: offset %d: truncated %d bytes of an interrupted write that was not acknowledged", r.TornFile, r.TornOffset, r.TornBytes)
	}
	return s, nil
}

func (s *Store) open() error {
	names, err := s.fs.List()
	if err != nil {
		return err
	}
	files := classifyFiles(names)
	if err := s.removeAll(files.temporary); err != nil {
		return err
	}
	if !files.has[identityName] {
		return s.create(files)
	}
	return s.read(files)
}

// folderFiles lists the files of a folder by kind.
type folderFiles struct {
	has       map[string]bool
	temporary []string
	// logs and snapshots hold the generations that have a file of that kind;
	// latest is the highest one with a log.
	logs, snapshots map[uint64]bool
	latest          uint64
}

func classifyFiles(names []string) folderFiles {
	f := folderFiles{has: map[string]bool{}, logs: map[uint64]bool{}, snapshots: map[uint64]bool{}}
	for _, name := range names {
		f.has[name] = true
		if strings.HasSuffix(name, temporarySuffix) {
			f.temporary = append(f.temporary, name)
		}
		if g, ok := generationOf(name, logPrefix); ok {
			f.logs[g] = true
			f.latest = max(f.latest, g)
		}
		if g, ok := generationOf(name, snapshotPrefix); ok {
			f.snapshots[g] = true
		}
	}
	return f
}

func generationOf(name, prefix string) (uint64, bool) {
	digits, ok := strings.CutPrefix(name, prefix)
	if !ok {
		return 0, false
	}
	g, err := strconv.ParseUint(digits, 10, 64)
	return g, err == nil
}

func logName(g uint64) string { return logPrefix + strconv.FormatUint(g, 10) }

func snapshotName(g uint64) string { return snapshotPrefix + strconv.FormatUint(g, 10) }

// create initializes an empty folder. It writes the identity last, so a folder
// without an identity either was never used or has lost it.
func (s *Store) create(f folderFiles) error {
	if f.latest > firstGeneration {
		return &CorruptError{identityName, 0, FieldName, "missing; required by " + logName(f.latest)}
	}
	if f.logs[firstGeneration] {
		if err := s.checkUnused(); err != nil {
			return err
		}
	}
	if err := s.writeGeneration(firstGeneration, replog.HardState{}, replog.Snapshot{}, nil); err != nil {
		return err
	}
	random := make([]byte, identityBytes)
	rand.Read(random)
	s.id = hex.EncodeToString(random)
	if _, err := s.writeFile(identityName, identity{ID: s.id}); err != nil {
		return err
	}
	s.report.Created = true
	return nil
}

// checkUnused returns an error if the log of the first generation holds more
// than its first frame.
func (s *Store) checkUnused() error {
	data, err := s.fs.ReadFile(logName(firstGeneration))
	if err != nil {
		return err
	}
	first, damaged := decodeFrame(data, 0)
	if damaged == nil && first.size < int64(len(data)) {
		return &CorruptError{identityName, 0, FieldName, "missing; required by a log with entries"}
	}
	return nil
}

// Identity returns the identity that is stored in the folder.
func (s *Store) Identity() string { return s.id }

// Load returns the content of the folder as of its opening.
func (s *Store) Load() replog.StoredState { return s.loaded }

// Report returns the result of the checks of Open.
func (s *Store) Report() Report { return s.report }

// Save appends one frame and syncs it.
func (s *Store) Save(hard replog.HardState, entries []replog.Entry) error {
	if s.writeErr != nil {
		return s.writeErr
	}
	frame, _, err := encodeFrame(s.sequence, record{Hard: hard, Entries: entries})
	if err != nil {
		return s.fail(logName(s.generation), err)
	}
	if err := s.appendFrame(frame); err != nil {
		return s.fail(logName(s.generation), err)
	}
	if err := s.writeMark(s.sequence%markSyncEvery == 0); err != nil {
		return s.fail(markName, err)
	}
	return nil
}

// SaveSnapshot writes a new generation and removes the old one.
func (s *Store) SaveSnapshot(hard replog.HardState, snapshot replog.Snapshot, entries []replog.Entry) error {
	if s.writeErr != nil {
		return s.writeErr
	}
	old := s.generation
	if err := s.writeGeneration(old+1, hard, snapshot, entries); err != nil {
		return s.fail(logName(old+1), err)
	}
	if err := s.removeAll([]string{logName(old), snapshotName(old)}); err != nil {
		return s.fail(logName(old), err)
	}
	return nil
}

// fail records the first error of a write, which all later saves return: after a
// failed write or sync the content of the disk is unknown until the folder is
// read again.
func (s *Store) fail(name string, err error) error {
	s.writeErr = fmt.Errorf("disk: %s: %w", name, err)
	return s.writeErr
}

// Close syncs the mark, closes the files and unlocks the folder.
func (s *Store) Close() error {
	var err error
	if s.writeErr == nil && s.markFile != nil {
		err = s.markFile.Sync()
	}
	return errors.Join(err, s.close())
}

func (s *Store) close() error {
	var errs []error
	if s.log != nil {
		errs = append(errs, s.log.Close())
	}
	if s.markFile != nil {
		errs = append(errs, s.markFile.Close())
	}
	return errors.Join(append(errs, s.lock.Close())...)
}
