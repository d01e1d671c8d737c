package replog

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	simHeartbeat = 100 * time.Millisecond
	simElection  = 500 * time.Millisecond
	simStep      = 50 * time.Millisecond
)

// simDisk is the state that survives a crash.
type simDisk struct {
	id     string
	stored StoredState
}

func (d *simDisk) save(hard HardState, snapshot *Snapshot, entries []Entry) {
	d.stored.Hard = hard
	if snapshot != nil {
		d.stored.Snapshot = *snapshot
		d.stored.Entries = nil
	}
	if len(entries) > 0 {
		keep := entries[0].Index - d.stored.Snapshot.Index - 1
		d.stored.Entries = append(slices.Clone(d.stored.Entries[:keep]), entries...)
	}
}

// simNode is a node running at an address.
type simNode struct {
	*Node
	addr string
	disk *simDisk
	// state is the state of the state machine: the applied data in order.
	state []string
	// applied is the index of the last applied entry.
	applied   uint64
	confirmed map[uint64]Confirmation
	refused   map[uint64]bool
	fault     error
}

// sim simulates nodes on a network that loses, delays and duplicates messages.
type sim struct {
	t         require.TestingT
	now       time.Time
	rand      *rand.Rand
	nodes     map[string]*simNode
	disks     map[string]*simDisk
	addrs     []string
	inFlight  []Message
	partition map[string]int
	// paused nodes receive neither messages nor ticks.
	paused    map[string]bool
	lossy     bool
	lastID    int
	compactAt int
	// voters and joinOnly configure the nodes that are started from now on.
	voters   int
	joinOnly bool
	// step is the time between two ticks.
	step time.Duration
	// ackBeforeSync sends messages before the sync that they depend on.
	ackBeforeSync bool
	// skipConfirmRound confirms leadership without a heartbeat round.
	skipConfirmRound bool
	// check, if set, is called after each Ready; applied, if set, after its
	// entries are applied.
	check   func(*simNode, Ready)
	applied func(*simNode, Ready)
}

func newSim(t require.TestingT, seed uint64, addrs ...string) *sim {
	s := &sim{
		t: t, now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(seed, 1)),
		nodes: map[string]*simNode{}, disks: map[string]*simDisk{},
		addrs: addrs, partition: map[string]int{}, paused: map[string]bool{}, compactAt: 20, step: simStep,
	}
	for _, addr := range addrs {
		s.start(addr, addrs)
	}
	return s
}

// start starts a node with the disk of its address, or with a new one.
func (s *sim) start(addr string, peers []string) *simNode {
	disk := s.disks[addr]
	if disk == nil {
		s.lastID++
		disk = &simDisk{id: fmt.Sprintf("%s%d", addr, s.lastID)}
		s.disks[addr] = disk
	}
	n := &simNode{
		Node: New(Config{
			ID: disk.id, Addr: addr, Peers: peers, NewCluster: "cluster-" + disk.id,
			Seed: s.rand.Uint64(), Now: s.now, KeepEntries: 5,
			HeartbeatInterval: simHeartbeat, ElectionTimeout: simElection,
			Stored: disk.stored, Voters: s.voters, JoinOnly: s.joinOnly,
		}),
		addr: addr, disk: disk,
		confirmed: map[uint64]Confirmation{}, refused: map[uint64]bool{},
	}
	n.restore(disk.stored.Snapshot)
	s.nodes[addr] = n
	return n
}

func (n *simNode) restore(snapshot Snapshot) {
	n.applied = snapshot.Index
	n.state = nil
	if len(snapshot.Data) > 0 {
		n.state = strings.Split(string(snapshot.Data), " ")
	}
}

// crash stops a node. State that it has not synced is lost.
func (s *sim) crash(addr string) { delete(s.nodes, addr) }

// loseDisk stops a node and deletes its disk.
func (s *sim) loseDisk(addr string) {
	s.crash(addr)
	delete(s.disks, addr)
}

