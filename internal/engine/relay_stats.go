package engine

import (
	"errors"
	"sync/atomic"

	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// RelayCounts are numbers of relayed statements by what became of them. Refused ones
// were not run; of lost ones the answer is unknown.
type RelayCounts struct {
	Done, Refused, Lost uint64
}

// RelayStats counts relayed statements since the start of the instance. A statement that
// is tried at two holders is counted for each.
type RelayStats struct {
	// Sent are statements relayed to holders, Served those run for other instances.
	Sent, Served RelayCounts
}

// relayCounters count relayed statements on one side.
type relayCounters struct {
	done, refused, lost atomic.Uint64
}

// sent counts a relayed statement by the error of the relay.
func (c *relayCounters) sent(err error) {
	var notRun *NotRunError
	switch {
	case err == nil:
		c.done.Add(1)
	case errors.As(err, &notRun):
		c.refused.Add(1)
	default:
		c.lost.Add(1)
	}
}

// served counts a statement of another instance by its reply.
func (c *relayCounters) served(reply relayReply) {
	switch {
	case reply.Result != nil:
		c.done.Add(1)
	case reply.Refusal != nil:
		c.refused.Add(1)
	default:
		c.lost.Add(1)
	}
}

func (c *relayCounters) counts() RelayCounts {
	return RelayCounts{Done: c.done.Load(), Refused: c.refused.Load(), Lost: c.lost.Load()}
}

// RelayStats returns the numbers of relayed statements.
func (e *Engine[C]) RelayStats() RelayStats {
	return RelayStats{Sent: e.relays.counters.counts(), Served: e.held.counters.counts()}
}

// RelayState reports whether statements to an upstream are relayed, and whether this
// instance is one of its holders.
func (e *Engine[C]) RelayState(id topo.UpstreamID) (relayed, holder bool) {
	set, relayed := e.holdersOf(id)
	return relayed, relayed && set.holdsSelf
}
