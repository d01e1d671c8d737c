package engine

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	// minPackedBytes is the size from which a relayed text is compressed. Below, the code
	// table takes about as much as is saved.
	minPackedBytes = 200
	// maxUnpackedBytes bounds a relayed text. It leaves room for all rows of an answer.
	maxUnpackedBytes = 16 << 20
)

// packedText is a text that is compressed on the wire. Relayed messages pass two more
// network links, which are narrow where many small instances share few connections. Only
// the symbols are coded: a search for repetitions would cost more processor time than
// the links save.
type packedText string

var packers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.HuffmanOnly)
	if err != nil {
		panic(err) // the level is valid
	}
	return w
}}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (t packedText) EncodeMsgpack(enc *msgpack.Encoder) error {
	if len(t) < minPackedBytes {
		return enc.EncodeString(string(t))
	}
	packed, err := pack(string(t))
	if err != nil {
		return err
	}
	if len(packed) >= len(t) {
		return enc.EncodeString(string(t))
	}
	return enc.EncodeBytes(packed)
}

func pack(text string) ([]byte, error) {
	var out bytes.Buffer
	w := packers.Get().(*flate.Writer)
	defer packers.Put(w)
	w.Reset(&out)
	if _, err := io.WriteString(w, text); err != nil {
		return nil, fmt.Errorf("engine: compress a relayed text: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("engine: compress a relayed text: %w", err)
	}
	return out.Bytes(), nil
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (t *packedText) DecodeMsgpack(dec *msgpack.Decoder) error {
	v, err := dec.DecodeInterface()
	if err != nil {
		return err
	}
	switch v := v.(type) {
	case string:
		*t = packedText(v)
		return nil
	case []byte:
		text, err := unpack(v)
		*t = packedText(text)
		return err
	}
	return fmt.Errorf("engine: a relayed text has the type %T", v)
}

func unpack(packed []byte) (string, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	text, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
	if err != nil {
		return "", fmt.Errorf("engine: relayed text: %w", err)
	}
	if len(text) > maxUnpackedBytes {
		return "", fmt.Errorf("engine: relayed text: longer than %d bytes", maxUnpackedBytes)
	}
	return string(text), nil
}
