package admission

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/contract"
)

// source is a stream of arrivals of one service.
type source struct {
	service contract.Service
	// rate is in requests per second.
	rate    float64
	callers []string
}

// simulation feeds a scheduler with Poisson arrivals in virtual time.
type simulation struct {
	options Options
	sources []source
	// mean is the mean service time; service times vary by up to 50%.
	mean time.Duration
	length,
	// dropAt is when the number of slots halves; zero means never.
	dropAt time.Duration
	seed uint64
}

// event is an arrival (source set) or the end of a running ticket.
type event struct {
	at     time.Time
	source *source
	ticket *Ticket
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// span is one request that ran.
type span struct {
	rank       int
	caller     string
	arrived    time.Time
	start, end time.Time
}

// result is the result of a simulation.
type result struct {
	spans   []span
	refused [contract.Ranks + 1]int
	late    [contract.Ranks + 1]int
}

// slotTime returns the slot time that a rank slotTime between two times.
func (r *result) slotTime(rank int, from, to time.Time) time.Duration {
	var sum time.Duration
	for _, s := range r.spans {
		start, end := s.start, s.end
		if start.Before(from) {
			start = from
		}
		if end.After(to) {
			end = to
		}
		if s.rank == rank && end.After(start) {
			sum += end.Sub(start)
		}
	}
	return sum
}

func (sim simulation) run() *result {
	random := rand.New(rand.NewPCG(sim.seed, 1))
	s := New(sim.options)
	r := &result{}
	var queue events
	next := func(src *source, now time.Time) {
		gap := time.Duration(random.ExpFloat64() / src.rate * float64(time.Second))
		heap.Push(&queue, event{at: now.Add(gap), source: src})
	}
	record := func(now time.Time, decisions []Decision) {
		for _, d := range decisions {
			rank := d.Ticket.service.rank
			if !d.Start {
				r.refused[rank]++
				continue
			}
			end := now.Add(time.Duration((0.5 + random.Float64()) * float64(sim.mean)))
			r.spans = append(r.spans, span{rank, d.Ticket.Request.Caller, d.Ticket.Request.Arrived, now, end})
			if end.Sub(d.Ticket.Request.Arrived) > d.Ticket.Request.Service.Target {
				r.late[rank]++
			}
			heap.Push(&queue, event{at: end, ticket: d.Ticket})
		}
	}
	for i := range sim.sources {
		next(&sim.sources[i], epoch)
	}
	dropped := sim.dropAt == 0
	for len(queue) > 0 {
		e := heap.Pop(&queue).(event)
		if e.at.Sub(epoch) > sim.length {
			break
		}
		if !dropped && e.at.Sub(epoch) > sim.dropAt {
			dropped = true
			half := max(sim.options.Slots/2, 1)
			record(e.at, s.SetSlots(e.at, half, float64(half)))
		}
		if e.ticket != nil {
			record(e.at, s.Release(e.at, e.ticket))
			continue
		}
		caller := e.source.callers[random.IntN(len(e.source.callers))]
		_, decisions := s.Arrive(e.at, Request{Service: e.source.service, Caller: caller, Arrived: e.at}, nil)
		record(e.at, decisions)
		next(e.source, e.at)
	}
	return r
}
