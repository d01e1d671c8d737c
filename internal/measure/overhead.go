// Package measure measures what the proxy costs: against direct connections, per
// idle caller, for session consistency and for the control protocol. Each
// measurement is one run on one machine.
package measure

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/cicadacove/cicadacove/internal/caller"
	"github.com/cicadacove/cicadacove/internal/cluster"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
)

const (
	// overheadCallers is the number of concurrent callers. Each sends its
	// requests one after another.
	overheadCallers = 4
	// testQuery is the query that both sides of the comparison run.
	testQuery = "SELECT 1"
)

// PathStats holds the measurements of one path to the database, direct or
// through the proxy.
type PathStats struct {
	Requests  int     `json:"requests"`
	PerSecond float64 `json:"per_second"`
	P50Micros int64   `json:"p50_us"`
	P99Micros int64   `json:"p99_us"`
	// CPUMicros is the processor time of the whole process per request.
	CPUMicros float64 `json:"cpu_us_per_request"`
}

// Overhead compares reads through the proxy with direct ones.
type Overhead struct {
	Direct  PathStats `json:"direct"`
	Proxied PathStats `json:"proxied"`
	// AddedCPUMicros is the processor time that the proxy adds to one request,
	// and PerCore the requests per second that one core can proxy at that cost.
	AddedCPUMicros float64 `json:"added_cpu_us"`
	PerCore        float64 `json:"requests_per_core"`
}

// RunOverhead measures each path for the given duration. It alternates between
// them, so that changes in the load of the machine affect both.
func RunOverhead(ctx context.Context, d time.Duration) (*Overhead, error) {
	p, err := cluster.NewProfile("selam")
	if err != nil {
		return nil, err
	}
	p.ZoneDelay, p.CallerDelay, p.ConnectDelay, p.ServiceTime = 0, 0, 0, 0
	c, err := cluster.Start(ctx, cluster.Options{Profile: p, Seed: 1})
	if err != nil {
		return nil, err
	}
	defer c.Close()
	const rounds = 4
	direct, proxied := &sample{}, &sample{}
	for range rounds {
		if err := direct.run(ctx, d/rounds, func() (client, error) { return newDirectClient(ctx, c) }); err != nil {
			return nil, err
		}
		if err := proxied.run(ctx, d/rounds, func() (client, error) { return newProxiedClient(c), nil }); err != nil {
			return nil, err
		}
	}
	o := &Overhead{Direct: direct.stats(), Proxied: proxied.stats()}
	o.AddedCPUMicros = o.Proxied.CPUMicros - o.Direct.CPUMicros
	if o.AddedCPUMicros > 0 {
		o.PerCore = 1e6 / o.AddedCPUMicros
	}
	return o, nil
}

// client sends requests on a connection of its own.
type client struct {
	send  func(context.Context) error
	close func()
}

func newDirectClient(ctx context.Context, c *cluster.Cluster) (client, error) {
	db, ok := c.Primary(c.Profile.Groups()[0])
	if !ok {
		return client{}, fmt.Errorf("measure: no primary")
	}
	cfg, err := pgx.ParseConfig("postgres://" + db.Addr() + "/?sslmode=disable")
	if err != nil {
		return client{}, err
	}
	cfg.User, cfg.Password, cfg.Database = cluster.DatabaseUser, cluster.DatabasePassword, string(c.Profile.Groups()[0])
	cfg.DefaultQueryExecMode = pgx.QueryExecModeExec
	cfg.DialFunc = pgconn.DialFunc(c.CallerDial())
	conn, err := pgx.ConnectConfig(ctx, cfg)
	if err != nil {
		return client{}, err
	}
	send := func(ctx context.Context) error {
		_, err := conn.Exec(ctx, caller.Comment(testQuery, caller.Attributes{"service": c.Profile.Low}))
		return err
	}
	return client{send, func() { conn.Close(ctx) }}, nil
}

func newProxiedClient(c *cluster.Cluster) client {
	proxyClient := caller.New(caller.Options{Addrs: []string{c.Entry(0).Addr()}, Database: string(c.Profile.Groups()[0]), Dial: c.CallerDial()})
	send := func(ctx context.Context) error {
		_, o := proxyClient.Read(ctx, 0, c.Profile.Low, false, testQuery)
		if o.Kind != outcome.Done {
			return fmt.Errorf("measure: %s %s", o.Code, o.Reason)
		}
		return nil
	}
	return client{send, proxyClient.Close}
}

// sample collects the measurements of one path.
type sample struct {
	mu        sync.Mutex
	latencies []time.Duration
	total     time.Duration
	cpu       time.Duration
}

func (s *sample) run(ctx context.Context, d time.Duration, open func() (client, error)) error {
	var clients []client
	for range overheadCallers {
		c, err := open()
		if err != nil {
			return err
		}
		defer c.close()
		if err := c.send(ctx); err != nil {
			return err
		}
		clients = append(clients, c)
	}
	start, cpu := time.Now(), processCPU()
	var wg sync.WaitGroup
	var failed atomic.Pointer[error]
	for _, c := range clients {
		wg.Go(func() {
			if err := s.sendUntil(ctx, c, start.Add(d)); err != nil {
				failed.Store(&err)
			}
		})
	}
	wg.Wait()
	s.total += time.Since(start)
	s.cpu += processCPU() - cpu
	if err := failed.Load(); err != nil {
		return *err
	}
	return nil
}

func (s *sample) sendUntil(ctx context.Context, c client, end time.Time) error {
	var latencies []time.Duration
	for time.Now().Before(end) {
		start := time.Now()
		if err := c.send(ctx); err != nil {
			return err
		}
		latencies = append(latencies, time.Since(start))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latencies = append(s.latencies, latencies...)
	return nil
}

func (s *sample) stats() PathStats {
	slices.Sort(s.latencies)
	n := len(s.latencies)
	if n == 0 {
		return PathStats{}
	}
	return PathStats{
		Requests:  n,
		PerSecond: float64(n) / s.total.Seconds(),
		P50Micros: s.latencies[n/2].Microseconds(),
		P99Micros: s.latencies[n*99/100].Microseconds(),
		CPUMicros: float64(s.cpu.Microseconds()) / float64(n),
	}
}

// processCPU returns the processor time that the process has used.
func processCPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
