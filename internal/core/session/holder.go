package session

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// Key identifies one session in one group.
type Key struct {
	Session string       `msgpack:"s"`
	Group   topo.GroupID `msgpack:"g"`
}

// Holder returns the member that tracks a session. It is chosen by rendezvous
// hashing, so that only the sessions of a member that leaves move to other
// members. ok is false if members is empty.
func Holder(k Key, members []topo.InstanceID) (holder topo.InstanceID, ok bool) {
	var best uint64
	for _, m := range members {
		score := xxhash.Sum64String(string(m) + "\x00" + string(k.Group) + "\x00" + k.Session)
		if !ok || score > best || (score == best && m < holder) {
			holder, best, ok = m, score, true
		}
	}
	return holder, ok
}

// Registry stores the latest write of each session that the instance holds.
// Reads of an unknown session go to the primary, so entries can be evicted
// safely and the memory stays bounded.
type Registry struct {
	limit     int
	retention time.Duration
	// epoch is the live-view epoch of every entry. Entries of an earlier
	// epoch may be stale, since another holder may have registered writes of
	// the session in between.
	epoch   uint64
	entries map[Key]entry
	queue   []queued
	// evicted is the highest evicted point of each group. Two writes of a
	// session may be registered out of order; the one registered last must
	// not hide a higher one that has been evicted in between.
	evicted map[topo.GroupID]topo.Point
}

type entry struct {
	point topo.Point
	at    time.Time
}

type queued struct {
	key Key
	at  time.Time
}

// NewRegistry returns a registry that keeps at most limit sessions, each for
// the retention time after its last write.
func NewRegistry(limit int, retention time.Duration) *Registry {
	return &Registry{limit: limit, retention: retention, entries: map[Key]entry{}, evicted: map[topo.GroupID]topo.Point{}}
}

// Put records that the session must see point. A newer epoch first advances
// the registry. Put returns false if epoch is older than the registry's.
func (r *Registry) Put(epoch uint64, k Key, point topo.Point, now time.Time) bool {
	if !r.advanceEpoch(epoch) {
		return false
	}
	lowest := r.evicted[k.Group]
	if old, ok := r.entries[k]; ok {
		lowest = old.point
	}
	if lowest.Compare(point) > 0 {
		point = lowest
	}
	r.entries[k] = entry{point, now}
	r.queue = append(r.queue, queued{k, now})
	r.evict(now)
	return true
}

// Get returns the point that the session must see. known is false if the
// registry has no entry of the session in the epoch.
func (r *Registry) Get(epoch uint64, k Key, now time.Time) (point topo.Point, known bool) {
	if !r.advanceEpoch(epoch) {
		return topo.Point{}, false
	}
	r.evict(now)
	e, ok := r.entries[k]
	return e.point, ok
}

// Len returns the number of sessions in the registry.
func (r *Registry) Len() int { return len(r.entries) }

// advanceEpoch drops all sessions if epoch is newer than the registry's, and
// returns false if it is older.
func (r *Registry) advanceEpoch(epoch uint64) bool {
	if epoch > r.epoch {
		r.epoch = epoch
		clear(r.entries)
		clear(r.evicted)
		r.queue = nil
	}
	return epoch == r.epoch
}

// evict drops sessions past their retention, and the oldest ones beyond the
// limit. A queue item whose session was written again later is skipped.
func (r *Registry) evict(now time.Time) {
	for len(r.queue) > 0 {
		head := r.queue[0]
		expired := now.Sub(head.at) > r.retention
		if !expired && len(r.entries) <= r.limit && len(r.queue) <= 2*r.limit {
			return
		}
		r.queue = r.queue[1:]
		if e, ok := r.entries[head.key]; ok && e.at.Equal(head.at) {
			r.drop(head.key, e)
		}
	}
}

func (r *Registry) drop(k Key, e entry) {
	delete(r.entries, k)
	if r.evicted[k.Group].Compare(e.point) < 0 {
		r.evicted[k.Group] = e.point
	}
}
