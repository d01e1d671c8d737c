package measure

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadacove/cicadacove/internal/caller"
	"github.com/cicadacove/cicadacove/internal/cluster"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/routing"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/entry"
)

const (
	// sessionsPerGroup is the number of sessions that write and read.
	sessionsPerGroup = 4
	// readsPerWrite is the number of reads after each write of a session.
	readsPerWrite = 4
	// thinkTime is a session's pause between two requests.
	thinkTime = 2 * time.Millisecond
)

// ReadsRow holds the results of one combination of lag and routing policy.
type ReadsRow struct {
	Profile string         `json:"profile"`
	LagMs   int64          `json:"lag_ms"`
	Policy  routing.Policy `json:"policy"`
	Reads   int            `json:"reads"`
	// ReplicaShare is the share of the reads that replicas served.
	ReplicaShare float64 `json:"replica_share"`
	P50Micros    int64   `json:"p50_us"`
	P99Micros    int64   `json:"p99_us"`
	// Stale counts reads that missed the session's own write.
	Stale int `json:"stale_own_reads"`
	// WriteP50Micros and WriteP99Micros are the latencies of the writes.
	WriteP50Micros int64 `json:"write_p50_us"`
	WriteP99Micros int64 `json:"write_p99_us"`
}

// RunReads measures sessions that write and read their writes back, with each
// lag and both routing policies, in one run.
func RunReads(ctx context.Context, profile string, lags []time.Duration, d time.Duration) ([]ReadsRow, error) {
	var out []ReadsRow
	for _, lag := range lags {
		for _, policy := range []routing.Policy{routing.Replicas, routing.PrimaryOnly} {
			row, err := runSessions(ctx, sessionsOptions{profile: profile, lag: lag, policy: policy, duration: d, service: urgentService})
			if err != nil {
				return nil, err
			}
			out = append(out, row)
		}
	}
	return out, nil
}

// RunDurability compares writes that one database confirms with writes that two
// databases confirm, with each lag, in one run.
func RunDurability(ctx context.Context, profile string, lags []time.Duration, d time.Duration) ([]DurabilityRow, error) {
	var out []DurabilityRow
	for _, lag := range lags {
		for _, databases := range []int{1, 2} {
			row, err := runSessions(ctx, sessionsOptions{profile: profile, lag: lag, policy: routing.Replicas, duration: d, service: urgentService, durability: databases})
			if err != nil {
				return nil, err
			}
			out = append(out, DurabilityRow{profile, lag.Milliseconds(), databases, row.WriteP50Micros, row.WriteP99Micros})
		}
	}
	return out, nil
}

// DurabilityRow holds the results of one combination of lag and durability.
type DurabilityRow struct {
	Profile   string `json:"profile"`
	LagMs     int64  `json:"lag_ms"`
	Databases int    `json:"databases"`
	P50Micros int64  `json:"write_p50_us"`
	P99Micros int64  `json:"write_p99_us"`
}

// urgentService returns the profile's most urgent service.
func urgentService(p cluster.Profile) string { return p.Urgent }

type sessionsOptions struct {
	profile    string
	lag        time.Duration
	policy     routing.Policy
	duration   time.Duration
	service    func(cluster.Profile) string
	durability int
}

// readsByRole counts the reads by the role of the upstream. It implements
// entry.Observer.
type readsByRole struct{ replica, primary atomic.Int64 }

// Ended implements entry.Observer.
func (r *readsByRole) Ended(req entry.Request) {
	if req.Service.Writes || req.Outcome.Kind != outcome.Done {
		return
	}
	if req.Role == topo.RoleReplica {
		r.replica.Add(1)
	} else {
		r.primary.Add(1)
	}
}

