package live

import (
	"fmt"
	"strings"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/load/model"
)

func (r *run) rank(q *request) *model.RankResult { return &r.result.Ranks[q.workload.Service.Rank] }

func (q *request) bin() int { return int(q.intended / model.BinWidth) }

func (r *run) recordOffered(q *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rank(q).OfferedBins[q.bin()]++
	if r.settings.Measured(q.intended) {
		r.rank(q).Offered++
	}
}

func (r *run) recordRefusedAttempt(q *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.settings.Measured(q.intended) {
		r.rank(q).RefusedAttempts++
	}
}

// recordEnd counts a request that has ended and keeps the outcome of a write for
// verifyContents.
func (r *run) recordEnd(q *request, o outcome.Outcome) {
	now := time.Now()
	latency := now.Sub(r.start.Add(q.intended))
	target := q.workload.Service.Target
	r.mu.Lock()
	defer r.mu.Unlock()
	if q.workload.Service.Writes {
		r.writeOutcomes[q.id] = o.Kind
	}
	within := o.Kind == outcome.Done && latency <= target
	if within {
		r.rank(q).Bins[q.bin()]++
	}
	if o.Kind == outcome.NotRun {
		r.result.Refusals[refusalLabel(q, o)]++
	}
	if r.settings.Measured(q.intended) {
		addToRank(r.rank(q), o.Kind, within, now.Sub(q.sent) <= target, latency, q.workload)
	}
}

// refusalLabel returns the key of Result.Refusals for a refused request. It
// leaves out reasons that do not come from the proxy, since they hold addresses.
func refusalLabel(q *request, o outcome.Outcome) string {
	label := fmt.Sprintf("rank %d %s", q.workload.Service.Rank, o.Code)
	if !strings.HasPrefix(o.Code, "CC") {
		return label
	}
	return label + " " + o.Reason
}

// addToRank adds one measured request to the result of its rank.
func addToRank(rank *model.RankResult, kind outcome.Kind, within, accepted bool, latency time.Duration, workload *model.Workload) {
	slotTime := time.Duration(workload.Statements) * workload.Time
	switch kind {
	case outcome.Done:
		rank.Done++
		rank.Record(latency)
	case outcome.NotRun:
		rank.Refused++
		return
	default:
		rank.Unknown++
		return
	}
	if accepted {
		rank.Accepted++
		rank.AcceptedTime += slotTime
	}
	if !within {
		rank.Late++
		return
	}
	rank.Within++
	rank.SlotTime += slotTime
}

// verifyContents compares the outcomes of the writes with the contents of the
// primary.
func (r *run) verifyContents() error {
	db, ok := r.cluster.Primary(r.group)
	if !ok {
		return fmt.Errorf("load: %s has no primary at the end", r.group)
	}
	rows, err := db.Contents("SELECT id FROM work")
	if err != nil {
		return err
	}
	found := make(map[string]int)
	for _, row := range rows {
		found[fmt.Sprint(row[0])]++
	}
	for id, kind := range r.writeOutcomes {
		n := found[id]
		switch {
		case n > 1:
			r.result.Doubled++
		case kind == outcome.Done && n == 0:
			r.result.Lost++
		case (kind == outcome.NotRun || kind == outcome.Failed) && n > 0:
			r.result.RefusedButRan++
		}
	}
	return nil
}
