package admission

import (
	"strconv"
	"testing"
	"time"
)

// BenchmarkDecision measures one arrival that is queued or refused, and one
// release that starts the next request, with up to 10,000 waiting callers of
// three services.
func BenchmarkDecision(b *testing.B) {
	for _, callers := range []int{0, 100, 10_000} {
		b.Run(strconv.Itoa(callers), func(b *testing.B) { benchmarkDecision(b, callers) })
	}
}

func benchmarkDecision(b *testing.B, callers int) {
	const target = 3_600_000 // ms, long enough that no request expires
	s := New(Options{Slots: 3, MaxQueue: callers + 1})
	names := make([]string, callers+1)
	now := epoch
	var running []*Ticket
	arrive := func(i int) {
		r := Request{Service: service(1+i%3, 10, target), Caller: names[i%len(names)], Arrived: now}
		_, decisions := s.Arrive(now, r, nil)
		for _, d := range decisions {
			if d.Start {
				running = append(running, d.Ticket)
			}
		}
	}
	for i := range names {
		names[i] = "caller-" + strconv.Itoa(i)
	}
	for i := range callers + 3 {
		arrive(i)
	}
	requests := [3]Request{}
	for i := range requests {
		requests[i] = Request{Service: service(1+i, 10, target)}
	}
	b.ReportAllocs()
	i := callers + 3
	for b.Loop() {
		now = now.Add(10 * time.Microsecond)
		r := requests[i%3]
		r.Caller = names[i%len(names)]
		r.Arrived = now
		i++
		_, decisions := s.Arrive(now, r, nil)
		for _, d := range decisions {
			if d.Start {
				running = append(running, d.Ticket)
			}
		}
		first := running[0]
		running = running[1:]
		for _, d := range s.Release(now, first) {
			running = append(running, d.Ticket)
		}
	}
}
