// Package node assembles one process: the server for callers, the agent, the
// admin server and, on an instance with a disk, a control voter.
package node

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math"
	"net"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/admin"
	"github.com/cicadacove/cicadacove/internal/agent"
	"github.com/cicadacove/cicadacove/internal/configrpc"
	"github.com/cicadacove/cicadacove/internal/control"
	"github.com/cicadacove/cicadacove/internal/core/admission"
	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/drain"
	"github.com/cicadacove/cicadacove/internal/core/revision"
	"github.com/cicadacove/cicadacove/internal/core/routing"
	"github.com/cicadacove/cicadacove/internal/core/session"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/ctlview"
	"github.com/cicadacove/cicadacove/internal/ctlwire"
	"github.com/cicadacove/cicadacove/internal/dbcontrol"
	"github.com/cicadacove/cicadacove/internal/entry"
	"github.com/cicadacove/cicadacove/internal/expiry"
	"github.com/cicadacove/cicadacove/internal/grants"
	"github.com/cicadacove/cicadacove/internal/httpdrain"
	"github.com/cicadacove/cicadacove/internal/lifecycle"
	"github.com/cicadacove/cicadacove/internal/peer"
	"github.com/cicadacove/cicadacove/internal/telemetry"
	"github.com/cicadacove/cicadacove/internal/timeline"
	"github.com/cicadacove/cicadacove/internal/upstream"
	"github.com/cicadacove/cicadacove/internal/voter"
)

// Options configures a Node.
type Options struct {
	ID      topo.InstanceID
	Zone    topo.Zone
	Version string
	// Callers, Peers and Admin are open listeners.
	Callers, Peers, Admin net.Listener
	// Advertise is the peer address that other instances connect to. If it is
	// empty, it is the address of Peers.
	Advertise string
	// Voters are the peer addresses of the control voters.
	Voters []string
	// Store is the disk of the control voter. If it is nil, the process runs
	// no voter.
	Store voter.Store
	// Dial opens all outgoing connections; nil means a net.Dialer.
	Dial upstream.DialFunc
	// PeerSecret authenticates instances to each other. TokenKey signs session
	// tokens.
	PeerSecret, TokenKey []byte
	AnnounceKey          []byte
	UpstreamUser         string
	UpstreamPassword     string
	// Users authenticates callers. If it is nil, the server trusts every
	// caller.
	Users       entry.Users
	TLS         *tls.Config
	AdminServer admin.Options
	// Telemetry receives metrics and Recorder receives events. Both may be
	// nil.
	Telemetry *telemetry.Telemetry
	Recorder  *timeline.Recorder
	Timing    ctlwire.Timing
	Limits    entry.Limits
	Routing   routing.Policy
	Admission admission.Policy
	Observer  entry.Observer
	// ControlEvents receives the steps of failovers. It may be nil.
	ControlEvents func(control.Event)
	// DrainDelay is the time during a graceful shutdown in which the instance
	// reports that it is not ready but still accepts new callers.
	DrainDelay time.Duration
	// DisableEarlyRelease makes the agent refuse requests to release a lease
	// before it expires. It is for measurements.
	DisableEarlyRelease bool
}

// leadershipTransferTimeout bounds the transfer of the voters' leadership at a
// graceful shutdown.
const leadershipTransferTimeout = time.Second

// Node is a running process.
type Node struct {
	Agent *agent.Agent
	Entry *entry.Server
	Voter *voter.Voter

	opts Options
	// controller is nil if the process runs no voter.
	controller *control.Controller
	peers      *peer.Server
	client     *peer.Client
	http       *httpdrain.Server
	config     *configrpc.Client
	grants     *grants.Grants
	draining   atomic.Bool
	group      *lifecycle.Group
}

// Start starts all components.
func Start(ctx context.Context, opts Options) (*Node, error) {
	if opts.Limits == (entry.Limits{}) {
		opts.Limits = entry.DefaultLimits()
	}
	n := &Node{opts: opts}
	peerOpts := peer.Options{Secret: opts.PeerSecret, Dial: opts.Dial, Clock: opts.Recorder}
	n.peers, n.client = peer.NewServer(peerOpts), peer.NewClient(peerOpts)
	n.config = configrpc.NewClient(n.client, opts.Voters)
	ctx, cancel := context.WithCancel(ctx)
	if err := n.build(ctx); err != nil {
		cancel()
		return nil, fmt.Errorf("node %s: %w", opts.ID, err)
	}
	n.group = lifecycle.New(ctx, func() {
		cancel()
		n.closeAll()
	})
	n.run()
	return n, nil
}

