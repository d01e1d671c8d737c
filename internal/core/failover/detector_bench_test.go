package failover

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
)

// BenchmarkFalseAlarms counts how often a healthy primary is suspected when
// probes and the reports of their results are lost independently of each other,
// over simulated days. Run it with -benchtime 1x.
func BenchmarkFalseAlarms(b *testing.B) {
	for _, silence := range []int{300, 450, 600, 900} {
		for _, percent := range []int{1, 5, 10, 20} {
			b.Run(fmt.Sprintf("silence=%dms/loss=%d%%", silence, percent), func(b *testing.B) {
				const days = 2
				alarms := countFalseAlarms(silence, float64(percent)/100, days)
				b.ReportMetric(float64(alarms)/days, "alarms/day")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// prober is one instance that probes the primary.
type prober struct {
	key ctlstate.MemberKey
	// next is when its next probe starts, failsAt is when the running probe times
	// out, and reportedAt is when it last reported that it reached the primary,
	// all in ms.
	next, failsAt, reportedAt int
}

// countFalseAlarms simulates four instances with the default probe timing.
func countFalseAlarms(silence int, loss float64, days int) int {
	const tick, interval, timeout, day = 25, 150, 300, 24 * 3600 * 1000
	r := rand.New(rand.NewPCG(1, uint64(silence)))
	lost := func() bool { return r.Float64() < loss }
	span := time.Duration(silence) * time.Millisecond
	d := NewDetector(DetectorTiming{Silence: span, EvidenceTTL: span + timeout*time.Millisecond, Minority: time.Hour})
	var probers []*prober
	for i, m := range live {
		probers = append(probers, &prober{key: m, next: i * interval / len(live), reportedAt: -day})
	}
	alarms := 0
	d.Watch(g, 1, at(0))
	for now := 0; now < days*day; now += tick {
		for _, c := range probers {
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

func (c *prober) step(d *Detector, now, silence, interval, timeout int, lost func() bool) {
	if c.failsAt > 0 && now >= c.failsAt {
		c.failsAt = 0
		c.reportedAt = -silence
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
	if now-c.reportedAt < silence/2 {
		return
	}
	c.reportedAt = now
	if !lost() {
		d.Reached(g, 1, c.key, at(now))
	}
}
