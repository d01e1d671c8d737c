package voter

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/core/replog"
	"github.com/cicadacove/cicadacove/internal/voter/disk"
)

// diskCluster runs voters that store their logs in data folders.
type diskCluster struct {
	*cluster
	folders map[string]string
}

func newDiskCluster(c *cluster) *diskCluster {
	d := &diskCluster{cluster: c, folders: map[string]string{}}
	for _, addr := range c.addrs {
		d.folders[addr] = c.t.TempDir()
		d.openFolder(addr)
	}
	c.startAll()
	return d
}

func (d *diskCluster) openFolder(addr string) *disk.Store {
	s, err := disk.Open(d.folders[addr])
	require.NoError(d.t, err)
	d.stores[addr] = s
	return s
}

func (d *diskCluster) stopAndClose(addr string) {
	require.NoError(d.t, d.stop(addr))
	require.NoError(d.t, d.stores[addr].Close())
}

// rewriteFile applies f to the only file in the folder that has the prefix.
func (d *diskCluster) rewriteFile(addr, prefix string, f func([]byte) []byte) {
	names, err := filepath.Glob(filepath.Join(d.folders[addr], prefix+"*"))
	require.NoError(d.t, err)
	require.Len(d.t, names, 1)
	data, err := os.ReadFile(names[0])
	require.NoError(d.t, err)
	require.NoError(d.t, os.WriteFile(names[0], f(data), 0o600))
}

func (d *diskCluster) requireEqualStates() {
	d.leader()
	time.Sleep(time.Second)
	want := d.leader().machine.applied()
	for addr, r := range d.voters {
		require.Equal(d.t, want, r.machine.applied(), addr)
	}
}

func TestRestartAfter500Changes(t *testing.T) {
	inBubble(t, threeVoters, func(c *cluster) {
		d := newDiskCluster(c)
		for i := range 500 {
			d.propose(fmt.Sprint(i))
		}
		want := d.leader().machine.applied()
		require.Len(t, want, 500)
		for _, addr := range d.addrs {
			d.stopAndClose(addr)
			stored := d.openFolder(addr).Load()
			require.NotZero(t, stored.Snapshot.Index)
			require.Less(t, len(stored.Entries), DefaultSnapshotEvery)
		}
		d.startAll()
		d.requireEqualStates()
		require.Equal(t, want, d.leader().machine.applied())
	})
}

func TestTornWriteOfOneVoter(t *testing.T) {
	inBubble(t, threeVoters, func(c *cluster) {
		d := newDiskCluster(c)
		d.propose("x")
		addr := d.follower()
		d.stopAndClose(addr)
		d.propose("y")
		d.rewriteFile(addr, "log-", func(b []byte) []byte { return append(b, b[:30]...) })
		require.EqualValues(t, 30, d.openFolder(addr).Report().TornBytes)
		d.start(addr)
		d.requireEqualStates()
	})
}

// TestDamagedDiskIsReplaced follows the recovery of a damaged disk: the store
// refuses to open, the operator replaces the folder by an empty one, and the
// voter joins with a new identity.
func TestDamagedDiskIsReplaced(t *testing.T) {
	damages := map[string]func([]byte) []byte{
		"bit flip":  func(b []byte) []byte { b[len(b)/2] ^= 1; return b },
		"truncated": func(b []byte) []byte { return b[:len(b)-40] },
	}
	for name, damage := range damages {
		t.Run(name, func(t *testing.T) {
			inBubble(t, threeVoters, func(c *cluster) {
				d := newDiskCluster(c)
				for i := range 10 {
					d.propose(fmt.Sprint(i))
				}
				addr := d.follower()
				old := d.stores[addr].Identity()
				d.stopAndClose(addr)
				d.rewriteFile(addr, "log-", damage)
				_, err := disk.Open(d.folders[addr])
				var corrupt *disk.CorruptError
				require.ErrorAs(t, err, &corrupt)
				d.folders[addr] = d.t.TempDir()
				require.NotEqual(t, old, d.openFolder(addr).Identity())
				d.start(addr)
				time.Sleep(3 * time.Second)
				require.Len(t, d.leader().NodeStatus().Members.Voters(), 3)
				d.requireEqualStates()
			})
		})
	}
}

