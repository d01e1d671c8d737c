// Package hlc implements a hybrid logical clock. Its timestamps stay close to
// the physical clock and preserve causal order between processes that include
// their timestamps in messages.
//
// The package does no I/O and reads no clock; callers pass in the physical time.
package hlc

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// MaxAhead is how far a received timestamp may be ahead of the physical clock.
// Timestamps further ahead are ignored, so that one process with a wrong clock
// cannot advance the clocks of all others.
const MaxAhead = 5 * time.Minute

// Timestamp is a point in time: microseconds since the Unix epoch, and a
// counter that orders events within one microsecond.
type Timestamp struct {
	Wall    int64  `json:"w" msgpack:"w"`
	Logical uint32 `json:"l" msgpack:"l"`
}

// Compare returns -1, 0 or 1 if t is before, equal to or after u.
func (t Timestamp) Compare(u Timestamp) int {
	if c := cmp.Compare(t.Wall, u.Wall); c != 0 {
		return c
	}
	return cmp.Compare(t.Logical, u.Logical)
}

// IsZero reports whether t is the zero timestamp, which precedes every event.
func (t Timestamp) IsZero() bool { return t == Timestamp{} }

// Time returns the physical part.
func (t Timestamp) Time() time.Time { return time.UnixMicro(t.Wall) }

// String formats the timestamp as "microseconds.counter".
func (t Timestamp) String() string {
	return strconv.FormatInt(t.Wall, 10) + "." + strconv.FormatUint(uint64(t.Logical), 10)
}

// Parse parses the format that String returns.
func Parse(s string) (Timestamp, error) {
	wall, logical, found := strings.Cut(s, ".")
	if !found {
		return Timestamp{}, fmt.Errorf("timestamp %q: want microseconds.counter", s)
	}
	w, err := strconv.ParseInt(wall, 10, 64)
	if err != nil {
		return Timestamp{}, fmt.Errorf("timestamp %q: microseconds: %w", s, err)
	}
	l, err := strconv.ParseUint(logical, 10, 32)
	if err != nil {
		return Timestamp{}, fmt.Errorf("timestamp %q: counter: %w", s, err)
	}
	return Timestamp{Wall: w, Logical: uint32(l)}, nil
}

// Clock is the hybrid logical clock of one process. The zero value is ready to
// use. It is not safe for concurrent use.
type Clock struct {
	latest Timestamp
}

// Tick returns the timestamp of a local event. It is later than every timestamp
// returned or observed before.
func (c *Clock) Tick(now time.Time) Timestamp {
	wall := now.UnixMicro()
	if wall > c.latest.Wall {
		c.latest = Timestamp{Wall: wall}
	} else {
		c.latest = next(c.latest)
	}
	return c.latest
}

// Observe advances the clock to the timestamp of a received message. It returns
// false if the timestamp is too far ahead and was ignored.
func (c *Clock) Observe(received Timestamp, now time.Time) bool {
	if received.Wall > now.Add(MaxAhead).UnixMicro() {
		return false
	}
	if received.Compare(c.latest) > 0 {
		c.latest = received
	}
	return true
}

func next(t Timestamp) Timestamp {
	if t.Logical == ^uint32(0) {
		return Timestamp{Wall: t.Wall + 1}
	}
	return Timestamp{Wall: t.Wall, Logical: t.Logical + 1}
}
