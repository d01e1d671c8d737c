package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case with long prepared statements.
const (
	shapeFronts        = 4
	shapeFrontMemoryMb = 414
	// shapeCallers is the number of callers at one front at a time, shapeSessions how many
	// sessions each of them opens in a wave, one after the other.
	shapeCallers  = 10
	shapeSessions = 120
	shapeWaves    = 3
	// longShape is the length of a shape. The message that prepares it for a client, and
	// the one that prepares it at a database under a name with the shape, are legal.
	longShape  = 500_000
	shortShape = 40
)

// playLongShapes lets callers prepare statements that differ, and end their sessions.
func playLongShapes(r *record, trouble bool) error {
	c, err := newCluster(r, shapeFronts, shapeFrontMemoryMb)
	if err != nil {
		return err
	}
	defer c.stop()
	g, err := newReplicatedGroup(r, c)
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
	length := shortShape
	if trouble {
		length = longShape
	}
	targets := []*machine{c.fronts[1], c.fronts[2]}
	for wave := range shapeWaves {
		if err := c.awaitReady(); err != nil {
			return err
		}
		time.Sleep(calmTime)
		w := &preparers{r: r, filler: randomText(length)}
		r.say("wave %d: %d callers at each of %s and %s prepare shapes of %d bytes, a session each", wave+1, shapeCallers, targets[0].name, targets[1].name, length)
		w.play(targets)
		r.say("wave %d: %d sessions served, %d not", wave+1, w.served.Load(), w.failed.Load())
	}
	return checkMemory(r, c)
}

// preparers are callers that open many sessions with one prepared statement each.
type preparers struct {
	r              *record
	filler         string
	served, failed atomic.Int64
}

func (w *preparers) play(targets []*machine) {
	var wg sync.WaitGroup
	for _, m := range targets {
		for i := range shapeCallers {
			wg.Go(func() { w.call(m, i) })
		}
	}
	wg.Wait()
}

// call opens sessions until the front ends.
func (w *preparers) call(m *machine, i int) {
	ends, _ := m.memory()
	for range shapeSessions {
		if now, _ := m.memory(); now > ends {
			return
		}
		err := w.session(m)
		if err != nil {
			w.failed.Add(1)
			w.r.note("caller %d of %s: %v", i, m.name, err)
			time.Sleep(retryPause)
			continue
		}
		w.served.Add(1)
	}
}

// session prepares a statement, executes it and leaves.
func (w *preparers) session(m *machine) error {
	s, err := openSession(m, databaseName)
	if err != nil {
		return err
	}
	defer s.conn.Close()
	shape := newID()
	shape += w.filler[:len(w.filler)-len(shape)]
	a, err := s.query(newID(), "PREPARE s READ "+shape)
	if err != nil || a.code != "" {
		return fmt.Errorf("PREPARE: %s %s %w", a.code, a.text, err)
	}
	a, err = s.query(newID(), "EXECUTE s item1")
	if err != nil || !a.succeeded() {
		return fmt.Errorf("EXECUTE: %s %.80s %w", a.code, strings.TrimSpace(a.text), err)
	}
	return s.send("TERMINATE")
}
