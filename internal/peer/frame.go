package peer

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/cicadacove/cicadacove/internal/codec"
	"github.com/cicadacove/cicadacove/internal/core/hlc"
)

const (
	// MaxFrameBytes is the largest frame body in bytes.
	MaxFrameBytes = 16 << 20
	// headerBytes is the size of a frame's length prefix in bytes.
	headerBytes = 4
)

// Frame is one message on the wire: a big-endian length of four bytes, then
// the msgpack encoding of this struct.
type Frame struct {
	// ID matches a reply to its request. It is 0 in a message that has no
	// reply.
	ID uint64 `msgpack:"i"`
	// Kind names the request; it is empty in a reply.
	Kind string `msgpack:"k,omitempty"`
	// Error is the text of a failed request, in a reply only.
	Error string `msgpack:"e,omitempty"`
	// Clock is the sender's timestamp.
	Clock *hlc.Timestamp `msgpack:"c,omitempty"`
	// Body is the msgpack encoding of the request or the reply.
	Body msgpack.RawMessage `msgpack:"b,omitempty"`
}

// FrameError reports a frame that cannot be encoded or decoded. The side that
// receives a malformed frame closes the connection.
type FrameError struct {
	Field  string
	Reason string
}

// Error names the invalid field.
func (e *FrameError) Error() string { return fmt.Sprintf("peer: frame %s: %s", e.Field, e.Reason) }

// ReadFrame reads one frame. Errors: *FrameError for a malformed frame, else
// the error of the reader.
func ReadFrame(r io.Reader) (Frame, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return Frame{}, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size == 0 || size > MaxFrameBytes {
		return Frame{}, &FrameError{"length", fmt.Sprintf("%d bytes is outside 1..%d", size, MaxFrameBytes)}
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return Frame{}, err
	}
	var f Frame
	if err := codec.Unmarshal(body, &f); err != nil {
		return Frame{}, &FrameError{"body", err.Error()}
	}
	return f, nil
}

// AppendFrame appends the wire form of f to buf.
func AppendFrame(buf []byte, f *Frame) ([]byte, error) {
	body, err := msgpack.Marshal(f)
	if err != nil {
		return buf, &FrameError{"body", err.Error()}
	}
	if len(body) > MaxFrameBytes {
		return buf, &FrameError{"length", fmt.Sprintf("%d bytes exceeds %d", len(body), MaxFrameBytes)}
	}
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(body)))
	return append(buf, body...), nil
}
