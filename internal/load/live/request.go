package live

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cicadacove/cicadacove/internal/caller"
	"github.com/cicadacove/cicadacove/internal/cluster"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/load/model"
)

// retryDelay is the delay before a retry when the caller ignores the retry hint
// or got none.
const retryDelay = 20 * time.Millisecond

// request is one request of a caller with all its attempts.
type request struct {
	run      *run
	stream   *model.Stream
	workload *model.Workload
	id       string
	intended time.Duration
	random   *rand.Rand
	// sent is the time at which the last attempt was sent.
	sent time.Time
}

// execute sends the request and retries it after a refusal. It ends the request
// as refused when no retry is left or the next one would exceed the caller's
// timeout.
func (q *request) execute(ctx context.Context) {
	deadline := q.run.start.Add(q.intended + q.run.settings.CallerTimeout)
	for retries := 0; ; retries++ {
		o := q.attempt(ctx)
		if o.Kind != outcome.NotRun {
			q.run.recordEnd(q, o)
			return
		}
		q.run.recordRefusedAttempt(q)
		pause := o.RetryAfter
		if q.stream.IgnoreHints || pause == 0 {
			pause = retryDelay
		}
		if retries >= q.stream.Retries || time.Now().Add(pause).After(deadline) {
			q.run.recordEnd(q, o)
			return
		}
		sleep(ctx, pause)
	}
}

// attempt sends the request once.
func (q *request) attempt(ctx context.Context) outcome.Outcome {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	entry := q.run.pickEntry(q)
	client := q.run.clients.get()
	defer q.run.clients.put(client)
	q.sent = time.Now()
	name := q.workload.Service.Name
	if q.workload.Service.Writes {
		return client.Write(ctx, entry, name, "load-"+q.id, "INSERT INTO work (id, item) VALUES ($1, 'x')", q.id)
	}
	_, o := client.Read(ctx, entry, name, false, "SELECT item FROM work WHERE id = $1", q.id)
	if o.Kind == outcome.Unknown {
		// A read has no effect, so a lost answer counts as a refusal.
		o.Kind = outcome.NotRun
	}
	return o
}

// maxClients bounds the clients of a run, and with them its open files. When
// all are busy a request waits; its latency still counts from its intended
// start.
const maxClients = 3000

// clientPool keeps idle clients with their connections. It creates a new client
// when none is idle.
type clientPool struct {
	// semaphore has one item for each client in use.
	semaphore chan struct{}

	cluster *cluster.Cluster
	group   topo.GroupID
	addrs   []string

	mu   sync.Mutex
	idle []*caller.Client
}

func newClientPool(c *cluster.Cluster, g topo.GroupID) *clientPool {
	p := &clientPool{cluster: c, group: g, semaphore: make(chan struct{}, maxClients)}
	for _, e := range c.Entries() {
		p.addrs = append(p.addrs, e.Addr())
	}
	return p
}

func (p *clientPool) get() *caller.Client {
	p.semaphore <- struct{}{}
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.idle); n > 0 {
		client := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return client
	}
	return caller.New(caller.Options{Addrs: p.addrs, Database: string(p.group), Dial: p.cluster.CallerDial()})
}

func (p *clientPool) put(client *caller.Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, client)
	<-p.semaphore
}

func (p *clientPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	var closing sync.WaitGroup
	for _, client := range p.idle {
		closing.Go(client.Close)
	}
	closing.Wait()
}
