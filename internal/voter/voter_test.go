package voter

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/cicadacove/cicadacove/internal/core/replog"
)

func TestProposeIsAppliedEverywhere(t *testing.T) {
	for _, addrs := range [][]string{{"a"}, threeVoters} {
		inBubble(t, addrs, func(c *cluster) {
			c.startAll()
			result, err := c.leader().Propose(context.Background(), []byte("x"))
			require.NoError(t, err)
			require.Equal(t, "1", string(result))
			time.Sleep(time.Second)
			for _, r := range c.voters {
				require.Equal(t, []string{"x"}, r.machine.applied())
				require.Equal(t, c.leader().Status().ID, r.Status().Leader)
				require.NotEmpty(t, r.Status().LeaderAddr)
			}
		})
	}
}

func TestFollowerReturnsNotLeader(t *testing.T) {
	inBubble(t, threeVoters, func(c *cluster) {
		c.startAll()
		r := c.voters[c.follower()]
		_, err := r.Propose(context.Background(), []byte("x"))
		require.ErrorIs(t, err, ErrNotLeader)
		require.ErrorIs(t, r.Confirm(context.Background()), ErrNotLeader)
		_, err = r.Propose(context.Background(), make([]byte, MaxProposalBytes+1))
		require.ErrorIs(t, err, ErrTooLarge)
	})
}

func TestPartitionedLeaderReturnsUnknown(t *testing.T) {
	inBubble(t, threeVoters, func(c *cluster) {
		c.startAll()
		old := c.leader()
		c.net.setPartition(old.opts.Addr, 1)
		_, err := old.Propose(context.Background(), []byte("lost"))
		require.ErrorIs(t, err, ErrUnknown)
		require.False(t, old.Status().IsLeader())
		c.propose("kept")
		c.net.setPartition(old.opts.Addr, 0)
		time.Sleep(2 * time.Second)
		require.Equal(t, []string{"kept"}, old.machine.applied())
	})
}

func TestProposeReturnsWhenContextEnds(t *testing.T) {
	inBubble(t, threeVoters, func(c *cluster) {
		c.startAll()
		leader := c.leader()
		c.net.setPartition(leader.opts.Addr, 1)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		_, err := leader.Propose(ctx, []byte("x"))
		require.ErrorIs(t, err, ErrUnknown)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		_, err = leader.Propose(ctx, []byte("y"))
		require.Error(t, err)
		require.ErrorIs(t, leader.Confirm(ctx), ErrNotLeader)
	})
}

func TestRestartReadsSnapshotAndTail(t *testing.T) {
	inBubble(t, threeVoters, func(c *cluster) {
		c.options = func(o *Options) { o.SnapshotEvery = 50 }
		c.startAll()
		var want []string
		for i := range 120 {
			data := fmt.Sprint(i)
			c.propose(data)
			want = append(want, data)
		}
		for _, addr := range c.addrs {
			require.NoError(t, c.stop(addr))
			stored := c.stores[addr].Load()
			require.GreaterOrEqual(t, stored.Snapshot.Index, uint64(100))
			require.Less(t, len(stored.Entries), 50)
		}
		c.startAll()
		c.leader()
		time.Sleep(time.Second)
		for _, r := range c.voters {
			require.Equal(t, want, r.machine.applied())
		}
	})
}

func TestLaggingVoterGetsASnapshot(t *testing.T) {
	inBubble(t, threeVoters, func(c *cluster) {
		c.options = func(o *Options) { o.SnapshotEvery, o.KeepEntries = 20, 5 }
		c.startAll()
		c.propose("first")
		lagging := c.follower()
		require.NoError(t, c.stop(lagging))
		for i := range 100 {
			c.propose(fmt.Sprint(i))
		}
		want := c.leader().machine.applied()
		r := c.start(lagging)
		time.Sleep(2 * time.Second)
		require.Equal(t, want, r.machine.applied())
	})
}

func TestLostDiskIsReplacedWithoutAnOperator(t *testing.T) {
	inBubble(t, threeVoters, func(c *cluster) {
		c.startAll()
		c.propose("x")
		lost := c.follower()
		old := c.stores[lost].Identity()
		require.NoError(t, c.stop(lost))
		c.stores[lost] = NewMemoryStore()
		time.Sleep(2 * time.Second)
		r := c.start(lost)
		time.Sleep(3 * time.Second)
		members := c.leader().NodeStatus().Members
		_, found := members.Find(old)
		require.False(t, found)
		require.Len(t, members.Voters(), 3)
		require.Equal(t, []string{"x"}, r.machine.applied())
	})
}

func TestOperatorAddsAndRemovesAVoter(t *testing.T) {
	inBubble(t, []string{"a", "b", "c"}, func(c *cluster) {
		c.startAll()
		c.propose("x")
		c.stores["d"] = NewMemoryStore()
		r := c.start("d")
		time.Sleep(time.Second)
		leader := c.leader()
		waiting := leader.NodeStatus().Waiting
		require.Equal(t, replog.Membership{{ID: c.stores["d"].Identity(), Addr: "d"}}, waiting)
		ctx := context.Background()
		require.NoError(t, leader.AddLearner(ctx, waiting[0].ID, "d", false))
		require.ErrorIs(t, leader.AddLearner(ctx, waiting[0].ID, "d", false), replog.ErrAlreadyMember)
		time.Sleep(time.Second)
		require.Equal(t, []string{"x"}, r.machine.applied())
		require.NoError(t, leader.Promote(ctx, waiting[0].ID))
		require.Len(t, leader.NodeStatus().Members.Voters(), 4)
		require.NoError(t, leader.Remove(ctx, c.stores[c.follower()].Identity()))
		time.Sleep(time.Second)
		require.Len(t, c.leader().NodeStatus().Members.Voters(), 3)
	})
}

