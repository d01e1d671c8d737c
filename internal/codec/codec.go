// Package codec decodes msgpack from sources that may send malformed bytes.
//
// The msgpack library allocates memory for the length that an array declares,
// recurses as deep as the input is nested, and panics on nil for some types.
// Unmarshal checks the structure first and turns a panic into an error.
package codec

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// MaxDepth is the maximum nesting depth of arrays and maps.
const MaxDepth = 64

// Errors of Check.
var (
	ErrTruncated = errors.New("codec: truncated input")
	ErrTrailing  = errors.New("codec: trailing bytes after the value")
	ErrDepth     = errors.New("codec: arrays and maps nested too deep")
	ErrCode      = errors.New("codec: unknown type code")
)

// Marshal encodes a value. Equal values of types without maps have equal
// encodings. It panics for a type that cannot be encoded.
func Marshal(v any) []byte {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		panic("codec: " + err.Error())
	}
	return buf.Bytes()
}

// Unmarshal decodes an input that consists of exactly one value.
func Unmarshal(data []byte, into any) (err error) {
	if err := Check(data); err != nil {
		return err
	}
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("codec: malformed input: %v", p)
		}
	}()
	return msgpack.Unmarshal(data, into)
}

// Check returns nil if the input is exactly one well-formed value. It does not
// allocate memory for the lengths that the input declares.
func Check(data []byte) error {
	// missing holds the number of values still to be read at each nesting
	// level.
	missing := make([]uint64, 1, MaxDepth+1)
	missing[0] = 1
	for len(missing) > 0 {
		last := len(missing) - 1
		if missing[last] == 0 {
			missing = missing[:last]
			continue
		}
		missing[last]--
		size, children, err := readHeader(data)
		if err != nil {
			return err
		}
		if size > uint64(len(data)) {
			return ErrTruncated
		}
		data = data[size:]
		// A value takes at least one byte.
		if children > uint64(len(data)) {
			return ErrTruncated
		}
		if children == 0 {
			continue
		}
		if len(missing) > MaxDepth {
			return ErrDepth
		}
		missing = append(missing, children)
	}
	if len(data) > 0 {
		return ErrTrailing
	}
	return nil
}

// fixedSizes maps the type codes of values of fixed size to that size in bytes.
var fixedSizes = map[byte]uint64{
	msgpcode.Nil: 1, msgpcode.False: 1, msgpcode.True: 1,
	msgpcode.Uint8: 2, msgpcode.Int8: 2, msgpcode.Uint16: 3, msgpcode.Int16: 3,
	msgpcode.Uint32: 5, msgpcode.Int32: 5, msgpcode.Uint64: 9, msgpcode.Int64: 9,
	msgpcode.Float: 5, msgpcode.Double: 9,
	msgpcode.FixExt1: 3, msgpcode.FixExt2: 4, msgpcode.FixExt4: 6, msgpcode.FixExt8: 10, msgpcode.FixExt16: 18,
}

// lengthWidths maps the type codes that are followed by a length to the size of
// that length in bytes.
var lengthWidths = map[byte]int{
	msgpcode.Str8: 1, msgpcode.Str16: 2, msgpcode.Str32: 4,
	msgpcode.Bin8: 1, msgpcode.Bin16: 2, msgpcode.Bin32: 4,
	msgpcode.Ext8: 1, msgpcode.Ext16: 2, msgpcode.Ext32: 4,
	msgpcode.Array16: 2, msgpcode.Array32: 4, msgpcode.Map16: 2, msgpcode.Map32: 4,
}

// readHeader returns the size in bytes of the first value, not counting the
// values inside an array or a map, and the number of those values.
func readHeader(data []byte) (size, children uint64, err error) {
	if len(data) == 0 {
		return 0, 0, ErrTruncated
	}
	code := data[0]
	switch {
	case msgpcode.IsFixedNum(code):
		return 1, 0, nil
	case msgpcode.IsFixedString(code):
		return 1 + uint64(code&msgpcode.FixedStrMask), 0, nil
	case msgpcode.IsFixedArray(code):
		return 1, uint64(code & msgpcode.FixedArrayMask), nil
	case msgpcode.IsFixedMap(code):
		return 1, 2 * uint64(code&msgpcode.FixedMapMask), nil
	}
	if size, ok := fixedSizes[code]; ok {
		return size, 0, nil
	}
	return readLongHeader(code, data)
}

// readLongHeader handles the type codes that are followed by a length.
func readLongHeader(code byte, data []byte) (size, children uint64, err error) {
	width, ok := lengthWidths[code]
	if !ok {
		return 0, 0, fmt.Errorf("%w %#x", ErrCode, code)
	}
	if len(data) < 1+width {
		return 0, 0, ErrTruncated
	}
	var wide [8]byte
	copy(wide[8-width:], data[1:1+width])
	n := binary.BigEndian.Uint64(wide[:])
	headerBytes := uint64(1 + width)
	switch code {
	case msgpcode.Array16, msgpcode.Array32:
		return headerBytes, n, nil
	case msgpcode.Map16, msgpcode.Map32:
		return headerBytes, 2 * n, nil
	case msgpcode.Ext8, msgpcode.Ext16, msgpcode.Ext32:
		// One more byte holds the type of the extension.
		return headerBytes + 1 + n, 0, nil
	}
	return headerBytes + n, 0, nil
}
