package revision

import (
	"slices"
	"strings"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/questionnaire"
)

// Record is a contract with the answers it was derived from.
type Record struct {
	Contract contract.Contract `json:"contract" msgpack:"c"`
	// Answers is nil for a contract that was put without answers.
	Answers *questionnaire.Answers `json:"answers,omitempty" msgpack:"a,omitempty"`
}

// Entry is one revision of the history and the audit record of its change.
type Entry struct {
	Revision   uint64            `json:"revision" msgpack:"r"`
	At         time.Time         `json:"at" msgpack:"at"`
	Actor      string            `json:"actor" msgpack:"u"`
	Team       string            `json:"team" msgpack:"t"`
	RequestID  string            `json:"request_id" msgpack:"q"`
	Kind       ChangeKind        `json:"kind" msgpack:"k"`
	ContractID string            `json:"contract_id" msgpack:"id"`
	Owner      string            `json:"owner" msgpack:"o"`
	Changes    []contract.Change `json:"changes" msgpack:"c"`
	// ChangesComplete reports whether Changes holds all changes.
	ChangesComplete bool `json:"changes_complete" msgpack:"cc"`
	// Put is the contract after the change, nil if it was removed.
	Put *contract.Contract `json:"-" msgpack:"p,omitempty"`
}

// request is a stored request id with its result.
type request struct {
	Key         string `msgpack:"k"`
	Fingerprint uint64 `msgpack:"f"`
	Result      Result `msgpack:"r"`
}

// State is the configuration with its history. It is not safe for concurrent
// use. Callers must not modify the values that it returns.
type State struct {
	revision uint64
	// records is ordered by contract ID.
	records []Record
	// recordBytes is the encoded size of the records.
	recordBytes int
	// history and requests are ordered by age, the oldest first.
	history  bounded[Entry]
	requests bounded[request]
	byKey    map[string]int
	// config is the value that Config returns. It is replaced, never modified.
	config *contract.Config
}

// New returns an empty state, at revision 0.
func New() *State {
	return &State{byKey: map[string]int{}, config: &contract.Config{}}
}

// Config returns the current configuration, which is immutable.
func (s *State) Config() *contract.Config { return s.config }

// Revision returns the number of the current revision.
func (s *State) Revision() uint64 { return s.revision }

// Records returns all contracts with their answers, ordered by ID.
func (s *State) Records() []Record { return slices.Clone(s.records) }

// Record returns one contract with its answers.
func (s *State) Record(id string) (Record, bool) {
	i, found := s.find(id)
	if !found {
		return Record{}, false
	}
	return s.records[i], true
}

// History returns the revisions in the history, the oldest first.
func (s *State) History() []Entry { return slices.Clone(s.history.items) }

// Execute decides a command and applies it if it is accepted.
func (s *State) Execute(cmd Command) Result {
	cmd = normalize(cmd)
	key := requestKey(cmd)
	fp := fingerprint(cmd)
	if i, seen := s.byKey[key]; seen {
		return s.repeatResult(s.requests.items[i], fp)
	}
	result, after := s.decide(cmd)
	if result.Kind == Accepted {
		s.commit(cmd, result, after)
	}
	if cmd.RequestID != "" {
		s.storeRequest(request{Key: key, Fingerprint: fp, Result: result})
	}
	return result
}

// Preview decides a command without applying it.
func (s *State) Preview(cmd Command) Result {
	cmd = normalize(cmd)
	if i, seen := s.byKey[requestKey(cmd)]; seen {
		return s.repeatResult(s.requests.items[i], fingerprint(cmd))
	}
	result, _ := s.decide(cmd)
	return result
}

// repeatResult returns the stored result of a request id, or a refusal if the
// id is reused for another change.
func (s *State) repeatResult(first request, fp uint64) Result {
	if first.Fingerprint != fp {
		return refusedField(s.revision, "request_id", contract.ProblemDuplicate, "was used for another change")
	}
	return first.Result
}

// requestKey scopes a request id to its team, so that no team can read or block
// the results of another team.
func requestKey(cmd Command) string { return cmd.Team + "/" + cmd.RequestID }

// find returns the index of a contract in the records.
func (s *State) find(id string) (int, bool) {
	return slices.BinarySearchFunc(s.records, id, func(r Record, id string) int {
		return strings.Compare(r.Contract.ID, id)
	})
}

// commit creates the next revision. after is nil if the contract is removed.
func (s *State) commit(cmd Command, result Result, after *Record) {
	id := cmd.Change.Target()
	i, found := s.find(id)
	entry := Entry{
		Revision: result.Revision, At: cmd.At, Actor: cmd.Actor, Team: cmd.Team,
		RequestID: cmd.RequestID, Kind: cmd.Change.Kind, ContractID: id, Changes: result.Diff, ChangesComplete: result.DiffComplete,
	}
	if found {
		s.recordBytes -= sizeOf(s.records[i])
	}
	if after != nil {
		s.recordBytes += sizeOf(*after)
	}
	switch {
	case after == nil:
		entry.Owner = s.records[i].Contract.Team
		s.records = slices.Delete(s.records, i, i+1)
	case found:
		s.records[i] = *after
	default:
		s.records = slices.Insert(s.records, i, *after)
	}
	if after != nil {
		put := after.Contract.Clone()
		entry.Put = &put
		entry.Owner = put.Team
	}
	s.revision = result.Revision
	s.history.add(entry, MaxHistory, MaxHistory, MaxHistoryBytes)
	s.rebuildConfig()
}

// rebuildConfig replaces the configuration. The new one shares memory with the
// records, which are replaced and never modified. It has no index, since lookups
// use the configuration of an Applier.
func (s *State) rebuildConfig() {
	cfg := &contract.Config{Revision: s.revision}
	for i := range s.records {
		cfg.Contracts = append(cfg.Contracts, s.records[i].Contract)
	}
	s.config = cfg
}

// storeRequest stores the result of a request id and drops the oldest ones.
func (s *State) storeRequest(r request) {
	if s.requests.add(r, MaxRequests, KeptRequests, MaxRequestBytes) {
		s.indexRequests()
		return
	}
	s.byKey[r.Key] = len(s.requests.items) - 1
}

func (s *State) indexRequests() {
	s.byKey = make(map[string]int, len(s.requests.items))
	for i, r := range s.requests.items {
		s.byKey[r.Key] = i
	}
}
