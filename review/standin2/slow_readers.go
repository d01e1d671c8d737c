package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case with slow readers.
const (
	// crowdFronts are the fronts of a small deployment after machines were added.
	crowdFronts        = 6
	crowdFrontMemoryMb = 411
	crowdSessions      = 300
	crowdWaves         = 3
	// rowBytes is the length of a row below the largest message.
	rowBytes = 1_000_000
	// slowTime is how long a slow reader doesn't read on.
	slowTime = 9 * time.Second
	// crowdPause is the pause of a caller after a refusal.
	crowdPause = 400 * time.Millisecond
	// crowdTime limits one wave.
	crowdTime = 12 * time.Second
	// maxEnds is how often the processes of a machine may end by themselves, maxMachines on
	// how many machines.
	maxEnds, maxMachines = 3, 2
)

const largeItem = "map"

// tenants are the organisations of the configuration, with a key each.
var tenants = map[string]string{
	"miny420": "bkf83fgfwrz56aw63is4", "hira118": "7dqiqrh4jcda9rgy35i0", "tole77": "q83jdm2vx0wfh6t1n5zk",
}

// crowdConfiguration returns a configuration with organisations.
func crowdConfiguration(maxConns int) map[string]any {
	body := configuration("primary", maxConns)
	route := body["routes"].([]map[string]any)[0]
	route["timeoutMs"], route["targetLatencyMs"] = 2000, 1000
	var list []map[string]any
	for name, key := range tenants {
		list = append(list, map[string]any{"name": name, "apiKeys": []string{key}, "priority": 1, "ratePerS": 350, "burst": 350})
	}
	body["tenants"] = list
	return body
}

// crowd counts what the callers of a wave got.
type crowd struct {
	r              *record
	slow           bool
	served, failed atomic.Int64
}

// playSlowReaders lets crowds of callers stop reading in the middle of an answer.
func playSlowReaders(r *record, trouble bool) error {
	c, err := newCluster(r, crowdFronts, crowdFrontMemoryMb)
	if err != nil {
		return err
	}
	defer c.stop()
	g, err := newCrowdGroup(r, c)
	if err != nil {
		return err
	}
	defer close(g.stopped)
	g.answers[largeItem] = []string{randomText(rowBytes)}
	platform := &cloud{r: r, group: g}
	platform.serve(c.cloudAddr())
	defer platform.server.Close()
	if err := c.start(); err != nil {
		return err
	}
	if err := putConfig(r, c.controlAddrs(), crowdConfiguration(g.maxConn)); err != nil {
		return err
	}
	for i, d := range g.databases {
		go d.sendHeartbeats(time.Duration(i) * 200 * time.Millisecond)
	}
	go g.replicate()
	// The fronts of the other zones than the primary's.
	targets := []*machine{c.fronts[1], c.fronts[2]}
	for wave := range crowdWaves {
		if err := c.awaitReady(); err != nil {
			return err
		}
		if wave == 0 {
			time.Sleep(calmTime)
		}
		w := &crowd{r: r, slow: trouble}
		r.say("wave %d: %d callers at each of %s and %s", wave+1, crowdSessions, targets[0].name, targets[1].name)
		w.play(targets)
		r.say("wave %d: %d callers served, %d not", wave+1, w.served.Load(), w.failed.Load())
	}
	return checkMemory(r, c)
}

func newCrowdGroup(r *record, c *cluster) (*group, error) {
	g := &group{
		r: r, name: serviceName, slots: 3, work: 8 * time.Millisecond, maxConn: 21, promoteTime: 600 * time.Millisecond,
		control: c.controlAddrs(), stopped: make(chan struct{}), term: 1, answers: map[string][]string{},
	}
	for i, role := range []string{rolePrimary, roleReplica, roleReplica} {
		if _, err := g.add(fmt.Sprintf("i-%d", i+1), zones[i], c.address(firstDatabaseHost+i), role); err != nil {
			return nil, err
		}
	}
	return g, nil
}

func randomText(n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789+/"
	text := make([]byte, n)
	for i := range text {
		text[i] = letters[rand.IntN(len(letters))]
	}
	return string(text)
}

// play lets all callers of a wave come at once, and returns when they have left.
func (w *crowd) play(targets []*machine) {
	var wg sync.WaitGroup
	end := time.Now().Add(crowdTime)
	for _, m := range targets {
		for i := range crowdSessions {
			wg.Go(func() { w.call(m, i, end) })
		}
	}
	wg.Wait()
}

// call tries until it gets an answer with rows.
func (w *crowd) call(m *machine, i int, end time.Time) {
	keys := make([]string, 0, len(tenants))
	for _, key := range tenants {
		keys = append(keys, key)
	}
	for time.Now().Before(end) {
		s, err := openSession(fmt.Sprintf("%s:%d", m.ip, frontPort), databaseName, keys[i%len(keys)], true)
		if err == nil {
			err = w.read(s, end)
			s.conn.Close()
		}
		if err == nil {
			w.served.Add(1)
			return
		}
		w.r.note("caller %d of %s: %v", i, m.name, err)
		if !errors.Is(err, errRefused) {
			break
		}
		time.Sleep(crowdPause)
	}
	w.failed.Add(1)
}

// errRefused means that the statement was refused.
var errRefused = errors.New("refused")

// read sends a READ and reads its answer. A slow reader stops after the first bytes for
// some time.
func (w *crowd) read(s *session, end time.Time) error {
	if err := s.send("QUERY " + newID() + " READ " + largeItem); err != nil {
		return err
	}
	first, err := s.in.Peek(len("ROW"))
	if err != nil {
		return err
	}
	if w.slow && string(first) == "ROW" {
		time.Sleep(min(slowTime, time.Until(end)))
		return nil
	}
	if err := s.conn.SetDeadline(end); err != nil {
		return err
	}
	a, err := s.receive()
	switch {
	case err != nil:
		return err
	case !a.succeeded():
		return fmt.Errorf("%w: %s %s", errRefused, a.code, a.text)
	case len(a.rows) != 1 || len(a.rows[0]) != rowBytes:
		return errors.New("the answer is incomplete")
	}
	return nil
}

// checkMemory checks that no process was killed for using more than the memory of its
// machine as often as the rule on faults says.
func checkMemory(r *record, c *cluster) error {
	bad, ends := 0, 0
	for _, m := range append(append([]*machine{}, c.core...), c.fronts...) {
		over, peak := m.memory()
		r.say("%s: at most %d MB of %d, killed for its memory %d times", m.name, peak, m.memoryMb, over)
		ends += over
		if over >= maxEnds {
			bad++
		}
	}
	if bad >= maxMachines {
		return fmt.Errorf("%w: Fault: the processes of %d machines ended by themselves %d times", errBroken, bad, ends)
	}
	return nil
}
