package disk

import (
	"encoding/binary"
	"hash/crc32"
)

// The mark file records the length up to which the log was synced. It
// distinguishes a log that has lost synced data from one whose last write was
// interrupted. The store writes two slots in turn; the valid slot with the
// higher count applies.
const (
	markName      = "mark"
	markMagic     = 0x4343564d
	markSlotBytes = 512
	markSlots     = 2
	markBytes     = 32
	// markSyncEvery is the number of saves after which the store syncs the
	// mark. The saves in between only write it, which survives a crash of the
	// process but not of the machine.
	markSyncEvery = 64
)

// mark records that the first length bytes of the log of a generation were
// synced. count numbers the writes of the mark.
type mark struct {
	count      uint64
	generation uint64
	length     int64
}

func (m mark) encode() []byte {
	b := make([]byte, markBytes)
	binary.BigEndian.PutUint32(b[0:], markMagic)
	binary.BigEndian.PutUint64(b[4:], m.count)
	binary.BigEndian.PutUint64(b[12:], m.generation)
	binary.BigEndian.PutUint64(b[20:], uint64(m.length))
	binary.BigEndian.PutUint32(b[28:], crc32.Checksum(b[:28], castagnoli))
	return b
}

func decodeMarkSlot(b []byte) (mark, bool) {
	if len(b) < markBytes || binary.BigEndian.Uint32(b[0:]) != markMagic {
		return mark{}, false
	}
	if binary.BigEndian.Uint32(b[28:]) != crc32.Checksum(b[:28], castagnoli) {
		return mark{}, false
	}
	return mark{
		count:      binary.BigEndian.Uint64(b[4:]),
		generation: binary.BigEndian.Uint64(b[12:]),
		length:     int64(binary.BigEndian.Uint64(b[20:])),
	}, true
}

// decodeMark returns the latest valid mark of the file.
func decodeMark(data []byte) (mark, error) {
	var latest mark
	found := false
	for slot := range markSlots {
		start := slot * markSlotBytes
		if start >= len(data) {
			break
		}
		m, ok := decodeMarkSlot(data[start:])
		if ok && (!found || m.count > latest.count) {
			latest, found = m, true
		}
	}
	if !found {
		return mark{}, &CorruptError{markName, 0, FieldChecksum, "no valid mark"}
	}
	return latest, nil
}

func (m mark) offset() int64 { return int64(m.count%markSlots) * markSlotBytes }
