package revision

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/examples"
	"github.com/cicadacove/cicadacove/internal/codec"
	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/questionnaire"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

var now = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func answers(t testing.TB, profile string) *questionnaire.Answers {
	t.Helper()
	data, err := examples.Answers(profile)
	require.NoError(t, err)
	a, err := questionnaire.Parse(data)
	require.NoError(t, err)
	return a
}

func command(id string, base uint64, team string, change Change) Command {
	return Command{Rules: RulesVersion, RequestID: id, BaseRevision: base, Actor: "ada", Team: team, At: now, Change: change}
}

func amendChange(id, answer, value string) Change {
	return Change{Kind: AmendAnswers, ContractID: id, Set: []questionnaire.Setting{{Answer: answer, Value: value}}}
}

// newStateWithContracts returns a state with the contracts of both teams, at
// revision 2.
func newStateWithContracts(t testing.TB) *State {
	s := New()
	for i, profile := range examples.Profiles() {
		r := s.Execute(command(profile, uint64(i), profile, Change{Kind: PutAnswers, Answers: answers(t, profile)}))
		require.Equal(t, Accepted, r.Kind, r)
	}
	return s
}

// requireSame compares configurations except for their indexes, which only the
// configurations of appliers have.
func requireSame(t require.TestingT, want, got *contract.Config) {
	require.Equal(t, want.Revision, got.Revision)
	require.Equal(t, want.Contracts, got.Contracts)
}

const selam = "selam-hire-ledger"

func TestConcurrentCommandsAcceptOneAndReportTheConflict(t *testing.T) {
	s := newStateWithContracts(t)
	first := s.Execute(command("a", 2, "selam", amendChange(selam, "stock.wait", "3s")))
	require.Equal(t, Accepted, first.Kind)
	require.Equal(t, uint64(3), first.Revision)
	second := s.Execute(command("b", 2, "selam", amendChange(selam, "stock.wait", "4s")))
	require.Equal(t, Conflict, second.Kind)
	require.Equal(t, uint64(3), second.Revision)
	require.Equal(t, first.Diff, second.Diff)
	require.True(t, second.DiffComplete)
}

func TestResendGetsItsFirstResult(t *testing.T) {
	s := newStateWithContracts(t)
	cmd := command("a", 2, "selam", amendChange(selam, "stock.wait", "3s"))
	first := s.Apply(cmd.Encode())
	snapshot, err := s.Snapshot()
	require.NoError(t, err)
	restored := New()
	require.NoError(t, restored.Restore(snapshot))
	cmd.At = now.Add(time.Hour)
	require.Equal(t, first, restored.Apply(cmd.Encode()))
	require.Equal(t, uint64(3), restored.Revision())
	cmd.Change = amendChange(selam, "stock.wait", "5s")
	reused := restored.Execute(cmd)
	require.Equal(t, Refused, reused.Kind)
	require.Equal(t, "request_id", reused.Errors[0].Field)
}

func TestRefusalsNameTheField(t *testing.T) {
	put := func(team string, mutate func(*contract.Contract)) Change {
		c := contract.Contract{
			ID: "third", Team: team, Groups: []topo.GroupID{"x"}, EndsAt: now.Add(time.Hour),
			Services: []contract.Service{{Name: "s", Rank: 1, Target: time.Second, Durability: 1}},
		}
		mutate(&c)
		return Change{Kind: PutContract, Contract: &c}
	}
	cases := []struct {
		cmd     Command
		field   string
		problem contract.Problem
	}{
		{command("", 2, "selam", put("selam", func(*contract.Contract) {})), "request_id", contract.ProblemMissing},
		{command("q", 2, "selam", Change{Kind: "rename"}), "kind", contract.ProblemUnknown},
		{command("q", 2, "selam", Change{Kind: PutContract}), "contract", contract.ProblemMissing},
		{command("q", 2, "baumwachs", amendChange(selam, "stock.wait", "3s")), "team", contract.ProblemForbidden},
		{command("q", 2, "selam", put("baumwachs", func(*contract.Contract) {})), "team", contract.ProblemForbidden},
		{command("q", 2, "selam", put("selam", func(c *contract.Contract) { c.Groups[0] = "ledger-2" })), "groups[0]", contract.ProblemOverlap},
		{command("q", 2, "selam", amendChange(selam, "databases", "orders-1")), "databases[0]", contract.ProblemOverlap},
		{command("q", 2, "selam", amendChange(selam, "rental.wait", "3s")), "rental.wait", contract.ProblemUnknown},
		{command("q", 2, "selam", amendChange("none", "stock.wait", "3s")), "contract_id", contract.ProblemUnknown},
		{command("q", 2, "selam", Change{Kind: RemoveContract, ContractID: selam}), "contract_id", contract.ProblemRunning},
	}
	for _, tc := range cases {
		s := newStateWithContracts(t)
		r := s.Execute(tc.cmd)
		require.Equal(t, Refused, r.Kind, tc.field)
		require.Equal(t, tc.field, r.Errors[0].Field)
		require.Equal(t, tc.problem, r.Errors[0].Problem)
		require.Equal(t, uint64(2), s.Revision())
	}
}

