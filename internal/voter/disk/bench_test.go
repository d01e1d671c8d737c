package disk

import (
	"bytes"
	"encoding/binary"
	"os"
	"path/filepath"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	bolt "go.etcd.io/bbolt"

	"github.com/cicadacove/cicadacove/internal/core/replog"
)

// changeBytes is the size of one configuration change.
const changeBytes = 300

func changeEntry(index uint64) replog.Entry {
	return replog.Entry{Term: 1, Index: index, Data: bytes.Repeat([]byte("c"), changeBytes)}
}

// writtenBytes returns the number of bytes that the process has caused to be
// written to storage. ok is false if the kernel does not report it.
func writtenBytes() (n int64, ok bool) {
	data, err := os.ReadFile("/proc/self/io")
	if err != nil {
		return 0, false
	}
	for line := range bytes.Lines(data) {
		if value, found := bytes.CutPrefix(line, []byte("write_bytes: ")); found {
			n, err = strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			return n, err == nil
		}
	}
	return 0, false
}

// measureWrites reports the bytes written to storage for each operation.
func measureWrites(b *testing.B, f func()) {
	before, ok := writtenBytes()
	b.ResetTimer()
	f()
	b.StopTimer()
	if after, _ := writtenBytes(); ok {
		b.ReportMetric(float64(after-before)/float64(b.N), "written-B/op")
	}
}

// BenchmarkFileSave saves one change per sync with Store.
func BenchmarkFileSave(b *testing.B) {
	s, err := Open(b.TempDir())
	require.NoError(b, err)
	defer s.Close()
	start := s.size
	index := uint64(0)
	measureWrites(b, func() {
		for b.Loop() {
			index++
			require.NoError(b, s.Save(hardState(index-1), []replog.Entry{changeEntry(index)}))
		}
	})
	b.ReportMetric(float64(s.size-start)/float64(b.N), "file-B/op")
}

// BenchmarkBboltSave saves one change per sync with bbolt, for comparison.
func BenchmarkBboltSave(b *testing.B) {
	db, err := bolt.Open(filepath.Join(b.TempDir(), "log.db"), fileMode, nil)
	require.NoError(b, err)
	defer db.Close()
	index := uint64(0)
	save := func() {
		index++
		require.NoError(b, db.Update(func(tx *bolt.Tx) error {
			return putChange(tx, hardState(index-1), changeEntry(index))
		}))
	}
	measureWrites(b, func() {
		for b.Loop() {
			save()
		}
	})
}

func putChange(tx *bolt.Tx, hard replog.HardState, e replog.Entry) error {
	entries, err := tx.CreateBucketIfNotExists([]byte("entries"))
	if err != nil {
		return err
	}
	entries.FillPercent = 1
	state, err := tx.CreateBucketIfNotExists([]byte("state"))
	if err != nil {
		return err
	}
	value, err := msgpack.Marshal(e)
	if err != nil {
		return err
	}
	if err := entries.Put(binary.BigEndian.AppendUint64(nil, e.Index), value); err != nil {
		return err
	}
	if value, err = msgpack.Marshal(hard); err != nil {
		return err
	}
	return state.Put([]byte("hard"), value)
}

// BenchmarkSaveSnapshot saves snapshots with 256 KiB of state.
func BenchmarkSaveSnapshot(b *testing.B) {
	s, err := Open(b.TempDir())
	require.NoError(b, err)
	defer s.Close()
	state := make([]byte, 256<<10)
	index := uint64(0)
	for b.Loop() {
		index++
		require.NoError(b, s.SaveSnapshot(hardState(index), replog.Snapshot{Index: index, Term: 1, Data: state}, nil))
	}
}

// BenchmarkOpen500 opens a folder with 500 changes and a snapshot at index 256.
func BenchmarkOpen500(b *testing.B) {
	folder := b.TempDir()
	s, err := Open(folder)
	require.NoError(b, err)
	for i := uint64(1); i <= 500; i++ {
		require.NoError(b, s.Save(hardState(i-1), []replog.Entry{changeEntry(i)}))
		if i == 256 {
			require.NoError(b, s.SaveSnapshot(hardState(i), replog.Snapshot{Index: i, Term: 1, Data: make([]byte, 64<<10)}, nil))
		}
	}
	require.NoError(b, s.Close())
	for b.Loop() {
		s, err := Open(folder)
		require.NoError(b, err)
		require.Len(b, s.Load().Entries, 244)
		require.NoError(b, s.Close())
	}
}
