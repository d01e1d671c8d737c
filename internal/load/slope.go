package load

import (
	"fmt"
	"io"
	"runtime"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/cicadacove/cicadacove/internal/core/admission"
	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/grant"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// Slope measures how the cost of one mechanism grows with its size.
type Slope struct {
	Name  string
	About string
	Sizes []int
	// measure returns the cost at one size.
	measure func(size int) Cost
}

// Cost is the cost of one step at one size.
type Cost struct {
	Size int `json:"size"`
	// Nanoseconds and Allocations are those of one step.
	Nanoseconds float64 `json:"ns_per_step"`
	Allocations float64 `json:"allocations_per_step"`
	// HeapBytes is the heap memory that the state takes at this size.
	HeapBytes uint64 `json:"heap_bytes"`
	// MessageBytes is the encoded size of the messages of one step, without
	// framing.
	MessageBytes int `json:"message_bytes"`
}

// SlopeReport is the outcome of a Slope.
type SlopeReport struct {
	Name  string `json:"name"`
	About string `json:"about"`
	Costs []Cost `json:"costs"`
}

// slopeSteps is how many steps are timed at each size.
const slopeSteps = 20_000

// Slopes lists the cost measurements.
func Slopes() []Slope {
	return []Slope{
		{"callers", "one arrival and one release, with one waiting request of each of N callers", []int{100, 1_000, 10_000}, callersCost},
		{"services", "one arrival and one release, with N services", []int{3, 30, 300}, servicesCost},
		{"upstreams", "one report and its answer, with N upstreams owned by one instance and 4 holders each", []int{9, 90, 900}, upstreamsCost},
		{"instances", "one report and its answer, with N holders of one upstream", []int{4, 40, 690}, instancesCost},
	}
}

// SlopeByName returns the measurement with the given name.
func SlopeByName(name string) (Slope, error) {
	var names []string
	for _, s := range Slopes() {
		if s.Name == name {
			return s, nil
		}
		names = append(names, s.Name)
	}
	return Slope{}, fmt.Errorf("slope %q: want one of %v", name, names)
}

// Run measures the cost at each size.
func (s Slope) Run() *SlopeReport {
	report := &SlopeReport{Name: s.Name, About: s.About}
	for _, size := range s.Sizes {
		cost := s.measure(size)
		cost.Size = size
		report.Costs = append(report.Costs, cost)
	}
	return report
}

// Print writes the report as text.
func (r *SlopeReport) Print(w io.Writer) error {
	fmt.Fprintf(w, "%s: %s\n\n", r.Name, r.About)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "size\tns/step\tallocations/step\theap bytes\tmessage bytes\t")
	for _, c := range r.Costs {
		fmt.Fprintf(t, "%d\t%.0f\t%.1f\t%d\t%d\t\n", c.Size, c.Nanoseconds, c.Allocations, c.HeapBytes, c.MessageBytes)
	}
	return t.Flush()
}

// measureSteps returns the mean time and number of allocations of one step.
func measureSteps(step func(i int)) (cost Cost) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start := time.Now()
	for i := range slopeSteps {
		step(i)
	}
	elapsed := time.Since(start)
	runtime.ReadMemStats(&after)
	cost.Nanoseconds = float64(elapsed.Nanoseconds()) / slopeSteps
	cost.Allocations = float64(after.Mallocs-before.Mallocs) / slopeSteps
	return cost
}

// measureHeap returns the result of build and the heap memory that it takes.
func measureHeap[T any](build func() T) (T, uint64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	built := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	if after.HeapAlloc < before.HeapAlloc {
		return built, 0
	}
	return built, after.HeapAlloc - before.HeapAlloc
}

// slopeEpoch is the time at which the measured steps begin.
var slopeEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// schedulerBench is a scheduler with waiting requests, and the tickets of its
// running requests.
type schedulerBench struct {
	scheduler *admission.Scheduler
	services  []contract.Service
	callers   []string
	running   []*admission.Ticket
	now       time.Time
}

