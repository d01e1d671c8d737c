package node

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/examples"
	"github.com/cicadacove/cicadacove/internal/core/questionnaire"
	"github.com/cicadacove/cicadacove/internal/core/revision"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/entry"
	"github.com/cicadacove/cicadacove/internal/voter/disk"
)

const (
	nodeCount   = 3
	changeCount = 500
	testTimeout = 60 * time.Second
)

// deployment is a set of three processes, each with a voter and a disk.
type deployment struct {
	t      testing.TB
	dir    string
	addrs  []string
	nodes  []*Node
	stores []*disk.Store
	ctx    context.Context
}

// start starts all processes. The first start uses free ports; later ones
// reuse the peer addresses.
func (d *deployment) start() {
	peers := make([]net.Listener, nodeCount)
	for i := range peers {
		addr := "127.0.0.1:0"
		if len(d.addrs) == nodeCount {
			addr = d.addrs[i]
		}
		peers[i] = d.listen(addr)
	}
	d.addrs, d.nodes, d.stores = nil, nil, nil
	for _, l := range peers {
		d.addrs = append(d.addrs, l.Addr().String())
	}
	for i, l := range peers {
		store, err := disk.Open(filepath.Join(d.dir, fmt.Sprint(i)))
		require.NoError(d.t, err)
		n, err := Start(d.ctx, Options{
			ID: topo.InstanceID(fmt.Sprint("entry-", i)), Zone: "a", Voters: d.addrs, Store: store,
			Callers: d.listen("127.0.0.1:0"), Peers: l, Admin: d.listen("127.0.0.1:0"),
			PeerSecret: []byte("0123456789abcdef"), TokenKey: []byte("0123456789abcdef"), Limits: entry.DefaultLimits(),
		})
		require.NoError(d.t, err)
		d.nodes, d.stores = append(d.nodes, n), append(d.stores, store)
	}
}

func (d *deployment) listen(addr string) net.Listener {
	l, err := net.Listen("tcp", addr)
	require.NoError(d.t, err)
	return l
}

// kill ends all processes like a power failure.
func (d *deployment) kill() {
	for i, n := range d.nodes {
		n.Kill()
		d.stores[i].Close()
	}
	d.nodes = nil
}

func (d *deployment) waitRevision(rev uint64) {
	for _, n := range d.nodes {
		for {
			changed := n.Agent.Changed()
			if n.Agent.Config().Revision >= rev {
				break
			}
			select {
			case <-changed:
			case <-d.ctx.Done():
				require.FailNow(d.t, "the revision is not active before the deadline", "%s has revision %d", n.ID(), n.Agent.Config().Revision)
			}
		}
	}
}

func amendCommand(n int) revision.Command {
	return revision.Command{
		Rules: revision.RulesVersion, RequestID: fmt.Sprint("change ", n), BaseRevision: uint64(n), Actor: "ada", Team: "selam", At: time.Now(),
		Change: revision.Change{Kind: revision.AmendAnswers, ContractID: "selam-hire-ledger", Set: []questionnaire.Setting{{Answer: "stock.wait", Value: fmt.Sprintf("%dms", 1000+n)}}},
	}
}

// putSelamContract returns the command that puts the first contract.
func putSelamContract(t testing.TB) revision.Command {
	data, err := examples.Answers("selam")
	require.NoError(t, err)
	answers, err := questionnaire.Parse(data)
	require.NoError(t, err)
	put := amendCommand(0)
	put.Change = revision.Change{Kind: revision.PutAnswers, Answers: answers}
	return put
}

// TestRestartAfterManyChanges kills all processes after 500 changes and
// restarts them from their disks. The last revision must be active at all of
// them, and a resent change must get its first result.
func TestRestartAfterManyChanges(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	d := &deployment{t: t, dir: t.TempDir(), ctx: ctx}
	d.start()
	_, err := d.nodes[0].Configurator().Propose(ctx, putSelamContract(t))
	require.NoError(t, err)

	var last revision.Result
	began := time.Now()
	for n := 1; n <= changeCount; n++ {
		last, err = d.nodes[n%nodeCount].Configurator().Propose(ctx, amendCommand(n))
		require.NoError(t, err)
		require.Equal(t, revision.Accepted, last.Kind)
	}
	t.Logf("%d changes in %v", changeCount, time.Since(began).Round(time.Millisecond))

	d.kill()
	began = time.Now()
	d.start()
	opened := time.Since(began)
	again, err := d.nodes[0].Configurator().Propose(ctx, amendCommand(changeCount))
	require.NoError(t, err)
	answered := time.Since(began)
	require.Equal(t, last, again)
	d.waitRevision(last.Revision)
	t.Logf("restart: %v until the disks are read, %v until a resend is answered, %v until the revision is active everywhere",
		opened.Round(time.Millisecond), answered.Round(time.Millisecond), time.Since(began).Round(time.Millisecond))
	view, err := d.nodes[1].Configurator().View(ctx)
	require.NoError(t, err)
	require.Equal(t, uint64(changeCount+1), view.Revision)
	d.kill()
}
