package cluster

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/admin"
	"github.com/cicadacove/cicadacove/internal/configrpc"
	"github.com/cicadacove/cicadacove/internal/core/questionnaire"
	"github.com/cicadacove/cicadacove/internal/core/revision"
	"github.com/cicadacove/cicadacove/internal/peer"
)

const (
	operators      = 4
	opsPerOperator = 25
	// The test kills the leader leaderKills times, each time after
	// changesPerKill further changes.
	leaderKills    = 2
	changesPerKill = 10
	settleTimeout  = 30 * time.Second
)

// opInput is an operator's request: a read, or a change to value at revision
// base.
type opInput struct {
	read  bool
	base  uint64
	value string
}

// opOutput is the result that the operator received.
type opOutput struct {
	kind     revision.ResultKind
	revision uint64
	value    string
	// unknown means that the change may have been applied; notRun means that
	// it was not applied.
	unknown, notRun bool
}

// opState is the state of the configuration that operators can observe.
type opState struct {
	revision uint64
	value    string
}

// configModel models the configuration as a register whose writes compare the
// base revision.
func configModel(initial opState) porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{initial} },
		Step: func(s, in, out any) []any { return stepConfig(s.(opState), in.(opInput), out.(opOutput)) },
	}
	return model.ToModel()
}

func stepConfig(s opState, in opInput, out opOutput) []any {
	next := opState{s.revision + 1, in.value}
	switch {
	case out.notRun:
		return []any{s}
	case out.unknown && !in.read && in.base == s.revision:
		return []any{s, next}
	case out.unknown:
		return []any{s}
	case in.read:
		if out.revision != s.revision || out.value != s.value {
			return nil
		}
		return []any{s}
	case out.kind == revision.Accepted:
		if in.base != s.revision || out.revision != next.revision {
			return nil
		}
		return []any{next}
	case out.kind == revision.Conflict:
		if in.base == s.revision || out.revision != s.revision {
			return nil
		}
		return []any{s}
	}
	return nil
}

// operator changes the configuration and records its operations.
type operator struct {
	id     int
	client *configrpc.Client
	start  time.Time
	ops    []porcupine.Operation
}

func (o *operator) run(ctx context.Context) {
	for n := range opsPerOperator {
		base := o.read(ctx)
		o.amend(ctx, base, n)
	}
}

func (o *operator) record(in opInput, do func() opOutput) opOutput {
	called := time.Since(o.start)
	out := do()
	returned := time.Since(o.start)
	if out.unknown {
		returned = time.Hour
	}
	o.ops = append(o.ops, porcupine.Operation{ClientId: o.id, Input: in, Output: out, Call: int64(called), Return: int64(returned)})
	return out
}

func (o *operator) read(ctx context.Context) uint64 {
	out := o.record(opInput{read: true}, func() opOutput {
		view, err := o.client.View(ctx)
		if err != nil {
			return opOutput{notRun: true}
		}
		return opOutput{revision: view.Revision, value: stockWait(view)}
	})
	return out.revision
}

func (o *operator) amend(ctx context.Context, base uint64, n int) {
	value := fmt.Sprintf("%dms", 1000+o.id*opsPerOperator+n)
	cmd := amendStockWait(fmt.Sprintf("%d/%d", o.id, n), base, value)
	o.record(opInput{base: base, value: value}, func() opOutput {
		result, err := o.client.Propose(ctx, cmd)
		switch {
		case errors.Is(err, admin.ErrUnavailable):
			return opOutput{notRun: true}
		case err != nil:
			return opOutput{unknown: true}
		}
		return opOutput{kind: result.Kind, revision: result.Revision}
	})
}

func amendStockWait(request string, base uint64, value string) revision.Command {
	return revision.Command{
		Rules: revision.RulesVersion, RequestID: request, BaseRevision: base, Actor: "operator", Team: revision.AnyTeam, At: time.Now(),
		Change: revision.Change{Kind: revision.AmendAnswers, ContractID: "selam-hire-ledger", Set: []questionnaire.Setting{{Answer: "stock.wait", Value: value}}},
	}
}

func stockWait(view revision.View) string {
	record, _ := view.Record("selam-hire-ledger")
	for _, s := range record.Answers.Services {
		if s.Name == "stock" {
			return fmt.Sprintf("%dms", s.Wait.Std().Milliseconds())
		}
	}
	return ""
}

