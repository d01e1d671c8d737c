package clientbudget

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/clientlimit"
)

// SmallRead is the capacity up to which a Buffer reserves nothing: the fixed charge of the
// connection covers it.
const SmallRead = 4 << 10

// Buffer collects a message whose length isn't known before its end, and reserves its
// memory as it grows.
type Buffer struct {
	Account *Account
	Kind    Kind
	// Copies is how often the message is held while it is served.
	Copies int64
	bytes  []byte
}

// Append appends a part of the message.
func (m *Buffer) Append(ctx context.Context, part []byte) error {
	need := len(m.bytes) + len(part)
	if need > cap(m.bytes) {
		capacity := max(need, 2*cap(m.bytes))
		if capacity > SmallRead {
			before := 0
			if cap(m.bytes) > SmallRead {
				before = cap(m.bytes)
			}
			if err := m.Account.Reserve(ctx, m.Kind, m.Copies*int64(capacity-before)); err != nil {
				return err
			}
		}
		grown := make([]byte, len(m.bytes), capacity)
		copy(grown, m.bytes)
		m.bytes = grown
	}
	m.bytes = append(m.bytes, part...)
	return nil
}

// Bytes returns the message.
func (m *Buffer) Bytes() []byte { return m.bytes }

// ReadAll reads a message up to its end in pieces. Before each piece it sets the deadline
// by which the minimum rate demands it.
func (m *Buffer) ReadAll(ctx context.Context, r io.Reader, rate clientlimit.Rate, setDeadline func(time.Time) error) error {
	piece := make([]byte, SmallRead)
	for began := time.Now(); ; {
		if err := setDeadline(rate.Deadline(began, int64(len(m.bytes)))); err != nil {
			return err
		}
		n, err := r.Read(piece)
		m.Account.Progress(n)
		if appendErr := m.Append(ctx, piece[:n]); appendErr != nil {
			return appendErr
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
