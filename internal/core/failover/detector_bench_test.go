package failover

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
)

// BenchmarkFalseAlarms counts how often a healthy primary is suspected when
// checks and the evidence of them are lost independently of each other, over
// simulated days. Run it with -benchtime 1x.
func BenchmarkFalseAlarms(b *testing.B) {
	for _, silence := range []int{300, 450, 600, 900} {
		for _, percent := range []int{1, 5, 10, 20} {
			b.Run(fmt.Sprintf("silence=%dms/loss=%d%%", silence, percent), func(b *testing.B) {
				const days = 2
				alarms := falseAlarms(silence, float64(percent)/100, days)
				b.ReportMetric(float64(alarms)/days, "alarms/day")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// checker is one instance that checks the primary.
type checker struct {
	key ctlstate.MemberKey
	// next is when its next check starts, failsAt when the running one times
	// out, told when it last told that it reached the primary; in ms.
	next, failsAt, told int
}

// falseAlarms simulates four instances with the default times of checks.
func falseAlarms(silence int, loss float64, days int) int {
	const tick, interval, timeout, day = 25, 150, 300, 24 * 3600 * 1000
	r := rand.New(rand.NewPCG(1, uint64(silence)))
	lost := func() bool { return r.Float64() < loss }
	span := time.Duration(silence) * time.Millisecond
	d := NewDetector(DetectorTiming{Silence: span, Fresh: span + timeout*time.Millisecond, Minority: time.Hour})
	var checkers []*checker
	for i, m := range live {
		checkers = append(checkers, &checker{key: m, next: i * interval / len(live), told: -day})
	}
	alarms := 0
	d.Watch(g, 1, at(0))
	for now := 0; now < days*day; now += tick {
		for _, c := range checkers {
			c.step(d, now, silence, interval, timeout, lost)
		}
		if d.Suspected(g, live, at(now)) {
			alarms++
			d = NewDetector(d.timing)
			d.Watch(g, 1, at(now))
		}
	}
	return alarms
}

func (c *checker) step(d *Detector, now, silence, interval, timeout int, lost func() bool) {
	if c.failsAt > 0 && now >= c.failsAt {
		c.failsAt = 0
		c.told = -silence
		if !lost() {
			d.Failed(g, 1, c.key, at(now))
		}
	}
	if now < c.next || c.failsAt > 0 {
		return
	}
	c.next = now + interval
	if lost() {
		c.failsAt = now + timeout
		return
	}
	if now-c.told < silence/2 {
		return
	}
	c.told = now
	if !lost() {
		d.Reached(g, 1, c.key, at(now))
	}
}
