package main

import (
	"fmt"
	"sync"
	"time"
)

// Figures of the case with a slow platform.
const (
	lateFronts        = 4
	lateFrontMemoryMb = 544
	lateWriters       = 16
	writePause        = 20 * time.Millisecond
	retryPause        = 100 * time.Millisecond
	// calmTime is the traffic before the release, observedTime the one after it.
	calmTime     = 4 * time.Second
	observedTime = 14 * time.Second
	// slowSpell is how long the platform is slow from the first call on. A call that
	// arrives meanwhile is handled after slowHandling.
	slowSpell    = 3900 * time.Millisecond
	slowHandling = 5 * time.Second
)

const (
	serviceName  = "ledger1"
	databaseName = "kits"
)

// configuration returns a configuration with one route.
func configuration(routeType string, maxConns int) map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "r-1", "database": databaseName, "pathPrefix": "/", "routeType": routeType, "timeoutMs": 1000,
			"targetLatencyMs": 200, "priority": 0, "service": serviceName, "maxAttempts": 2, "public": false,
		}},
		"services": []map[string]any{{
			"name": serviceName, "healthPath": "/health", "maxConns": maxConns, "protocol": "h1", "tls": false, "syncReplicas": 0,
		}},
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "txIdleMs": 3000,
		},
	}
}

// acknowledgement is a success that a client received for a write.
type acknowledgement struct {
	at    time.Time
	front string
}

// writers are clients that write. Each write is an operation of its own, with a new id.
type writers struct {
	r       *record
	cluster *cluster
	stop    chan struct{}
	wg      sync.WaitGroup

	mu    sync.Mutex
	acked map[string]acknowledgement
}

func (w *writers) start(n int) {
	for i := range n {
		w.wg.Go(func() { w.run(i) })
	}
}

func (w *writers) stopped() bool {
	select {
	case <-w.stop:
		return true
	default:
		return false
	}
}

func (w *writers) run(i int) {
	for next := i; !w.stopped(); next++ {
		m := w.cluster.fronts[next%len(w.cluster.fronts)]
		s, err := openSession(m, databaseName)
		if err != nil {
			time.Sleep(retryPause)
			continue
		}
		w.writeOn(s, m, i)
		s.conn.Close()
	}
}

// writeOn writes until the session fails or the writers are stopped.
func (w *writers) writeOn(s *session, m *machine, i int) {
	for !w.stopped() {
		id := newID()
		text := fmt.Sprintf("WRITE item%d %s", i, id)
		w.r.note("client %d sends %s %s to %s", i, id, text, m.name)
		a, err := s.query(id, text)
		switch {
		case err != nil:
			w.r.note("client %d gets no answer to %s: %v", i, id, err)
			return
		case a.succeeded():
			w.r.note("client %d gets COMPLETE %s for %s", i, a.signature, id)
			w.mu.Lock()
			w.acked[id] = acknowledgement{time.Now(), m.name}
			w.mu.Unlock()
			time.Sleep(writePause)
		default:
			w.r.note("client %d gets ERROR %s %s for %s", i, a.code, a.text, id)
			time.Sleep(retryPause)
		}
	}
}

// playLatePromote releases a primary while the platform is slow.
func playLatePromote(r *record, trouble bool) error {
	c, err := newCluster(r, lateFronts, lateFrontMemoryMb)
	if err != nil {
		return err
	}
	defer c.stop()
	g, primary, last, err := newLateGroup(r, c)
	if err != nil {
		return err
	}
	defer close(g.stopped)
	platform, err := c.startWith(g, configuration("primary", g.maxConn))
	if err != nil {
		return err
	}
	defer platform.server.Close()
	g.announce(g.databases)
	if err := c.awaitReady(); err != nil {
		return err
	}
	w := &writers{r: r, cluster: c, stop: make(chan struct{}), acked: map[string]acknowledgement{}}
	w.start(lateWriters)
	time.Sleep(calmTime)
	if trouble {
		platform.mu.Lock()
		platform.slowFor, platform.slowBy = slowSpell, slowHandling
		platform.mu.Unlock()
		r.say("from the next call on the platform is slow for %v", slowSpell)
	}
	last.awaitHeartbeat()
	primary.leave()
	time.Sleep(observedTime)
	close(w.stop)
	w.wg.Wait()
	return checkOnePrimary(r, g, w.acked)
}

// newLateGroup returns a group whose primary is to be released, with the successor that
// was started first. last is the replica whose heartbeat comes last before the release.
func newLateGroup(r *record, c *cluster) (g *group, primary, last *database, err error) {
	g = &group{
		r: r, name: serviceName, slots: 3, work: 8 * time.Millisecond, maxConn: 21, promoteTime: 600 * time.Millisecond,
		control: c.controlAddrs(), stopped: make(chan struct{}), term: 1,
	}
	for i, d := range []struct{ id, role string }{
		{"i-5f3a91c2", rolePrimary}, {"i-1b07e4d8", roleReplica}, {"i-3c9d5512", roleReplica}, {"i-9e44a0f6", roleReplica},
	} {
		if last, err = g.add(d.id, zones[i%len(zones)], c.address(firstDatabaseHost+i), d.role); err != nil {
			return nil, nil, nil, err
		}
		if d.role == rolePrimary {
			primary = last
		}
	}
	return g, primary, last, nil
}

// awaitHeartbeat returns shortly after the database's next heartbeat.
func (d *database) awaitHeartbeat() {
	const poll, settle = 5 * time.Millisecond, 250 * time.Millisecond
	sent := func() int {
		d.group.mu.Lock()
		defer d.group.mu.Unlock()
		return d.seq
	}
	for before := sent(); sent() == before; {
		time.Sleep(poll)
	}
	time.Sleep(settle)
}

// checkOnePrimary checks the rule ONE: no write is committed at an old primary after a
// promote has taken effect, and acknowledged to its client.
func checkOnePrimary(r *record, g *group, acked map[string]acknowledgement) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	kept := map[string]bool{}
	for _, e := range g.leader.log {
		kept[e.id] = true
	}
	lost := 0
	for id := range acked {
		if !kept[id] {
			lost++
		}
	}
	broken := 0
	for _, e := range g.commits {
		ack, acknowledged := acked[e.id]
		later, late := g.promotedBefore(e)
		if !acknowledged || !late {
			continue
		}
		broken++
		const shown = 5
		if broken <= shown {
			r.say("write %s was committed at %s at %.3f, after %s had led term %d from %.3f on, and acknowledged by %s at %.3f",
				e.id, e.db.id, r.at(e.at), later.db.id, later.term, r.at(later.at), ack.front, r.at(ack.at))
		}
	}
	r.say("%d writes acknowledged, %d of them rolled back by a promote, %d promotions", len(acked), lost, len(g.promotions))
	if broken > 0 {
		return fmt.Errorf("%w: ONE: %d writes committed at an old primary after a promote, and acknowledged", errBroken, broken)
	}
	return nil
}

// promotedBefore returns a promotion of another database to a later term that had taken
// effect before the commit. The caller holds the lock.
func (g *group) promotedBefore(e *commit) (p promotion, found bool) {
	for _, p := range g.promotions {
		if p.db != e.db && p.term > e.term && p.at.Before(e.at) {
			return p, true
		}
	}
	return promotion{}, false
}
