package revision

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/cicadacove/cicadacove/internal/core/contract"
)

// ErrGap means that deltas do not continue from the instance's revision. The
// instance must request an update from its own revision.
var ErrGap = errors.New("revision: deltas are missing")

// Delta is the change of one revision, as published to entry instances.
type Delta struct {
	Revision uint64 `json:"revision" msgpack:"r"`
	// Put is the contract after the change. If it is nil, Remove is set.
	Put    *contract.Contract `json:"put,omitempty" msgpack:"p,omitempty"`
	Remove string             `json:"remove,omitempty" msgpack:"d,omitempty"`
}

// Update brings an entry instance to a later revision: with Full if it is set,
// otherwise with Deltas in order. An update without either changes nothing.
type Update struct {
	Full   *contract.Config `json:"full,omitempty" msgpack:"f,omitempty"`
	Deltas []Delta          `json:"deltas,omitempty" msgpack:"d,omitempty"`
}

// Since returns the update for an entry instance at revision rev. It contains
// the full configuration if the history does not reach back to rev, or if there
// are more deltas than contracts, since each delta holds one contract.
func (s *State) Since(rev uint64) Update {
	if rev >= s.revision {
		return Update{}
	}
	// The history holds consecutive revisions up to the current one.
	missing := s.revision - rev
	if missing > uint64(min(len(s.history.items), len(s.records))) {
		return Update{Full: s.config}
	}
	var u Update
	for _, e := range s.history.items[len(s.history.items)-int(missing):] {
		d := Delta{Revision: e.Revision, Put: e.Put}
		if e.Put == nil {
			d.Remove = e.ContractID
		}
		u.Deltas = append(u.Deltas, d)
	}
	return u
}

// Applier holds the configuration of an entry instance. Its revision never
// decreases. An Applier is not safe for concurrent use; the configurations that
// it returns are immutable.
type Applier struct {
	config *contract.Config
}

// NewApplier returns an applier with an empty configuration, at revision 0.
func NewApplier() *Applier { return &Applier{config: &contract.Config{}} }

// Config returns the current configuration.
func (a *Applier) Config() *contract.Config { return a.config }

// Apply applies an update and reports whether the configuration changed.
// Revisions up to the current one are skipped. If it returns ErrGap, nothing has
// changed.
func (a *Applier) Apply(u Update) (changed bool, err error) {
	if u.Full != nil {
		if u.Full.Revision <= a.config.Revision {
			return false, nil
		}
		a.config = u.Full.Clone()
		for i := range a.config.Contracts {
			utcContract(&a.config.Contracts[i])
		}
		a.config.BuildIndex()
		return true, nil
	}
	next := a.config
	for _, d := range u.Deltas {
		if d.Revision <= next.Revision {
			continue
		}
		if d.Revision != next.Revision+1 {
			return false, fmt.Errorf("%w: have %d, got %d", ErrGap, next.Revision, d.Revision)
		}
		next = applyDelta(next, d)
	}
	changed = next != a.config
	if changed {
		next.BuildIndex()
	}
	a.config = next
	return changed, nil
}

// applyDelta returns the configuration after the delta. It shares the unchanged
// contracts with cfg.
func applyDelta(cfg *contract.Config, d Delta) *contract.Config {
	next := &contract.Config{Revision: d.Revision, Contracts: slices.Clone(cfg.Contracts)}
	if d.Put == nil {
		next.Contracts = slices.DeleteFunc(next.Contracts, func(c contract.Contract) bool { return c.ID == d.Remove })
		return next
	}
	put := d.Put.Clone()
	put.EndsAt = put.EndsAt.UTC()
	i, found := slices.BinarySearchFunc(next.Contracts, put.ID, func(c contract.Contract, id string) int {
		return strings.Compare(c.ID, id)
	})
	if found {
		next.Contracts[i] = put
	} else {
		next.Contracts = slices.Insert(next.Contracts, i, put)
	}
	return next
}
