package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
	_ "github.com/cicadacove/cicadacove/internal/testseed"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// service returns a service with a target in milliseconds.
func service(rank int, floor float64, target int) contract.Service {
	return contract.Service{
		Name:         fmt.Sprintf("rank-%d", rank),
		Rank:         rank,
		FloorPercent: floor,
		Target:       time.Duration(target) * time.Millisecond,
	}
}

// oracle records the decisions about each request.
type oracle struct {
	decided map[*Ticket]int
	waiting []*Ticket
	running []*Ticket
	// connected lists the started requests that have not ended.
	connected []*Ticket
}

func without(list []*Ticket, t *Ticket) []*Ticket {
	for i, other := range list {
		if other == t {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}

func (o *oracle) record(t require.TestingT, decisions []Decision) {
	for _, d := range decisions {
		o.decided[d.Ticket]++
		o.waiting = without(o.waiting, d.Ticket)
		if d.Start {
			o.running = append(o.running, d.Ticket)
			if !d.Ticket.Request.InTransaction {
				o.connected = append(o.connected, d.Ticket)
			}
			continue
		}
		require.Equal(t, outcome.NotRun, d.Outcome.Kind)
		require.Equal(t, outcome.CodeOverloaded, d.Outcome.Code)
		require.Positive(t, d.Outcome.RetryAfter)
	}
}

// TestSchedulerMachine checks for each policy that a free slot is never assigned
// twice, that no request is lost, and that each gets exactly one decision.
func TestSchedulerMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := rapid.SampledFrom(Policies()).Draw(t, "policy")
		slots := rapid.IntRange(0, 4).Draw(t, "slots")
		connections := rapid.IntRange(0, 3).Draw(t, "connections")
		s := New(Options{
			Policy: policy, Slots: slots, Connections: connections,
			MaxQueue: rapid.IntRange(1, 8).Draw(t, "queue"),
		})
		o := oracle{decided: map[*Ticket]int{}}
		now := epoch
		inUse := func() int { return len(o.running) }
		arrive := func(t *rapid.T) {
			r := Request{
				Service:       service(rapid.IntRange(1, 3).Draw(t, "rank"), rapid.Float64Range(0, 60).Draw(t, "floor"), 40),
				Caller:        rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller"),
				Arrived:       now.Add(-time.Duration(rapid.IntRange(0, 50).Draw(t, "age")) * time.Millisecond),
				InTransaction: rapid.Bool().Draw(t, "in transaction"),
			}
			before := inUse()
			ticket, decisions := s.Arrive(now, r, nil)
			o.waiting = append(o.waiting, ticket)
			o.record(t, decisions)
			require.LessOrEqual(t, inUse(), max(before, slots))
		}
		withTicket := func(list *[]*Ticket, do func(*Ticket) []Decision) func(*rapid.T) {
			return func(t *rapid.T) {
				if len(*list) == 0 {
					t.Skip()
				}
				o.record(t, do(rapid.SampledFrom(*list).Draw(t, "ticket")))
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": arrive,
			"advance": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "ms")) * time.Millisecond)
			},
			"release": withTicket(&o.running, func(ticket *Ticket) []Decision {
				o.running = without(o.running, ticket)
				return s.Release(now, ticket)
			}),
			"release twice": withTicket(&o.running, func(ticket *Ticket) []Decision {
				o.running = without(o.running, ticket)
				o.record(t, s.Release(now, ticket))
				return s.Release(now, ticket)
			}),
			"end": withTicket(&o.connected, func(ticket *Ticket) []Decision {
				o.connected = without(o.connected, ticket)
				return s.End(now, ticket)
			}),
			"cancel": withTicket(&o.waiting, func(ticket *Ticket) []Decision {
				o.waiting = without(o.waiting, ticket)
				o.decided[ticket]++
				return s.Cancel(now, ticket)
			}),
			"expire": withTicket(&o.waiting, func(ticket *Ticket) []Decision { return s.Expire(now, ticket) }),
			"reclaim": withTicket(&o.running, func(ticket *Ticket) []Decision {
				s.MarkIdle(now, ticket)
				now = now.Add(s.IdleLimit())
				o.running = without(o.running, ticket)
				return s.Reclaim(now, ticket)
			}),
			"resize": func(t *rapid.T) {
				slots = rapid.IntRange(0, 4).Draw(t, "slots")
				o.record(t, s.SetSlots(now, slots, float64(slots)))
			},
			"": func(t *rapid.T) {
				require.Equal(t, inUse(), s.inUse)
				require.Equal(t, len(o.waiting), s.waiting)
				for ticket, n := range o.decided {
					require.Equal(t, 1, n, "decisions about %v", ticket.Request)
				}
				if connections > 0 {
					require.LessOrEqual(t, len(o.connected), connections)
				}
				if policy != StaticShares && connections == 0 && len(o.waiting) > 0 {
					require.GreaterOrEqual(t, inUse(), slots, "a slot is free while requests wait")
				}
			},
		})
	})
}
