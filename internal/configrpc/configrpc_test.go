package configrpc

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/examples"
	"github.com/cicadacove/cicadacove/internal/admin"
	"github.com/cicadacove/cicadacove/internal/control"
	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/questionnaire"
	"github.com/cicadacove/cicadacove/internal/core/revision"
	"github.com/cicadacove/cicadacove/internal/peer"
	"github.com/cicadacove/cicadacove/internal/voter"
)

// sharedLog is the log of one voter. All voters of a test share one MemoryLog;
// leader holds the address of the leader.
type sharedLog struct {
	*control.MemoryLog
	addr   string
	leader *atomic.Value
	// resultsToLose is the number of proposals that commit but return
	// ErrUnknown, starting with the next one.
	resultsToLose *atomic.Int32
	reportsLeader bool
}

func (l *sharedLog) Propose(ctx context.Context, data []byte) ([]byte, error) {
	if l.leader.Load() != l.addr {
		return nil, voter.ErrNotLeader
	}
	result, err := l.MemoryLog.Propose(ctx, data)
	if l.resultsToLose.Add(-1) >= 0 {
		return nil, voter.ErrUnknown
	}
	return result, err
}

func (l *sharedLog) Confirm(ctx context.Context) error {
	if l.leader.Load() != l.addr {
		return voter.ErrNotLeader
	}
	return ctx.Err()
}

func (l *sharedLog) Status() voter.Status {
	s := voter.Status{}
	if l.reportsLeader {
		s.LeaderAddr, _ = l.leader.Load().(string)
	}
	return s
}

type fixture struct {
	addrs         []string
	leader        atomic.Value
	resultsToLose atomic.Int32
	section       *revision.Section
	client        *Client
}

func newFixture(t *testing.T, reportsLeader bool) *fixture {
	f := &fixture{section: revision.NewSection()}
	f.leader.Store("")
	log := control.NewMemoryLog(ctlstate.NewMachine(f.section))
	options := peer.Options{Secret: []byte("0123456789abcdef")}
	for range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		server := peer.NewServer(options)
		Serve(server, &sharedLog{MemoryLog: log, addr: l.Addr().String(), leader: &f.leader, resultsToLose: &f.resultsToLose, reportsLeader: reportsLeader}, f.section)
		go server.Serve(l)
		t.Cleanup(func() { server.Close() })
		f.addrs = append(f.addrs, l.Addr().String())
	}
	peers := peer.NewClient(options)
	t.Cleanup(peers.Close)
	f.client = NewClient(peers, f.addrs)
	return f
}

func putCommand(t *testing.T) revision.Command {
	data, err := examples.Answers("selam")
	require.NoError(t, err)
	answers, err := questionnaire.Parse(data)
	require.NoError(t, err)
	return revision.Command{
		Rules: revision.RulesVersion, RequestID: "put", Actor: "ada", Team: "selam", At: time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC),
		Change: revision.Change{Kind: revision.PutAnswers, Answers: answers},
	}
}

func TestRequestReachesTheLeaderThroughAnyVoter(t *testing.T) {
	for _, reportsLeader := range []bool{false, true} {
		f := newFixture(t, reportsLeader)
		f.leader.Store(f.addrs[2])
		result, err := f.client.Propose(t.Context(), putCommand(t))
		require.NoError(t, err)
		require.Equal(t, revision.Accepted, result.Kind)

		f.leader.Store(f.addrs[1])
		view, err := f.client.View(t.Context())
		require.NoError(t, err)
		require.Equal(t, f.section.View(), view)
		history, err := f.client.History(t.Context(), revision.HistoryQuery{Team: "selam", Limit: 10})
		require.NoError(t, err)
		require.Equal(t, "ada", history.Entries[0].Actor)
		remove := putCommand(t)
		remove.RequestID, remove.BaseRevision = "remove", 1
		remove.Change = revision.Change{Kind: revision.RemoveContract, ContractID: "selam-hire-ledger"}
		preview, err := f.client.Preview(t.Context(), remove)
		require.NoError(t, err)
		require.Equal(t, revision.Refused, preview.Kind)
	}
}

func TestProposeIsRetriedAfterALostResult(t *testing.T) {
	f := newFixture(t, false)
	f.leader.Store(f.addrs[0])
	f.resultsToLose.Store(2)
	result, err := f.client.Propose(t.Context(), putCommand(t))
	require.NoError(t, err)
	require.Equal(t, revision.Accepted, result.Kind)
	require.Equal(t, uint64(1), f.section.Revision())
}

func TestErrorsReportWhetherTheChangeMayHaveRun(t *testing.T) {
	f := newFixture(t, false)
	f.client.rounds = 1
	_, err := f.client.Propose(t.Context(), putCommand(t))
	require.ErrorIs(t, err, admin.ErrUnavailable)
	require.Zero(t, f.section.Revision())

	f.leader.Store(f.addrs[0])
	f.resultsToLose.Store(1)
	_, err = f.client.Propose(t.Context(), putCommand(t))
	require.ErrorIs(t, err, admin.ErrUnknown)
	require.Equal(t, uint64(1), f.section.Revision())
}
