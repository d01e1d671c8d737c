package model

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cicadacove/cicadacove/internal/core/contract"
)

// BinWidth is the time resolution of the goodput.
const BinWidth = 100 * time.Millisecond

// RankResult holds the results of one rank. Except in the bins, it covers only
// requests whose intended start is within the measured time.
type RankResult struct {
	Offered int
	Done    int
	// Within counts requests that ended within the target, counted from the
	// intended start.
	Within  int
	Late    int
	Refused int
	GaveUp  int
	Unknown int
	// RefusedAttempts counts refused attempts; a request may have several.
	RefusedAttempts int
	// SlotTime is the database time of requests that ended within the target.
	SlotTime time.Duration
	// Accepted counts requests that ended within the target, counted from the
	// start of the last attempt, and AcceptedTime is their database time. They
	// differ from Within and SlotTime where refused callers retry.
	Accepted     int
	AcceptedTime time.Duration
	Latency      *hdrhistogram.Histogram
	// Bins and OfferedBins count the requests within target and all requests
	// of the run in bins of BinWidth, by their intended start.
	Bins, OfferedBins []int
}

// Result is the outcome of one run.
type Result struct {
	model *model
	Ranks [contract.Ranks + 1]RankResult
	// PeakConnections is the largest number of connections that a database had
	// open at once.
	PeakConnections int
	// Messages counts the grant messages between instances.
	Messages int
	// BusyTime is the total database time of all statements.
	BusyTime time.Duration
	// OnReplicas counts reads that replicas served, Reads all reads that ran.
	OnReplicas, Reads int
	// Refusals counts the requests that ended as not run, by rank, code and
	// reason, in mode cluster.
	Refusals map[string]int
	// RefusedButRan, Doubled and Lost count correctness violations; each must be
	// zero.
	RefusedButRan, Doubled, Lost int

	open       map[*request]struct{}
	endedTwice int
}

const (
	// maxLatencyMicros and latencyDigits, the number of significant digits,
	// configure the histograms of latencies in microseconds.
	maxLatencyMicros = 60 * int64(time.Second/time.Microsecond)
	latencyDigits    = 3
)

// NewResult returns an empty result for runs of the given length.
func NewResult(length time.Duration) *Result {
	r := &Result{open: make(map[*request]struct{})}
	bins := int(length/BinWidth) + 1
	for rank := range r.Ranks {
		r.Ranks[rank].Latency = hdrhistogram.New(1, maxLatencyMicros, latencyDigits)
		r.Ranks[rank].Bins = make([]int, bins)
		r.Ranks[rank].OfferedBins = make([]int, bins)
	}
	return r
}

// Record adds the latency of a request that was executed.
func (r *RankResult) Record(latency time.Duration) {
	r.Latency.RecordValue(min(latency.Microseconds(), maxLatencyMicros))
}

// Measured reports whether a request with the given intended start belongs to
// the measured time. The end of a run is not measured, so that the measured
// requests have time to end.
func (s *Settings) Measured(intended time.Duration) bool {
	return intended >= s.Warmup && intended < s.Length-s.CallerTimeout
}

func (r *Result) measured(q *request) bool {
	return r.model.settings.Measured(q.intended.Sub(epoch))
}

func binOf(q *request) int { return int(q.intended.Sub(epoch) / BinWidth) }

func (r *Result) rank(q *request) *RankResult { return &r.Ranks[q.workload.Service.Rank] }

func (r *Result) recordOffered(q *request) {
	r.open[q] = struct{}{}
	r.rank(q).OfferedBins[binOf(q)]++
	if r.measured(q) {
		r.rank(q).Offered++
	}
}

func (r *Result) recordRefusedAttempt(q *request) {
	if r.measured(q) {
		r.rank(q).RefusedAttempts++
	}
}

// endRequestsOf ends, with an unknown outcome, the requests that a lost instance
// had not answered yet.
func (r *Result) endRequestsOf(e *entry) {
	for q := range r.open {
		if q.link != nil && q.link.entry == e && !q.replied {
			q.end(outcomeUnknown)
		}
	}
}

// recordEnd counts a request that has ended by its outcome.
func (r *Result) recordEnd(q *request) {
	delete(r.open, q)
	r.checkExecutions(q)
	latency := r.model.engine.now.Sub(q.intended)
	within := q.outcome == outcomeDone && latency <= q.workload.Service.Target
	if within {
		r.rank(q).Bins[binOf(q)]++
	}
	if !r.measured(q) {
		return
	}
	rank := r.rank(q)
	switch q.outcome {
	case outcomeDone:
		rank.Done++
		rank.Record(latency)
		r.countRead(q)
	case outcomeRefused:
		rank.Refused++
	case outcomeTimedOut:
		rank.GaveUp++
	default:
		rank.Unknown++
	}
	if q.outcome == outcomeDone && r.model.engine.now.Sub(q.arrived) <= q.workload.Service.Target {
		rank.Accepted++
		rank.AcceptedTime += q.slotTime
	}
	if within {
		rank.Within++
		rank.SlotTime += q.slotTime
	} else if q.outcome == outcomeDone {
		rank.Late++
	}
}

func (r *Result) countRead(q *request) {
	if q.workload.Service.Writes {
		return
	}
	r.Reads++
	if q.link.database != r.model.primary {
		r.OnReplicas++
	}
}

// recordExecution records a violation if a request was executed after it had
// ended as not executed for its caller.
func (r *Result) recordExecution(q *request) {
	if q.outcome == outcomeRefused || q.outcome == outcomeTimedOut {
		r.RefusedButRan++
	}
}

// checkExecutions compares a request's outcome with the number of its
// executions.
func (r *Result) checkExecutions(q *request) {
	switch q.outcome {
	case outcomeDone:
		if q.executions != 1 {
			r.Doubled++
		}
	case outcomeRefused, outcomeTimedOut:
		if q.executions != 0 {
			r.RefusedButRan++
		}
	}
}

// finish counts the lost requests at the end of the run and adds the totals of
// the databases.
func (r *Result) finish() {
	for q := range r.open {
		if r.measured(q) && r.model.engine.now.Sub(q.intended) > 2*r.model.settings.CallerTimeout {
			r.Lost++
		}
	}
	r.Doubled += r.endedTwice
	r.Messages = r.model.messages
	for _, d := range r.model.databases {
		r.PeakConnections = max(r.PeakConnections, d.peakConnections)
		r.BusyTime += d.busyTime
	}
}
