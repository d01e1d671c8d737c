package engine

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/core/catalog"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/peer"
)

// samplingZone is an availability zone of entry instances whose reads accept data
// up to a second old. The first one is the sampler.
type samplingZone struct {
	db      *fakeGroup
	engines []*Engine[*fakeConn]
	servers []*peer.Server
	// queries counts the queries of the primary's position.
	queries atomic.Int64
}

func startSamplingZone(t *testing.T, instances int, sampled bool) *samplingZone {
	z := &samplingZone{db: newFakeGroup()}
	z.db.fail = func(_ topo.UpstreamID, st Statement) failure {
		if st.Verb == Reset {
			z.queries.Add(1)
		}
		return none
	}
	var sampler string
	for i := range instances {
		e := newEngine(z.db)
		c := *e.opts.Catalog()
		route := c.Routes["old"]
		route.Service.MaxAge = time.Second
		c.Routes = map[string]catalog.Route{"old": route}
		e.opts.Catalog = func() *catalog.Catalog { return &c }
		server, client := peer.NewServer(peer.Options{}), peer.NewClient(peer.Options{})
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		go func() { _ = server.Serve(ln) }()
		if i == 0 {
			sampler = ln.Addr().String()
		}
		e.opts.Peers = Peers{Client: client, Server: server}
		if i > 0 && sampled {
			e.opts.Peers.Sampler = func() string { return sampler }
		}
		e.handlePeers()
		go func() { _ = e.Run(t.Context()) }()
		t.Cleanup(func() { client.Close(); _ = server.Close() })
		z.engines, z.servers = append(z.engines, e), append(z.servers, server)
	}
	return z
}

// load reads at all instances for a while and returns the number of reads that were
// not done.
func (z *samplingZone) load(t *testing.T, d time.Duration) (refused int64) {
	var failed atomic.Int64
	var callers sync.WaitGroup
	for _, e := range z.engines {
		c := open(t, e, "old")
		callers.Go(func() {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				if c.read("x").Outcome.Kind != outcome.Done {
					failed.Add(1)
				}
			}
		})
	}
	callers.Wait()
	return failed.Load()
}

// Reads of 20 instances that share a primary: with a sampler the primary is asked
// some times a second, not by each instance.
func TestZoneAsksThePrimaryThroughItsSampler(t *testing.T) {
	const instances, runFor = 20, 3 * time.Second
	queries := func(sampled bool) int64 {
		z := startSamplingZone(t, instances, sampled)
		require.Zero(t, z.load(t, time.Second), "every read is served")
		before := z.queries.Load()
		require.Zero(t, z.load(t, runFor), "every read is served")
		return z.queries.Load() - before
	}
	each, sampled := queries(false), queries(true)
	require.GreaterOrEqual(t, each, int64(instances*3), "each instance asks about twice a second")
	require.LessOrEqual(t, sampled, each/4)
}

func TestReadsGoOnWithoutTheSampler(t *testing.T) {
	z := startSamplingZone(t, 6, true)
	require.Zero(t, z.load(t, time.Second))
	require.NoError(t, z.servers[0].Close())
	require.Zero(t, z.load(t, 2*time.Second), "the instances ask the primary themselves")
}