func TestRemoveEndedContract(t *testing.T) {
	s := newStateWithContracts(t)
	a := NewApplier()
	_, err := a.Apply(s.Since(0))
	require.NoError(t, err)
	cmd := command("end", 2, AnyTeam, Change{Kind: RemoveContract, ContractID: selam})
	cmd.At = now.AddDate(2, 0, 0)
	require.Equal(t, Accepted, s.Execute(cmd).Kind)
	require.Len(t, s.Config().Contracts, 1)
	require.Equal(t, []Delta{{Revision: 3, Remove: selam}}, s.Since(2).Deltas)
	_, err = a.Apply(s.Since(2))
	require.NoError(t, err)
	requireSame(t, s.Config(), a.Config())
}

func TestConflictHidesOtherTeams(t *testing.T) {
	s := newStateWithContracts(t)
	r := s.Execute(command("b", 0, "selam", amendChange(selam, "stock.wait", "4s")))
	require.Equal(t, Conflict, r.Kind)
	require.NotEmpty(t, r.Diff)
	for _, c := range r.Diff {
		require.Equal(t, selam, c.Contract)
	}
}

func TestPreviewChangesNothing(t *testing.T) {
	s := newStateWithContracts(t)
	before, err := s.Snapshot()
	require.NoError(t, err)
	cmd := command("p", 2, "selam", amendChange(selam, "stock.wait", "3s"))
	preview := s.Preview(cmd)
	after, err := s.Snapshot()
	require.NoError(t, err)
	require.Equal(t, before, after)
	require.Equal(t, preview, s.Execute(cmd))
}

func TestMalformedBytes(t *testing.T) {
	s := newStateWithContracts(t)
	r, err := DecodeResult(s.Apply([]byte{0xc1, 2, 3}))
	require.NoError(t, err)
	require.Equal(t, "command", r.Errors[0].Field)
	require.Error(t, s.Restore([]byte{1}))
	require.Equal(t, uint64(2), s.Revision())
}

// TestHistoryAndRequestsAreBounded creates more revisions than are kept, then
// requests updates from dropped revisions and resends a dropped request.
func TestHistoryAndRequestsAreBounded(t *testing.T) {
	s := newStateWithContracts(t)
	early := command("early", 2, "selam", amendChange(selam, "stock.wait", "9s"))
	require.Equal(t, Accepted, s.Execute(early).Kind)
	for i := range MaxRequests + 10 {
		value := fmt.Sprintf("%dms", 1000+i%2)
		r := s.Execute(command(fmt.Sprint(i), s.Revision(), "selam", amendChange(selam, "stock.wait", value)))
		require.Equal(t, Accepted, r.Kind)
	}
	require.LessOrEqual(t, len(s.requests.items), MaxRequests)
	require.Len(t, s.History(), MaxHistory)
	require.NotNil(t, s.Since(1).Full)
	require.Len(t, s.Since(s.Revision()-2).Deltas, 2)
	require.Equal(t, Update{Full: s.Config()}, s.Since(s.Revision()-3), "three deltas are more than two contracts")
	late := s.Execute(early)
	require.Equal(t, Conflict, late.Kind)
	require.False(t, late.DiffComplete)
}

// TestSnapshotSizeIsBounded puts contracts with many groups and long names until
// the configuration is full.
func TestSnapshotSizeIsBounded(t *testing.T) {
	s := New()
	largeContract := func(n int) *contract.Contract {
		c := &contract.Contract{
			ID: fmt.Sprint("c", n), Team: "selam", EndsAt: now.Add(time.Hour),
			Services: []contract.Service{{Name: "s", Rank: 1, Target: time.Second, Durability: 1}},
		}
		for g := range contract.MaxGroups {
			c.Groups = append(c.Groups, topo.GroupID(fmt.Sprintf("%s-%d-%d", strings.Repeat("g", 40), n, g)))
		}
		return c
	}
	n := 0
	for ; ; n++ {
		r := s.Execute(command(fmt.Sprint(n), s.Revision(), "selam", Change{Kind: PutContract, Contract: largeContract(n)}))
		if r.Kind != Accepted {
			require.Equal(t, "contract", r.Errors[0].Field)
			break
		}
	}
	for i := range n {
		cmd := command(fmt.Sprint("again ", i), s.Revision(), "selam", Change{Kind: PutContract, Contract: largeContract(i)})
		require.Equal(t, Accepted, s.Execute(cmd).Kind)
	}
	snapshot, err := s.Snapshot()
	require.NoError(t, err)
	require.Less(t, len(snapshot), MaxConfigBytes+MaxHistoryBytes+MaxRequestBytes+1<<20)
	restored := New()
	require.NoError(t, restored.Restore(snapshot))
	require.Equal(t, s.recordBytes, restored.recordBytes)
	require.Equal(t, s.history.bytes, restored.history.bytes)
	require.Equal(t, s.requests.bytes, restored.requests.bytes)
}

