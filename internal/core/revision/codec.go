package revision

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadacove/cicadacove/internal/codec"
	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/questionnaire"
)

// snapshotVersion is the version of the snapshot format.
const snapshotVersion = 1

// snapshot is the stored form of a State.
type snapshot struct {
	Version  int       `msgpack:"v"`
	Revision uint64    `msgpack:"r"`
	Records  []Record  `msgpack:"c"`
	History  []Entry   `msgpack:"h"`
	Requests []request `msgpack:"q"`
}

// Encode returns the binary form of a command. A command without a rules
// version is encoded with the current one.
func (cmd Command) Encode() []byte {
	if cmd.Rules == 0 {
		cmd.Rules = RulesVersion
	}
	return codec.Marshal(cmd)
}

// DecodeCommand decodes the output of Command.Encode.
func DecodeCommand(data []byte) (Command, error) {
	var cmd Command
	if err := codec.Unmarshal(data, &cmd); err != nil {
		return Command{}, fmt.Errorf("revision: command: %w", err)
	}
	return normalize(cmd), nil
}

// Encode returns the binary form of a result.
func (r Result) Encode() []byte { return codec.Marshal(r) }

// DecodeResult decodes the output of Result.Encode.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	if err := codec.Unmarshal(data, &r); err != nil {
		return Result{}, fmt.Errorf("revision: result: %w", err)
	}
	return r, nil
}

// Encode returns the binary form of a view.
func (v View) Encode() []byte { return codec.Marshal(v) }

// DecodeView decodes the output of View.Encode.
func DecodeView(data []byte) (View, error) {
	var v View
	if err := codec.Unmarshal(data, &v); err != nil {
		return View{}, fmt.Errorf("revision: view: %w", err)
	}
	utcRecords(v.Records)
	return v, nil
}

// Encode returns the binary form of an excerpt of the history.
func (h History) Encode() []byte { return codec.Marshal(h) }

// DecodeHistory decodes the output of History.Encode.
func DecodeHistory(data []byte) (History, error) {
	var h History
	if err := codec.Unmarshal(data, &h); err != nil {
		return History{}, fmt.Errorf("revision: history: %w", err)
	}
	utcEntries(h.Entries)
	return h, nil
}

// Apply executes an encoded command and returns the encoded result. A malformed
// command is refused.
func (s *State) Apply(command []byte) []byte {
	cmd, err := DecodeCommand(command)
	if err != nil {
		return refusedField(s.revision, "command", contract.ProblemMalformed, err.Error()).Encode()
	}
	return s.Execute(cmd).Encode()
}

// Snapshot returns the state in binary form. Equal states have equal
// snapshots.
func (s *State) Snapshot() ([]byte, error) {
	return codec.Marshal(snapshot{
		Version: snapshotVersion, Revision: s.revision,
		Records: s.records, History: s.history.items, Requests: s.requests.items,
	}), nil
}

// Restore replaces the state with that of a snapshot. If it returns an error,
// the state is unchanged.
func (s *State) Restore(data []byte) error {
	var snap snapshot
	if err := codec.Unmarshal(data, &snap); err != nil {
		return fmt.Errorf("revision: snapshot: %w", err)
	}
	if snap.Version != snapshotVersion {
		return fmt.Errorf("revision: snapshot has version %d, want %d", snap.Version, snapshotVersion)
	}
	s.revision = snap.Revision
	utcRecords(snap.Records)
	utcEntries(snap.History)
	s.records = snap.Records
	s.recordBytes = 0
	for i := range s.records {
		s.recordBytes += sizeOf(s.records[i])
	}
	s.history, s.requests = newBounded(snap.History), newBounded(snap.Requests)
	s.indexRequests()
	s.rebuildConfig()
	return nil
}

// normalize returns the command in the form that all voters decide on: with
// times in UTC, since the codec does not preserve time zones.
func normalize(cmd Command) Command {
	cmd.At = cmd.At.UTC()
	if cmd.Change.Contract != nil {
		c := cmd.Change.Contract.Clone()
		utcContract(&c)
		cmd.Change.Contract = &c
	}
	if cmd.Change.Answers != nil {
		cmd.Change.Answers = cmd.Change.Answers.Clone()
		utcAnswers(cmd.Change.Answers)
	}
	return cmd
}

func utcRecords(records []Record) {
	for i := range records {
		utcContract(&records[i].Contract)
		utcAnswers(records[i].Answers)
	}
}

func utcEntries(entries []Entry) {
	for i := range entries {
		entries[i].At = entries[i].At.UTC()
		utcContract(entries[i].Put)
	}
}

func utcContract(c *contract.Contract) {
	if c != nil {
		c.EndsAt = c.EndsAt.UTC()
	}
}

func utcAnswers(a *questionnaire.Answers) {
	if a != nil {
		a.SupportEnds = a.SupportEnds.UTC()
	}
}

// fingerprint identifies the change that a command requests. It excludes the
// time, since a resend is proposed at another time.
func fingerprint(cmd Command) uint64 {
	return xxhash.Sum64(codec.Marshal(struct {
		Base   uint64
		Change Change
	}{cmd.BaseRevision, cmd.Change}))
}
