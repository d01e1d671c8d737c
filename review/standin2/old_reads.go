package main

import (
	"fmt"
	"strconv"
	"sync"
	"time"
)

// Figures of the case with lagging replicas.
const (
	staleFronts        = 6
	staleFrontMemoryMb = 544
	maxStaleness       = 1500 * time.Millisecond
	// lagTime is how late the replicas get the log, 150 times the usual, for lagSpell.
	lagTime      = 3 * time.Second
	lagSpell     = 7 * time.Second
	readInterval = 50 * time.Millisecond
	counterItem  = "stock"
)

// staleConfiguration returns a configuration with a route for writes and one for reads.
func staleConfiguration(maxConns int) map[string]any {
	body := configuration("primary", maxConns)
	body["routes"] = append(body["routes"].([]map[string]any), map[string]any{
		"name": "r-2", "database": "looks", "pathPrefix": "/", "routeType": "bounded_staleness", "timeoutMs": 2000,
		"targetLatencyMs": 1200, "priority": 2, "service": serviceName, "maxAttempts": 2, "public": false, "maxStalenessMs": maxStaleness.Milliseconds(),
	})
	return body
}

// counter is an item whose value one client counts up, and others read.
type counter struct {
	r       *record
	cluster *cluster
	end     time.Time

	mu sync.Mutex
	// acked holds when each value was acknowledged.
	acked  []time.Time
	broken int
	reads  int
}

// playOldReads lets replicas fall behind while clients read at a bounded staleness.
func playOldReads(r *record, trouble bool) error {
	c, err := newCluster(r, staleFronts, staleFrontMemoryMb)
	if err != nil {
		return err
	}
	defer c.stop()
	g, err := newReplicatedGroup(r, c)
	if err != nil {
		return err
	}
	defer close(g.stopped)
	g.bare = true
	platform, err := c.startWith(g, staleConfiguration(g.maxConn))
	if err != nil {
		return err
	}
	defer platform.server.Close()
	g.announce(g.databases)
	if err := c.awaitReady(); err != nil {
		return err
	}
	if trouble {
		time.AfterFunc(calmTime, func() { g.setLag(lagTime) })
		time.AfterFunc(calmTime+lagSpell, func() { g.setLag(0) })
	}
	n := &counter{r: r, cluster: c, end: time.Now().Add(calmTime + lagSpell + calmTime)}
	n.play()
	r.say("%d values written, %d reads, %d of them too old", len(n.acked), n.reads, n.broken)
	if n.broken > 0 {
		return fmt.Errorf("%w: STALE: %d reads without a commit that was acknowledged over %v before", errBroken, n.broken, maxStaleness)
	}
	return nil
}

func (g *group) setLag(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lag = d
	g.r.say("the replicas are %v late", d)
}

func (n *counter) play() {
	var wg sync.WaitGroup
	wg.Go(func() { n.each(n.cluster.fronts[0], databaseName, n.write) })
	for _, m := range n.cluster.fronts {
		wg.Go(func() { n.each(m, "looks", n.read) })
	}
	wg.Wait()
}

// each runs an operation at intervals, on one session as long as it lasts.
func (n *counter) each(m *machine, database string, operation func(*machine, *session) error) {
	for time.Now().Before(n.end) {
		s, err := openSession(m, database)
		if err != nil {
			time.Sleep(retryPause)
			continue
		}
		for time.Now().Before(n.end) && operation(m, s) == nil {
			time.Sleep(readInterval)
		}
		s.conn.Close()
	}
}

func (n *counter) write(_ *machine, s *session) error {
	id := newID()
	n.mu.Lock()
	value := len(n.acked)
	n.mu.Unlock()
	a, err := s.query(id, fmt.Sprintf("WRITE %s %d", counterItem, value))
	if err != nil || !a.succeeded() {
		n.r.note("the write %s of %d: %s %s %v", id, value, a.code, a.text, err)
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.acked = append(n.acked, time.Now())
	n.r.note("%d is acknowledged", value)
	return nil
}

func (n *counter) read(m *machine, s *session) error {
	sent := time.Now()
	a, err := s.query(newID(), "READ "+counterItem)
	if err != nil || !a.succeeded() {
		return err
	}
	value := -1
	if len(a.rows) == 1 {
		if value, err = strconv.Atoi(a.rows[0]); err != nil {
			return err
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reads++
	required := -1
	for i, at := range n.acked {
		if at.Before(sent.Add(-maxStaleness)) {
			required = i
		}
	}
	n.r.note("%s reads %d with signature %s; %d was acknowledged %v before", m.name, value, a.signature, required, maxStaleness)
	if value < required {
		n.broken++
	}
	return nil
}
