package model

import (
	"fmt"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/admission"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// model is the state of one run: one database group that all entry instances
// use.
type model struct {
	settings   *Settings
	engine     *engine
	entries    []*entry
	databases  []*database
	allocators []allocator
	primary    *database
	result     *Result
	// messages counts the grant messages between instances.
	messages int
}

// entry is a simulated entry instance.
type entry struct {
	model *model
	id    topo.InstanceID
	zone  int
	lost  bool
	links []*link
}

// Run executes one run and returns its result.
func Run(settings Settings) *Result {
	m := &model{settings: &settings, engine: newEngine(settings.Seed)}
	m.result = NewResult(settings.Length)
	m.result.model = m
	m.build()
	for i := range settings.Streams {
		m.startStream(&settings.Streams[i])
	}
	m.scheduleFaults()
	m.engine.run(epoch.Add(settings.Length))
	m.result.finish()
	return m.result
}

func (m *model) build() {
	s := m.settings
	for i := range s.Databases {
		id := topo.UpstreamID(fmt.Sprintf("group/%c", 'a'+i))
		m.databases = append(m.databases, &database{engine: m.engine, id: id, zone: i % s.Zones, slots: s.Slots})
	}
	m.primary = m.databases[0]
	for i := range s.Instances {
		m.entries = append(m.entries, &entry{model: m, id: topo.InstanceID(fmt.Sprintf("entry-%d", i)), zone: i % s.Zones})
	}
	for _, d := range m.databases {
		m.linkDatabase(d)
	}
}

// linkDatabase links all entry instances to a database and starts the allocator
// that divides it.
func (m *model) linkDatabase(d *database) {
	var links []*link
	for _, e := range m.entries {
		l := &link{entry: e, database: d, scheduler: admission.New(admission.Options{Policy: m.settings.Policy})}
		e.links = append(e.links, l)
		links = append(links, l)
	}
	var a allocator
	switch m.settings.Allocation {
	case Static:
		a = &staticAllocator{links: links, slots: m.settings.Slots + m.settings.Pipeline, connections: m.settings.Connections}
	case Borrowing:
		a = newBorrowingAllocator(m, links)
	default:
		a = newGrantAllocator(m, d, links)
	}
	for _, l := range links {
		l.allocator = a
	}
	m.allocators = append(m.allocators, a)
	a.start()
}

// startStream schedules the requests of a stream.
func (m *model) startStream(s *Stream) {
	end := s.To
	if end == 0 {
		end = m.settings.Length
	}
	var sendNext func()
	sendNext = func() {
		if m.engine.elapsed() >= end {
			return
		}
		m.sendRequest(s)
		m.engine.after(m.interarrivalTime(s), sendNext)
	}
	m.engine.at(epoch.Add(s.From), func() { m.engine.after(m.interarrivalTime(s), sendNext) })
}

func (m *model) interarrivalTime(s *Stream) time.Duration {
	return time.Duration(m.engine.random.ExpFloat64() / s.Rate * float64(time.Second))
}

// sendRequest sends one request of a stream. It does not wait for earlier ones
// to end.
func (m *model) sendRequest(s *Stream) {
	workload := &m.settings.Workloads[s.Workload]
	caller := fmt.Sprintf("%s-%d", workload.Service.Name, m.engine.random.IntN(s.Callers))
	r := &request{model: m, stream: s, workload: workload, caller: caller, intended: m.engine.now}
	m.result.recordOffered(r)
	r.send()
}

// pickEntry picks the entry instance that a request reaches, as the platform's
// load balancer does. It returns nil when that instance is lost.
func (m *model) pickEntry(r *request) *entry {
	weights := make([]float64, len(m.entries))
	var sum float64
	for i, e := range m.entries {
		weights[i] = 1
		if r.stream.Weight != nil {
			weights[i] = r.stream.Weight(m.engine.elapsed())[i]
		}
		if e.lost && m.lossDetected(e) {
			weights[i] = 0
		}
		sum += weights[i]
	}
	x := m.engine.random.Float64() * sum
	for i, w := range weights {
		x -= w
		if x < 0 && w > 0 {
			return m.entries[i].ifRunning()
		}
	}
	return m.entries[len(m.entries)-1].ifRunning()
}

func (e *entry) ifRunning() *entry {
	if e.lost {
		return nil
	}
	return e
}

// lossDetectionDelay is the time from the loss of an instance until the load
// balancer stops sending callers to it.
const lossDetectionDelay = 500 * time.Millisecond

func (m *model) lossDetected(*entry) bool {
	return m.engine.elapsed() >= m.settings.LoseInstance+lossDetectionDelay
}

// route picks the database for a request: the primary for writes, the database
// with the shortest expected wait for reads. It returns nil when there is none.
func (e *entry) route(r *request) *link {
	if r.workload.Service.Writes || e.model.settings.PrimaryReads {
		return e.linkTo(e.model.primary)
	}
	var best *link
	var least time.Duration
	for _, l := range e.links {
		if l.database.down {
			continue
		}
		wait := l.scheduler.Wait(e.model.engine.now, r.workload.Service.Rank) + 2*l.delay()
		if l.database == e.model.primary {
			wait += primaryPenalty
		}
		if best == nil || wait < least {
			best, least = l, wait
		}
	}
	return best
}

// primaryPenalty is the extra wait at a replica that route accepts to keep a
// read away from the primary.
const primaryPenalty = 20 * time.Millisecond

func (e *entry) linkTo(d *database) *link {
	if d == nil || d.down {
		return nil
	}
	for _, l := range e.links {
		if l.database == d {
			return l
		}
	}
	return nil
}

func (m *model) scheduleFaults() {
	if at := m.settings.LoseInstance; at > 0 {
		m.engine.at(epoch.Add(at), func() { m.loseInstance(m.entries[0]) })
	}
	if at := m.settings.LosePrimary; at > 0 {
		m.engine.at(epoch.Add(at), m.losePrimary)
	}
}

// loseInstance stops an entry instance. The outcome of its requests is unknown,
// and its connections count as open until 1 s after its lease, the bound on
// their use.
func (m *model) loseInstance(e *entry) {
	e.lost = true
	m.result.endRequestsOf(e)
	for _, a := range m.allocators {
		a.instanceLost(e)
	}
	m.engine.after(m.settings.Lease, func() {
		for _, a := range m.allocators {
			a.instanceRemoved(e)
		}
	})
	m.engine.after(m.settings.Lease+time.Second, func() {
		for _, l := range e.links {
			for l.open > 0 {
				l.closeConnection()
			}
		}
	})
}

// losePrimary stops the primary. A replica takes over after the lease.
func (m *model) losePrimary() {
	old := m.primary
	old.fail()
	m.primary = nil
	m.engine.after(m.settings.Lease, func() { m.primary = m.databases[1] })
}
