package disk

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// read loads an existing folder.
func (s *Store) read(f folderFiles) error {
	var id identity
	if err := s.readFile(identityName, &id); err != nil {
		return err
	}
	s.id = id.ID
	if err := s.readMark(); err != nil {
		return err
	}
	if f.latest < s.mark.generation {
		return &CorruptError{logName(s.mark.generation), 0, FieldName, "missing"}
	}
	s.generation = f.latest
	if err := s.readGeneration(f); err != nil {
		return err
	}
	return s.removeOldGenerations(f)
}

func (s *Store) readFile(name string, into any) error {
	data, err := s.fs.ReadFile(name)
	if err != nil {
		return err
	}
	_, err = decodeFile(name, data, into)
	return err
}

func (s *Store) readMark() error {
	data, err := s.fs.ReadFile(markName)
	if err != nil {
		return &CorruptError{markName, 0, FieldName, err.Error()}
	}
	if s.mark, err = decodeMark(data); err != nil {
		return err
	}
	s.markFile, err = s.fs.Open(markName)
	return err
}

func (s *Store) readGeneration(f folderFiles) error {
	name := snapshotName(s.generation)
	if !f.snapshots[s.generation] {
		return &CorruptError{name, 0, FieldName, "missing; required by " + logName(s.generation)}
	}
	data, err := s.fs.ReadFile(name)
	if err != nil {
		return err
	}
	checksum, err := decodeFile(name, data, &s.loaded.Snapshot)
	if err != nil {
		return err
	}
	if err := s.readLog(checksum); err != nil {
		return err
	}
	if s.log, err = s.fs.Open(logName(s.generation)); err != nil {
		return err
	}
	return s.truncateTornWrite()
}

// acknowledgedBytes returns the length of the log that the mark covers.
func (s *Store) acknowledgedBytes() int64 {
	if s.mark.generation != s.generation {
		return 0
	}
	return s.mark.length
}

// readLog reads all frames. A damaged frame is an interrupted write if it is
// not the first one, the mark does not cover it and no intact header follows;
// any other damage is an error.
func (s *Store) readLog(snapshotChecksum uint32) error {
	name := logName(s.generation)
	data, err := s.fs.ReadFile(name)
	if err != nil {
		return err
	}
	for s.size < int64(len(data)) {
		rest := data[s.size:]
		f, damaged := decodeFrame(rest, s.sequence)
		if damaged != nil {
			if s.sequence > 0 && s.size >= s.acknowledgedBytes() && !hasFrameAfter(rest) {
				s.report.TornFile, s.report.TornOffset, s.report.TornBytes = name, s.size, int64(len(rest))
				break
			}
			return &CorruptError{name, s.size, damaged.field, damaged.problem + "; this data had been acknowledged"}
		}
		if err := s.readRecord(f, snapshotChecksum); err != nil {
			return err
		}
		s.size += f.size
		s.sequence++
	}
	return s.checkEnd(name)
}

func (s *Store) checkEnd(name string) error {
	s.report.Frames = int(s.sequence)
	if s.size < s.acknowledgedBytes() {
		problem := fmt.Sprintf("%d bytes were acknowledged", s.acknowledgedBytes())
		return &CorruptError{name, s.size, FieldLength, "the file ends here, but " + problem}
	}
	if s.sequence == 0 {
		return &CorruptError{name, 0, FieldLength, "the file is empty"}
	}
	if commit, last := s.loaded.Hard.Commit, s.lastIndex(); commit > last {
		problem := fmt.Sprintf("%d, but the log ends at entry %d", commit, last)
		return &CorruptError{name, s.size, FieldCommit, problem}
	}
	return nil
}

func (s *Store) lastIndex() uint64 {
	return s.loaded.Snapshot.Index + uint64(len(s.loaded.Entries))
}

// readRecord adds the record of a frame to the loaded state.
func (s *Store) readRecord(f frame, snapshotChecksum uint32) error {
	name := logName(s.generation)
	var r record
	if err := msgpack.Unmarshal(f.payload, &r); err != nil {
		return &CorruptError{name, s.size + headerBytes, FieldPayload, err.Error()}
	}
	if s.sequence == 0 && r.SnapshotChecksum != snapshotChecksum {
		return &CorruptError{name, s.size, FieldSnapshot, "belongs to another snapshot"}
	}
	s.loaded.Hard = r.Hard
	if len(r.Entries) == 0 {
		return nil
	}
	first := r.Entries[0].Index
	if first <= s.loaded.Snapshot.Index || first > s.lastIndex()+1 {
		problem := fmt.Sprintf("%d does not follow entry %d", first, s.lastIndex())
		return &CorruptError{name, s.size, FieldEntryIndex, problem}
	}
	kept := s.loaded.Entries[:first-s.loaded.Snapshot.Index-1]
	s.loaded.Entries = append(kept, r.Entries...)
	return nil
}

// truncateTornWrite removes an interrupted write from the end of the log.
func (s *Store) truncateTornWrite() error {
	if s.report.TornBytes == 0 {
		return nil
	}
	if err := s.log.Truncate(s.size); err != nil {
		return err
	}
	return s.log.Sync()
}

// removeOldGenerations removes the files of other generations, which a crash
// left behind.
func (s *Store) removeOldGenerations(f folderFiles) error {
	var old []string
	for g := range f.logs {
		if g != s.generation {
			old = append(old, logName(g))
		}
	}
	for g := range f.snapshots {
		if g != s.generation {
			old = append(old, snapshotName(g))
		}
	}
	return s.removeAll(old)
}