// TestOlderCopyOfTheDataIsDetected starts a voter on an old copy of its folder.
// Each file is intact, but the log lacks acknowledged entries.
func TestOlderCopyOfTheDataIsDetected(t *testing.T) {
	inBubble(t, threeVoters, func(c *cluster) {
		d := newDiskCluster(c)
		d.propose("x")
		addr := d.follower()
		d.stopAndClose(addr)
		older := d.t.TempDir()
		require.NoError(t, os.CopyFS(older, os.DirFS(d.folders[addr])))
		d.openFolder(addr)
		d.start(addr)
		d.propose("y")
		time.Sleep(time.Second)
		require.NoError(t, d.stop(addr))
		d.folders[addr] = older
		d.openFolder(addr)
		r := d.start(addr)
		time.Sleep(time.Second)
		r.cancel()
		var lost *replog.DataLossError
		require.ErrorAs(t, r.group.Wait(), &lost)
	})
}

// TestFullDiskOfTheLeader fails a write of the leader, which then stops.
// Another voter becomes the leader and no accepted proposal is lost.
func TestFullDiskOfTheLeader(t *testing.T) {
	inBubble(t, threeVoters, func(c *cluster) {
		stores := map[string]*failingStore{}
		for _, addr := range threeVoters {
			stores[addr] = &failingStore{NewMemoryStore(), 1 << 30}
			c.stores[addr] = stores[addr]
		}
		c.startAll()
		c.propose("x")
		old := c.leader()
		stores[old.opts.Addr].savesLeft = 0
		_, err := old.Propose(context.Background(), []byte("y"))
		require.ErrorIs(t, err, ErrUnknown)
		require.ErrorIs(t, c.stop(old.opts.Addr), errDiskFull)
		c.propose("z")
		require.Subset(t, c.leader().machine.applied(), []string{"x", "z"})
	})
}

// TestVoterOnLossyNetwork proposes while the network loses and duplicates
// messages.
func TestVoterOnLossyNetwork(t *testing.T) {
	inBubble(t, threeVoters, func(c *cluster) {
		c.net.setFaultRates(0.1, 0.1)
		c.startAll()
		accepted := map[string]bool{}
		for i := range 200 {
			data := fmt.Sprint(i)
			_, err := c.leader().Propose(context.Background(), []byte(data))
			if err == nil {
				accepted[data] = true
				continue
			}
			require.True(t, errors.Is(err, ErrUnknown) || errors.Is(err, ErrNotLeader))
		}
		require.Greater(t, len(accepted), 100)
		c.net.setFaultRates(0, 0)
		time.Sleep(5 * time.Second)
		for _, r := range c.voters {
			list := r.machine.applied()
			for data := range accepted {
				require.Contains(t, list, data)
			}
		}
	})
}

// syncChecker is a Transport that checks each acknowledgement, vote and vote
// request: the state that the message reports must already be in the store of its
// sender.
type syncChecker struct {
	*network
	t      *testing.T
	stores map[string]*MemoryStore
}

func (s *syncChecker) Send(to string, m Message) {
	stored := s.stores[m.FromAddr].Load()
	last := stored.Snapshot.Index + uint64(len(stored.Entries))
	switch {
	case m.Kind == replog.MsgAppendReply && !m.Reject && m.Index > last:
		s.t.Errorf("%s acknowledged %d, synced %d", m.FromAddr, m.Index, last)
	case m.Kind == replog.MsgVoteReply && !m.Reject && stored.Hard.Vote != m.To:
		s.t.Errorf("%s voted for %s, synced %q", m.FromAddr, m.To, stored.Hard.Vote)
	case m.Kind == replog.MsgVote && stored.Hard.Vote != m.From:
		s.t.Errorf("%s requests votes before its own vote is synced", m.FromAddr)
	}
	s.network.Send(to, m)
}

func TestRepliesAreSentAfterTheirSync(t *testing.T) {
	inBubble(t, threeVoters, func(c *cluster) {
		checker := &syncChecker{c.net, t, map[string]*MemoryStore{}}
		for addr, store := range c.stores {
			checker.stores[addr] = store.(*MemoryStore)
			c.stores[addr] = slowStore{store.(*MemoryStore)}
		}
		c.options = func(o *Options) { o.Transport, o.SnapshotEvery = checker, 10 }
		c.startAll()
		for i := range 30 {
			c.propose(fmt.Sprint(i))
		}
		leader := c.leader().opts.Addr
		require.NoError(t, c.stop(leader))
		c.propose("after the leader change")
		c.start(leader)
		time.Sleep(3 * time.Second)
	})
}
