package measure

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cicadacove/cicadacove/internal/agent"
	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/dbcontrol"
	"github.com/cicadacove/cicadacove/internal/entry"
	"github.com/cicadacove/cicadacove/internal/node"
	"github.com/cicadacove/cicadacove/internal/peer"
	"github.com/cicadacove/cicadacove/internal/voter"
)

const (
	// measuredVoters is the number of control voters.
	measuredVoters = 3
	// leaderWait bounds the waits for a leader and for leases.
	leaderWait = 30 * time.Second
	// joinTime is how long traffic is counted after an instance has joined.
	joinTime = time.Second
	// pollInterval separates two looks at a state that is waited for.
	pollInterval = 5 * time.Millisecond
	// measuredSecret authenticates the processes of a measurement.
	measuredSecret = "0123456789abcdef"
)

// errNoLeader says that no voter leads, or not all the time.
var errNoLeader = errors.New("measure: no leader")

// fleet is three processes with a voter each, and agents as those of entry
// instances without callers. Each has counted connections.
type fleet struct {
	addrs         []string
	nodes         []*node.Node
	voterTraffic  []*traffic
	agents        []*agent.Agent
	agentTraffic  traffic
	servers       []*peer.Server
	clients       []*peer.Client
	agentsRunning errgroup.Group
	stopAgents    context.CancelFunc
}

// startVoters starts the voters and waits until one leads.
func (f *fleet) startVoters(ctx context.Context) error {
	var peers []net.Listener
	for range measuredVoters {
		t := &traffic{}
		l, err := t.listen()
		if err != nil {
			return err
		}
		peers = append(peers, l)
		f.addrs = append(f.addrs, l.Addr().String())
		f.voterTraffic = append(f.voterTraffic, t)
	}
	for i, l := range peers {
		if err := f.startNode(ctx, i, l); err != nil {
			return err
		}
	}
	return await(ctx, func() bool { return f.leader() >= 0 })
}

func (f *fleet) startNode(ctx context.Context, i int, peers net.Listener) error {
	callers, err := net.Listen("tcp", loopback)
	if err != nil {
		return err
	}
	admin, err := net.Listen("tcp", loopback)
	if err != nil {
		return err
	}
	n, err := node.Start(ctx, node.Options{
		ID: topo.InstanceID(fmt.Sprint("voter-", i)), Zone: "a", Voters: f.addrs, Store: voter.NewMemoryStore(),
		Callers: callers, Peers: peers, Admin: admin, Dial: f.voterTraffic[i].dial,
		PeerSecret: []byte(measuredSecret), TokenKey: []byte(measuredSecret), Limits: entry.DefaultLimits(),
	})
	if err != nil {
		return err
	}
	f.nodes = append(f.nodes, n)
	return nil
}

// leader returns the index of the voter that leads, -1 without one.
func (f *fleet) leader() int {
	for i, n := range f.nodes {
		if n.Voter.Status().IsLeader() {
			return i
		}
	}
	return -1
}

// startAgents starts agents and waits until all are in the live view.
func (f *fleet) startAgents(ctx context.Context, count int) error {
	for i := range count {
		if err := f.startAgent(ctx, i); err != nil {
			return err
		}
	}
	return f.awaitView(ctx)
}

// awaitView waits until all agents and voters are in the live view.
func (f *fleet) awaitView(ctx context.Context) error {
	return await(ctx, func() bool {
		view, ok := f.agents[0].View()
		return ok && len(view.Members) == len(f.agents)+len(f.nodes)
	})
}

