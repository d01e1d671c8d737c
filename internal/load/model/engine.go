// Package model is a discrete-event simulation of callers, entry instances and
// databases in virtual time. It runs the admission and grant algorithms.
//
// It uses the same core packages as the entry instance; only the network, the
// databases and the callers are modelled. The settings, which include the
// seed, determine a run completely.
package model

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// epoch is the start of every run in virtual time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// engine runs scheduled actions in the order of their virtual times.
type engine struct {
	now    time.Time
	queue  actions
	count  uint64
	random *rand.Rand
}

func newEngine(seed uint64) *engine {
	return &engine{now: epoch, random: rand.New(rand.NewPCG(seed, seed))}
}

// after schedules do for d from now.
func (e *engine) after(d time.Duration, do func()) { e.at(e.now.Add(d), do) }

// at schedules do for time t, or for now if t has passed.
func (e *engine) at(t time.Time, do func()) {
	if t.Before(e.now) {
		t = e.now
	}
	e.count++
	heap.Push(&e.queue, action{at: t, order: e.count, do: do})
}

// run executes all actions that are due at or before end.
func (e *engine) run(end time.Time) {
	for len(e.queue) > 0 && !e.queue[0].at.After(end) {
		a := heap.Pop(&e.queue).(action)
		e.now = a.at
		a.do()
	}
}

// elapsed returns the virtual time since the start of the run.
func (e *engine) elapsed() time.Duration { return e.now.Sub(epoch) }

// action is a function that is scheduled for a virtual time. Actions with the
// same time run in the order in which they were added.
type action struct {
	at    time.Time
	order uint64
	do    func()
}

type actions []action

func (q actions) Len() int { return len(q) }

func (q actions) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].order < q[j].order
	}
	return q[i].at.Before(q[j].at)
}

func (q actions) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *actions) Push(x any) { *q = append(*q, x.(action)) }

func (q *actions) Pop() any {
	last := len(*q) - 1
	a := (*q)[last]
	(*q)[last] = action{}
	*q = (*q)[:last]
	return a
}