func (n *Node) build(ctx context.Context) error {
	if err := n.buildAgent(); err != nil {
		return err
	}
	n.buildEntry(ctx)
	if n.opts.Store != nil {
		if err := n.buildVoter(ctx); err != nil {
			return err
		}
	}
	st := status{n}
	backends := admin.Backends{Config: n.config, Announcer: st, Status: st, Groups: groupControl{n.Agent}}
	if n.opts.Telemetry != nil {
		backends.Metrics = n.opts.Telemetry.Handler()
	}
	if n.opts.Recorder != nil {
		backends.Timeline = n.opts.Recorder.Handler()
	}
	server := admin.New(backends, n.opts.AdminServer)
	n.http = httpdrain.New(server.Handler(), 5*time.Second)
	return nil
}

func (n *Node) buildAgent() error {
	var err error
	n.Agent, err = agent.New(agent.Options{
		Self: ctlstate.Member{
			ID: n.opts.ID, Zone: n.opts.Zone, PeerAddr: n.PeerAddr(),
			Incarnation: uint64(time.Now().UnixNano()),
		},
		Voters: n.opts.Voters, Client: n.client, Server: n.peers, Timing: n.opts.Timing,
		Databases: n.databases(), DisableEarlyRelease: n.opts.DisableEarlyRelease,
	})
	return err
}

// databases returns a client that sends control statements to databases.
func (n *Node) databases() *dbcontrol.Client {
	return dbcontrol.New(dbcontrol.Options{User: n.opts.UpstreamUser, Password: n.opts.UpstreamPassword, Dial: n.opts.Dial})
}

func (n *Node) buildEntry(ctx context.Context) {
	sh := n.buildShares(ctx)
	upstreams := upstream.NewSet(n.opts.UpstreamUser, n.opts.UpstreamPassword, n.opts.Dial, func(a topo.Announcement) int {
		sh.Use(a)
		return sh.Connections(a.ID)
	})
	n.Entry = entry.New(entry.Options{
		Self: n.opts.ID, Control: ctlview.FromAgent(n.Agent), Upstreams: upstreams,
		Client: n.client, Peers: n.peers, Signer: session.NewSigner(n.opts.TokenKey),
		Users: n.opts.Users, TLS: n.opts.TLS, Limits: n.opts.Limits,
		Routing: n.opts.Routing, Admission: n.opts.Admission, Shares: sh, Observer: n.observer(),
		ClientMetrics: n.clientMetrics(),
	})
}

func (n *Node) buildVoter(ctx context.Context) error {
	sec := revision.NewSection()
	machine := ctlstate.NewMachine(sec)
	v, err := voter.New(voter.Options{
		Addr: n.PeerAddr(), Peers: n.opts.Voters, Transport: NewTransport(ctx, n.client),
		Store: n.opts.Store, Machine: machine, Seed: uint64(time.Now().UnixNano()),
	})
	if err != nil {
		return err
	}
	n.Voter = v
	HandleVoterMessages(n.peers, v)
	configrpc.Serve(n.peers, v, sec)
	ctl := control.New(control.Options{
		Log: v, State: machine, Client: n.client, Server: n.peers,
		Databases: n.databases(), Timing: n.opts.Timing, Observe: n.controlEvent,
	})
	n.controller = ctl
	return nil
}

func (n *Node) run() {
	if n.Voter != nil {
		n.group.Go("control voter", n.Voter.Run)
		n.group.Go("controller", n.controller.Run)
	}
	n.group.Go("peer server", func(context.Context) error { return n.peers.Serve(n.opts.Peers) })
	n.group.Go("agent", n.Agent.Run)
	n.group.Go("grants", n.grants.Run)
	n.group.Go("observer", n.observeLoop)
	n.group.Go("expiry warnings", func(ctx context.Context) error {
		expiry.Run(ctx, n.Agent, n.recordExpiry)
		return nil
	})
	if budget := n.Entry.Budget(); budget != nil {
		n.group.Go("client budget", budget.Run)
	}
	n.group.Go("caller server", func(context.Context) error { return n.Entry.Serve(n.opts.Callers) })
	n.group.Go("entry", n.Entry.Run)
	n.group.Go("admin server", func(context.Context) error { return n.serveAdmin() })
	klog.V(1).Infof("node: %s serves callers on %s", n.opts.ID, n.CallerAddr())
}