// join returns the bytes that the leader sends because one more instance
// joins: what it sends until joinTime after, less its usual rate.
func (f *fleet) join(ctx context.Context, usual float64) (float64, error) {
	leader := f.leader()
	if leader < 0 {
		return 0, errNoLeader
	}
	before, began := f.voterTraffic[leader].read(), time.Now()
	if err := f.startAgent(ctx, len(f.agents)); err != nil {
		return 0, err
	}
	if err := f.awaitView(ctx); err != nil {
		return 0, err
	}
	if err := pause(ctx, joinTime); err != nil {
		return 0, err
	}
	_, out := rates(before, f.voterTraffic[leader].read(), 1)
	return out - usual*time.Since(began).Seconds(), nil
}

func (f *fleet) startAgent(ctx context.Context, i int) error {
	l, err := f.agentTraffic.listen()
	if err != nil {
		return err
	}
	server := peer.NewServer(peer.Options{Secret: []byte(measuredSecret)})
	client := peer.NewClient(peer.Options{Secret: []byte(measuredSecret), Dial: f.agentTraffic.dial})
	f.servers, f.clients = append(f.servers, server), append(f.clients, client)
	a, err := agent.New(agent.Options{
		Self: ctlstate.Member{
			ID: topo.InstanceID(fmt.Sprint("entry-", i)), Zone: "a", PeerAddr: l.Addr().String(), Incarnation: 1,
		},
		Voters: f.addrs, Client: client, Server: server, Databases: dbcontrol.New(dbcontrol.Options{}),
	})
	if err != nil {
		return err
	}
	f.agents = append(f.agents, a)
	f.agentsRunning.Go(func() error { return server.Serve(l) })
	f.agentsRunning.Go(func() error { return a.Run(ctx) })
	return nil
}

// count lets the fleet settle, then counts for the duration. It counts again
// when the leader has changed meanwhile.
func (f *fleet) count(ctx context.Context, d time.Duration) (*Control, error) {
	if err := pause(ctx, settleTime); err != nil {
		return nil, err
	}
	for {
		row, err := f.countOnce(ctx, d)
		if err == nil || !errors.Is(err, errNoLeader) {
			return row, err
		}
		if err := await(ctx, func() bool { return f.leader() >= 0 }); err != nil {
			return nil, err
		}
	}
}

// countOnce returns errNoLeader when no voter has led all the time.
func (f *fleet) countOnce(ctx context.Context, d time.Duration) (*Control, error) {
	leader := f.leader()
	if leader < 0 {
		return nil, errNoLeader
	}
	follower := (leader + 1) % len(f.nodes)
	leaderBefore, voterBefore := f.voterTraffic[leader].read(), f.voterTraffic[follower].read()
	agentBefore, cpu, began := f.agentTraffic.read(), processCPU(), time.Now()
	if err := pause(ctx, d); err != nil {
		return nil, err
	}
	seconds, used := time.Since(began).Seconds(), processCPU()-cpu
	if f.leader() != leader {
		return nil, errNoLeader
	}
	row := &Control{CPUMillis: used.Seconds() * 1000 / seconds}
	row.LeaderIn, row.LeaderOut = rates(leaderBefore, f.voterTraffic[leader].read(), seconds)
	row.VoterIn, row.VoterOut = rates(voterBefore, f.voterTraffic[follower].read(), seconds)
	row.AgentIn, row.AgentOut = rates(agentBefore, f.agentTraffic.read(), seconds*float64(len(f.agents)))
	return row, nil
}

func rates(before, after bytes, seconds float64) (in, out float64) {
	return float64(after.in-before.in) / seconds, float64(after.out-before.out) / seconds
}

// close ends all agents and voters.
func (f *fleet) close() {
	if f.stopAgents != nil {
		f.stopAgents()
	}
	for i := range f.servers {
		f.servers[i].Close()
		f.clients[i].Close()
	}
	_ = f.agentsRunning.Wait()
	for _, n := range f.nodes {
		n.Kill()
	}
}

// await waits until the state is reached.
func await(ctx context.Context, reached func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, leaderWait)
	defer cancel()
	for !reached() {
		if err := pause(ctx, pollInterval); err != nil {
			return err
		}
	}
	return nil
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
