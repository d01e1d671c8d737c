// Package clock is the time source of everything that counts leases and ages.
//
// Go's monotonic clock stands still while the machine is suspended. An
// instance that wakes up would still trust a lease that has run out for
// everybody else. Now counts that time, and it ignores jumps of the time of
// day.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// base is the reading of both clocks at the start of the process.
var base = struct {
	wall time.Time
	boot time.Duration
}{time.Now().Round(0), sinceBoot()}

// Now returns the time since the start of the process, suspensions included,
// added to the time of day at its start. Readings of one process compare with
// each other; those of different processes do not.
func Now() time.Time { return base.wall.Add(sinceBoot() - base.boot) }

// Since returns the time that has passed since a reading of Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time left until a reading of Now.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Sleep waits for a time and returns false when ctx ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
