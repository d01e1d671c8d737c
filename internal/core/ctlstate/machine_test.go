package ctlstate

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cicadacove/cicadacove/internal/core/topo"
	_ "github.com/cicadacove/cicadacove/internal/testseed"
)

const g = topo.GroupID("ledger-1")

// log applies commands to a machine under increasing indexes.
type log struct {
	m     *Machine
	index uint64
}

func (l *log) apply(t require.TestingT, c Command) string {
	data, err := c.Encode()
	require.NoError(t, err)
	l.index++
	r, err := DecodeResult(l.m.Apply(l.index, data))
	require.NoError(t, err)
	return r.Refused
}

func newLogWithGroup(t require.TestingT) *log {
	l := &log{m: NewMachine(nil)}
	require.Equal(t, RefusedUnknownGroup, l.apply(t, add("b", false)))
	require.Empty(t, l.apply(t, add("a", true)))
	require.Empty(t, l.apply(t, add("b", false)))
	require.Equal(t, RefusedNoChange, l.apply(t, add("b", false)))
	return l
}

func add(id topo.UpstreamID, createGroup bool) Command {
	return Command{AddDatabase: &AddDatabase{Group: g, Database: Database{ID: id, Addr: "addr-" + string(id)}, CreateGroup: createGroup, Term: 1}}
}

func TestFailoverStepsAreIdempotent(t *testing.T) {
	l := newLogWithGroup(t)
	begin := Command{Begin: &BeginFailover{Group: g, Term: 2}}
	choose := Command{Choose: &ChoosePrimary{Group: g, Term: 2, Primary: "b", Start: 7}}
	complete := Command{Complete: &CompleteFailover{Group: g, Term: 2}}
	require.Equal(t, RefusedNoAttempt, l.apply(t, choose))
	require.Empty(t, l.apply(t, begin))
	require.Equal(t, RefusedUsedTerm, l.apply(t, begin))
	require.Equal(t, RefusedNoAttempt, l.apply(t, complete), "nothing is chosen yet")
	require.Empty(t, l.apply(t, choose))
	require.Equal(t, RefusedAlreadyChosen, l.apply(t, Command{Choose: &ChoosePrimary{Group: g, Term: 2, Primary: "a"}}))
	require.Empty(t, l.apply(t, complete))
	require.Equal(t, RefusedNoAttempt, l.apply(t, complete))
	r, _ := l.m.Group(g)
	require.Equal(t, topo.Group{ID: g, Term: 2, Primary: "b", Starts: []topo.TermStart{{Term: 1}, {Term: 2, Start: 7}}}, r.Group)
	require.Equal(t, "addr-b", r.PrimaryAddr())
}

func TestLaterAttemptSupersedesAnEarlierOne(t *testing.T) {
	l := newLogWithGroup(t)
	require.Empty(t, l.apply(t, Command{Begin: &BeginFailover{Group: g, Term: 2}}))
	require.Empty(t, l.apply(t, Command{Choose: &ChoosePrimary{Group: g, Term: 2, Primary: "b"}}))
	require.Empty(t, l.apply(t, Command{Begin: &BeginFailover{Group: g, Term: 5}}))
	require.Equal(t, RefusedNoAttempt, l.apply(t, Command{Complete: &CompleteFailover{Group: g, Term: 2}}))
	r, _ := l.m.Group(g)
	require.Equal(t, topo.Term(1), r.Term)
	require.Empty(t, r.Attempt.Chosen)
}

func TestIncarnations(t *testing.T) {
	l := &log{m: NewMachine(nil)}
	register := func(incarnation uint64) string {
		return l.apply(t, Command{Register: &Register{Member: Member{ID: "e1", Incarnation: incarnation}}})
	}
	require.Empty(t, register(2))
	require.Empty(t, register(2), "a resend")
	require.Equal(t, RefusedOldIncarnation, register(1))
	require.Empty(t, l.apply(t, Command{Remove: &Remove{Key: MemberKey{"e1", 2}}}))
	require.Empty(t, register(2), "it registers again after a partition")
	require.Empty(t, register(3))
	require.Equal(t, RefusedOldIncarnation, register(2))
	old, _ := l.m.Member(MemberKey{"e1", 2})
	require.True(t, old.Superseded)
}

func TestFenceQuorumIntersectsEachPairOfDatabases(t *testing.T) {
	for n, want := range map[int]int{1: 1, 2: 2, 3: 2, 4: 3, 5: 4} {
		r := GroupRecord{Databases: make([]Database, n)}
		require.Equal(t, want, r.FenceQuorum(), n)
	}
}

