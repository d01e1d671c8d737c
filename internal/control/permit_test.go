package control_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/clock"
	"github.com/cicadacove/cicadacove/internal/control"
	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/ctlwire"
	"github.com/cicadacove/cicadacove/internal/dbapi"
	"github.com/cicadacove/cicadacove/internal/dbcontrol"
	"github.com/cicadacove/cicadacove/internal/peer"
	"github.com/cicadacove/cicadacove/internal/voter"
)

// suspendedLog is the log of a leader that is suspended at a chosen step. After it
// wakes its status still names it leader, as before the first message arrives.
type suspendedLog struct {
	*control.MemoryLog

	mu      sync.Mutex
	confirm func(context.Context) error
}

func (l *suspendedLog) setConfirm(confirm func(context.Context) error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.confirm = confirm
}

func (l *suspendedLog) Confirm(ctx context.Context) error {
	l.mu.Lock()
	confirm := l.confirm
	l.mu.Unlock()
	if confirm == nil {
		return l.MemoryLog.Confirm(ctx)
	}
	return confirm(ctx)
}

// sentCommand is a command that a database received.
type sentCommand struct {
	name string
	term topo.Term
}

// recordedDatabases are databases that carry out every command, record it and check
// its permit as clients do.
type recordedDatabases struct {
	mu   sync.Mutex
	sent []sentCommand
	// beforeSend, if not nil, runs between the controller's call and the check.
	beforeSend func(name string)
	// omitsPosition makes the databases answer without their position.
	omitsPosition atomic.Bool
}

func (r *recordedDatabases) status(at dbapi.Location) dbapi.Status {
	s := dbapi.Status{ID: at.ID, Term: 1}
	if !r.omitsPosition.Load() {
		s.Point = topo.Reported(topo.Point{Term: 1, Position: 7})
	}
	return s
}

