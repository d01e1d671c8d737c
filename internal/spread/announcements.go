package spread

import (
	"context"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/membership"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/ctlwire"
)

const (
	// batchInterval is how long announcements without a change wait, to be sent
	// together.
	batchInterval = 100 * time.Millisecond
	// fullAnnouncementEvery is the interval, in announcements of an upstream, at
	// which one is sent in full, for instances that missed a change.
	fullAnnouncementEvery = 4
)

type upstreamKey struct {
	group topo.GroupID
	id    topo.UpstreamID
}

// pending is an announcement that waits to be sent.
type pending struct {
	membership.KnownUpstream
	// full means that the announcement is sent in full, since receivers may lack
	// its constant part.
	full bool
}

// Announcements batches the announcements that this process received from
// upstreams, to send them to other processes.
type Announcements struct {
	now      func() time.Time
	interval time.Duration
	out      *Outbox[upstreamKey, pending]
}

// NewAnnouncements returns empty Announcements. now is the clock of the times at
// which announcements were received. Announcements without a change wait for up to
// interval, zero means batchInterval.
func NewAnnouncements(now func() time.Time, interval time.Duration) *Announcements {
	return &Announcements{now, max(interval, batchInterval), NewOutbox[upstreamKey](mergePending)}
}

// mergePending merges two announcements of one upstream in the outbox.
func mergePending(old, next pending) pending {
	next.full = next.full || old.full
	return next
}

// Add queues an announcement. A change is sent at once and in full, and so is each
// announcement that says that the upstream leaves: a receiver that missed the first
// must learn of it in time. Where the others wait for several of the upstream's
// announcements, they are sent in full too, since they are few and receivers may
// have missed a change.
func (a *Announcements) Add(k membership.KnownUpstream, changed bool) {
	rare := a.interval > batchInterval
	full := changed || k.Leaving || rare || k.Seq%fullAnnouncementEvery == 0
	a.out.Add(upstreamKey{k.Group, k.ID}, pending{k, full}, changed || k.Leaving)
}

// Run passes batches to send until ctx ends. send must not block.
func (a *Announcements) Run(ctx context.Context, send func(ctlwire.Announcements)) error {
	ticker := time.NewTicker(a.interval)
	defer ticker.Stop()
	for {
		var taken map[upstreamKey]pending
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			taken = a.out.Take()
		case <-a.out.Urgent():
			taken = a.out.TakeUrgent()
		}
		if len(taken) > 0 {
			send(batchOf(taken, a.now()))
		}
	}
}

func batchOf(taken map[upstreamKey]pending, now time.Time) ctlwire.Announcements {
	var batch ctlwire.Announcements
	for _, k := range taken {
		age := now.Sub(k.ReceivedAt)
		if k.full {
			batch.List = append(batch.List, aged(k.KnownUpstream, now))
			continue
		}
		batch.Refreshed = append(batch.Refreshed, ctlwire.Refresh{
			Group: k.Group, ID: k.ID, Incarnation: k.Incarnation, Seq: k.Seq, Point: k.Point, Age: age,
		})
	}
	return batch
}

// One returns a batch with one announcement in full.
func One(k membership.KnownUpstream, now time.Time) ctlwire.Announcements {
	return ctlwire.Announcements{List: []ctlwire.AgedAnnouncement{aged(k, now)}}
}

// Snapshot returns all announcements of a registry, for a process that has just
// started.
func Snapshot(r *membership.Registry, now time.Time) ctlwire.Announcements {
	var list []ctlwire.AgedAnnouncement
	for _, k := range r.All() {
		list = append(list, aged(k, now))
	}
	return ctlwire.Announcements{List: list}
}

func aged(k membership.KnownUpstream, now time.Time) ctlwire.AgedAnnouncement {
	return ctlwire.AgedAnnouncement{Announcement: k.Announcement, Age: now.Sub(k.ReceivedAt), LeavingAge: k.LeavingFor(now)}
}

// Known converts a received announcement to this process's clock.
func Known(h ctlwire.AgedAnnouncement, now time.Time) membership.KnownUpstream {
	k := membership.KnownUpstream{Announcement: h.Announcement, ReceivedAt: now.Add(-h.Age)}
	if h.Announcement.Leaving && h.LeavingAge > 0 {
		k.LeavingSince = now.Add(-h.LeavingAge)
	}
	return k
}

// Apply adds a batch to a registry and reports whether it changed anything.
func Apply(r *membership.Registry, batch ctlwire.Announcements, now time.Time) (changed bool) {
	for _, h := range batch.List {
		changed = r.Import(Known(h, now)) == membership.Updated || changed
	}
	for _, f := range batch.Refreshed {
		r.Refresh(f.Group, f.ID, f.Incarnation, f.Seq, f.Point, now.Add(-f.Age))
	}
	return changed
}
