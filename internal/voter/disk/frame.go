package disk

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/vmihailenco/msgpack/v5"
)

// A frame is a header and a payload:
//
//	magic            4 bytes
//	length           4 bytes, of the payload
//	sequence         8 bytes, the frame's number in its file
//	checksum         4 bytes, of the payload
//	header checksum  4 bytes, of the header before it
const (
	frameMagic  = 0x43435631
	headerBytes = 24
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Field names a part of a file in a CorruptError.
type Field string

// Fields of a CorruptError.
const (
	FieldHeader         Field = "header"
	FieldMagic          Field = "magic"
	FieldLength         Field = "length"
	FieldSequence       Field = "sequence"
	FieldChecksum       Field = "checksum"
	FieldHeaderChecksum Field = "header checksum"
	FieldPayload        Field = "payload"
	FieldEntryIndex     Field = "entry index"
	FieldCommit         Field = "commit index"
	FieldSnapshot       Field = "snapshot checksum"
	FieldName           Field = "file name"
)

// CorruptError reports that a file does not hold the data that was synced to it.
type CorruptError struct {
	File    string
	Offset  int64
	Field   Field
	Problem string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("disk: %s: offset %d: %s: %s", e.File, e.Offset, e.Field, e.Problem)
}

// encodeFrame returns the frame and the checksum of its payload.
func encodeFrame(sequence uint64, value any) (frame []byte, checksum uint32, err error) {
	payload, err := msgpack.Marshal(value)
	if err != nil {
		return nil, 0, err
	}
	frame = make([]byte, headerBytes, headerBytes+len(payload))
	checksum = crc32.Checksum(payload, castagnoli)
	binary.BigEndian.PutUint32(frame[0:], frameMagic)
	binary.BigEndian.PutUint32(frame[4:], uint32(len(payload)))
	binary.BigEndian.PutUint64(frame[8:], sequence)
	binary.BigEndian.PutUint32(frame[16:], checksum)
	binary.BigEndian.PutUint32(frame[20:], crc32.Checksum(frame[:20], castagnoli))
	return append(frame, payload...), checksum, nil
}

// frame is a decoded frame.
type frame struct {
	payload  []byte
	checksum uint32
	size     int64
}

// damage describes the invalid field of a frame.
type damage struct {
	field   Field
	problem string
}

// decodeFrame reads the frame at the start of data.
func decodeFrame(data []byte, sequence uint64) (frame, *damage) {
	if len(data) < headerBytes {
		return frame{}, &damage{FieldHeader, fmt.Sprintf("%d of %d bytes", len(data), headerBytes)}
	}
	if got := binary.BigEndian.Uint32(data[0:]); got != frameMagic {
		return frame{}, &damage{FieldMagic, fmt.Sprintf("%08x, not %08x", got, frameMagic)}
	}
	if got := binary.BigEndian.Uint32(data[20:]); got != crc32.Checksum(data[:20], castagnoli) {
		return frame{}, &damage{FieldHeaderChecksum, "does not match the header"}
	}
	if got := binary.BigEndian.Uint64(data[8:]); got != sequence {
		return frame{}, &damage{FieldSequence, fmt.Sprintf("%d, not %d", got, sequence)}
	}
	length := int64(binary.BigEndian.Uint32(data[4:]))
	if have := int64(len(data)) - headerBytes; have < length {
		return frame{}, &damage{FieldLength, fmt.Sprintf("the file holds %d of %d bytes", have, length)}
	}
	f := frame{
		payload:  data[headerBytes : headerBytes+length],
		checksum: binary.BigEndian.Uint32(data[16:]),
		size:     headerBytes + length,
	}
	if crc32.Checksum(f.payload, castagnoli) != f.checksum {
		return frame{}, &damage{FieldChecksum, fmt.Sprintf("does not match the %d bytes of payload", length)}
	}
	return f, nil
}

// hasFrameAfter reports whether an intact header starts anywhere after the
// first byte. If one does, the damage is not that of an interrupted write.
func hasFrameAfter(data []byte) bool {
	for i := 1; i+headerBytes <= len(data); i++ {
		if binary.BigEndian.Uint32(data[i:]) != frameMagic {
			continue
		}
		sum := crc32.Checksum(data[i:i+20], castagnoli)
		if binary.BigEndian.Uint32(data[i+20:]) == sum {
			return true
		}
	}
	return false
}

// decodeFile reads a file that holds one frame.
func decodeFile(name string, data []byte, into any) (checksum uint32, err error) {
	f, damaged := decodeFrame(data, 0)
	if damaged != nil {
		return 0, &CorruptError{name, 0, damaged.field, damaged.problem}
	}
	if f.size != int64(len(data)) {
		return 0, &CorruptError{name, f.size, FieldLength, "data after the end"}
	}
	if err := msgpack.Unmarshal(f.payload, into); err != nil {
		return 0, &CorruptError{name, headerBytes, FieldPayload, err.Error()}
	}
	return f.checksum, nil
}
