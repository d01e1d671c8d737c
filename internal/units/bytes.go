package units

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Bytes is a size in bytes whose text form has a unit: B, KiB, MiB or GiB.
type Bytes int64

// Sizes in bytes.
const (
	Byte Bytes = 1
	KiB  Bytes = 1 << 10
	MiB  Bytes = 1 << 20
	GiB  Bytes = 1 << 30
)

// byteUnits lists the units in descending order.
var byteUnits = []struct {
	name string
	size Bytes
}{{"GiB", GiB}, {"MiB", MiB}, {"KiB", KiB}, {"B", Byte}}

// String formats the size in the largest unit that divides it.
func (b Bytes) String() string {
	for _, u := range byteUnits {
		if b != 0 && b%u.size == 0 {
			return strconv.FormatInt(int64(b/u.size), 10) + u.name
		}
	}
	return "0B"
}

// MarshalText implements encoding.TextMarshaler.
func (b Bytes) MarshalText() ([]byte, error) { return []byte(b.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (b *Bytes) UnmarshalText(text []byte) error {
	for _, u := range byteUnits {
		digits, found := strings.CutSuffix(string(text), u.name)
		if !found {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || n < 0 || n > math.MaxInt64/int64(u.size) {
			break
		}
		*b = Bytes(n) * u.size
		return nil
	}
	return fmt.Errorf("%q is not a size with a unit, such as 512B, 64KiB or 16MiB", text)
}
