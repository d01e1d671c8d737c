// Package statechart loads state charts from TOML and interprets them.
//
// A chart defines a component's transitions: the component calls Next and executes
// the named actions. Load rejects a chart with an unknown event, an unknown action
// or an unreachable state, so that an error in a chart fails the start-up instead of
// a request.
//
//	chart, err := statechart.Load(data, statechart.Vocabulary{
//		Events:  []string{"begin", "commit"},
//		Actions: []string{"pin", "release"},
//	})
//	to, actions, ok := chart.Next("idle", "begin")
package statechart

import (
	"bytes"
	"errors"
	"fmt"
	"slices"

	"github.com/pelletier/go-toml/v2"
)

// Vocabulary lists the events that a component raises and the actions that it
// implements.
type Vocabulary struct {
	Events  []string
	Actions []string
}

// Transition leads from one state to another.
type Transition struct {
	Event   string   `toml:"event"`
	To      string   `toml:"to"`
	Actions []string `toml:"actions"`
}

// State is one state of a chart with the transitions that leave it.
type State struct {
	Name string       `toml:"name"`
	On   []Transition `toml:"on"`
}

// Chart is a validated state chart. It is immutable and safe for concurrent use.
type Chart struct {
	Name    string  `toml:"name"`
	Initial string  `toml:"initial"`
	States  []State `toml:"state"`

	next map[edge]Transition
}

type edge struct{ state, event string }

// Load parses a chart and validates it against the vocabulary.
func Load(data []byte, v Vocabulary) (*Chart, error) {
	c := &Chart{next: map[edge]Transition{}}
	dec := toml.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	err := dec.Decode(c)
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		return nil, fmt.Errorf("state chart: unknown key\n%s", strict.String())
	}
	if err != nil {
		return nil, fmt.Errorf("state chart: %w", err)
	}
	if err := c.index(v); err != nil {
		return nil, fmt.Errorf("state chart %q: %w", c.Name, err)
	}
	if err := c.checkReachable(); err != nil {
		return nil, fmt.Errorf("state chart %q: %w", c.Name, err)
	}
	if err := c.checkUsed(v); err != nil {
		return nil, fmt.Errorf("state chart %q: %w", c.Name, err)
	}
	return c, nil
}

// MustLoad is Load for charts that are embedded in the binary. It panics on an
// error, which is a programming error.
func MustLoad(data []byte, v Vocabulary) *Chart {
	c, err := Load(data, v)
	if err != nil {
		panic(err)
	}
	return c
}

// Next returns the state and the actions that follow event in state. ok is
// false when the chart has no such transition.
func (c *Chart) Next(state, event string) (to string, actions []string, ok bool) {
	t, ok := c.next[edge{state, event}]
	if !ok {
		return state, nil, false
	}
	return t.To, t.Actions, true
}

func (c *Chart) index(v Vocabulary) error {
	names := map[string]bool{}
	for _, s := range c.States {
		if names[s.Name] {
			return fmt.Errorf("state %q is defined more than once", s.Name)
		}
		names[s.Name] = true
	}
	if !names[c.Initial] {
		return fmt.Errorf("initial: unknown state %q", c.Initial)
	}
	for _, s := range c.States {
		for _, t := range s.On {
			if err := c.add(s.Name, t, names, v); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *Chart) add(state string, t Transition, names map[string]bool, v Vocabulary) error {
	if !slices.Contains(v.Events, t.Event) {
		return fmt.Errorf("state %q: unknown event %q", state, t.Event)
	}
	if !names[t.To] {
		return fmt.Errorf("state %q: event %q leads to unknown state %q", state, t.Event, t.To)
	}
	for _, a := range t.Actions {
		if !slices.Contains(v.Actions, a) {
			return fmt.Errorf("state %q: event %q: unknown action %q", state, t.Event, a)
		}
	}
	e := edge{state, t.Event}
	if _, duplicate := c.next[e]; duplicate {
		return fmt.Errorf("state %q: event %q has more than one transition", state, t.Event)
	}
	c.next[e] = t
	return nil
}

func (c *Chart) checkReachable() error {
	seen := map[string]bool{c.Initial: true}
	queue := []string{c.Initial}
	for len(queue) > 0 {
		state := queue[0]
		queue = queue[1:]
		for e, t := range c.next {
			if e.state == state && !seen[t.To] {
				seen[t.To] = true
				queue = append(queue, t.To)
			}
		}
	}
	for _, s := range c.States {
		if !seen[s.Name] {
			return fmt.Errorf("state %q is unreachable", s.Name)
		}
	}
	return nil
}

// checkUsed rejects a vocabulary with events or actions that no transition uses.
func (c *Chart) checkUsed(v Vocabulary) error {
	events, actions := map[string]bool{}, map[string]bool{}
	for e, t := range c.next {
		events[e.event] = true
		for _, a := range t.Actions {
			actions[a] = true
		}
	}
	for _, e := range v.Events {
		if !events[e] {
			return fmt.Errorf("event %q has no transition", e)
		}
	}
	for _, a := range v.Actions {
		if !actions[a] {
			return fmt.Errorf("action %q has no transition", a)
		}
	}
	return nil
}