// newSchedulerBench returns a scheduler with one waiting request per caller.
func newSchedulerBench(services, callers int) *schedulerBench {
	const slots = 3
	b := &schedulerBench{now: slopeEpoch}
	b.scheduler = admission.New(admission.Options{Slots: slots, MaxQueue: callers + 1})
	for i := range services {
		b.services = append(b.services, contract.Service{
			Name: "service-" + strconv.Itoa(i), Rank: 1 + i%contract.Ranks, Target: time.Hour, FloorPercent: 10,
		})
	}
	for i := range callers + 1 {
		b.callers = append(b.callers, "caller-"+strconv.Itoa(i))
	}
	for i := range callers + slots {
		b.arrive(i)
	}
	return b
}

func (b *schedulerBench) arrive(i int) {
	_, decisions := b.scheduler.Arrive(b.now, admission.Request{
		Service: b.services[i%len(b.services)], Caller: b.callers[i%len(b.callers)], Arrived: b.now,
	}, nil)
	b.recordStarted(decisions)
}

func (b *schedulerBench) recordStarted(decisions []admission.Decision) {
	for _, d := range decisions {
		if d.Start {
			b.running = append(b.running, d.Ticket)
		}
	}
}

// step performs one arrival and one release.
func (b *schedulerBench) step(i int) {
	b.now = b.now.Add(time.Microsecond)
	b.arrive(i)
	if len(b.running) == 0 {
		return
	}
	first := b.running[0]
	b.running = b.running[1:]
	b.recordStarted(b.scheduler.Release(b.now, first))
}

func callersCost(callers int) Cost { return schedulerCost(contract.Ranks, callers) }

func servicesCost(services int) Cost {
	const callers = 1_000
	return schedulerCost(services, callers)
}

func schedulerCost(services, callers int) Cost {
	b, heap := measureHeap(func() *schedulerBench { return newSchedulerBench(services, callers) })
	cost := measureSteps(b.step)
	cost.HeapBytes = heap
	return cost
}

// ownersBench holds the grant owners of upstreams that one instance owns, and
// the holders of each upstream.
type ownersBench struct {
	owners       []*grant.Owner
	ids          []topo.InstanceID
	holders      [][]*grant.Holder
	now          time.Time
	messageBytes int
}

func newOwnersBench(upstreams, instances int) *ownersBench {
	b := &ownersBench{now: slopeEpoch}
	params := grant.Params{Instances: instances}
	capacity := grant.Amount{Slots: 3, Connections: 20}
	for i := range instances {
		b.ids = append(b.ids, topo.InstanceID("entry-"+strconv.Itoa(i)))
	}
	for range upstreams {
		b.owners = append(b.owners, grant.NewOwner(params, capacity, 1, b.ids, b.now, true))
		var holders []*grant.Holder
		for range instances {
			h := grant.NewHolder(params, 0)
			h.SetEpoch(1)
			holders = append(holders, h)
		}
		b.holders = append(b.holders, holders)
	}
	for i := range upstreams * instances {
		b.step(i)
	}
	return b
}

// step performs one report and its answer.
func (b *ownersBench) step(i int) {
	b.now = b.now.Add(10 * time.Microsecond)
	upstream, instance := i/len(b.ids)%len(b.owners), i%len(b.ids)
	h := b.holders[upstream][instance]
	round := i / (len(b.ids) * len(b.owners))
	demand := grant.Demand{Busy: (instance + round) % 3, Connections: (instance + round) % 5}
	demand.Slots[1] = float64(demand.Busy) / 2
	report := h.Report(b.now, grant.Amount{}, demand)
	b.owners[upstream].Report(b.now, b.ids[instance], report)
	if g, ok := b.owners[upstream].Grant(b.now, b.ids[instance]); ok {
		h.Apply(g, b.now.Add(time.Hour))
		b.messageBytes = sizeOf(report) + sizeOf(g)
	}
}

func sizeOf(message any) int {
	data, err := msgpack.Marshal(message)
	if err != nil {
		panic("load: encode message: " + err.Error())
	}
	return len(data)
}

func upstreamsCost(upstreams int) Cost { return ownersCost(upstreams, entryInstances) }

func instancesCost(instances int) Cost { return ownersCost(1, instances) }

func ownersCost(upstreams, instances int) Cost {
	b, heap := measureHeap(func() *ownersBench { return newOwnersBench(upstreams, instances) })
	cost := measureSteps(b.step)
	cost.HeapBytes = heap
	cost.MessageBytes = b.messageBytes
	return cost
}
