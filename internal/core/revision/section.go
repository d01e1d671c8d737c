package revision

import (
	"fmt"
	"slices"
	"sync"

	"github.com/cicadacove/cicadacove/internal/codec"
	"github.com/cicadacove/cicadacove/internal/core/contract"
)

// Section wraps a State as the opaque section of the replicated control state
// (ctlstate.Section). It is safe for concurrent use, so that the admin API can
// read while the log applies commands.
type Section struct {
	mu    sync.RWMutex
	state *State
}

// NewSection returns an empty section, at revision 0.
func NewSection() *Section { return &Section{state: New()} }

// Apply executes an encoded command and returns the encoded result.
func (s *Section) Apply(_ uint64, command []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Apply(command)
}

// Snapshot returns the state in binary form.
func (s *Section) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.Snapshot()
}

// Restore replaces the state with that of a snapshot. An empty snapshot, written
// by a log that had no section yet, restores the empty state. If Restore returns
// an error, the state is unchanged.
func (s *Section) Restore(snapshot []byte) error {
	state := New()
	if len(snapshot) > 0 {
		if err := state.Restore(snapshot); err != nil {
			return err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
	return nil
}

// Revision returns the number of the latest revision.
func (s *Section) Revision() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.Revision()
}

// Delta returns the encoded update that brings an entry instance from the
// given revision to the latest one, nil if there is none.
func (s *Section) Delta(from uint64) []byte {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if from >= s.state.Revision() {
		return nil
	}
	return codec.Marshal(s.state.Since(from))
}

// Config returns the current configuration, which is immutable.
func (s *Section) Config() *contract.Config {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.Config()
}

// Preview decides a command without applying it.
func (s *Section) Preview(cmd Command) Result {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.Preview(cmd)
}

// View returns all contracts with their answers.
func (s *Section) View() View {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.View()
}

// History returns the revisions in the history that the query selects.
func (s *Section) History(q HistoryQuery) History {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.Query(q)
}

// DecodeConfig applies an update that Section.Delta returned to the
// configuration of an entry instance and returns the new configuration. current
// is not modified. After ErrGap the instance must request an update from its own
// revision.
func DecodeConfig(current *contract.Config, update []byte) (*contract.Config, error) {
	var u Update
	if err := codec.Unmarshal(update, &u); err != nil {
		return nil, fmt.Errorf("revision: update: %w", err)
	}
	a := Applier{config: current}
	if _, err := a.Apply(u); err != nil {
		return nil, err
	}
	return a.Config(), nil
}

// View holds all contracts at one revision.
type View struct {
	Revision uint64   `json:"revision" msgpack:"r"`
	Records  []Record `json:"contracts" msgpack:"c"`
}

// Record returns the named contract.
func (v View) Record(id string) (Record, bool) {
	i := slices.IndexFunc(v.Records, func(r Record) bool { return r.Contract.ID == id })
	if i < 0 {
		return Record{}, false
	}
	return v.Records[i], true
}

// HistoryQuery selects revisions.
type HistoryQuery struct {
	// Team selects the contracts of a team, or all of them for AnyTeam.
	Team string `msgpack:"t"`
	// Contract selects one contract, or all of them if empty.
	Contract string `msgpack:"c"`
	// Limit bounds the number of revisions.
	Limit int `msgpack:"l"`
}

// History is an excerpt of the history, the latest revision first.
type History struct {
	Revision uint64  `json:"revision" msgpack:"r"`
	Entries  []Entry `json:"entries" msgpack:"e"`
}

// View returns all contracts with their answers.
func (s *State) View() View {
	return View{Revision: s.revision, Records: s.Records()}
}

// Query returns the revisions in the history that the query selects.
func (s *State) Query(q HistoryQuery) History {
	h := History{Revision: s.revision, Entries: []Entry{}}
	for i := len(s.history.items) - 1; i >= 0 && len(h.Entries) < q.Limit; i-- {
		e := s.history.items[i]
		if mayChange(q.Team, e.Owner) && (q.Contract == "" || q.Contract == e.ContractID) {
			h.Entries = append(h.Entries, e)
		}
	}
	return h
}
