package replog

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	notLinearizable = "the history is not linearizable"
	// maxOperations bounds the duration of the linearizability check.
	maxOperations = 60
	checkTimeout  = time.Minute
)

// registerModel is the model of a register. The input is the value to write, or
// empty for a read; the output of a read is the value.
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

// history records the operations on a register stored in the log.
type history struct {
	*invariants
	// clock is a logical clock that orders calls and returns.
	clock      int64
	operations []porcupine.Operation
	// writes maps the (index, term) of a proposal to its operation; reads maps a
	// confirmation request to its operation.
	writes map[[2]uint64]pendingOperation
	reads  map[uint64]pendingOperation
	// confirmed maps the request of a confirmed read to its index. The read
	// completes once that index is applied.
	confirmed map[uint64]uint64
}

// pendingOperation is an operation that completes at a node.
type pendingOperation struct {
	node      *simNode
	operation int
}

func (h *history) tickClock() int64 {
	h.clock++
	return h.clock
}

// begin records a call. Its outcome is unknown until end.
func (h *history) begin(input string) int {
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: len(h.operations), Input: input, Call: h.tickClock(), Return: math.MaxInt64,
	})
	return len(h.operations) - 1
}

func (h *history) end(operation int, output string) {
	h.operations[operation].Output = output
	h.operations[operation].Return = h.tickClock()
}

func (n *simNode) register() string {
	if len(n.state) == 0 {
		return ""
	}
	return n.state[len(n.state)-1]
}

func (h *history) doWrite(t *rapid.T) {
	n := h.pickLeader(t)
	if n.role != Leader || len(h.operations) >= maxOperations {
		return
	}
	value := fmt.Sprint("v", len(h.operations))
	operation := h.begin(value)
	index, term, ok := n.Propose([]byte(value))
	require.True(t, ok)
	h.writes[[2]uint64{index, term}] = pendingOperation{n, operation}
	h.process(n, 0)
}

func (h *history) doRead(t *rapid.T) {
	n := h.pickLeader(t)
	if n.role != Leader || len(h.operations) >= maxOperations {
		return
	}
	operation := h.begin("")
	if h.skipConfirmRound {
		h.end(operation, n.register())
		return
	}
	h.lastRequest++
	h.reads[h.lastRequest] = pendingOperation{n, operation}
	n.Confirm(h.lastRequest)
	h.process(n, 0)
}

// afterApply completes the operations of the node.
func (h *history) afterApply(n *simNode, rd Ready) {
	for _, e := range rd.Committed {
		if w := h.writes[[2]uint64{e.Index, e.Term}]; w.node == n {
			h.end(w.operation, "")
		}
	}
	for _, c := range rd.Confirmed {
		h.confirmed[c.Request] = c.Index
	}
	for request, w := range h.reads {
		index, ok := h.confirmed[request]
		if ok && w.node == n && index <= n.applied {
			h.end(w.operation, n.register())
			delete(h.reads, request)
		}
	}
}

// checkableOperations returns the operations to check: all completed ones, and
// writes of unknown outcome that were committed.
func (h *history) checkableOperations() []porcupine.Operation {
	committed := map[string]bool{}
	for _, c := range h.committed {
		committed[c.data] = true
	}
	var out []porcupine.Operation
	for _, o := range h.operations {
		if o.Return != math.MaxInt64 || committed[o.Input.(string)] {
			out = append(out, o)
		}
	}
	return out
}

// runHistory runs the state machine test with reads and writes of the register
// and checks the history. It returns the number of checked operations.
func runHistory(t *rapid.T, configure func(*sim), addrs ...string) int {
	s := newSim(t, rapid.Uint64().Draw(t, "seed"), addrs...)
	configure(s)
	h := &history{
		invariants: newInvariants(s), writes: map[[2]uint64]pendingOperation{},
		reads: map[uint64]pendingOperation{}, confirmed: map[uint64]uint64{},
	}
	s.applied = h.afterApply
	s.run(3 * time.Second)
	s.lossy = true
	actions := h.actions()
	for _, name := range []string{actCrashWhileProcessing, actCrashOnDelivery} {
		delete(actions, name)
	}
	actions[actPropose], actions[actConfirm] = h.doWrite, h.doRead
	t.Repeat(actions)
	result := porcupine.CheckOperationsTimeout(registerModel(), h.checkableOperations(), checkTimeout)
	require.Equal(t, porcupine.Ok, result, notLinearizable)
	return len(h.checkableOperations())
}

func TestHistoryIsLinearizable(t *testing.T) {
	operations := 0
	rapid.Check(t, func(t *rapid.T) {
		operations += runHistory(t, func(s *sim) { s.compactAt = 7 }, "a", "b", "c")
	})
	t.Logf("%d operations", operations)
}
