package demo

import (
	"sync"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// oracle compares the outcomes that callers received with the final contents of
// the databases.
type oracle struct {
	mu          sync.Mutex
	writes      map[topo.GroupID]map[string]outcome.Kind
	ackTimes    map[topo.GroupID][]time.Time
	reads       int
	staleReads  int
	failedReads int
}

func newOracle() *oracle {
	return &oracle{writes: map[topo.GroupID]map[string]outcome.Kind{}, ackTimes: map[topo.GroupID][]time.Time{}}
}

// recordWrite records the final outcome of a write.
func (o *oracle) recordWrite(g topo.GroupID, id string, kind outcome.Kind) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.writes[g] == nil {
		o.writes[g] = map[string]outcome.Kind{}
	}
	o.writes[g][id] = kind
	if kind == outcome.Done {
		o.ackTimes[g] = append(o.ackTimes[g], time.Now())
	}
}

// recordRead records a read of a session's own write.
func (o *oracle) recordRead(kind outcome.Kind, found bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if kind != outcome.Done {
		o.failedReads++
		return
	}
	o.reads++
	if !found {
		o.staleReads++
	}
}

// longestWriteGap returns the longest time after from without an acknowledged
// write.
func (o *oracle) longestWriteGap(g topo.GroupID, from time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	longest := time.Duration(0)
	previous := from
	for _, ackedAt := range o.ackTimes[g] {
		if ackedAt.Before(from) {
			continue
		}
		longest = max(longest, ackedAt.Sub(previous))
		previous = ackedAt
	}
	return longest
}

// evaluate adds the reads, the writes and the violated guarantees to the report,
// given the number of rows by group and id.
func (o *oracle) evaluate(rows map[topo.GroupID]map[string]int, r *Report) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r.Reads, r.StaleOwnReads, r.ReadsFailed = o.reads, o.staleReads, o.failedReads
	for g, writes := range o.writes {
		for id, kind := range writes {
			r.count(kind, rows[g][id])
		}
	}
}
