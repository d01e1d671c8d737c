package contract

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cicadacove/cicadacove/internal/units"
)

// ChangeKind is the way in which a field differs between two contracts.
type ChangeKind string

// Kinds of change.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is the difference of one field of one contract.
type Change struct {
	Contract string     `json:"contract" msgpack:"c"`
	Field    string     `json:"field" msgpack:"f"`
	Kind     ChangeKind `json:"kind" msgpack:"k"`
	Before   string     `json:"before,omitempty" msgpack:"b"`
	After    string     `json:"after,omitempty" msgpack:"a"`
}

// String formats the change as one line of a diff.
func (c Change) String() string {
	name := c.Contract + " " + c.Field
	switch c.Kind {
	case Added:
		return "+ " + name + " = " + c.After
	case Removed:
		return "- " + name + " = " + c.Before
	}
	return "~ " + name + ": " + c.Before + " -> " + c.After
}

// Value is one field of a contract as text.
type Value struct {
	Field string `json:"field"`
	Text  string `json:"value"`
}

// Values lists all fields of a contract in a fixed order. The names of fields of
// services contain the name of the service: "services.booking.rank".
func Values(c *Contract) []Value {
	groups := make([]string, len(c.Groups))
	for i, g := range c.Groups {
		groups[i] = string(g)
	}
	values := []Value{
		{"team", c.Team},
		{"groups", strings.Join(groups, ", ")},
		{"ends_at", c.EndsAt.UTC().Format(time.RFC3339)},
	}
	for i := range c.Services {
		s := &c.Services[i]
		prefix := serviceField(s, i)
		values = append(values,
			Value{prefix + "rank", strconv.Itoa(s.Rank)},
			Value{prefix + "writes", strconv.FormatBool(s.Writes)},
			Value{prefix + "repeatable", strconv.FormatBool(s.Repeatable)},
			Value{prefix + "max_age", units.Duration(s.MaxAge).String()},
			Value{prefix + "target", units.Duration(s.Target).String()},
			Value{prefix + "floor_percent", fmt.Sprintf("%g %%", s.FloorPercent)},
			Value{prefix + "durability", strconv.Itoa(s.Durability)},
		)
	}
	return values
}

// Diff lists the changes from one contract to another. Either may be nil: the
// contract is then added or removed as a whole.
func Diff(before, after *Contract) []Change {
	var old, current []Value
	id := ""
	if before != nil {
		old, id = Values(before), before.ID
	}
	if after != nil {
		current, id = Values(after), after.ID
	}
	return diffValues(id, old, current)
}

// DiffConfig lists the changes from one configuration to another: the contracts
// of the new one in order, then the removed ones.
func DiffConfig(before, after *Config) []Change {
	var changes []Change
	for i := range after.Contracts {
		c := &after.Contracts[i]
		old, _ := before.Contract(c.ID)
		changes = append(changes, Diff(old, c)...)
	}
	for i := range before.Contracts {
		c := &before.Contracts[i]
		if _, kept := after.Contract(c.ID); !kept {
			changes = append(changes, Diff(c, nil)...)
		}
	}
	return changes
}

func diffValues(id string, before, after []Value) []Change {
	old := map[string]string{}
	for _, v := range before {
		old[v.Field] = v.Text
	}
	kept := map[string]bool{}
	var changes []Change
	for _, v := range after {
		kept[v.Field] = true
		was, present := old[v.Field]
		switch {
		case !present:
			changes = append(changes, Change{Contract: id, Field: v.Field, Kind: Added, After: v.Text})
		case was != v.Text:
			changes = append(changes, Change{Contract: id, Field: v.Field, Kind: Changed, Before: was, After: v.Text})
		}
	}
	for _, v := range before {
		if !kept[v.Field] {
			changes = append(changes, Change{Contract: id, Field: v.Field, Kind: Removed, Before: v.Text})
		}
	}
	return changes
}

// Merge combines successive changes into their net effect: one change per field,
// in the order of the first change of each field.
func Merge(changes []Change) []Change {
	type fieldKey struct{ contract, field string }
	index := map[fieldKey]int{}
	var merged []Change
	for _, c := range changes {
		key := fieldKey{c.Contract, c.Field}
		i, seen := index[key]
		if !seen {
			index[key] = len(merged)
			merged = append(merged, c)
			continue
		}
		merged[i] = combine(merged[i], c)
	}
	return slices.DeleteFunc(merged, func(c Change) bool { return c.Kind == "" })
}

// combine returns the net effect of two changes of one field. Its kind is empty
// if they cancel each other out.
func combine(first, second Change) Change {
	existed := first.Kind == Changed || first.Kind == Removed
	exists := second.Kind != Removed
	net := Change{Contract: first.Contract, Field: first.Field, Before: first.Before, After: second.After}
	switch {
	case existed && exists && net.Before != net.After:
		net.Kind = Changed
	case existed && !exists:
		net.Kind = Removed
	case !existed && exists:
		net.Kind = Added
	}
	return net
}
