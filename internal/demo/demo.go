// Package demo drives a mixed load against a deployment in one process and
// isolates one primary halfway through. An oracle then checks the outcomes
// against the contents of the databases.
package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/caller"
	"github.com/cicadacove/cicadacove/internal/cluster"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/entry"
	"github.com/cicadacove/cicadacove/internal/upstream"
)

const (
	// callersPerGroup is the number of sessions that load one group.
	callersPerGroup = 8
	// requestTimeout limits one request of a caller.
	requestTimeout = 15 * time.Second
	// maxAttempts limits how often a caller sends a write whose outcome is
	// unknown or not run.
	maxAttempts = 40
	// resendDelay is the delay before a write is sent again when the response
	// suggests none.
	resendDelay = 50 * time.Millisecond
	// duplicateShare is the share of writes that a caller sends to two entry
	// instances concurrently.
	duplicateShare = 0.1
)

// Options configures Run.
type Options struct {
	Profile  string
	Duration time.Duration
	Seed     uint64
}

// Report is the result of a run.
type Report struct {
	Profile      string `json:"profile"`
	Reads        int    `json:"reads"`
	ReplicaReads int64  `json:"replica_reads"`
	ReadsFailed  int    `json:"reads_failed"`
	WritesDone   int    `json:"writes_done"`
	WritesNotRun int    `json:"writes_not_run"`
	Unknown      int    `json:"writes_unknown"`
	// Lost counts the writes with the outcome done that are missing from the
	// database, Doubled those that it holds more than once, and NotRunButFound
	// those with the outcome not run that it holds.
	Lost           int   `json:"lost"`
	Doubled        int   `json:"doubled"`
	NotRunButFound int   `json:"not_run_but_there"`
	StaleOwnReads  int   `json:"stale_own_reads"`
	FailoverGapMs  int64 `json:"failover_gap_ms"`
}

// OK reports whether no guarantee was violated.
func (r *Report) OK() bool {
	return r.Lost == 0 && r.Doubled == 0 && r.StaleOwnReads == 0 && r.NotRunButFound == 0
}

// count adds one write to the report, given its outcome and its number of rows.
func (r *Report) count(kind outcome.Kind, rows int) {
	switch kind {
	case outcome.Done:
		r.WritesDone++
		if rows == 0 {
			r.Lost++
		}
	case outcome.Unknown:
		r.Unknown++
	default:
		r.WritesNotRun++
		if rows > 0 {
			r.NotRunButFound++
		}
	}
	if rows > 1 {
		r.Doubled++
	}
}

// replicaReads counts the reads that replicas served. It implements
// entry.Observer.
type replicaReads struct{ replica atomic.Int64 }

// Ended implements entry.Observer.
func (o *replicaReads) Ended(r entry.Request) {
	if r.Role == topo.RoleReplica && r.Outcome.Kind == outcome.Done {
		o.replica.Add(1)
	}
}

// Run starts a deployment, runs the load, and returns the oracle's report.
func Run(ctx context.Context, opts Options) (*Report, error) {
	p, err := cluster.NewProfile(opts.Profile)
	if err != nil {
		return nil, err
	}
	observer := &replicaReads{}
	c, err := cluster.Start(ctx, cluster.Options{
		Profile: p, Seed: opts.Seed,
		Observer: func(topo.InstanceID) entry.Observer { return observer },
	})
	if err != nil {
		return nil, err
	}
	defer c.Close()
	if err := CreateTables(ctx, c); err != nil {
		return nil, err
	}
	o := newOracle()
	isolatedAt, isolatedGroup, err := runLoad(ctx, c, o, opts)
	if err != nil {
		return nil, err
	}
	rows, err := countRows(c)
	if err != nil {
		return nil, err
	}
	report := &Report{Profile: opts.Profile, ReplicaReads: observer.replica.Load()}
	o.evaluate(rows, report)
	report.FailoverGapMs = o.longestWriteGap(isolatedGroup, isolatedAt).Milliseconds()
	return report, nil
}

// CreateTables creates the demo's table in every group.
func CreateTables(ctx context.Context, c *cluster.Cluster) error {
	for _, g := range c.Profile.Groups() {
		cl := newCaller(c, g, "")
		defer cl.Close()
		for {
			o := cl.Write(ctx, 0, c.Profile.Normal, "", "CREATE TABLE IF NOT EXISTS work (id TEXT, item TEXT)")
			if o.Kind == outcome.Done {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("demo: cannot create the table: %s", o.Reason)
			}
			time.Sleep(resendDelay)
		}
	}
	return nil
}

func newCaller(c *cluster.Cluster, g topo.GroupID, session string) *caller.Client {
	var addrs []string
	for _, e := range c.Entries() {
		addrs = append(addrs, e.Addr())
	}
	return caller.New(caller.Options{Addrs: addrs, Database: string(g), Session: session, Dial: c.CallerDial()})
}