func (n *Node) serveAdmin() error {
	if cert := n.opts.AdminServer.Certificate; cert != nil {
		return n.http.ServeTLS(n.opts.Admin, cert.Config())
	}
	return n.http.Serve(n.opts.Admin)
}

// CallerAddr returns the address that callers connect to.
func (n *Node) CallerAddr() string { return n.opts.Callers.Addr().String() }

// AdminAddr returns the address of the HTTP server.
func (n *Node) AdminAddr() string { return n.opts.Admin.Addr().String() }

// PeerAddr returns the address that other instances connect to.
func (n *Node) PeerAddr() string {
	if n.opts.Advertise != "" {
		return n.opts.Advertise
	}
	return n.opts.Peers.Addr().String()
}

// ID returns the instance's name.
func (n *Node) ID() topo.InstanceID { return n.opts.ID }

// Configurator returns a client that changes the configuration at the voters'
// leader.
func (n *Node) Configurator() admin.Configurator { return n.config }

// Shutdown ends the process without interrupting a request: the instance first
// reports that it is not ready, then closes callers' connections at statement
// boundaries, and finally releases its lease. The deadline of ctx ends the grace period
// that package drain divides.
func (n *Node) Shutdown(ctx context.Context) error {
	began := time.Now()
	n.draining.Store(true)
	n.http.Notice()
	n.opts.Recorder.Record(timeline.PartProcess, timeline.ProcessStopping, timeline.Fields{})
	select {
	case <-time.After(n.drainDelay(ctx, began)):
	case <-ctx.Done():
	}
	var err error
	stopErr := n.group.Shutdown(func() { err = n.drain(ctx, began) })
	n.recordStop()
	return errors.Join(err, stopErr)
}

// drainDelay returns the time for which the instance still accepts new callers: at most
// until open transactions have to end.
func (n *Node) drainDelay(ctx context.Context, began time.Time) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return n.opts.DrainDelay
	}
	return min(n.opts.DrainDelay, drain.NewSchedule(deadline.Sub(began)).EndTransactions)
}

// drain ends the callers' connections and gives back what the instance holds.
func (n *Node) drain(ctx context.Context, began time.Time) error {
	err := n.Entry.Shutdown(ctx, began)
	if leaveErr := n.Agent.Leave(ctx); leaveErr != nil {
		klog.Warningf("node: %s could not release its lease: %v", n.opts.ID, leaveErr)
	}
	n.transferLeadership(ctx)
	n.answerAll(ctx)
	return err
}

// answerAll lets the requests of operators and the calls of other instances that were
// read end with an answer, before ctx ends.
func (n *Node) answerAll(ctx context.Context) {
	last := drain.NewLastAnswers(remaining(ctx))
	requests, cancel := context.WithTimeout(ctx, last.Wait)
	defer cancel()
	cutRequests := n.http.Shutdown(requests, last.Answer)
	calls, cancel := context.WithTimeout(ctx, last.Wait)
	defer cancel()
	cutCalls := n.peers.Shutdown(calls, last.Answer)
	if cutRequests+cutCalls > 0 {
		klog.InfoS("node: requests cut", "instance", n.opts.ID, "requests", cutRequests, "peer_calls", cutCalls)
	}
}

// remaining returns the time until the deadline of ctx, a very long one if it has none.
func remaining(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return math.MaxInt64
	}
	return max(0, time.Until(deadline))
}

// transferLeadership transfers the leadership to another voter, so that the
// voters need not wait for an election.
func (n *Node) transferLeadership(ctx context.Context) {
	if n.Voter == nil || !n.Voter.Status().IsLeader() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leadershipTransferTimeout)
	defer cancel()
	if err := n.Voter.TransferLeadership(ctx); err != nil {
		klog.Warningf("node: %s could not transfer the leadership: %v", n.opts.ID, err)
	}
}

// Kill ends the process immediately, like a crash.
func (n *Node) Kill() {
	n.stop()
}

// stop ends all components. An error has been logged by the group.
func (n *Node) stop() {
	_ = n.group.Stop()
	n.recordStop()
}

func (n *Node) recordStop() {
	n.opts.Recorder.Record(timeline.PartProcess, timeline.ProcessStopped, timeline.Fields{})
	if n.opts.Recorder != nil {
		n.opts.Recorder.Close()
	}
}

// closeAll makes the components return that do not watch their context.
func (n *Node) closeAll() {
	n.Entry.Close()
	n.http.Close()
	n.peers.Close()
	n.client.Close()
}

// Wait returns when a component has failed or the node was stopped.
func (n *Node) Wait() error { return n.group.Wait() }
