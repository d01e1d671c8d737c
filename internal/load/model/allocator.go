package model

import (
	"github.com/cicadacove/cicadacove/internal/core/admission"
)

// allocator divides the slots and connections of one database among the entry
// instances.
type allocator interface {
	// start sets the initial limits of every link.
	start()
	// demandChanged is called when a link needs more slots or connections, or
	// has returned some.
	demandChanged(l *link)
	// slotReleased is called when a statement has ended.
	slotReleased(l *link)
	// instanceLost is called when an instance stops, instanceRemoved when its
	// lease has ended and the other instances continue without it.
	instanceLost(e *entry)
	instanceRemoved(e *entry)
}

// staticAllocator gives all links equal and constant limits.
type staticAllocator struct {
	links       []*link
	slots       int
	connections int
}

func (a *staticAllocator) start() {
	for _, l := range a.links {
		slots := max(a.slots/len(a.links), 1)
		l.setLimits(slots, float64(slots), a.connections/len(a.links))
	}
}

func (a *staticAllocator) demandChanged(*link)    {}
func (a *staticAllocator) slotReleased(*link)     {}
func (a *staticAllocator) instanceLost(*entry)    {}
func (a *staticAllocator) instanceRemoved(*entry) {}

// borrowingAllocator keeps all slots at the owner. An instance requests one for
// each statement and returns it at the end of the statement. The connections
// are divided equally.
type borrowingAllocator struct {
	model *model
	links []*link
	slots int
	free  int
	// pending holds the requests for a slot in the order of their arrival.
	pending     []*link
	connections int

	outstanding map[*link]int
	held        map[*link]int
}

func newBorrowingAllocator(m *model, links []*link) *borrowingAllocator {
	return &borrowingAllocator{
		model:       m,
		links:       links,
		slots:       m.settings.Slots + m.settings.Pipeline,
		free:        m.settings.Slots + m.settings.Pipeline,
		connections: m.settings.Connections / len(links),
		outstanding: make(map[*link]int),
		held:        make(map[*link]int),
	}
}

func (a *borrowingAllocator) start() {
	for _, l := range a.links {
		a.applyLimits(l)
	}
}

func (a *borrowingAllocator) applyLimits(l *link) {
	l.setLimits(a.held[l], float64(a.slots)/float64(len(a.links)), a.connections)
}

// demandChanged requests one slot for each waiting request, but at most all
// slots of the database.
func (a *borrowingAllocator) demandChanged(l *link) {
	waiting := queueLength(l.scheduler.Load(a.model.engine.now))
	for a.outstanding[l] < min(waiting, a.slots) {
		a.outstanding[l]++
		a.model.messages++
		a.model.engine.after(a.model.settings.ZoneDelay, func() {
			a.pending = append(a.pending, l)
			a.lendSlots()
		})
	}
}

func (a *borrowingAllocator) lendSlots() {
	for a.free > 0 && len(a.pending) > 0 {
		l := a.pending[0]
		a.pending = a.pending[1:]
		a.free--
		a.model.messages++
		a.model.engine.after(a.model.settings.ZoneDelay, func() { a.receiveSlot(l) })
	}
}

func (a *borrowingAllocator) receiveSlot(l *link) {
	a.outstanding[l]--
	a.held[l]++
	a.applyLimits(l)
	if a.held[l] > l.scheduler.Load(a.model.engine.now).InUse {
		a.returnSlot(l)
	}
}

// slotReleased returns the slot to the owner, even when other statements wait.
func (a *borrowingAllocator) slotReleased(l *link) {
	for a.held[l] > l.scheduler.Load(a.model.engine.now).InUse {
		a.returnSlot(l)
	}
	a.demandChanged(l)
}

func (a *borrowingAllocator) returnSlot(l *link) {
	a.held[l]--
	a.applyLimits(l)
	a.model.messages++
	a.model.engine.after(a.model.settings.ZoneDelay, func() {
		a.free++
		a.lendSlots()
	})
}

func (a *borrowingAllocator) instanceLost(*entry) {}

// instanceRemoved frees the slots that the lost instance held.
func (a *borrowingAllocator) instanceRemoved(e *entry) {
	for _, l := range a.links {
		if l.entry == e {
			a.free += a.held[l]
			a.held[l] = 0
		}
	}
	a.lendSlots()
}

func queueLength(load admission.Load) int {
	sum := 0
	for _, n := range load.Queued {
		sum += n
	}
	return sum
}