// runLoad runs the callers for the duration and isolates the primary of the
// first group halfway through. It returns the time of the isolation and the
// group.
func runLoad(ctx context.Context, c *cluster.Cluster, o *oracle, opts Options) (time.Time, topo.GroupID, error) {
	end := time.Now().Add(opts.Duration)
	eg, ctx := errgroup.WithContext(ctx)
	for gi, g := range c.Profile.Groups() {
		for i := range callersPerGroup {
			w := &worker{
				c: c, o: o, group: g, end: end,
				name:   fmt.Sprintf("%s-%d", g, i),
				random: rand.New(rand.NewPCG(opts.Seed, uint64(gi*callersPerGroup+i))),
			}
			if i%2 == 0 {
				w.session = w.name
			}
			eg.Go(func() error { return w.run(ctx) })
		}
	}
	group := c.Profile.Groups()[0]
	var isolatedAt time.Time
	eg.Go(func() error {
		select {
		case <-time.After(opts.Duration / 2):
		case <-ctx.Done():
			return ctx.Err()
		}
		db, ok := c.Primary(group)
		if !ok {
			return fmt.Errorf("demo: %s has no primary", group)
		}
		isolatedAt = time.Now()
		c.Net.Isolate(string(db.ID()))
		return nil
	})
	err := eg.Wait()
	return isolatedAt, group, err
}

// countRows counts the rows by id in the current primary of each group.
func countRows(c *cluster.Cluster) (map[topo.GroupID]map[string]int, error) {
	out := map[topo.GroupID]map[string]int{}
	for _, g := range c.Profile.Groups() {
		db, ok := c.Primary(g)
		if !ok {
			return nil, fmt.Errorf("demo: %s has no primary", g)
		}
		rows, err := db.Contents("SELECT id FROM work")
		if err != nil {
			return nil, err
		}
		out[g] = map[string]int{}
		for _, r := range rows {
			out[g][fmt.Sprint(r[0])]++
		}
	}
	return out, nil
}

// worker sends the requests of one caller: writes, and reads of these writes
// through random entry instances.
type worker struct {
	c       *cluster.Cluster
	o       *oracle
	group   topo.GroupID
	name    string
	session string
	end     time.Time
	random  *rand.Rand
}

func (w *worker) run(ctx context.Context) error {
	cl := newCaller(w.c, w.group, w.session)
	duplicateCaller := newCaller(w.c, w.group, w.session)
	defer cl.Close()
	defer duplicateCaller.Close()
	for n := 0; time.Now().Before(w.end) && ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%s-%d", w.name, n)
		entry := w.random.IntN(cluster.Entries)
		service := w.c.Profile.Urgent
		var duplicate sync.WaitGroup
		if w.random.Float64() < duplicateShare {
			duplicate.Go(func() { w.send(ctx, duplicateCaller, (entry+1)%cluster.Entries, service, id) })
		}
		result := w.write(ctx, cl, entry, service, id)
		duplicate.Wait()
		w.o.recordWrite(w.group, id, result.Kind)
		if result.Kind != outcome.Done {
			klog.Infof("demo: write %s ended as %s: %s %s", id, result.Kind, result.Code, result.Reason)
		}
		if result.Kind == outcome.Done {
			w.readBack(ctx, cl, id)
		}
	}
	return nil
}

func (w *worker) send(ctx context.Context, cl *caller.Client, entry int, service, id string) outcome.Outcome {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return cl.Write(ctx, entry, service, "req-"+id, "INSERT INTO work (id, item) VALUES ($1, 'x')", id)
}

// write sends a write up to maxAttempts times, with the same request id, to one
// entry instance after the other until its outcome is final.
func (w *worker) write(ctx context.Context, cl *caller.Client, entry int, service, id string) outcome.Outcome {
	o := outcome.Outcome{}
	for i := range maxAttempts {
		o = w.send(ctx, cl, (entry+i)%cluster.Entries, service, id)
		if o.Kind == outcome.Done || o.Kind == outcome.Failed && o.Code != upstream.CodeSerialization {
			break
		}
		pause := resendDelay
		if o.RetryAfter > 0 {
			pause = min(o.RetryAfter, 4*resendDelay)
		}
		time.Sleep(pause)
	}
	return o
}

// readBack reads the write through random entry instances.
func (w *worker) readBack(ctx context.Context, cl *caller.Client, id string) {
	for range 2 {
		entry := w.random.IntN(cluster.Entries)
		ctx, cancel := context.WithTimeout(ctx, requestTimeout)
		got, o := cl.Read(ctx, entry, w.c.Profile.Low, w.session == "", "SELECT id FROM work WHERE id = $1", id)
		cancel()
		w.o.recordRead(o.Kind, len(got) > 0)
		if o.Kind != outcome.Done {
			klog.Infof("demo: read of %s ended as %s: %s %s", id, o.Kind, o.Code, o.Reason)
		}
	}
}
