package disk

import "github.com/cicadacove/cicadacove/internal/core/replog"

func (s *Store) appendFrame(frame []byte) error {
	if _, err := s.log.WriteAt(frame, s.size); err != nil {
		return err
	}
	if err := s.log.Sync(); err != nil {
		return err
	}
	s.size += int64(len(frame))
	s.sequence++
	return nil
}

// writeMark records that the log is synced up to its current size.
func (s *Store) writeMark(sync bool) error {
	s.mark = mark{count: s.mark.count + 1, generation: s.generation, length: s.size}
	if _, err := s.markFile.WriteAt(s.mark.encode(), s.mark.offset()); err != nil {
		return err
	}
	if !sync {
		return nil
	}
	return s.markFile.Sync()
}

// writeGeneration writes a snapshot and the log that follows it, then the
// mark. It completes each file before it creates the next one.
func (s *Store) writeGeneration(g uint64, hard replog.HardState, snapshot replog.Snapshot, entries []replog.Entry) error {
	checksum, err := s.writeFile(snapshotName(g), snapshot)
	if err != nil {
		return err
	}
	first := record{Hard: hard, Entries: entries, SnapshotChecksum: checksum}
	if _, err := s.writeFile(logName(g), first); err != nil {
		return err
	}
	return s.useGeneration(g)
}

// useGeneration opens the log of generation g, which was just written, and
// makes it the current one in the mark.
func (s *Store) useGeneration(g uint64) error {
	data, err := s.fs.ReadFile(logName(g))
	if err != nil {
		return err
	}
	if s.log != nil {
		if err := s.log.Close(); err != nil {
			return err
		}
	}
	if s.log, err = s.fs.Open(logName(g)); err != nil {
		return err
	}
	s.generation, s.size, s.sequence = g, int64(len(data)), 1
	if s.markFile == nil {
		// The folder needs no sync here: create then writes the identity,
		// whose folder sync also makes the name of the mark durable.
		if s.markFile, err = s.fs.Create(markName); err != nil {
			return err
		}
	}
	return s.writeMark(true)
}

// writeFile writes a file of one frame so that after a crash it is either
// complete or absent. It returns the checksum of the payload.
func (s *Store) writeFile(name string, value any) (checksum uint32, err error) {
	frame, checksum, err := encodeFrame(0, value)
	if err != nil {
		return 0, err
	}
	if err := s.writeTemporary(name+temporarySuffix, frame); err != nil {
		return 0, err
	}
	if err := s.fs.Rename(name+temporarySuffix, name); err != nil {
		return 0, err
	}
	return checksum, s.fs.SyncDir()
}

func (s *Store) writeTemporary(name string, data []byte) error {
	f, err := s.fs.Create(name)
	if err != nil {
		return err
	}
	if _, err := f.WriteAt(data, 0); err != nil {
		f.Close()
		return err
	}
	if err := f.Sync(); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}

func (s *Store) removeAll(names []string) error {
	for _, name := range names {
		if err := s.fs.Remove(name); err != nil {
			return err
		}
	}
	return nil
}
