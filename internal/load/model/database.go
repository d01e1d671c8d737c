package model

import (
	"time"

	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// database executes up to slots statements at once and queues the others.
type database struct {
	engine  *engine
	id      topo.UpstreamID
	zone    int
	slots   int
	running int
	waiting []func()
	down    bool

	connections     int
	peakConnections int
	busyTime        time.Duration
}

// execute runs a statement for the given duration, then calls done and reports
// whether the statement took effect.
func (d *database) execute(duration time.Duration, done func(ok bool)) {
	if d.down {
		done(false)
		return
	}
	start := func() {
		d.running++
		d.engine.after(duration, func() { d.finish(duration, done) })
	}
	if d.running < d.slots {
		start()
		return
	}
	d.waiting = append(d.waiting, start)
}

func (d *database) finish(duration time.Duration, done func(ok bool)) {
	d.running--
	d.busyTime += duration
	if len(d.waiting) > 0 && !d.down {
		next := d.waiting[0]
		d.waiting = d.waiting[1:]
		next()
	}
	done(!d.down)
}

// fail stops the database. Queued statements never run.
func (d *database) fail() {
	d.down = true
	d.waiting = nil
	d.connections = 0
}

func (d *database) connectionOpened() {
	d.connections++
	d.peakConnections = max(d.peakConnections, d.connections)
}

func (d *database) connectionClosed() { d.connections = max(d.connections-1, 0) }
