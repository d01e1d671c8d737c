package control_test

import (
	"context"
	"sync"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/control"
	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/dbcontrol"
	"github.com/cicadacove/cicadacove/internal/peer"
	"github.com/cicadacove/cicadacove/internal/voter"
)

const kindLog = "test.log"

// voterNode is a control voter of a deployment. It shares the peer server of its
// entry instance, but can be stopped and started independently.
type voterNode struct {
	d      *deployment
	entry  *entryNode
	store  *voter.MemoryStore
	timing control.Timing

	mu      sync.Mutex
	voter   *voter.Voter
	machine *ctlstate.Machine
	control *control.Controller
	cancel  context.CancelFunc
	done    sync.WaitGroup
}

func (d *deployment) startVoters(n int, timing control.Timing) {
	for _, e := range d.entries[:n] {
		v := &voterNode{d: d, entry: e, store: voter.NewMemoryStore(), timing: timing}
		peer.Handle(e.server, kindLog, func(_ context.Context, m voter.Message) (struct{}, error) {
			v.mu.Lock()
			defer v.mu.Unlock()
			v.voter.Deliver(m)
			return struct{}{}, nil
		})
		d.voters = append(d.voters, v)
	}
	for i, v := range d.voters {
		v.start(uint64(i))
	}
}

func (v *voterNode) start(seed uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	ctx, cancel := context.WithCancel(v.d.ctx)
	v.cancel = cancel
	v.machine = ctlstate.NewMachine(nil)
	var err error
	v.voter, err = voter.New(voter.Options{
		Addr: v.entry.addr(), Peers: v.d.addrs, Transport: transport{ctx, v.entry.client},
		Store: v.store, Machine: v.machine, Seed: seed + 1,
	})
	require.NoError(v.d.t, err)
	v.control = control.New(control.Options{
		Log: v.voter, State: v.machine, Client: v.entry.client, Server: v.entry.server, Timing: v.timing,
		Databases: dbcontrol.New(dbcontrol.Options{Dial: v.d.net.Dialer(v.entry.zone, string(v.entry.id))}),
		Observe:   func(e control.Event) { v.d.observe(v, e) },
	})
	log, controller := v.voter, v.control
	v.done.Go(func() { _ = log.Run(ctx) })
	v.done.Go(func() { _ = controller.Run(ctx) })
}

// stop stops the voter and its controller. The entry instance keeps running.
func (v *voterNode) stop() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cancel()
}

// restart starts the voter again from its store.
func (v *voterNode) restart() {
	v.stop()
	v.done.Wait()
	v.start(uint64(time.Now().UnixNano()))
}

// leader returns the voter that is the leader.
func (d *deployment) leader() (*voterNode, bool) {
	for _, v := range d.voters {
		v.mu.Lock()
		leads := v.voter.Status().IsLeader()
		v.mu.Unlock()
		if leads {
			return v, true
		}
	}
	return nil, false
}

// transport sends each message of the log in a goroutine of its own.
type transport struct {
	ctx    context.Context
	client *peer.Client
}

func (s transport) Send(to string, m voter.Message) {
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, time.Second)
		defer cancel()
		_ = peer.Notify(ctx, s.client, to, kindLog, m)
	}()
}
