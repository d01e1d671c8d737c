package contract

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/core/topo"
)

var now = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func valid() Contract {
	return Contract{
		ID: "ledger", Team: "selam", Groups: []topo.GroupID{"ledger-1", "ledger-2"}, EndsAt: now.Add(60 * day),
		Services: []Service{
			{Name: "booking", Rank: 1, Writes: true, Target: time.Second, FloorPercent: 60, Durability: 2},
			{Name: "stock", Rank: 3, Repeatable: true, MaxAge: time.Second, Target: time.Second, FloorPercent: 40, Durability: 1},
		},
	}
}

func TestValidateNamesFieldAndProblem(t *testing.T) {
	cases := []struct {
		field   string
		problem Problem
		mutate  func(*Contract)
	}{
		{"id", ProblemMissing, func(c *Contract) { c.ID = "" }},
		{"team", ProblemMalformed, func(c *Contract) { c.Team = "Selam Office" }},
		{"groups", ProblemMissing, func(c *Contract) { c.Groups = nil }},
		{"groups[0]", ProblemMissing, func(c *Contract) { c.Groups[0] = "" }},
		{"groups[1]", ProblemDuplicate, func(c *Contract) { c.Groups[1] = "ledger-1" }},
		{"groups[1]", ProblemOverlap, func(c *Contract) { c.Groups[1] = "taken" }},
		{"services", ProblemMissing, func(c *Contract) { c.Services = nil }},
		{"services[1].name", ProblemMissing, func(c *Contract) { c.Services[1].Name = "" }},
		{"services.booking.name", ProblemDuplicate, func(c *Contract) { c.Services[1].Name = "booking" }},
		{"services.booking.rank", ProblemOutOfRange, func(c *Contract) { c.Services[0].Rank = 0 }},
		{"services.booking.rank", ProblemOutOfRange, func(c *Contract) { c.Services[0].Rank = 4 }},
		{"services.booking.max_age", ProblemContradiction, func(c *Contract) { c.Services[0].MaxAge = 1 }},
		{"services.stock.max_age", ProblemOutOfRange, func(c *Contract) { c.Services[1].MaxAge = -1 }},
		{"services.stock.target", ProblemOutOfRange, func(c *Contract) { c.Services[1].Target = 0 }},
		{"services.stock.target", ProblemOutOfRange, func(c *Contract) { c.Services[1].Target = -1 }},
		{"services.stock.floor_percent", ProblemOutOfRange, func(c *Contract) { c.Services[1].FloorPercent = math.NaN() }},
		{"services.floor_percent", ProblemOutOfRange, func(c *Contract) { c.Services[1].FloorPercent = 41 }},
		{"services.stock.durability", ProblemOutOfRange, func(c *Contract) { c.Services[1].Durability = 3 }},
		{"ends_at", ProblemMissing, func(c *Contract) { c.EndsAt = time.Time{} }},
		{"ends_at", ProblemPast, func(c *Contract) { c.EndsAt = now }},
	}
	others := []Contract{
		{ID: "ledger", Groups: []topo.GroupID{"ledger-1"}, EndsAt: now.Add(day)},
		{ID: "ended", Groups: []topo.GroupID{"ledger-1"}, EndsAt: now},
		{ID: "other", Groups: []topo.GroupID{"taken"}, EndsAt: now.Add(day)},
	}
	c := valid()
	require.NoError(t, Validate(&c, others, now))
	for _, tc := range cases {
		c := valid()
		tc.mutate(&c)
		err := Validate(&c, others, now)
		var fields FieldErrors
		require.ErrorAs(t, err, &fields, tc.field)
		require.Equal(t, tc.field, fields[0].Field)
		require.Equal(t, tc.problem, fields[0].Problem, tc.field)
	}
}

func TestValidateConfigFindsOverlapOfRunningContracts(t *testing.T) {
	a, b := valid(), valid()
	b.ID = "ledger-next"
	cfg := &Config{Contracts: []Contract{a, b}}
	require.ErrorContains(t, ValidateConfig(cfg, now), "contracts.ledger-next.groups[0]")
	cfg.Contracts[0].EndsAt = now
	require.NoError(t, ValidateConfig(cfg, now))
	found, ok := cfg.ForGroup("ledger-1")
	require.True(t, ok)
	require.Equal(t, "ledger-next", found.ID)
}

func TestForGroupWithAndWithoutIndex(t *testing.T) {
	a, b, c := valid(), valid(), valid()
	a.EndsAt, b.ID, c.ID = now, "next", "other"
	c.Groups = []topo.GroupID{"orders-1"}
	cfg := &Config{Contracts: []Contract{b, a, c}}
	for range 2 {
		for group, want := range map[topo.GroupID]string{"ledger-1": "next", "ledger-2": "next", "orders-1": "other"} {
			found, ok := cfg.ForGroup(group)
			require.True(t, ok)
			require.Equal(t, want, found.ID)
		}
		_, ok := cfg.ForGroup("none")
		require.False(t, ok)
		cfg.BuildIndex()
	}
}

func BenchmarkForGroup(b *testing.B) {
	cfg := &Config{}
	for i := range 1000 {
		c := valid()
		c.ID, c.Groups = fmt.Sprint(i), []topo.GroupID{topo.GroupID(fmt.Sprint("group-", i))}
		cfg.Contracts = append(cfg.Contracts, c)
	}
	for _, name := range []string{"scan", "index"} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				cfg.ForGroup("group-999")
			}
		})
		cfg.BuildIndex()
	}
}

func TestPhases(t *testing.T) {
	c := valid()
	at := now
	var phases []Phase
	for {
		phases = append(phases, c.PhaseAt(at))
		next, ok := c.NextPhaseAt(at)
		if !ok {
			break
		}
		require.True(t, next.After(at))
		at = next
	}
	require.Equal(t, []Phase{PhaseRunning, PhaseEnding30, PhaseEnding7, PhaseEnding1, PhaseEnded}, phases)
	require.Equal(t, c.EndsAt, at)
	require.True(t, c.Ended(at))
	require.False(t, c.Ended(at.Add(-1)))
}

func TestDiff(t *testing.T) {
	a, b := valid(), valid()
	b.Services[1].Target = 1500 * time.Millisecond
	b.Services = append(b.Services, Service{Name: "returns", Rank: 2})
	changes := Diff(&a, &b)
	require.Equal(t, "~ ledger services.stock.target: 1s -> 1.5s", changes[0].String())
	require.Len(t, changes, 8)
	back := Diff(&b, &a)
	require.Equal(t, Removed, back[7].Kind)
	require.Empty(t, Diff(&a, &a))
	removed := DiffConfig(&Config{Contracts: []Contract{a}}, &Config{})
	require.Len(t, removed, len(Values(&a)))
}

func TestServiceJSONWritesUnits(t *testing.T) {
	s := valid().Services[1]
	data, err := json.Marshal(s)
	require.NoError(t, err)
	require.Contains(t, string(data), `"target":"1s"`)
	var back Service
	require.NoError(t, json.Unmarshal(data, &back))
	require.Equal(t, s, back)
}
