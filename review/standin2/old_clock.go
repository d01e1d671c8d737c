package main

import (
	"errors"
	"fmt"
	"time"
)

// Figures of the case with a clock that jumped.
const (
	// clockStep is by how much the clock of a database's host is ahead.
	clockStep = 2400 * time.Millisecond
	// upTime is how long the database runs before it crashes for crashTime.
	upTime    = 1500 * time.Millisecond
	crashTime = 300 * time.Millisecond
	// drainTime is how long the database serves on after its announcement.
	drainTime = 12 * time.Second
)

// playOldClock lets a database start twice while the clock of its host jumps, and drain
// later.
func playOldClock(r *record, trouble bool) error {
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
	platform, err := c.startWith(g, staleConfiguration(g.maxConn))
	if err != nil {
		return err
	}
	defer platform.server.Close()
	g.announce(g.databases[:2])
	if err := c.awaitReady(); err != nil {
		return err
	}
	n := &counter{r: r, cluster: c, end: time.Now().Add(upTime + crashTime + calmTime + drainTime)}
	replica := g.databases[2]
	failed := make(chan error, 1)
	go func() { failed <- replica.live(trouble) }()
	n.play()
	if err := <-failed; err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	r.say("%d reads; %d reached %s later than %v after the acknowledgement", n.reads, replica.lateReads, replica.id, drainLimit)
	if replica.drainAcked.IsZero() {
		return errors.New("the heartbeat that says that the database drains was not acknowledged")
	}
	if replica.lateReads > 0 {
		return fmt.Errorf("%w: DRAIN: %d reads reached a draining database too late", errBroken, replica.lateReads)
	}
	return nil
}

// live lets a database start, crash, start again and drain. The clock of its host is
// ahead at its first start if stepped is set, and right at the second one.
func (d *database) live(stepped bool) error {
	d.group.mu.Lock()
	d.born = time.Now().UnixMilli()
	if stepped {
		d.born += clockStep.Milliseconds()
	}
	d.group.r.say("%s starts; born %d", d.id, d.born)
	d.group.mu.Unlock()
	go d.sendHeartbeats(0)
	time.Sleep(upTime)
	if err := d.crash(crashTime, func() int64 { return time.Now().UnixMilli() }); err != nil {
		return err
	}
	time.Sleep(calmTime)
	d.leave()
	return nil
}
