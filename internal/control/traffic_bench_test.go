package control_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// countedConn counts the bytes of a connection in both directions.
type countedConn struct {
	net.Conn
	counters []*atomic.Int64
}

func (c countedConn) count(n int) {
	for _, counter := range c.counters {
		counter.Add(int64(n))
	}
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count(n)
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count(n)
	return n, err
}

// counted returns a dialer that counts the traffic of e at both ends.
func (d *deployment) counted(e *entryNode) func(ctx context.Context, network, addr string) (net.Conn, error) {
	dial := d.net.Dialer(e.zone, string(e.id))
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		counters := []*atomic.Int64{&e.bytes}
		for _, other := range d.entries {
			if other.addr() == addr {
				counters = append(counters, &other.bytes)
			}
		}
		return countedConn{conn, counters}, nil
	}
}

// BenchmarkTraffic measures the control traffic of idle entry instances, to other
// instances and to databases, in bytes per second: at the busiest voter and at the
// busiest other instance. Run it with -benchtime 1x.
func BenchmarkTraffic(b *testing.B) {
	for _, size := range []struct{ entries, groups int }{{4, 1}, {8, 1}, {16, 1}, {4, 3}, {4, 6}} {
		b.Run(fmt.Sprintf("instances=%d/databases=%d", size.entries, 3*size.groups), func(b *testing.B) {
			const voters = 3
			d := deploy(b, deployOptions{entries: size.entries, voters: voters})
			for i := 1; i < size.groups; i++ {
				for j, name := range []string{"a", "b", "c"} {
					d.startDatabaseOf(topo.GroupID(fmt.Sprintf("other-%d", i)), name, j)
				}
			}
			const span = 5 * time.Second
			time.Sleep(time.Second)
			var before []int64
			for _, e := range d.entries {
				before = append(before, e.bytes.Load())
			}
			time.Sleep(span)
			var rates []float64
			for i, e := range d.entries {
				rates = append(rates, float64(e.bytes.Load()-before[i])/span.Seconds())
			}
			b.ReportMetric(slices.Max(rates[:voters]), "voter-B/s")
			b.ReportMetric(slices.Max(rates[voters:]), "other-B/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}