func runSessions(ctx context.Context, o sessionsOptions) (ReadsRow, error) {
	p, err := cluster.NewProfile(o.profile)
	if err != nil {
		return ReadsRow{}, err
	}
	p.Lag = o.lag
	if o.durability > 0 {
		p.SetDurability(o.service(p), o.durability)
	}
	counts := &readsByRole{}
	c, err := cluster.Start(ctx, cluster.Options{Profile: p, Seed: 1, Routing: o.policy, Observer: func(topo.InstanceID) entry.Observer { return counts }})
	if err != nil {
		return ReadsRow{}, err
	}
	defer c.Close()
	g := p.Groups()[0]
	if err := createTable(ctx, c, g); err != nil {
		return ReadsRow{}, err
	}
	r := &sessionResults{}
	var wg sync.WaitGroup
	end := time.Now().Add(o.duration)
	for i := range sessionsPerGroup {
		wg.Go(func() { r.runSession(ctx, c, g, o.service(p), i, end) })
	}
	wg.Wait()
	row := ReadsRow{Profile: o.profile, LagMs: o.lag.Milliseconds(), Policy: o.policy, Reads: len(r.reads), Stale: r.stale}
	if total := counts.replica.Load() + counts.primary.Load(); total > 0 {
		row.ReplicaShare = float64(counts.replica.Load()) / float64(total)
	}
	row.P50Micros, row.P99Micros = percentiles(r.reads)
	row.WriteP50Micros, row.WriteP99Micros = percentiles(r.writes)
	return row, nil
}

func createTable(ctx context.Context, c *cluster.Cluster, g topo.GroupID) error {
	client := newCaller(c, g, "")
	defer client.Close()
	for {
		o := client.Write(ctx, 0, c.Profile.Normal, "", "CREATE TABLE IF NOT EXISTS work (id TEXT)")
		if o.Kind == outcome.Done {
			return nil
		}
		if ctx.Err() != nil {
			return fmt.Errorf("measure: table not created: %s", o.Reason)
		}
		time.Sleep(thinkTime)
	}
}

func newCaller(c *cluster.Cluster, g topo.GroupID, session string) *caller.Client {
	var addrs []string
	for _, e := range c.Entries() {
		addrs = append(addrs, e.Addr())
	}
	return caller.New(caller.Options{Addrs: addrs, Database: string(g), Session: session, Dial: c.CallerDial()})
}

// sessionResults collects the results of all sessions.
type sessionResults struct {
	mu            sync.Mutex
	reads, writes []time.Duration
	stale         int
}

// runSession writes rows and reads each back at other entry instances, with the
// session token of the write.
func (r *sessionResults) runSession(ctx context.Context, c *cluster.Cluster, g topo.GroupID, service string, sessionIndex int, end time.Time) {
	client := newCaller(c, g, "")
	defer client.Close()
	for n := 0; time.Now().Before(end); n++ {
		id := fmt.Sprintf("%d-%d", sessionIndex, n)
		start := time.Now()
		o := client.Write(ctx, n%cluster.Entries, service, "", "INSERT INTO work (id) VALUES ($1)", id)
		latency := time.Since(start)
		if o.Kind != outcome.Done {
			continue
		}
		r.recordWrite(latency)
		for i := range readsPerWrite {
			time.Sleep(thinkTime)
			start := time.Now()
			rows, o := client.Read(ctx, (n+i+1)%cluster.Entries, c.Profile.Low, true, "SELECT id FROM work WHERE id = $1", id)
			r.recordRead(time.Since(start), o.Kind, len(rows))
		}
	}
}

func (r *sessionResults) recordWrite(latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writes = append(r.writes, latency)
}

func (r *sessionResults) recordRead(latency time.Duration, kind outcome.Kind, rows int) {
	if kind != outcome.Done {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reads = append(r.reads, latency)
	if rows == 0 {
		r.stale++
	}
}

func percentiles(latencies []time.Duration) (p50, p99 int64) {
	if len(latencies) == 0 {
		return 0, 0
	}
	slices.Sort(latencies)
	return latencies[len(latencies)/2].Microseconds(), latencies[len(latencies)*99/100].Microseconds()
}