// A replica that applies deltas at arbitrary times, some of them twice, ends
// with the machine's state, even if the machine is restored from a snapshot in
// between.
func TestReplicaFollowsTheMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLogWithGroup(t)
		r := NewReplica()
		old, published := l.m.Since(Held{}), l.m.LatestEpochs()
		asOldVersion := rapid.Bool().Draw(t, "reader without steps")
		held := func() Held {
			if asOldVersion {
				return Held{Index: r.Index}
			}
			return Held{Index: r.Index, Epochs: r.Epochs.Changed}
		}
		history := map[uint64]Epochs{0: {}}
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			l.apply(t, drawCommand(t, l.m))
			history[l.m.Epochs().Changed] = l.m.Epochs()
			before := r.Epochs.Changed
			switch rapid.IntRange(0, 8).Draw(t, "what") {
			case 0:
				r.Apply(l.m.Since(held()), true)
			case 1:
				r.Apply(old, false)
			case 2:
				old = l.m.Since(held())
			case 4, 5:
				r.Apply(l.m.LatestEpochs(), false)
			case 6:
				published = l.m.LatestEpochs()
			case 7:
				r.Apply(published, false)
			case 3:
				data, err := l.m.Snapshot()
				require.NoError(t, err)
				l.m = NewMachine(nil)
				require.NoError(t, l.m.Restore(data))
			}
			require.GreaterOrEqual(t, r.Epochs.Changed, before, "epochs never go back")
			require.True(t, sameEpochs(history[r.Epochs.Changed], r.Epochs), "epochs that the machine never had")
		}
		r.Apply(l.m.Since(held()), true)
		record, _ := l.m.Group(g)
		require.Equal(t, record, *r.Groups[g])
		require.Equal(t, l.m.Epochs(), r.Epochs)
		var members []MemberKey
		for _, m := range l.m.Members() {
			members = append(members, m.Key())
		}
		require.Len(t, r.Lookup(members), len(members))
		require.Len(t, r.members, len(members))
	})
}

func drawCommand(t *rapid.T, m *Machine) Command {
	id := topo.InstanceID(rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(t, "instance"))
	key := MemberKey{id, rapid.Uint64Range(1, 4).Draw(t, "incarnation")}
	record, _ := m.Group(g)
	term := record.NextTerm()
	e := m.Epochs()
	return rapid.SampledFrom([]Command{
		{Register: &Register{Member: Member{ID: key.ID, Incarnation: key.Incarnation}}},
		{Remove: &Remove{Key: key}},
		add(topo.UpstreamID(id), false),
		{Begin: &BeginFailover{Group: g, Term: term}},
		{Choose: &ChoosePrimary{Group: g, Term: term - 1, Primary: "b"}},
		{Complete: &CompleteFailover{Group: g, Term: term - 1}},
		{Prepare: &PrepareEpoch{Epoch: Epoch{Number: e.Active.Number + 1, Members: []MemberKey{key}}}},
		{Activate: &ActivateEpoch{Number: e.Active.Number + 1}},
	}).Draw(t, "command")
}

func TestDatabaseRetiresBeforeItIsRemoved(t *testing.T) {
	l := newLogWithGroup(t)
	retire := func(id topo.UpstreamID) Command { return Command{Retire: &RetireDatabase{Group: g, ID: id}} }
	remove := Command{RemoveDB: &RemoveDatabase{Group: g, ID: "b"}}
	require.Equal(t, RefusedIsPrimary, l.apply(t, retire("a")))
	require.Equal(t, RefusedUnknownDB, l.apply(t, retire("x")))
	require.Equal(t, RefusedNotRetiring, l.apply(t, remove))
	require.Empty(t, l.apply(t, retire("b")))
	require.Equal(t, RefusedNoChange, l.apply(t, add("b", false)), "an announcement does not undo it")
	require.Empty(t, l.apply(t, Command{Begin: &BeginFailover{Group: g, Term: 2}}))
	require.Equal(t, RefusedFailoverActive, l.apply(t, remove))
	require.Empty(t, l.apply(t, Command{Choose: &ChoosePrimary{Group: g, Term: 2, Primary: "a"}}))
	require.Empty(t, l.apply(t, Command{Complete: &CompleteFailover{Group: g, Term: 2}}))
	require.Empty(t, l.apply(t, remove))
	r, _ := l.m.Group(g)
	require.Len(t, r.Databases, 1)
}

func TestRetiringDatabaseThatBecomesThePrimaryStays(t *testing.T) {
	l := newLogWithGroup(t)
	require.Empty(t, l.apply(t, Command{Retire: &RetireDatabase{Group: g, ID: "b"}}))
	require.Empty(t, l.apply(t, Command{Begin: &BeginFailover{Group: g, Term: 2}}))
	require.Empty(t, l.apply(t, Command{Choose: &ChoosePrimary{Group: g, Term: 2, Primary: "b"}}))
	require.Empty(t, l.apply(t, Command{Complete: &CompleteFailover{Group: g, Term: 2}}))
	r, _ := l.m.Group(g)
	db, _ := r.Database("b")
	require.False(t, db.Retiring)
}