// slowStore is a store whose Save takes 20 ms.
type slowStore struct{ *MemoryStore }

func (s slowStore) Save(hard replog.HardState, entries []replog.Entry) error {
	time.Sleep(20 * time.Millisecond)
	return s.MemoryStore.Save(hard, entries)
}

func TestProposalsShareSyncs(t *testing.T) {
	inBubble(t, threeVoters, func(c *cluster) {
		for addr, store := range c.stores {
			c.stores[addr] = slowStore{store.(*MemoryStore)}
		}
		c.startAll()
		leader := c.leader()
		store := c.stores[leader.opts.Addr].(slowStore)
		before := store.Syncs()
		var group errgroup.Group
		for range 200 {
			group.Go(func() error {
				_, err := leader.Propose(context.Background(), []byte("x"))
				return err
			})
		}
		require.NoError(t, group.Wait())
		require.LessOrEqual(t, store.Syncs()-before, 2, "proposals that arrive during the first sync share the second")
	})
}

// failingStore returns errDiskFull after savesLeft successful saves.
type failingStore struct {
	*MemoryStore
	savesLeft int
}

var errDiskFull = errors.New("no space left on device")

func (s *failingStore) Save(hard replog.HardState, entries []replog.Entry) error {
	if s.savesLeft--; s.savesLeft < 0 {
		return errDiskFull
	}
	return s.MemoryStore.Save(hard, entries)
}

func TestFailedStoreEndsTheVoter(t *testing.T) {
	inBubble(t, []string{"a"}, func(c *cluster) {
		c.stores["a"] = &failingStore{NewMemoryStore(), 4}
		c.startAll()
		leader := c.leader()
		var err error
		for err == nil {
			_, err = leader.Propose(context.Background(), []byte("x"))
		}
		require.ErrorIs(t, err, ErrUnknown)
		require.ErrorIs(t, c.stop("a"), errDiskFull)
		_, err = leader.Propose(context.Background(), []byte("x"))
		require.ErrorIs(t, err, ErrNotLeader)
		require.False(t, leader.Status().IsLeader())
	})
}

func TestFolderOfAnotherAddressIsRefused(t *testing.T) {
	inBubble(t, threeVoters, func(c *cluster) {
		c.startAll()
		addr := c.follower()
		require.NoError(t, c.stop(addr))
		_, err := New(Options{Addr: "elsewhere", Transport: c.net, Store: c.stores[addr], Machine: &listMachine{}})
		require.Equal(t, &AddressError{c.stores[addr].Identity(), addr, "elsewhere"}, err)
	})
}

func TestOptionsAreChecked(t *testing.T) {
	valid := func() Options {
		return Options{Addr: "a", Transport: newNetwork(1), Store: NewMemoryStore(), Machine: &listMachine{}}
	}
	cases := []struct {
		want   string
		change func(*Options)
	}{
		{"no address", func(o *Options) { o.Addr = "" }},
		{"are required", func(o *Options) { o.Store = nil }},
		{"at most 7", func(o *Options) { o.Peers = make([]string, 8) }},
		{"duplicate peer address", func(o *Options) { o.Peers = []string{"a", "b", "a"} }},
		{"election timeout", func(o *Options) { o.ElectionTimeout = time.Millisecond }},
	}
	for _, tc := range cases {
		o := valid()
		tc.change(&o)
		_, err := New(o)
		require.ErrorContains(t, err, tc.want)
	}
}

func TestReplacedProposalIsNotAccepted(t *testing.T) {
	v, err := New(Options{Addr: "a", Transport: newNetwork(1), Store: NewMemoryStore(), Machine: &listMachine{}})
	require.NoError(t, err)
	p := &proposal{term: 1, done: make(chan response, 1)}
	v.proposals[5] = p
	v.applyEntry(replog.Entry{Index: 5, Term: 2, Data: []byte("from another leader")})
	v.sendResponses()
	require.ErrorIs(t, (<-p.done).err, ErrNotLeader)
}

func TestConfirmWaitsUntilItsIndexIsApplied(t *testing.T) {
	v, err := New(Options{Addr: "a", Transport: newNetwork(1), Store: NewMemoryStore(), Machine: &listMachine{}})
	require.NoError(t, err)
	c := &confirmation{done: make(chan response, 1)}
	v.confirmations[1] = c
	v.completeConfirmations(replog.Ready{Confirmed: []replog.Confirmation{{Request: 1, Index: 5}}})
	v.sendResponses()
	require.Empty(t, c.done)
	v.completeConfirmations(replog.Ready{Committed: []replog.Entry{{Index: 5}}})
	v.sendResponses()
	require.NoError(t, (<-c.done).err)
}

func TestTransferLeadershipBeforeShutdown(t *testing.T) {
	inBubble(t, threeVoters, func(c *cluster) {
		c.startAll()
		c.propose("x")
		old := c.leader()
		start := time.Now()
		require.NoError(t, old.TransferLeadership(context.Background()))
		c.propose("y")
		require.Less(t, time.Since(start), DefaultElectionTimeout, "by the fake clock of the bubble")
		require.NotEqual(t, old, c.leader())
	})
	inBubble(t, []string{"a"}, func(c *cluster) {
		c.startAll()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		require.ErrorIs(t, c.leader().TransferLeadership(ctx), context.DeadlineExceeded)
	})
}
