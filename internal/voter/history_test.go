package voter

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
)

// opsPerCaller is the number of reads and writes of each caller.
const opsPerCaller = 400

// registerModel is the model of a register. The input is the value to write, or
// empty for a read; the output of a read is the value read.
func registerModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return "" },
		Step: func(state, input, output any) (bool, any) {
			if input == "" {
				return output == state, state
			}
			return true, input
		},
	}
}

// history records the operations of callers on a register. The value of the
// register is the last element of the list of the listMachine.
type history struct {
	*diskCluster
	clock atomic.Int64
	mu    sync.Mutex
	ops   []porcupine.Operation
	// votersMu guards the voters of the cluster.
	votersMu sync.RWMutex
}

func (h *history) record(caller int, input, output string, start, end int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: caller, Input: input, Output: output, Call: start, Return: end})
}

func (h *history) voter(addr string) *runningVoter {
	h.votersMu.RLock()
	defer h.votersMu.RUnlock()
	return h.voters[addr]
}

// readOrWrite writes the value at one voter, or reads if the value is empty.
// The voter may no longer be the leader.
func (h *history) readOrWrite(caller int, r *runningVoter, value string) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	start := h.clock.Add(1)
	if value == "" {
		if r.Confirm(ctx) == nil {
			h.record(caller, "", last(r.machine.applied()), start, h.clock.Add(1))
		}
		return
	}
	switch _, err := r.Propose(ctx, []byte(value)); {
	case err == nil:
		h.record(caller, value, "", start, h.clock.Add(1))
	case errors.Is(err, ErrUnknown):
		h.record(caller, value, "", start, math.MaxInt64)
	}
}

func last(list []string) string {
	if len(list) == 0 {
		return ""
	}
	return list[len(list)-1]
}

// runCaller makes the reads and writes of one caller, in random order, at the
// first voter that reports itself as the leader.
func (h *history) runCaller(caller int) {
	random := rand.New(rand.NewPCG(uint64(caller), 3))
	for i := range opsPerCaller {
		value := ""
		if random.IntN(2) == 0 {
			value = fmt.Sprintf("%d-%d", caller, i)
		}
		for _, addr := range h.addrs {
			if r := h.voter(addr); r != nil && r.Status().IsLeader() {
				h.readOrWrite(caller, r, value)
				break
			}
		}
		time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
	}
}

// injectFaults stops, starts and partitions random voters until the callers are
// done.
func (h *history) injectFaults(done <-chan struct{}) {
	random := rand.New(rand.NewPCG(9, 4))
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(200+random.IntN(600)) * time.Millisecond):
		}
		addr := h.addrs[random.IntN(len(h.addrs))]
		if random.IntN(2) == 0 {
			h.net.setPartition(addr, random.IntN(2))
			continue
		}
		h.votersMu.Lock()
		if h.voters[addr] != nil {
			h.stopAndClose(addr)
		} else {
			h.openFolder(addr)
			h.start(addr)
		}
		h.votersMu.Unlock()
	}
}

// dropUncommitted returns the operations without the writes of unknown outcome
// that were not committed.
func (h *history) dropUncommitted(committed []string) []porcupine.Operation {
	isCommitted := map[string]bool{}
	for _, value := range committed {
		isCommitted[value] = true
	}
	var out []porcupine.Operation
	for _, o := range h.ops {
		if o.Return != math.MaxInt64 || isCommitted[o.Input.(string)] {
			out = append(out, o)
		}
	}
	return out
}

// TestHistoryIsLinearizable checks that the reads and writes of several callers
// are linearizable while voters restart from their data folders and while the
// network loses and duplicates messages and is partitioned.
func TestHistoryIsLinearizable(t *testing.T) {
	inBubble(t, threeVoters, func(c *cluster) {
		c.options = func(o *Options) { o.SnapshotEvery, o.KeepEntries = 10, 5 }
		h := &history{diskCluster: newDiskCluster(c)}
		h.net.setFaultRates(0.02, 0.05)
		var callers, faultInjector sync.WaitGroup
		for caller := range 4 {
			callers.Go(func() { h.runCaller(caller) })
		}
		done := make(chan struct{})
		faultInjector.Go(func() { h.injectFaults(done) })
		callers.Wait()
		close(done)
		faultInjector.Wait()
		for _, addr := range h.addrs {
			h.net.setPartition(addr, 0)
			if h.voters[addr] == nil {
				h.openFolder(addr)
				h.start(addr)
			}
		}
		h.requireEqualStates()
		ops := h.dropUncommitted(h.leader().machine.applied())
		t.Logf("%d operations", len(ops))
		require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(registerModel(), ops, time.Hour))
	})
}
