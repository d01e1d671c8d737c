package quota

import (
	"cmp"
	"slices"
	"time"

	"k8s.io/klog/v2"

	corequota "github.com/cicadacove/cicadacove/internal/core/quota"
)

const (
	// logInterval is the shortest time between two log lines on refusals of one
	// organisation.
	logInterval = time.Second
	// maxNamed is the number of organisations in Stats that are named.
	maxNamed = 10
	// Others names the sum of the organisations that are not named.
	Others = "other"
)

// Counts are the operations of an organisation at this instance since its start.
type Counts struct {
	// Taken is the number of admitted operations, Fallback the number of those
	// that were admitted without an owner.
	Taken, Fallback uint64
	Refused         uint64
}

func (c *Counts) add(d Counts) {
	c.Taken += d.Taken
	c.Fallback += d.Fallback
	c.Refused += d.Refused
}

// Stat is the Counts of an organisation, or of Others.
type Stat struct {
	Organisation string
	Counts
}

// Stats returns the counts of the ten organisations with the most operations,
// followed by those of Others. An organisation may move between the named ones and
// Others, so their counts can decrease.
func (q *Quota) Stats() []Stat {
	all := q.allStats()
	slices.SortFunc(all, func(a, b Stat) int {
		return cmp.Or(cmp.Compare(b.Taken+b.Refused, a.Taken+a.Refused), cmp.Compare(a.Organisation, b.Organisation))
	})
	named := min(maxNamed, len(all))
	others := Stat{Organisation: Others}
	for _, s := range all[named:] {
		others.add(s.Counts)
	}
	return append(all[:named:named], others)
}

func (q *Quota) allStats() []Stat {
	var all []Stat
	for _, o := range q.all() {
		o.mu.Lock()
		all = append(all, Stat{o.name, o.counts})
		o.mu.Unlock()
	}
	return all
}

func (q *Quota) all() []*organisation {
	q.mu.RLock()
	defer q.mu.RUnlock()
	all := make([]*organisation, 0, len(q.organisations))
	for _, o := range q.organisations {
		all = append(all, o)
	}
	return all
}

// refusalLog counts the refusals that are not logged yet.
type refusalLog struct {
	count  int
	nextAt time.Time
	last   corequota.Decision
}

// refused counts a refusal and logs it unless there was a line less than logInterval
// ago. The caller holds the lock.
func (o *organisation) refused(now time.Time, d corequota.Decision) {
	o.log.count++
	o.log.last = d
	o.logRefusals(now)
}

func (o *organisation) logRefusals(now time.Time) {
	if o.log.count == 0 || now.Before(o.log.nextAt) {
		return
	}
	klog.InfoS("quota: operations refused", "organisation", o.name, "count", o.log.count,
		"retry_after_ms", o.log.last.RetryAfter.Milliseconds(), "owner", o.owner.owner.ID,
		"without_owner", o.log.last.WithoutOwner)
	o.log.count, o.log.nextAt = 0, now.Add(logInterval)
}

func (q *Quota) logRefusals(now time.Time) {
	for _, o := range q.all() {
		o.mu.Lock()
		o.logRefusals(now)
		o.mu.Unlock()
	}
}
