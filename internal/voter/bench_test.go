package voter

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cicadacove/cicadacove/internal/core/replog"
	"github.com/cicadacove/cicadacove/internal/voter/disk"
)

// changeBytes is the size of one configuration change.
const changeBytes = 300

// directTransport is a Transport that encodes, decodes and delivers each
// message within Send. It counts the encoded bytes.
type directTransport struct {
	mu     sync.RWMutex
	voters map[string]*Voter
	bytes  atomic.Int64
}

func (d *directTransport) Send(to string, m Message) {
	data, err := msgpack.Marshal(m)
	if err != nil {
		panic(err)
	}
	d.bytes.Add(int64(len(data)))
	var decoded Message
	if err := msgpack.Unmarshal(data, &decoded); err != nil {
		panic(err)
	}
	d.mu.RLock()
	v := d.voters[to]
	d.mu.RUnlock()
	if v != nil {
		v.Deliver(decoded)
	}
}

// countingStore counts the calls of Save, each of which syncs.
type countingStore struct {
	Store
	syncs *atomic.Int64
}

func (s countingStore) Save(hard replog.HardState, entries []replog.Entry) error {
	s.syncs.Add(1)
	return s.Store.Save(hard, entries)
}

// fixedMachine is a Machine whose state always has 64 KiB.
type fixedMachine struct{ state [64 << 10]byte }

func (m *fixedMachine) Apply(index uint64, data []byte) []byte {
	copy(m.state[index*changeBytes%uint64(len(m.state)):], data)
	return nil
}

func (m *fixedMachine) Snapshot() ([]byte, error) { return bytes.Clone(m.state[:]), nil }

func (m *fixedMachine) Restore(data []byte) error {
	copy(m.state[:], data)
	return nil
}

// benchCluster runs voters with one data folder each.
type benchCluster struct {
	*cluster
	transport *directTransport
	syncs     atomic.Int64
}

func newBenchCluster(b *testing.B, voters int) *benchCluster {
	var addrs []string
	for i := range voters {
		addrs = append(addrs, fmt.Sprint("voter-", i))
	}
	c := &benchCluster{cluster: newCluster(b, addrs...)}
	c.transport = &directTransport{voters: map[string]*Voter{}}
	for _, addr := range addrs {
		store, err := disk.Open(b.TempDir())
		require.NoError(b, err)
		c.stores[addr] = countingStore{store, &c.syncs}
	}
	c.options = func(o *Options) { o.Transport, o.Machine = c.transport, &fixedMachine{} }
	c.startAll()
	c.transport.mu.Lock()
	for addr, r := range c.voters {
		c.transport.voters[addr] = r.Voter
	}
	c.transport.mu.Unlock()
	return c
}

func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkCommit proposes changes to voters that sync to disk. The counts and
// the CPU time are per voter and change.
func BenchmarkCommit(b *testing.B) {
	for _, voters := range []int{1, 3, 5, 7} {
		for _, proposers := range []int{1, 64} {
			b.Run(fmt.Sprintf("voters=%d/proposers=%d", voters, proposers), func(b *testing.B) {
				benchmarkCommit(b, voters, proposers)
			})
		}
	}
}

func benchmarkCommit(b *testing.B, voters, proposers int) {
	c := newBenchCluster(b, voters)
	defer c.stopAll()
	leader := c.leader()
	data := bytes.Repeat([]byte("c"), changeBytes)
	syncs, sent, cpu := c.syncs.Load(), c.transport.bytes.Load(), cpuTime(b)
	b.ResetTimer()
	var latency atomic.Int64
	var remaining atomic.Int64
	remaining.Store(int64(b.N))
	var group sync.WaitGroup
	for range proposers {
		group.Go(func() {
			for remaining.Add(-1) >= 0 {
				start := time.Now()
				if _, err := leader.Propose(context.Background(), data); err != nil {
					b.Error(err)
					return
				}
				latency.Add(int64(time.Since(start)))
			}
		})
	}
	group.Wait()
	b.StopTimer()
	changesOfAllVoters := float64(b.N) * float64(voters)
	b.ReportMetric(float64(latency.Load())/float64(b.N)/1e3, "latency-µs")
	b.ReportMetric(float64(c.syncs.Load()-syncs)/changesOfAllVoters, "syncs")
	b.ReportMetric(float64(c.transport.bytes.Load()-sent)/changesOfAllVoters, "sent-B")
	b.ReportMetric(float64(cpuTime(b)-cpu)/changesOfAllVoters/1e3, "cpu-µs")
}

// BenchmarkConfirm calls Confirm at the leader from 7 callers per CPU.
func BenchmarkConfirm(b *testing.B) {
	c := newBenchCluster(b, 3)
	defer c.stopAll()
	leader := c.leader()
	sent := c.transport.bytes.Load()
	b.ResetTimer()
	b.SetParallelism(7)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := leader.Confirm(context.Background()); err != nil {
				b.Error(err)
			}
		}
	})
	b.StopTimer()
	b.ReportMetric(float64(c.transport.bytes.Load()-sent)/float64(b.N), "sent-B")
}

// BenchmarkIdle measures voters that get no proposals. The figures are per
// voter.
func BenchmarkIdle(b *testing.B) {
	for _, voters := range []int{3, 5, 7} {
		b.Run(fmt.Sprintf("voters=%d", voters), func(b *testing.B) { benchmarkIdle(b, voters) })
	}
}

func benchmarkIdle(b *testing.B, voters int) {
	c := newBenchCluster(b, voters)
	defer c.stopAll()
	c.leader()
	const interval = 2 * time.Second
	for b.Loop() {
		sent, cpu := c.transport.bytes.Load(), cpuTime(b)
		time.Sleep(interval)
		voterSeconds := interval.Seconds() * float64(voters)
		b.ReportMetric(float64(c.transport.bytes.Load()-sent)/voterSeconds, "sent-B/s")
		b.ReportMetric((cpuTime(b)-cpu).Seconds()/voterSeconds*100, "cpu-%")
	}
}
