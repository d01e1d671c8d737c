package document

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/cicadacove/cicadacove/internal/testseed"
)

func put(t require.TestingT, s *Section, version uint64, content string) Result {
	r, err := DecodeResult(s.Apply(1, Put(Document{version, []byte(content)})))
	require.NoError(t, err)
	return r
}

func TestHighestVersionWins(t *testing.T) {
	s := NewSection()
	_, ok := s.Latest()
	require.False(t, ok)
	require.Equal(t, Result{Version: 5, Accepted: true}, put(t, s, 5, "five"))
	require.Equal(t, Result{Version: 5}, put(t, s, 3, "three"))
	require.Equal(t, Result{Version: 5}, put(t, s, 5, "another five"))
	d, _ := s.Latest()
	require.Equal(t, "five", string(d.Content))
	require.Nil(t, s.Delta(5))
	got, err := Decode(s.Delta(4))
	require.NoError(t, err)
	require.Equal(t, d, got)
}

// Guards against a first document of version 0 that no reader gets, since 0 is also the
// version of a reader without a document.
func TestVersionZeroReachesReaders(t *testing.T) {
	s := NewSection()
	require.Nil(t, s.Delta(0))
	require.Equal(t, Result{Version: 0, Accepted: true}, put(t, s, 0, "zero"))
	d, err := Decode(s.Delta(0))
	require.NoError(t, err)
	require.Equal(t, "zero", string(d.Content))
	require.Equal(t, Result{Version: 1, Accepted: true}, put(t, s, 1, "one"))
	d, err = Decode(s.Delta(0))
	require.NoError(t, err)
	require.Equal(t, "one", string(d.Content))
	require.Nil(t, s.Delta(1))
}

func TestMalformedCommandChangesNothing(t *testing.T) {
	s := NewSection()
	put(t, s, 1, "one")
	r, err := DecodeResult(s.Apply(2, []byte{0xc1}))
	require.NoError(t, err)
	require.Equal(t, Result{Version: 1}, r)
}

// For any order of commands, the section holds the highest version, with the
// content that was put first under that version, also after a snapshot.
func TestFirstContentOfTheHighestVersionWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, first, highest := NewSection(), map[uint64]string{}, uint64(0)
		for i, version := range rapid.SliceOfN(rapid.Uint64Range(1, 6), 1, 20).Draw(t, "versions") {
			content := string(rune('a' + i))
			put(t, a, version, content)
			if version > highest {
				highest, first[version] = version, content
			}
		}
		snapshot, err := a.Snapshot()
		require.NoError(t, err)
		b := NewSection()
		require.NoError(t, b.Restore(snapshot))
		d, ok := b.Latest()
		require.True(t, ok)
		require.Equal(t, highest, d.Version)
		require.Equal(t, first[highest], string(d.Content))
	})
}

func TestPackRoundTripAndLimit(t *testing.T) {
	content := bytes.Repeat([]byte(`{"name":"r-1","service":"s1"},`), 1000)
	packed, err := Pack(content)
	require.NoError(t, err)
	require.Less(t, len(packed), len(content)/10)
	got, err := Unpack(packed)
	require.NoError(t, err)
	require.Equal(t, content, got)
	_, err = Unpack([]byte{1, 2, 3})
	require.Error(t, err)
	_, err = Pack(make([]byte, MaxContentBytes+1))
	require.ErrorIs(t, err, ErrTooLong)
	long, err := Pack(make([]byte, MaxContentBytes))
	require.NoError(t, err)
	_, err = Unpack(append(long[:len(long)-10], long...))
	require.Error(t, err)
}
