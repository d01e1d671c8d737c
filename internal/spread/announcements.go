package spread

import (
	"context"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/membership"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/ctlwire"
)

const (
	// gather is how long announcements that change nothing wait for others.
	gather = 100 * time.Millisecond
	// fullEvery is how many announcements of an upstream bring one that is
	// passed on as a whole, for instances that missed a change.
	fullEvery = 4
)

type upstreamKey struct {
	group topo.GroupID
	id    topo.UpstreamID
}

// pending is an announcement that waits to be passed on.
type pending struct {
	membership.Known
	// whole says that the receivers may not know the rest of it.
	whole bool
}

// Announcements gathers announcements of upstreams that were heard here.
type Announcements struct {
	now func() time.Time
	out *Outbox[upstreamKey, pending]
}

// NewAnnouncements returns an empty gatherer. now is the clock of the times
// at which announcements were heard.
func NewAnnouncements(now func() time.Time) *Announcements {
	return &Announcements{now, NewOutbox[upstreamKey](replacing)}
}

// replacing is the outbox's rule for two announcements of one upstream.
func replacing(old, next pending) pending {
	next.whole = next.whole || old.whole
	return next
}

// Add queues an announcement. A change goes out at once and as a whole.
func (a *Announcements) Add(k membership.Known, changed bool) {
	whole := changed || k.Seq%fullEvery == 0
	a.out.Add(upstreamKey{k.Group, k.ID}, pending{k, whole}, changed)
}

// Run hands batches to send until ctx ends. send must not wait.
func (a *Announcements) Run(ctx context.Context, send func(ctlwire.Announcements)) error {
	ticker := time.NewTicker(gather)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-a.out.Urgent():
		}
		if taken := a.out.Take(); len(taken) > 0 {
			send(batchOf(taken, a.now()))
		}
	}
}

func batchOf(taken map[upstreamKey]pending, now time.Time) ctlwire.Announcements {
	var batch ctlwire.Announcements
	for _, k := range taken {
		age := now.Sub(k.HeardAt)
		if k.whole {
			batch.List = append(batch.List, ctlwire.Heard{Announcement: k.Announcement, Age: age})
			continue
		}
		batch.Refreshed = append(batch.Refreshed, ctlwire.Refresh{
			Group: k.Group, ID: k.ID, Incarnation: k.Incarnation, Seq: k.Seq, Point: k.Point, Age: age,
		})
	}
	return batch
}

// Listing returns everything that a registry knows, for a process that has
// started.
func Listing(r *membership.Registry, now time.Time) ctlwire.Announcements {
	var list []ctlwire.Heard
	for _, k := range r.All() {
		list = append(list, ctlwire.Heard{Announcement: k.Announcement, Age: now.Sub(k.HeardAt)})
	}
	return ctlwire.Announcements{List: list}
}

// TakeIn adds a batch to a registry and reports whether it brought news.
func TakeIn(r *membership.Registry, batch ctlwire.Announcements, now time.Time) (news bool) {
	for _, h := range batch.List {
		news = r.Hear(h.Announcement, now.Add(-h.Age)) == membership.Updated || news
	}
	for _, f := range batch.Refreshed {
		r.Refresh(f.Group, f.ID, f.Incarnation, f.Seq, f.Point, now.Add(-f.Age))
	}
	return news
}