func TestSectionDeltaUpdatesAnEntryInstance(t *testing.T) {
	s := NewSection()
	require.NoError(t, s.Restore(nil))
	require.Nil(t, s.Delta(0))
	cfg := &contract.Config{}
	for i, profile := range examples.Profiles() {
		cmd := command(profile, uint64(i), profile, Change{Kind: PutAnswers, Answers: answers(t, profile)})
		r, err := DecodeResult(s.Apply(uint64(i), cmd.Encode()))
		require.NoError(t, err)
		require.Equal(t, Accepted, r.Kind)
		next, err := DecodeConfig(cfg, s.Delta(cfg.Revision))
		require.NoError(t, err)
		require.Equal(t, uint64(i), cfg.Revision, "the previous configuration is not modified")
		cfg = next
	}
	requireSame(t, s.Config(), cfg)
	_, err := DecodeConfig(&contract.Config{}, s.Delta(1))
	require.ErrorIs(t, err, ErrGap)
	same, err := DecodeConfig(cfg, s.Delta(0))
	require.NoError(t, err)
	require.Same(t, cfg, same)
}

// newStateWithAmendments returns a state with the contracts of both teams and
// the given number of further amendments.
func newStateWithAmendments(t testing.TB, amendments int) *State {
	s := newStateWithContracts(t)
	for i := range amendments {
		value := fmt.Sprintf("%dms", 1000+i%7)
		r := s.Execute(command(fmt.Sprint(i), s.Revision(), "selam", amendChange(selam, "stock.wait", value)))
		require.Equal(t, Accepted, r.Kind)
	}
	return s
}

func BenchmarkAmend(b *testing.B) {
	s := newStateWithContracts(b)
	n := 0
	for b.Loop() {
		value := fmt.Sprintf("%dms", 1000+n%7)
		s.Apply(command(fmt.Sprint(n), s.Revision(), "selam", amendChange(selam, "stock.wait", value)).Encode())
		n++
	}
}

func BenchmarkRestore500Changes(b *testing.B) {
	s := newStateWithAmendments(b, 500)
	data, err := s.Snapshot()
	require.NoError(b, err)
	for b.Loop() {
		require.NoError(b, New().Restore(data))
	}
	b.ReportMetric(float64(len(data)), "snapshot-bytes")
	b.ReportMetric(float64(len(codec.Marshal(s.Since(s.Revision()-1)))), "delta-bytes")
}

// BenchmarkDeltaToOneInstance measures the cost that one more entry instance adds
// to a change: encoding the delta at the leader and applying it at the instance.
func BenchmarkDeltaToOneInstance(b *testing.B) {
	section := &Section{state: newStateWithAmendments(b, 500)}
	from := section.Revision() - 1
	held := section.Config().Clone()
	held.Revision = from
	for b.Loop() {
		_, err := DecodeConfig(held, section.Delta(from))
		require.NoError(b, err)
	}
	b.ReportMetric(float64(len(section.Delta(from))), "delta-bytes")
	b.ReportMetric(float64(len(section.Delta(0))), "full-bytes")
}

// FuzzApply applies arbitrary bytes as a command: the state must return a valid
// result, and its snapshot must be restorable.
func FuzzApply(f *testing.F) {
	f.Add(command("a", 2, "selam", amendChange(selam, "stock.wait", "3s")).Encode())
	f.Add(command("b", 2, "selam", Change{Kind: PutAnswers, Answers: answers(f, "selam")}).Encode())
	f.Add(command("c", 2, "selam", Change{Kind: PutContract, Contract: &contract.Contract{ID: "x"}}).Encode())
	f.Add([]byte{0x81, 0xa1, 'v', 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		s := newStateWithContracts(t)
		_, err := DecodeResult(s.Apply(data))
		require.NoError(t, err)
		snapshot, err := s.Snapshot()
		require.NoError(t, err)
		restored := New()
		require.NoError(t, restored.Restore(snapshot))
		requireSame(t, s.Config(), restored.Config())
	})
}

func FuzzRestore(f *testing.F) {
	snapshot, err := newStateWithContracts(f).Snapshot()
	require.NoError(f, err)
	f.Add(snapshot)
	f.Add([]byte{0x81, 0xa1, 'v', 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		s := New()
		if s.Restore(data) != nil {
			require.Zero(t, s.Revision())
		}
	})
}
