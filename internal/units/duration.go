// Package units provides quantities that are written with their unit in TOML,
// JSON and on the command line.
package units

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"time"
)

// Duration is a time.Duration in the text form of Go, such as "500ms", "2s" or
// "1h30m".
type Duration time.Duration

// Std returns the value as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String formats the duration without trailing zero units: "1m", not "1m0s".
func (d Duration) String() string {
	s := time.Duration(d).String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration with a unit, such as 500ms, 2s or 1h30m", text)
	}
	*d = Duration(v)
	return nil
}

// UnmarshalJSON parses the text form. Its error is a *json.UnmarshalTypeError,
// so that the decoder adds the name of the field.
func (d *Duration) UnmarshalJSON(data []byte) error {
	malformed := &json.UnmarshalTypeError{Value: string(data), Type: reflect.TypeFor[Duration]()}
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return malformed
	}
	if err := d.UnmarshalText([]byte(text)); err != nil {
		return malformed
	}
	return nil
}