// process does the pending work of a node. If crashAfter is not zero, the node
// crashes after that many steps.
func (s *sim) process(n *simNode, crashAfter int) {
	for n.HasReady() && s.nodes[n.addr] == n {
		rd := n.Ready()
		if s.check != nil {
			s.check(n, rd)
		}
		s.enqueue(rd.Early)
		if s.ackBeforeSync {
			s.enqueue(rd.Messages)
		}
		if crashAfter--; crashAfter == 0 {
			s.crash(n.addr)
			return
		}
		if rd.MustSync() {
			n.disk.save(rd.Hard, rd.Snapshot, rd.Entries)
		}
		if crashAfter--; crashAfter == 0 {
			s.crash(n.addr)
			return
		}
		if !s.ackBeforeSync {
			s.enqueue(rd.Messages)
		}
		s.apply(n, rd)
		n.Advance(rd)
		s.compact(n)
	}
}

func (s *sim) apply(n *simNode, rd Ready) {
	if rd.Fault != nil {
		n.fault = rd.Fault
		s.crash(n.addr)
		return
	}
	if rd.Snapshot != nil {
		n.restore(*rd.Snapshot)
	}
	for _, e := range rd.Committed {
		require.Equal(s.t, n.applied+1, e.Index)
		n.applied = e.Index
		if e.Kind == EntryData {
			n.state = append(n.state, string(e.Data))
		}
	}
	for _, c := range rd.Confirmed {
		n.confirmed[c.Request] = c
	}
	for _, request := range rd.Refused {
		n.refused[request] = true
	}
	if s.applied != nil {
		s.applied(n, rd)
	}
}

func (s *sim) compact(n *simNode) {
	if n.applied < n.Status().SnapshotIndex+uint64(s.compactAt) {
		return
	}
	snapshot, entries := n.Compact([]byte(strings.Join(n.state, " ")))
	n.disk.save(n.HardState(), &snapshot, entries)
}

func (s *sim) enqueue(ms []Message) {
	for _, m := range ms {
		if s.lossy && s.rand.IntN(10) == 0 {
			continue
		}
		s.inFlight = append(s.inFlight, m)
		if s.lossy && s.rand.IntN(10) == 0 {
			s.inFlight = append(s.inFlight, m)
		}
	}
}

// deliver delivers the next message, or a random one if the network is lossy.
// If crashAfter is not zero, the receiver crashes after that many steps of its work.
func (s *sim) deliver(crashAfter int) {
	i := 0
	if s.lossy {
		i = s.rand.IntN(len(s.inFlight))
	}
	m := s.inFlight[i]
	s.inFlight = slices.Delete(s.inFlight, i, i+1)
	to := s.nodes[m.ToAddr]
	if to == nil || s.paused[m.ToAddr] || s.partition[m.FromAddr] != s.partition[m.ToAddr] {
		return
	}
	to.Step(m)
	s.process(to, crashAfter)
}

func (s *sim) tick() {
	s.now = s.now.Add(s.step)
	for _, addr := range slices.Sorted(maps.Keys(s.nodes)) {
		if n := s.nodes[addr]; n != nil && !s.paused[addr] {
			n.Tick(s.now)
			s.process(n, 0)
		}
	}
}

// run advances the time by d and delivers all messages.
func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.tick()
		for limit := 0; len(s.inFlight) > 0 && limit < 5000; limit++ {
			s.deliver(0)
		}
	}
}

// settle heals the network, restarts all stopped nodes and gives the cluster
// time to recover.
func (s *sim) settle() {
	s.lossy = false
	s.partition = map[string]int{}
	s.paused = map[string]bool{}
	for _, addr := range s.addrs {
		if s.nodes[addr] == nil {
			s.start(addr, s.addrs)
		}
	}
	s.run(10 * time.Second)
}

// leader returns the leader of the highest term.
func (s *sim) leader() *simNode {
	var found *simNode
	for _, addr := range slices.Sorted(maps.Keys(s.nodes)) {
		n := s.nodes[addr]
		if n.role == Leader && (found == nil || n.hard.Term > found.hard.Term) {
			found = n
		}
	}
	return found
}

func (s *sim) mustLeader() *simNode {
	n := s.leader()
	require.NotNil(s.t, n, "no leader")
	return n
}

func (s *sim) propose(n *simNode, data string) (index, term uint64) {
	index, term, ok := n.Propose([]byte(data))
	require.True(s.t, ok)
	s.process(n, 0)
	return index, term
}

func newCluster(t *testing.T, addrs ...string) *sim {
	s := newSim(t, 7, addrs...)
	s.run(3 * time.Second)
	s.mustLeader()
	return s
}
