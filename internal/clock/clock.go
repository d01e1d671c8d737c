// Package clock is the time source for the expiry of leases and for the age of
// data.
//
// Go's monotonic clock stops while the machine is suspended. An instance that
// resumes would still use a lease that has expired for all others. The clock of
// this package includes the time of suspension and is not affected by changes
// of the wall clock.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// processStart holds the readings of the wall clock and of CLOCK_BOOTTIME at
// the start of the process.
var processStart = struct {
	wall time.Time
	boot time.Duration
}{time.Now().Round(0), sinceBoot()}

// Now returns the wall clock time at the start of the process plus the time
// since then, including suspensions. Readings can be compared within one
// process, but not between processes.
func Now() time.Time { return processStart.wall.Add(sinceBoot() - processStart.boot) }

// Since returns the time elapsed since t, which is a reading of Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time until t, which is on the time scale of Now.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Sleep waits for d. It returns false if ctx ends first.
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
