// Package contract defines service contracts: each contract states the service
// levels that the system guarantees to a team for a set of databases.
//
// The package does no I/O; time is an argument.
package contract

import (
	"slices"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// Ranks of a service, the most urgent first.
const (
	RankUrgent = 1
	RankNormal = 2
	RankLow    = 3
	// Ranks is the number of ranks.
	Ranks = 3
)

// ClampRank returns the rank closest to the given one.
func ClampRank(rank int) int { return min(max(rank, RankUrgent), Ranks) }

// Service is one kind of work that callers name with cicadacove.service.
type Service struct {
	Name string `json:"name" msgpack:"n" toml:"name"`
	// Rank is 1 for the most urgent work, up to Ranks.
	Rank int `json:"rank" msgpack:"r" toml:"rank"`
	// Writes means that requests may change data, so they go to the primary.
	Writes bool `json:"writes" msgpack:"w" toml:"writes"`
	// Repeatable means that running a request twice does no harm. A request
	// of a service that is not repeatable runs at most once.
	Repeatable bool `json:"repeatable" msgpack:"rp" toml:"repeatable"`
	// MaxAge is the maximum age of the data of a read. A session always sees
	// its own writes. Zero allows only the primary.
	MaxAge time.Duration `json:"max_age" msgpack:"a" toml:"max_age"`
	// Target is the target latency of a request, measured from its arrival at
	// the entry instance.
	Target time.Duration `json:"target" msgpack:"t" toml:"target"`
	// FloorPercent is the share of an upstream's slots that stays reserved for
	// the service under overload by more urgent work, 0 to 100.
	FloorPercent float64 `json:"floor_percent" msgpack:"f" toml:"floor_percent"`
	// Durability is the number of databases that must hold a write before it is
	// acknowledged: 1 or 2.
	Durability int `json:"durability" msgpack:"d" toml:"durability"`
}

// Contract covers a set of database groups until EndsAt.
type Contract struct {
	ID       string         `json:"id" msgpack:"id" toml:"id"`
	Team     string         `json:"team" msgpack:"tm" toml:"team"`
	Groups   []topo.GroupID `json:"groups" msgpack:"g" toml:"groups"`
	Services []Service      `json:"services" msgpack:"s" toml:"services"`
	EndsAt   time.Time      `json:"ends_at" msgpack:"e" toml:"ends_at"`
}

// Service returns the service with the given name.
func (c *Contract) Service(name string) (Service, bool) {
	for _, s := range c.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Ended reports whether the contract has ended at time now, so that no new work may
// start.
func (c *Contract) Ended(now time.Time) bool { return !now.Before(c.EndsAt) }

// Config is the whole configuration at one revision.
type Config struct {
	Revision  uint64     `json:"revision" msgpack:"rev"`
	Contracts []Contract `json:"contracts" msgpack:"c"`

	// byGroup maps each group to the index of its contract. It is nil until
	// BuildIndex is called.
	byGroup map[topo.GroupID]int
}

// BuildIndex builds the index that ForGroup uses. The contracts must not be
// modified afterwards, and no other goroutine may use the configuration during
// the call.
func (c *Config) BuildIndex() {
	c.byGroup = map[topo.GroupID]int{}
	for i := range c.Contracts {
		for _, g := range c.Contracts[i].Groups {
			j, taken := c.byGroup[g]
			if !taken || c.Contracts[i].EndsAt.After(c.Contracts[j].EndsAt) {
				c.byGroup[g] = i
			}
		}
	}
}

// ForGroup returns the contract that covers the group. If there are several, it
// returns the one that ends last: the others have ended, since running contracts
// do not overlap.
func (c *Config) ForGroup(id topo.GroupID) (*Contract, bool) {
	if c.byGroup != nil {
		i, ok := c.byGroup[id]
		if !ok {
			return nil, false
		}
		return &c.Contracts[i], true
	}
	var found *Contract
	for i := range c.Contracts {
		candidate := &c.Contracts[i]
		if !slices.Contains(candidate.Groups, id) {
			continue
		}
		if found == nil || candidate.EndsAt.After(found.EndsAt) {
			found = candidate
		}
	}
	return found, found != nil
}

// Contract returns the contract with the given ID.
func (c *Config) Contract(id string) (*Contract, bool) {
	for i := range c.Contracts {
		if c.Contracts[i].ID == id {
			return &c.Contracts[i], true
		}
	}
	return nil, false
}

// Clone returns a copy that shares no memory with c.
func (c *Contract) Clone() Contract {
	copied := *c
	copied.Groups = slices.Clone(c.Groups)
	copied.Services = slices.Clone(c.Services)
	return copied
}

// Clone returns a copy that shares no memory with c and has no index.
func (c *Config) Clone() *Config {
	copied := &Config{Revision: c.Revision, Contracts: make([]Contract, len(c.Contracts))}
	for i := range c.Contracts {
		copied.Contracts[i] = c.Contracts[i].Clone()
	}
	return copied
}
