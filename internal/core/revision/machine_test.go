package revision

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/cicadacove/cicadacove/internal/testseed"
)

// machine applies the same commands to two replicas of the state, and sends
// updates late and out of order to an entry instance. It records the first
// result of each request and the accepted command of each base revision.
type machine struct {
	left, right    *State
	applier        *Applier
	sent           []Command
	results        map[string]Result
	acceptedByBase map[uint64]string
	updates        []Update
}

func newMachine(t *testing.T) *machine {
	m := &machine{left: newStateWithContracts(t), right: newStateWithContracts(t), applier: NewApplier(), results: map[string]Result{}, acceptedByBase: map[uint64]string{}}
	m.updates = append(m.updates, m.left.Since(0))
	return m
}

func (m *machine) send(t *rapid.T) {
	team := rapid.SampledFrom([]string{"selam", "baumwachs", AnyTeam}).Draw(t, "team")
	target := rapid.SampledFrom([][2]string{{selam, "stock.wait"}, {selam, "booking.wait"}, {"baumwachs-order-store", "catalogue.wait"}}).Draw(t, "target")
	value := fmt.Sprintf("%dms", rapid.IntRange(0, 5).Draw(t, "ms"))
	back := rapid.Uint64Range(0, 2).Draw(t, "behind")
	cmd := command(fmt.Sprint(len(m.sent)), m.left.Revision()-back, team, amendChange(target[0], target[1], value))
	m.sent = append(m.sent, cmd)
	m.run(t, cmd)
}

func (m *machine) resend(t *rapid.T) {
	if len(m.sent) == 0 {
		t.Skip("nothing sent")
	}
	m.run(t, rapid.SampledFrom(m.sent).Draw(t, "command"))
}

// run executes a command on both replicas and compares the results with those
// recorded.
func (m *machine) run(t *rapid.T, cmd Command) {
	before := m.left.Revision()
	result := m.left.Execute(cmd)
	encoded, err := DecodeResult(m.right.Apply(cmd.Encode()))
	require.NoError(t, err)
	require.Equal(t, result.Encode(), encoded.Encode())
	first, again := m.results[cmd.RequestID]
	if again {
		require.Equal(t, first, result)
		require.Equal(t, before, m.left.Revision())
		return
	}
	m.results[cmd.RequestID] = result
	if result.Kind != Accepted {
		require.Equal(t, before, m.left.Revision())
		return
	}
	require.Equal(t, before+1, m.left.Revision())
	require.Empty(t, m.acceptedByBase[cmd.BaseRevision], "two accepted commands with the same base")
	m.acceptedByBase[cmd.BaseRevision] = cmd.RequestID
}

func (m *machine) restore(t *rapid.T) {
	data, err := m.right.Snapshot()
	require.NoError(t, err)
	m.right = New()
	require.NoError(t, m.right.Restore(data))
	again, err := m.right.Snapshot()
	require.NoError(t, err)
	require.Equal(t, data, again)
}

// publish creates an update that may be delivered late or more than once.
func (m *machine) publish(t *rapid.T) {
	since := rapid.Uint64Range(0, m.left.Revision()).Draw(t, "since")
	m.updates = append(m.updates, m.left.Since(since))
}

func (m *machine) deliver(t *rapid.T) {
	update := rapid.SampledFrom(m.updates).Draw(t, "update")
	before := m.applier.Config().Revision
	_, err := m.applier.Apply(update)
	after := m.applier.Config().Revision
	require.GreaterOrEqual(t, after, before, "the revision decreased")
	if err != nil {
		require.ErrorIs(t, err, ErrGap)
		require.Equal(t, before, after)
	}
}

func (m *machine) check(t *rapid.T) {
	requireSame(t, m.left.Config(), m.right.Config())
	if m.applier.Config().Revision == m.left.Revision() {
		requireSame(t, m.left.Config(), m.applier.Config())
	}
}

func TestMachine(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := newMachine(t)
		r.Repeat(map[string]func(*rapid.T){
			"send": m.send, "resend": m.resend, "restore": m.restore, "publish": m.publish, "deliver": m.deliver, "": m.check,
		})
	})
}
