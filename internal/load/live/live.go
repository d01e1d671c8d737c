// Package live runs load against a whole deployment in this process, in real
// time, and compares the outcomes that callers got with the contents of the
// databases.
package live

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadacove/cicadacove/internal/cluster"
	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/routing"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/demo"
	"github.com/cicadacove/cicadacove/internal/entry"
	"github.com/cicadacove/cicadacove/internal/load/model"
)

const (
	// ServiceTime is the time that a statement takes in a database.
	ServiceTime = 20 * time.Millisecond
	// WriteStatements is the number of statements that a write causes in a
	// database: the claim of its request id, the write itself and the stored
	// answer.
	WriteStatements = 3
	// settleTime is the time between the last answer and the check of the
	// databases' contents.
	settleTime = 2 * time.Second
	// requestTimeout is the longest time that a caller waits for the answer to
	// an attempt.
	requestTimeout = 15 * time.Second
	// samplePeriod is the time between two counts of the open connections.
	samplePeriod = 5 * time.Millisecond
)

// run is the state of one run.
type run struct {
	settings *model.Settings
	cluster  *cluster.Cluster
	group    topo.GroupID
	clients  *clientPool
	start    time.Time
	requests sync.WaitGroup

	mu            sync.Mutex
	result        *model.Result
	writeOutcomes map[string]outcome.Kind
	lostIndex     int
	lostAt        time.Time
}

// Run starts a deployment, sends load to its first group and returns the result.
func Run(ctx context.Context, profile string, s *model.Settings) (*model.Result, error) {
	c, reads, err := startCluster(ctx, profile, s)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	if err := demo.CreateTables(ctx, c); err != nil {
		return nil, err
	}
	r := &run{
		settings: s, cluster: c, group: c.Profile.Groups()[0], lostIndex: -1,
		result: model.NewResult(s.Length), writeOutcomes: make(map[string]outcome.Kind),
	}
	r.result.Refusals = make(map[string]int)
	r.clients = newClientPool(c, r.group)
	defer r.clients.close()
	reads.run.Store(r)
	r.generateLoad(ctx)
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return r.result, r.verifyContents()
}

func startCluster(ctx context.Context, profile string, s *model.Settings) (*cluster.Cluster, *readCounter, error) {
	p, err := cluster.NewProfile(profile)
	if err != nil {
		return nil, nil, err
	}
	p.ServiceTime = ServiceTime
	reads := &readCounter{}
	options := cluster.Options{
		Profile: p, Seed: s.Seed, Admission: s.Policy, DisableEarlyRelease: s.LoseInstance > 0,
		Observer: func(topo.InstanceID) entry.Observer { return reads },
	}
	if s.PrimaryReads {
		options.Routing = routing.PrimaryOnly
	}
	c, err := cluster.Start(ctx, options)
	return c, reads, err
}

// generateLoad sends the requests of all streams, injects the faults and waits
// for the last answer.
func (r *run) generateLoad(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.start = time.Now()
	var streams, background sync.WaitGroup
	for i := range r.settings.Streams {
		streams.Go(func() { r.sendStream(ctx, i) })
	}
	background.Go(func() { r.sampleConnections(ctx) })
	background.Go(func() { r.injectFaults(ctx) })
	streams.Wait()
	r.requests.Wait()
	sleep(ctx, settleTime)
	cancel()
	background.Wait()
}

// sendStream sends the requests of a stream at their intended times.
func (r *run) sendStream(ctx context.Context, index int) {
	s := &r.settings.Streams[index]
	random := rand.New(rand.NewPCG(r.settings.Seed, uint64(index)))
	at := s.From
	for n := 0; ; n++ {
		at += time.Duration(random.ExpFloat64() / s.Rate * float64(time.Second))
		if at >= r.settings.Length || s.To > 0 && at >= s.To {
			return
		}
		sleep(ctx, time.Until(r.start.Add(at)))
		if ctx.Err() != nil {
			return
		}
		q := &request{
			run: r, stream: s, workload: &r.settings.Workloads[s.Workload], intended: at,
			id:     fmt.Sprintf("%d-%d", index, n),
			random: rand.New(rand.NewPCG(random.Uint64(), random.Uint64())),
		}
		r.recordOffered(q)
		r.requests.Go(func() { q.execute(ctx) })
	}
}

// injectFaults stops an entry instance or isolates the primary at the times in
// the settings.
func (r *run) injectFaults(ctx context.Context) {
	if at := r.settings.LoseInstance; at > 0 {
		sleep(ctx, time.Until(r.start.Add(at)))
		r.loseInstance(cluster.Entries - 1)
	}
	if at := r.settings.LosePrimary; at > 0 {
		sleep(ctx, time.Until(r.start.Add(at)))
		if db, ok := r.cluster.Primary(r.group); ok {
			r.cluster.Net.Isolate(string(db.ID()))
		}
	}
}

func (r *run) loseInstance(index int) {
	r.mu.Lock()
	r.lostIndex, r.lostAt = index, time.Now()
	r.mu.Unlock()
	r.cluster.Kill(r.cluster.Entry(index))
}

// lossDetectionDelay is the time from the loss of an instance until the load
// balancer stops sending callers to it.
const lossDetectionDelay = 500 * time.Millisecond

// pickEntry picks the entry instance that a request reaches.
func (r *run) pickEntry(q *request) int {
	r.mu.Lock()
	lost := r.lostIndex
	if time.Since(r.lostAt) < lossDetectionDelay {
		lost = -1
	}
	r.mu.Unlock()
	weights := make([]float64, cluster.Entries)
	if q.stream.Weight != nil {
		weights = q.stream.Weight(time.Since(r.start))
	}
	var sum float64
	for i := range weights {
		if q.stream.Weight == nil {
			weights[i] = 1
		}
		if i == lost {
			weights[i] = 0
		}
		sum += weights[i]
	}
	x := q.random.Float64() * sum
	for i, w := range weights {
		if x -= w; x < 0 && w > 0 {
			return i
		}
	}
	return 0
}

// sampleConnections records the largest number of connections that a database
// had open at once.
func (r *run) sampleConnections(ctx context.Context) {
	for ctx.Err() == nil {
		peak := 0
		for _, db := range r.cluster.Databases() {
			peak = max(peak, db.OpenConnections())
		}
		r.mu.Lock()
		r.result.PeakConnections = max(r.result.PeakConnections, peak)
		r.mu.Unlock()
		sleep(ctx, samplePeriod)
	}
}

// readCounter counts the reads, and those that replicas served. It implements
// entry.Observer.
type readCounter struct{ run atomic.Pointer[run] }

// Ended implements entry.Observer.
func (c *readCounter) Ended(e entry.Request) {
	r := c.run.Load()
	if r == nil || e.Service.Writes || e.Service.Rank != contract.RankLow || e.Outcome.Kind != outcome.Done {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Reads++
	if e.Role == topo.RoleReplica {
		r.result.OnReplicas++
	}
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