// Several operators amend one answer at the revisions that they have read,
// while the test kills the leader of the voters. The history must be
// linearizable: at most one change is accepted for each base revision, and no
// change is lost or applied twice.
func TestConcurrentChangesDuringLeaderKills(t *testing.T) {
	c := startCluster(t, "selam")
	voters := make([]string, Voters)
	for i := range voters {
		voters[i] = c.Entry(i).peerAddr
	}
	peers := peer.NewClient(peer.Options{Secret: []byte(peerSecret)})
	defer peers.Close()
	reader := &operator{client: configrpc.NewClient(peers, voters), start: time.Now()}
	view, err := reader.client.View(t.Context())
	require.NoError(t, err)

	var wg sync.WaitGroup
	all := make([]*operator, operators)
	for i := range all {
		all[i] = &operator{id: i, client: configrpc.NewClient(peers, voters), start: reader.start}
		wg.Go(func() { all[i].run(t.Context()) })
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		wg.Wait()
	}()
	for kills := range leaderKills {
		waitRevisionOrDone(t, reader.client, done, view.Revision+uint64((kills+1)*changesPerKill))
		killLeader(t, c)
	}
	<-done

	var history []porcupine.Operation
	for _, o := range all {
		history = append(history, o.ops...)
	}
	model := configModel(opState{view.Revision, stockWait(view)})
	require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(model, history, settleTimeout))
	requireOneChangePerBase(t, history)
	requireActiveEverywhere(t, c, reader.client)
}

// waitRevisionOrDone returns when the configuration has reached the target
// revision or the operators are done.
func waitRevisionOrDone(t *testing.T, client *configrpc.Client, done <-chan struct{}, target uint64) {
	for {
		view, err := client.View(t.Context())
		if err == nil && view.Revision >= target {
			return
		}
		select {
		case <-done:
			return
		default:
		}
	}
}

// killLeader kills the process of the leader and restarts it with its disk.
func killLeader(t *testing.T, c *Cluster) {
	i := slices.IndexFunc(c.Entries()[:Voters], func(e *Entry) bool { return e.Node.Voter.Status().IsLeader() })
	if i < 0 {
		return
	}
	c.Kill(c.Entry(i))
	require.NoError(t, c.Restart(c.Entry(i), true))
}

func requireOneChangePerBase(t *testing.T, history []porcupine.Operation) {
	accepted := 0
	changedBases := map[uint64]bool{}
	for _, op := range history {
		in, out := op.Input.(opInput), op.Output.(opOutput)
		if out.kind != revision.Accepted {
			continue
		}
		require.False(t, changedBases[in.base], "two changes accepted at base %d", in.base)
		changedBases[in.base] = true
		accepted++
	}
	require.NotZero(t, accepted)
	t.Logf("%d operations, %d changes accepted", len(history), accepted)
}

// requireActiveEverywhere waits until every entry instance has the latest
// revision.
func requireActiveEverywhere(t *testing.T, c *Cluster, client *configrpc.Client) {
	ctx, cancel := context.WithTimeout(t.Context(), settleTimeout)
	defer cancel()
	view, err := client.View(ctx)
	require.NoError(t, err)
	for _, e := range c.Entries() {
		for {
			changed := e.Node.Agent.Changed()
			cfg := e.Node.Agent.Config()
			if cfg.Revision >= view.Revision {
				require.Equal(t, view.Revision, cfg.Revision)
				break
			}
			select {
			case <-changed:
			case <-ctx.Done():
				require.NoError(t, ctx.Err(), "%s has revision %d, not %d", e.ID, cfg.Revision, view.Revision)
			}
		}
	}
}

// BenchmarkInForceEverywhere measures the time from sending a change until it
// is active at every entry instance.
func BenchmarkInForceEverywhere(b *testing.B) {
	c := startCluster(b, "selam")
	client := c.Entry(3).Node.Configurator()
	view, err := client.View(b.Context())
	require.NoError(b, err)
	var accepted, active []time.Duration
	n := 0
	for b.Loop() {
		n++
		cmd := amendStockWait(fmt.Sprint("bench ", n), view.Revision+uint64(n)-1, fmt.Sprintf("%dms", 1000+n%100))
		sent := time.Now()
		result, err := client.Propose(b.Context(), cmd)
		require.NoError(b, err)
		require.Equal(b, revision.Accepted, result.Kind)
		accepted = append(accepted, time.Since(sent))
		for _, e := range c.Entries() {
			waitRevision(b, e, result.Revision)
		}
		active = append(active, time.Since(sent))
	}
	reportPercentiles(b, accepted, "accepted")
	reportPercentiles(b, active, "in-force")
}

func waitRevision(t testing.TB, e *Entry, rev uint64) {
	for {
		changed := e.Node.Agent.Changed()
		if e.Node.Agent.Config().Revision >= rev {
			return
		}
		select {
		case <-changed:
		case <-t.Context().Done():
			t.Fatal("the test ended")
		}
	}
}

func reportPercentiles(b *testing.B, times []time.Duration, name string) {
	slices.Sort(times)
	ms := func(q float64) float64 {
		return float64(times[int(q*float64(len(times)-1))]) / float64(time.Millisecond)
	}
	b.ReportMetric(ms(0.5), name+"-p50-ms")
	b.ReportMetric(ms(0.99), name+"-p99-ms")
}
