package contract

import (
	"bytes"
	"encoding/json"

	"github.com/cicadacove/cicadacove/internal/units"
)

// serviceJSON is the JSON form of a Service, with durations as text.
type serviceJSON struct {
	Name         string         `json:"name"`
	Rank         int            `json:"rank"`
	Writes       bool           `json:"writes"`
	Repeatable   bool           `json:"repeatable"`
	MaxAge       units.Duration `json:"max_age"`
	Target       units.Duration `json:"target"`
	FloorPercent float64        `json:"floor_percent"`
	Durability   int            `json:"durability"`
}

// MarshalJSON writes durations as text with a unit, for example "500ms".
func (s Service) MarshalJSON() ([]byte, error) {
	return json.Marshal(serviceJSON{
		Name: s.Name, Rank: s.Rank, Writes: s.Writes, Repeatable: s.Repeatable,
		MaxAge: units.Duration(s.MaxAge), Target: units.Duration(s.Target),
		FloorPercent: s.FloorPercent, Durability: s.Durability,
	})
}

// UnmarshalJSON decodes the output of MarshalJSON. It refuses unknown fields.
func (s *Service) UnmarshalJSON(data []byte) error {
	var v serviceJSON
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&v); err != nil {
		return err
	}
	*s = Service{
		Name: v.Name, Rank: v.Rank, Writes: v.Writes, Repeatable: v.Repeatable,
		MaxAge: v.MaxAge.Std(), Target: v.Target.Std(),
		FloorPercent: v.FloorPercent, Durability: v.Durability,
	}
	return nil
}
