package control_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/agent"
	"github.com/cicadacove/cicadacove/internal/control"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/standin"
)

// lossScenario is one way of losing a primary.
type lossScenario struct {
	name string
	// fail causes the loss, repair ends it.
	fail, repair func(d *deployment, primary *standin.Database)
	// isolatedEntries is how many of the last entry instances are isolated.
	isolatedEntries int
}

const outage = 2500 * time.Millisecond

func lossScenarios() []lossScenario {
	crash := func(d *deployment, p *standin.Database) {
		// A hung database announces nothing while its listener is closed.
		p.Hang(true)
		go func() {
			_ = p.Restart(outage)
			p.Hang(false)
		}()
	}
	isolate := func(d *deployment, p *standin.Database) { d.net.Isolate(string(p.ID())) }
	heal := func(d *deployment, _ *standin.Database) { d.net.HealAll() }
	nothing := func(*deployment, *standin.Database) {}
	return []lossScenario{
		{name: "crash", fail: crash, repair: nothing},
		{name: "cut-off", fail: isolate, repair: heal},
		{name: "cut-off-with-instance", isolatedEntries: 1, repair: heal, fail: func(d *deployment, p *standin.Database) {
			isolate(d, p)
			d.net.Isolate(string(d.entries[len(d.entries)-1].id))
		}},
		{name: "controller-lost", fail: func(d *deployment, p *standin.Database) {
			crash(d, p)
			if v, ok := d.leader(); ok {
				v.stop()
				go func() {
					time.Sleep(outage)
					v.restart()
				}()
			}
		}, repair: nothing},
	}
}

// BenchmarkFailoverGap measures how long each loss scenario interrupts writes.
// Run it with -benchtime 30x.
func BenchmarkFailoverGap(b *testing.B) {
	for _, k := range lossScenarios() {
		for _, disabled := range []bool{false, true} {
			b.Run(fmt.Sprintf("%s/giveback=%v", k.name, !disabled), func(b *testing.B) {
				measureLoss(b, k, deployOptions{entries: 4, voters: 3, disableRelease: disabled})
			})
		}
	}
}

// BenchmarkDetection measures how long a crash interrupts writes for different
// values of Timing.Silence.
func BenchmarkDetection(b *testing.B) {
	for _, silence := range []time.Duration{300, 450, 600, 900} {
		silence *= time.Millisecond
		b.Run(silence.String(), func(b *testing.B) {
			measureLoss(b, lossScenarios()[0], deployOptions{entries: 4, voters: 3, timing: agent.Timing{Silence: silence}})
		})
	}
}

// BenchmarkSwitchoverGap measures how long a planned switchover interrupts writes.
func BenchmarkSwitchoverGap(b *testing.B) {
	d := deploy(b, deployOptions{entries: 4, voters: 3})
	d.startWriters()
	var gaps []time.Duration
	for i := range b.N {
		target := []string{"b", "c", "a"}[i%3]
		v, _ := d.leader()
		require.NoError(b, v.control.Switchover(b.Context(), group, d.database(target).ID()))
		d.awaitTerm(topo.Term(i+2), d.entries...)
		for _, s := range d.writeGaps(topo.Term(i+1), d.entries) {
			gaps = append(gaps, s.first.Sub(s.last))
		}
		d.awaitRecovery(d.database([]string{"a", "b", "c"}[i%3]))
	}
	report(b, "gap", gaps)
	d.checkWrites(d.stopWriters())
}

// measureLoss fails the primary b.N times and reports the distribution of the time
// to detection, of the write gap after detection and of the whole write gap.
func measureLoss(b *testing.B, k lossScenario, opts deployOptions) {
	d := deploy(b, opts)
	d.startWriters()
	suspected := make(chan time.Time, 16)
	d.onEvent(func(_ *voterNode, e control.Event) {
		if e.Name == "suspected" {
			suspected <- e.At
		}
	})
	var detection, after, total []time.Duration
	reached := d.entries[:len(d.entries)-k.isolatedEntries]
	for i := range b.N {
		a, ok := d.entries[0].agent.Authority(group)
		require.True(b, ok)
		primary := d.databases[a.Primary]
		time.Sleep(time.Duration(i*37%400) * time.Millisecond)
		from := time.Now()
		k.fail(d, primary)
		gaps := d.writeGaps(a.Term, reached)
		at := <-suspected
		detection = append(detection, at.Sub(from))
		for _, s := range gaps {
			total = append(total, s.first.Sub(s.last))
			after = append(after, s.first.Sub(at))
		}
		k.repair(d, primary)
		d.awaitRecovery(primary)
		for len(suspected) > 0 {
			<-suspected
		}
	}
	report(b, "detection", detection)
	report(b, "after", after)
	report(b, "gap", total)
	d.checkWrites(d.stopWriters())
}

// awaitRecovery waits until every instance has authority, every database may
// receive work, the control log has a leader, and the old primary follows.
func (d *deployment) awaitRecovery(old *standin.Database) {
	d.await("recovery", func() bool {
		a, ok := d.entries[0].agent.Authority(group)
		s := old.Status()
		_, led := d.leader()
		follows := s.Role == topo.RoleReplica && s.FencedTerm == a.Term && s.Point.Term == a.Term
		return ok && led && follows && d.haveAuthority(d.entries...) && d.haveDatabases() && d.haveView()
	})
	time.Sleep(500 * time.Millisecond)
}

// writeGap is the time during which an entry instance acknowledged no write: from
// its last acknowledgement under the old term to its first under a later one.
type writeGap struct{ last, first time.Time }

// writeGaps waits until each entry instance acknowledges writes under a term above
// old, and returns the write gap of each.
func (d *deployment) writeGaps(old topo.Term, entries []*entryNode) []writeGap {
	var list []writeGap
	for _, w := range d.writers {
		if !slices.Contains(entries, w.e) {
			continue
		}
		var s writeGap
		d.await("acknowledgements under a new term", func() bool {
			acks := w.acknowledged()
			i := slices.IndexFunc(acks, func(k ack) bool { return k.term > old })
			if i > 0 {
				s = writeGap{acks[i-1].at, acks[i].at}
			}
			return i > 0
		})
		list = append(list, s)
	}
	return list
}

func report(b *testing.B, name string, list []time.Duration) {
	require.NotEmpty(b, list, name)
	slices.Sort(list)
	for _, percent := range []int{50, 95, 100} {
		value := list[min(len(list)-1, len(list)*percent/100)]
		b.ReportMetric(float64(value.Microseconds())/1000, fmt.Sprintf("%s-p%d-ms", name, percent))
	}
	b.ReportMetric(0, "ns/op")
}
