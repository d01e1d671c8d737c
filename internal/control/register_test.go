package control_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/codec"
	"github.com/cicadacove/cicadacove/internal/control"
	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/ctlwire"
	"github.com/cicadacove/cicadacove/internal/dbcontrol"
	"github.com/cicadacove/cicadacove/internal/peer"
)

// slowLog is a log whose commits take a while. It counts the registrations.
type slowLog struct {
	*control.MemoryLog
	registrations atomic.Int64
}

func (l *slowLog) Propose(ctx context.Context, data []byte) ([]byte, error) {
	var c ctlstate.Command
	if err := codec.Unmarshal(data, &c); err == nil && c.Register != nil {
		l.registrations.Add(1)
		time.Sleep(20 * time.Millisecond)
	}
	return l.MemoryLog.Propose(ctx, data)
}

// After a restart of all instances the leader is slow, and each instance sends its
// registration again and again, directly and through other voters. The log must not
// grow by that.
func TestRepeatedRegistrationsShareOneEntry(t *testing.T) {
	const instances, repeats = 30, 6
	machine := ctlstate.NewMachine(nil)
	log := &slowLog{MemoryLog: control.NewMemoryLog(machine)}
	client, server := peer.NewClient(peer.Options{}), peer.NewServer(peer.Options{})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { client.Close(); _ = server.Close() })
	c := control.New(control.Options{
		Self: ln.Addr().String(), Log: log, State: machine, Client: client, Server: server, Databases: dbcontrol.New(dbcontrol.Options{}),
	})
	go func() { _ = c.Run(t.Context()) }()
	register := func(m ctlstate.Member) ctlwire.Answer {
		answer, err := peer.Call[ctlwire.Answer](t.Context(), client, ln.Addr().String(), ctlwire.KindRegister, ctlwire.Register{Member: m})
		require.NoError(t, err)
		return answer
	}
	require.Eventually(t, func() bool {
		return register(ctlstate.Member{ID: "first", Incarnation: 1, PeerAddr: "127.0.0.1:1"}).Status == ctlwire.OK
	}, 5*time.Second, 10*time.Millisecond)
	log.registrations.Store(0)

	var calls sync.WaitGroup
	for i := range instances {
		m := ctlstate.Member{ID: topo.InstanceID(fmt.Sprintf("e%d", i)), Incarnation: 1, PeerAddr: "127.0.0.1:1"}
		for range repeats {
			calls.Go(func() { require.Equal(t, ctlwire.OK, register(m).Status) })
		}
	}
	calls.Wait()
	require.Equal(t, int64(instances), log.registrations.Load())
	require.Equal(t, ctlwire.OK, register(ctlstate.Member{ID: "e0", Incarnation: 1, PeerAddr: "127.0.0.1:1"}).Status, "again, when it is registered")
	require.Equal(t, int64(instances), log.registrations.Load())
}
