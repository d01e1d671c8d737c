package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Figures of the case with long ids.
const (
	idFronts        = 4
	idFrontMemoryMb = 544
	// idValues is how many session values the one client of a front sets in a wave.
	idValues = 800
	idWaves  = 3
	// longID is the length of the id of a statement. The message is shorter than 1 MiB.
	longID  = 900_000
	shortID = 16
)

// playLongIDs lets one client of a front set session values by messages with long ids.
func playLongIDs(r *record, trouble bool) error {
	c, err := newCluster(r, idFronts, idFrontMemoryMb)
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
	length := shortID
	if trouble {
		length = longID
	}
	targets := []*machine{c.fronts[1], c.fronts[2]}
	for wave := range idWaves {
		if err := c.awaitReady(); err != nil {
			return err
		}
		time.Sleep(calmTime)
		r.say("wave %d: one client at each of %s and %s sets %d values by messages with ids of %d bytes", wave+1, targets[0].name, targets[1].name, idValues, length)
		var wg sync.WaitGroup
		for _, m := range targets {
			wg.Go(func() { setValues(r, m, length) })
		}
		wg.Wait()
	}
	return checkMemory(r, c)
}

// setValues opens one session and sets values in it, each after the answer to the one
// before.
func setValues(r *record, m *machine, idLength int) {
	s, err := openSession(m, databaseName)
	if err != nil {
		r.say("client of %s: %v", m.name, err)
		return
	}
	defer s.conn.Close()
	for i := range idValues {
		id := newID()
		id += strings.Repeat("0", idLength-len(id))
		a, err := s.query(id, fmt.Sprintf("SET v%d x", i))
		if err != nil || a.code != "" {
			r.say("client of %s: value %d: %s %.80s %v", m.name, i, a.code, a.text, err)
			return
		}
	}
	r.say("client of %s: %d values set", m.name, idValues)
	a, err := s.query(newID(), "READ item1")
	r.say("client of %s: READ: signature %q, %s %.80s %v", m.name, a.signature, a.code, a.text, err)
}
