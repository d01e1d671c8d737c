package timeline

import (
	"sync"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/hlc"
)

// DefaultCapacity is the number of events that a recorder keeps in memory.
const DefaultCapacity = 8192

// Recorder keeps the latest events of one process in memory. It is safe for
// concurrent use. A nil *Recorder records nothing.
type Recorder struct {
	process string
	now     func() time.Time
	file    *fileWriter

	mu    sync.Mutex
	clock hlc.Clock
	ring  []Event
	seq   uint64 // number of events recorded
}

// Options configures a Recorder.
type Options struct {
	// Capacity is the number of events kept in memory, DefaultCapacity when 0.
	Capacity int
	// Folder is the folder of a file to which events are written as well; empty
	// means no file.
	Folder string
	// Now is the physical clock, time.Now when nil.
	Now func() time.Time
}

// New returns a recorder for the process with the given name.
func New(process string, o Options) (*Recorder, error) {
	if o.Capacity <= 0 {
		o.Capacity = DefaultCapacity
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	r := &Recorder{process: process, now: o.Now, ring: make([]Event, o.Capacity)}
	if o.Folder == "" {
		return r, nil
	}
	file, err := openFile(o.Folder)
	if err != nil {
		return nil, err
	}
	r.file = file
	return r, nil
}

// Record adds an event.
func (r *Recorder) Record(part Part, kind Kind, fields Fields) {
	if r == nil {
		return
	}
	now := r.now()
	r.mu.Lock()
	e := Event{
		At: r.clock.Tick(now), Process: r.process, Seq: r.seq,
		Part: part, Kind: kind, Fields: fields,
	}
	r.ring[r.seq%uint64(len(r.ring))] = e
	r.seq++
	r.mu.Unlock()
	if r.file != nil {
		r.file.add(e)
	}
}

// Stamp returns the timestamp to send with a message.
func (r *Recorder) Stamp() hlc.Timestamp {
	if r == nil {
		return hlc.Timestamp{}
	}
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.Tick(now)
}

// Observe merges the timestamp of a received message into the clock, so that
// later events of this process sort after it.
func (r *Recorder) Observe(received hlc.Timestamp) {
	if r == nil || received.IsZero() {
		return
	}
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock.Observe(received, now)
}

// Excerpt holds selected events of one process.
type Excerpt struct {
	Process string `json:"process"`
	// Overwritten counts the events that are no longer in memory.
	Overwritten uint64 `json:"overwritten"`
	// NotWritten counts the events that were not written to the file: the queue
	// was full or the write failed.
	NotWritten uint64  `json:"not_filed"`
	Events     []Event `json:"events"`
}

// Excerpt returns the events in memory that the filter selects.
func (r *Recorder) Excerpt(f Filter) Excerpt {
	if r == nil {
		return Excerpt{}
	}
	x := Excerpt{Process: r.process}
	if r.file != nil {
		x.NotWritten = r.file.dropped.Load()
	}
	events, overwritten := r.snapshot()
	x.Events, x.Overwritten = f.Apply(events), overwritten
	return x
}

func (r *Recorder) snapshot() (events []Event, overwritten uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	capacity := uint64(len(r.ring))
	if r.seq > capacity {
		overwritten = r.seq - capacity
	}
	events = make([]Event, 0, r.seq-overwritten)
	for i := overwritten; i < r.seq; i++ {
		events = append(events, r.ring[i%capacity])
	}
	return events, overwritten
}

// Close writes and syncs the events that are not yet in the file.
func (r *Recorder) Close() error {
	if r == nil || r.file == nil {
		return nil
	}
	return r.file.close()
}
