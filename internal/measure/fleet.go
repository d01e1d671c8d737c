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
	// voterCount is the number of control voters.
	voterCount = 3
	// waitTimeout bounds the wait for a leader or for the live view.
	waitTimeout = 30 * time.Second
	// joinObservation is the time after the join of an instance for which
	// traffic is still counted.
	joinObservation = time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 5 * time.Millisecond
	// peerSecret authenticates the processes of a measurement to each other.
	peerSecret = "0123456789abcdef"
)

// errNoLeader reports that there is no leader, or that it has changed.
var errNoLeader = errors.New("measure: no leader")

// fleet runs voterCount nodes with a voter each, and agents like those of entry
// instances without callers. It counts the traffic of each voter and of all
// agents together.
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

// startVoters starts the voters and waits until they have elected a leader.
func (f *fleet) startVoters(ctx context.Context) error {
	var listeners []net.Listener
	for range voterCount {
		t := &traffic{}
		l, err := t.listen()
		if err != nil {
			return err
		}
		listeners = append(listeners, l)
		f.addrs = append(f.addrs, l.Addr().String())
		f.voterTraffic = append(f.voterTraffic, t)
	}
	for i, l := range listeners {
		if err := f.startNode(ctx, i, l); err != nil {
			return err
		}
	}
	return waitFor(ctx, func() bool { return f.leader() >= 0 })
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
		PeerSecret: []byte(peerSecret), TokenKey: []byte(peerSecret), Limits: entry.DefaultLimits(),
	})
	if err != nil {
		return err
	}
	f.nodes = append(f.nodes, n)
	return nil
}

// leader returns the index of the leader, or -1 if there is none.
func (f *fleet) leader() int {
	for i, n := range f.nodes {
		if n.Voter.Status().IsLeader() {
			return i
		}
	}
	return -1
}

// startAgents starts agents and waits until the live view contains all of them.
func (f *fleet) startAgents(ctx context.Context, count int) error {
	for i := range count {
		if err := f.startAgent(ctx, i); err != nil {
			return err
		}
	}
	return f.waitForView(ctx)
}

// waitForView waits until the live view contains all agents and voters.
func (f *fleet) waitForView(ctx context.Context) error {
	return waitFor(ctx, func() bool {
		view, ok := f.agents[0].View()
		return ok && len(view.Members) == len(f.agents)+len(f.nodes)
	})
}

// measureJoin returns the bytes that the leader sends because one more instance
// joins: the bytes until joinObservation after the join, less those that it
// sends in the same time at its usual rate.
func (f *fleet) measureJoin(ctx context.Context, usualBytesPerSecond float64) (float64, error) {
	leader := f.leader()
	if leader < 0 {
		return 0, errNoLeader
	}
	before, start := f.voterTraffic[leader].counts(), time.Now()
	if err := f.startAgent(ctx, len(f.agents)); err != nil {
		return 0, err
	}
	if err := f.waitForView(ctx); err != nil {
		return 0, err
	}
	if err := pause(ctx, joinObservation); err != nil {
		return 0, err
	}
	_, out := perSecond(before, f.voterTraffic[leader].counts(), 1)
	return out - usualBytesPerSecond*time.Since(start).Seconds(), nil
}

func (f *fleet) startAgent(ctx context.Context, i int) error {
	l, err := f.agentTraffic.listen()
	if err != nil {
		return err
	}
	server := peer.NewServer(peer.Options{Secret: []byte(peerSecret)})
	client := peer.NewClient(peer.Options{Secret: []byte(peerSecret), Dial: f.agentTraffic.dial})
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

// measureRates waits for settleTime, then measures the rates over the duration.
// It measures again if the leader has changed meanwhile.
func (f *fleet) measureRates(ctx context.Context, d time.Duration) (*Control, error) {
	if err := pause(ctx, settleTime); err != nil {
		return nil, err
	}
	for {
		row, err := f.measureRatesOnce(ctx, d)
		if err == nil || !errors.Is(err, errNoLeader) {
			return row, err
		}
		if err := waitFor(ctx, func() bool { return f.leader() >= 0 }); err != nil {
			return nil, err
		}
	}
}

// measureRatesOnce measures the rates over the duration. It returns errNoLeader
// if there is no leader at the start, or not the same one at the end.
func (f *fleet) measureRatesOnce(ctx context.Context, d time.Duration) (*Control, error) {
	leader := f.leader()
	if leader < 0 {
		return nil, errNoLeader
	}
	follower := (leader + 1) % len(f.nodes)
	leaderBefore, voterBefore := f.voterTraffic[leader].counts(), f.voterTraffic[follower].counts()
	agentBefore, cpu, start := f.agentTraffic.counts(), processCPU(), time.Now()
	if err := pause(ctx, d); err != nil {
		return nil, err
	}
	seconds, cpuUsed := time.Since(start).Seconds(), processCPU()-cpu
	if f.leader() != leader {
		return nil, errNoLeader
	}
	row := &Control{CPUMillis: cpuUsed.Seconds() * 1000 / seconds}
	row.LeaderIn, row.LeaderOut = perSecond(leaderBefore, f.voterTraffic[leader].counts(), seconds)
	row.VoterIn, row.VoterOut = perSecond(voterBefore, f.voterTraffic[follower].counts(), seconds)
	row.AgentIn, row.AgentOut = perSecond(agentBefore, f.agentTraffic.counts(), seconds*float64(len(f.agents)))
	return row, nil
}

func perSecond(before, after byteCounts, seconds float64) (in, out float64) {
	return float64(after.in-before.in) / seconds, float64(after.out-before.out) / seconds
}

// close stops all agents and voters.
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

// waitFor waits until the condition holds, for at most waitTimeout.
func waitFor(ctx context.Context, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	for !condition() {
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
