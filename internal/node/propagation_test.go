package node

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/agent"
	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/revision"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/dbcontrol"
	"github.com/cicadacove/cicadacove/internal/peer"
)

// configReceivers are agents without callers and databases: the part of an
// entry instance that receives the configuration.
type configReceivers struct {
	agents []*agent.Agent
	// bytesRead is the number of bytes that the agents' connections have read.
	bytesRead atomic.Int64
}

// countingConn counts the bytes read from a connection.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

func (r *configReceivers) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return countingConn{conn, &r.bytesRead}, nil
}

// add starts another agent, which ends with ctx.
func (r *configReceivers) add(b *testing.B, ctx context.Context, voters []string) {
	secret := []byte("0123456789abcdef")
	server := peer.NewServer(peer.Options{Secret: secret})
	client := peer.NewClient(peer.Options{Secret: secret, Dial: r.dial})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	a, err := agent.New(agent.Options{
		Self: ctlstate.Member{
			ID: topo.InstanceID(fmt.Sprint("receiver-", len(r.agents))), Zone: "a",
			PeerAddr: l.Addr().String(), Incarnation: 1,
		},
		Voters: voters, Client: client, Server: server, Databases: dbcontrol.New(dbcontrol.Options{}),
	})
	require.NoError(b, err)
	go server.Serve(l)
	go a.Run(ctx)
	b.Cleanup(func() {
		server.Close()
		client.Close()
	})
	r.agents = append(r.agents, a)
}

// waitRevision waits until the revision is active at all agents.
func (r *configReceivers) waitRevision(b *testing.B, ctx context.Context, rev uint64) {
	for _, a := range r.agents {
		for {
			changed := a.Changed()
			if a.Config().Revision >= rev {
				break
			}
			select {
			case <-changed:
			case <-ctx.Done():
				b.Fatalf("an instance has revision %d, not %d", a.Config().Revision, rev)
			}
		}
	}
}

// BenchmarkPropagation measures, for several numbers of entry instances, the
// time from sending a change until it is active at all of them, and the bytes
// that an instance receives.
func BenchmarkPropagation(b *testing.B) {
	for _, instances := range []int{4, 50, 100, 200, 400} {
		b.Run(fmt.Sprintf("instances=%d", instances), func(b *testing.B) { benchmarkPropagation(b, instances) })
	}
}

func benchmarkPropagation(b *testing.B, instances int) {
	ctx, cancel := context.WithTimeout(b.Context(), 3*testTimeout)
	defer cancel()
	d := &deployment{t: b, dir: b.TempDir(), ctx: ctx}
	d.start()
	defer d.kill()
	config := d.nodes[0].Configurator()
	result, err := config.Propose(ctx, putSelamContract(b))
	require.NoError(b, err)
	r := &configReceivers{}
	for range instances {
		r.add(b, ctx, d.addrs)
	}
	r.waitRevision(b, ctx, result.Revision)

	readBefore, began := r.bytesRead.Load(), time.Now()
	var times []time.Duration
	for b.Loop() {
		sent := time.Now()
		result, err = config.Propose(ctx, amendCommand(int(result.Revision)))
		require.NoError(b, err)
		require.Equal(b, revision.Accepted, result.Kind)
		r.waitRevision(b, ctx, result.Revision)
		times = append(times, time.Since(sent))
	}
	seconds := time.Since(began).Seconds()
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Milliseconds()), "p50-ms")
	b.ReportMetric(float64(times[len(times)-1].Milliseconds()), "max-ms")
	b.ReportMetric(float64(r.bytesRead.Load()-readBefore)/float64(instances)/seconds, "bytes/s/instance")
}