func (r *recordedDatabases) send(p dbapi.Permit, name string, at dbapi.Location, t topo.Term) (dbapi.Status, error) {
	if r.beforeSend != nil {
		r.beforeSend(name)
	}
	if err := p.Check(clock.Now()); err != nil {
		return dbapi.Status{}, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent = append(r.sent, sentCommand{name, t})
	return r.status(at), nil
}

func (r *recordedDatabases) count(name string) int { return len(r.terms(name)) }

// terms returns the terms of the commands with the name.
func (r *recordedDatabases) terms(name string) []topo.Term {
	r.mu.Lock()
	defer r.mu.Unlock()
	var terms []topo.Term
	for _, c := range r.sent {
		if c.name == name {
			terms = append(terms, c.term)
		}
	}
	return terms
}

func (r *recordedDatabases) Status(_ context.Context, at dbapi.Location) (dbapi.Status, error) {
	return r.status(at), nil
}

func (r *recordedDatabases) Wait(_ context.Context, at dbapi.Location, _ topo.Point, _ time.Duration) (dbapi.Status, error) {
	return r.status(at), nil
}

func (r *recordedDatabases) Fence(_ context.Context, p dbapi.Permit, at dbapi.Location, t topo.Term) (dbapi.Status, error) {
	return r.send(p, "fence", at, t)
}

func (r *recordedDatabases) Promote(_ context.Context, p dbapi.Permit, at dbapi.Location, t topo.Term) (dbapi.Status, error) {
	return r.send(p, "promote", at, t)
}

func (r *recordedDatabases) Follow(_ context.Context, p dbapi.Permit, at dbapi.Location, t topo.Term, _ string) (dbapi.Status, error) {
	return r.send(p, "follow", at, t)
}

func (r *recordedDatabases) Close() {}

// suspension is a controller whose leader can be suspended during a failover from
// database a to b.
type suspension struct {
	t          *testing.T
	log        *suspendedLog
	machine    *ctlstate.Machine
	databases  *recordedDatabases
	controller *control.Controller

	mu      sync.Mutex
	onEvent func(name string)
}

func startSuspension(t *testing.T) *suspension {
	s := &suspension{t: t, machine: ctlstate.NewMachine(nil), databases: &recordedDatabases{}}
	s.log = &suspendedLog{MemoryLog: control.NewMemoryLog(s.machine)}
	client, server := peer.NewClient(peer.Options{}), peer.NewServer(peer.Options{})
	t.Cleanup(func() { client.Close(); _ = server.Close() })
	s.controller = control.New(control.Options{
		Log: s.log, State: s.machine, Client: client, Server: server, Databases: s.databases, Observe: s.observe,
	})
	for _, id := range []topo.UpstreamID{"a", "b", "c"} {
		s.propose(ctlstate.Command{AddDatabase: &ctlstate.AddDatabase{
			Group: group, Database: ctlstate.Database{ID: id, Addr: string(id)}, CreateGroup: id == "a", Term: 1,
		}})
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { defer close(stopped); _ = s.controller.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-stopped })
	return s
}

func (s *suspension) propose(c ctlstate.Command) {
	data, err := c.Encode()
	require.NoError(s.t, err)
	_, err = s.log.Propose(s.t.Context(), data)
	require.NoError(s.t, err)
}

func (s *suspension) observe(e control.Event) {
	s.mu.Lock()
	on := s.onEvent
	s.mu.Unlock()
	if on != nil {
		on(e.Name)
	}
}

// after runs f right after an event of the failover, before its commands start.
func (s *suspension) after(event string, f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onEvent = func(name string) {
		if name == event {
			f()
		}
	}
}

// switchover starts a switchover to b and waits for at most the limit.
func (s *suspension) switchover(limit time.Duration) error {
	ctx, cancel := context.WithTimeout(s.t.Context(), limit)
	defer cancel()
	err := s.controller.Switchover(ctx, group, "b")
	// Before the leader's work has started.
	for (errors.Is(err, control.ErrNotLeader) || errors.Is(err, control.ErrBusy)) && ctx.Err() == nil {
		clock.Sleep(ctx, time.Millisecond)
		err = s.controller.Switchover(ctx, group, "b")
	}
	return err
}

func replaced(context.Context) error { return voter.ErrNotLeader }

const suspensionLimit = 3 * ctlwire.DefaultPromote / 2

func TestSwitchoverIsPermittedByALeaderThatIsConfirmed(t *testing.T) {
	t.Parallel()
	s := startSuspension(t)
	require.NoError(t, s.switchover(5*time.Second))
	require.Equal(t, 1, s.databases.count("promote"))
	require.NotZero(t, s.databases.count("fence"))
}

func TestReplacedLeaderThatWakesPromotesNothing(t *testing.T) {
	for _, event := range []string{"chosen", "drained"} {
		t.Run(event, func(t *testing.T) {
			t.Parallel()
			s := startSuspension(t)
			s.after(event, func() { s.log.setConfirm(replaced) })
			require.Error(t, s.switchover(suspensionLimit))
			require.Zero(t, s.databases.count("promote"))
		})
	}
}

func TestReplacedLeaderThatWakesFencesNothing(t *testing.T) {
	t.Parallel()
	s := startSuspension(t)
	s.after("begun", func() { s.log.setConfirm(replaced) })
	require.Error(t, s.switchover(suspensionLimit))
	require.Zero(t, s.databases.count("fence"))
}

// The replies of a quorum round may be read only after a suspension.
func TestConfirmationFromBeforeASuspensionIsNotUsed(t *testing.T) {
	t.Parallel()
	s := startSuspension(t)
	s.after("drained", func() {
		s.log.setConfirm(func(context.Context) error {
			time.Sleep(voter.DefaultElectionTimeout)
			return nil
		})
	})
	require.Error(t, s.switchover(2*suspensionLimit))
	require.Zero(t, s.databases.count("promote"))
}

func TestLeaderSuspendedBetweenConfirmationAndSendPromotesNothing(t *testing.T) {
	t.Parallel()
	s := startSuspension(t)
	var names []string
	s.databases.beforeSend = func(name string) {
		if name != "promote" {
			return
		}
		s.log.setConfirm(replaced)
		time.Sleep(voter.DefaultElectionTimeout)
		s.databases.mu.Lock()
		defer s.databases.mu.Unlock()
		names = append(names, name)
	}
	require.Error(t, s.switchover(2*suspensionLimit))
	require.Zero(t, s.databases.count("promote"))
	s.databases.mu.Lock()
	defer s.databases.mu.Unlock()
	require.Equal(t, []string{"promote"}, slices.Compact(names))
}

// A former leader may be elected again while a command of its earlier term waits.
func TestCommandOfASupersededAttemptIsNotSent(t *testing.T) {
	t.Parallel()
	s := startSuspension(t)
	g, _ := s.machine.Group(group)
	superseded := g.NextTerm()
	later, err := ctlstate.Command{Begin: &ctlstate.BeginFailover{Group: group, Term: superseded + 1}}.Encode()
	require.NoError(t, err)
	s.after("drained", func() {
		s.log.setConfirm(func(ctx context.Context) error {
			_, err := s.log.Propose(ctx, later)
			return err
		})
	})
	// The driver may go on with an attempt of a later term.
	_ = s.switchover(suspensionLimit)
	require.Contains(t, s.databases.terms("fence"), superseded)
	require.NotContains(t, s.databases.terms("promote"), superseded)
}

func TestReplacedLeaderThatWakesMakesNothingFollow(t *testing.T) {
	t.Parallel()
	s := startSuspension(t)
	require.NoError(t, s.switchover(5*time.Second))
	var asked atomic.Int64
	s.log.setConfirm(func(context.Context) error {
		asked.Add(1)
		return voter.ErrNotLeader
	})
	_, err := s.controller.Announce(t.Context(), topo.Announcement{
		Group: group, ID: "a", Addr: "a", Incarnation: 2, Seq: 1, Role: topo.RolePrimary,
	})
	require.NoError(t, err)
	require.Eventually(t, func() bool { return asked.Load() > 1 }, 5*time.Second, 10*time.Millisecond)
	require.Zero(t, s.databases.count("follow"))
	s.log.setConfirm(nil)
	require.Eventually(t, func() bool { return s.databases.count("follow") > 0 }, 5*time.Second, 10*time.Millisecond)
}

func TestDatabaseRoleIsUnchangedByAnExpiredPermit(t *testing.T) {
	t.Parallel()
	d := deploy(t, deployOptions{entries: 1})
	client := dbcontrol.New(dbcontrol.Options{Dial: d.net.Dialer("z1", "e0")})
	t.Cleanup(client.Close)
	b := d.database("b")
	at := dbapi.Location{Group: group, ID: b.ID(), Addr: b.Addr()}
	expired := dbapi.Permit{SendBy: clock.Now()}
	const term = 9
	for range 2 { // on a new and on an idle connection
		_, err := client.Fence(t.Context(), expired, at, term)
		require.ErrorIs(t, err, dbapi.ErrPermitExpired)
		_, err = client.Promote(t.Context(), expired, at, term)
		require.ErrorIs(t, err, dbapi.ErrPermitExpired)
		_, err = client.Follow(t.Context(), expired, at, term, "")
		require.ErrorIs(t, err, dbapi.ErrPermitExpired)
	}
	require.Less(t, b.Status().FencedTerm, topo.Term(term))
	require.Equal(t, topo.RoleReplica, b.Status().Role)
}

// Guards against a database that is promoted although it did not say how much of the log it
// has: another one may have acknowledged writes that it lacks.
func TestDatabasesWithoutPositionAreNotChosen(t *testing.T) {
	t.Parallel()
	s := startSuspension(t)
	s.after("begun", func() { s.databases.omitsPosition.Store(true) })
	require.Error(t, s.switchover(suspensionLimit))
	require.NotZero(t, s.databases.count("fence"))
	require.Zero(t, s.databases.count("promote"))
	s.databases.omitsPosition.Store(false)
	require.Eventually(t, func() bool { return s.databases.count("promote") == 1 }, 5*time.Second, time.Millisecond)
}

// Guards against a switchover to a database that is not known to have the primary's log.
func TestSwitchoverNeedsThePositions(t *testing.T) {
	t.Parallel()
	s := startSuspension(t)
	s.databases.omitsPosition.Store(true)
	require.ErrorIs(t, s.switchover(5*time.Second), dbapi.ErrNoPosition)
	require.Zero(t, s.databases.count("fence"))
}
