package units

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"
)

// Number is a JSON number of any size. Numbers beyond the range of a float64 become
// the largest one, and the conversions below are limited to the range of their type:
// Go leaves the result of a conversion out of range to the processor.
type Number float64

// UnmarshalJSON implements json.Unmarshaler.
func (n *Number) UnmarshalJSON(text []byte) error {
	if bytes.Equal(text, []byte("null")) {
		return nil
	}
	value, err := strconv.ParseFloat(string(text), 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) {
		return fmt.Errorf("%.40s is not a number", text)
	}
	*n = Number(min(max(value, -math.MaxFloat64), math.MaxFloat64))
	return nil
}

// Int returns the number without its fraction.
func (n Number) Int() int { return int(n.int64()) }

// Milliseconds returns the duration of that many milliseconds.
func (n Number) Milliseconds() time.Duration { return n.duration(time.Millisecond) }

// Seconds returns the duration of that many seconds.
func (n Number) Seconds() time.Duration { return n.duration(time.Second) }

func (n Number) duration(unit time.Duration) time.Duration {
	return time.Duration((n * Number(unit)).int64())
}

func (n Number) int64() int64 {
	switch {
	case n >= math.MaxInt64:
		return math.MaxInt64
	case n <= math.MinInt64:
		return math.MinInt64
	case n != n: // NaN, which TOML allows
		return 0
	}
	return int64(n)
}
