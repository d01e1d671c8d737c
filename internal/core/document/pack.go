package document

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
)

// MaxContentBytes bounds the uncompressed content of a document.
const MaxContentBytes = 8 << 20

// ErrTooLong means that the content exceeds MaxContentBytes.
var ErrTooLong = errors.New("document: the content is too long")

// Pack compresses the content of a document. Documents are sent to every voter
// and instance, and a text with many similar parts shrinks to a tenth.
func Pack(content []byte) ([]byte, error) {
	if len(content) > MaxContentBytes {
		return nil, ErrTooLong
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("document: %w", err)
	}
	if _, err := w.Write(content); err != nil {
		return nil, fmt.Errorf("document: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("document: %w", err)
	}
	return out.Bytes(), nil
}

// Unpack returns the content that Pack compressed.
func Unpack(packed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	content, err := io.ReadAll(io.LimitReader(r, MaxContentBytes+1))
	if err != nil {
		return nil, fmt.Errorf("document: %w", err)
	}
	if len(content) > MaxContentBytes {
		return nil, ErrTooLong
	}
	return content, nil
}
