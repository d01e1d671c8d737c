package voter

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/samber/oops"
	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/core/replog"
)

const (
	inboxSize    = 4096
	requestsSize = 1024
	// maxBatch limits the messages and requests taken in between two syncs.
	maxBatch = 1024
	// ticksPerHeartbeat is how often the time is looked at in a heartbeat
	// interval.
	ticksPerHeartbeat = 4
)

// Voter drives one node of the log. It implements Log.
type Voter struct {
	opts    Options
	node    *replog.Node
	inbox   chan Message
	request chan request
	stopped chan struct{}

	// The fields below belong to the goroutine of Run.
	proposals map[uint64]*proposal
	confirms  map[uint64]*confirmation
	// confirmed wait until their index is applied.
	confirmed   []replog.Confirmation
	lastRequest uint64
	// answers wait for the status that they follow from to be visible.
	answers []pendingAnswer
	// snapshotAt is the index of the latest snapshot.
	snapshotAt uint64
	// logged is the status that the log lines have told.
	logged replog.Status

	mu      sync.Mutex
	status  replog.Status
	changed chan struct{}
}

// New returns a voter with the content of its store. Its machine holds the
// state of the stored snapshot.
func New(o Options) (*Voter, error) {
	o = o.withDefaults()
	if err := o.check(); err != nil {
		return nil, err
	}
	stored := o.Store.Load()
	if stored.Snapshot.HasMachineState() {
		if err := o.Machine.Restore(stored.Snapshot.Data); err != nil {
			return nil, oops.In("voter").Wrapf(err, "restore snapshot %d", stored.Snapshot.Index)
		}
	}
	v := &Voter{
		opts:       o,
		inbox:      make(chan Message, inboxSize),
		request:    make(chan request, requestsSize),
		stopped:    make(chan struct{}),
		changed:    make(chan struct{}),
		proposals:  map[uint64]*proposal{},
		confirms:   map[uint64]*confirmation{},
		snapshotAt: stored.Snapshot.Index,
	}
	v.node = replog.New(replog.Config{
		ID: o.Store.Identity(), Addr: o.Addr, Peers: o.Peers, JoinOnly: o.JoinOnly, Voters: o.Voters, NewCluster: rand.Text(),
		Seed: o.Seed, Now: time.Now(),
		HeartbeatInterval: o.HeartbeatInterval, ElectionTimeout: o.ElectionTimeout,
		KeepEntries: o.KeepEntries, Stored: stored,
	})
	v.status = v.node.Status()
	if m, ok := v.status.Members.Find(v.status.ID); ok && m.Addr != o.Addr {
		return nil, &AddressError{ID: m.ID, Member: m.Addr, Addr: o.Addr}
	}
	return v, nil
}

// Deliver takes in a message of another voter. It drops the message when the
// voter is overloaded.
func (v *Voter) Deliver(m Message) {
	select {
	case v.inbox <- m:
	default:
	}
}

// Run drives the voter until ctx ends or the store fails. It runs once.
func (v *Voter) Run(ctx context.Context) error {
	defer v.stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	if err := v.process(); err != nil {
		return err
	}
	for {
		timer.Reset(v.nextTick())
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			v.node.Tick(time.Now())
		case m := <-v.inbox:
			v.node.Tick(time.Now())
			v.node.Step(m)
		case r := <-v.request:
			v.node.Tick(time.Now())
			r.start(v)
		}
		v.takeIn()
		if err := v.process(); err != nil {
			return err
		}
	}
}

// nextTick returns the time to the next tick: a fixed part of the heartbeat
// interval, or less when the node is to campaign before.
func (v *Voter) nextTick() time.Duration {
	interval := v.opts.HeartbeatInterval / ticksPerHeartbeat
	at, ok := v.node.Deadline()
	if !ok {
		return interval
	}
	return max(0, min(interval, time.Until(at)))
}

// takeIn takes what else is queued, so that it shares the next sync.
func (v *Voter) takeIn() {
	for range maxBatch {
		select {
		case m := <-v.inbox:
			v.node.Step(m)
		case r := <-v.request:
			r.start(v)
		default:
			return
		}
	}
}

// process carries out the node's work.
func (v *Voter) process() error {
	for v.node.HasReady() {
		rd := v.node.Ready()
		if rd.Fault != nil {
			return oops.In("voter").Wrap(rd.Fault)
		}
		v.send(rd.Early)
		if err := v.store(rd); err != nil {
			return oops.In("voter").Wrapf(err, "store")
		}
		v.send(rd.Messages)
		if err := v.apply(rd); err != nil {
			return err
		}
		v.node.Advance(rd)
		if err := v.maybeSnapshot(); err != nil {
			return err
		}
		v.publish()
	}
	v.publish()
	return nil
}

func (v *Voter) send(ms []Message) {
	for _, m := range ms {
		v.opts.Transport.Send(m.ToAddr, m)
	}
}

func (v *Voter) store(rd replog.Ready) error {
	if rd.Snapshot != nil {
		v.snapshotAt = rd.Snapshot.Index
		return v.opts.Store.SaveSnapshot(rd.Hard, *rd.Snapshot, rd.Entries)
	}
	if rd.MustSync() {
		return v.opts.Store.Save(rd.Hard, rd.Entries)
	}
	return nil
}

func (v *Voter) apply(rd replog.Ready) error {
	if s := rd.Snapshot; s != nil && s.HasMachineState() {
		if err := v.opts.Machine.Restore(s.Data); err != nil {
			return oops.In("voter").Wrapf(err, "restore snapshot %d of the leader", s.Index)
		}
		klog.Infof("voter: restored snapshot %d of the leader", s.Index)
	}
	for _, e := range rd.Committed {
		v.applyEntry(e)
	}
	v.answerConfirms(rd)
	return nil
}

func (v *Voter) applyEntry(e replog.Entry) {
	var result []byte
	if e.Kind == replog.EntryData {
		result = v.opts.Machine.Apply(e.Index, e.Data)
	}
	p := v.proposals[e.Index]
	if p == nil {
		return
	}
	delete(v.proposals, e.Index)
	if p.term != e.Term {
		v.answer(p.done, nil, ErrNotLeader)
		return
	}
	v.answer(p.done, result, nil)
}

// maybeSnapshot compacts the log once enough entries were applied.
func (v *Voter) maybeSnapshot() error {
	applied := v.node.Status().Applied
	if applied < v.snapshotAt+v.opts.SnapshotEvery {
		return nil
	}
	data, err := v.opts.Machine.Snapshot()
	if err != nil {
		return oops.In("voter").Wrapf(err, "take a snapshot at %d", applied)
	}
	snapshot, entries := v.node.Compact(data)
	if err := v.opts.Store.SaveSnapshot(v.node.HardState(), snapshot, entries); err != nil {
		return oops.In("voter").Wrapf(err, "store snapshot %d", snapshot.Index)
	}
	v.snapshotAt = snapshot.Index
	return nil
}

// publish makes the status visible, then releases the answers: a caller finds
// the status that its answer follows from.
func (v *Voter) publish() {
	s := v.node.Status()
	v.logChanges(s)
	v.setStatus(s)
	if s.Role != replog.Leader {
		v.failProposals(ErrUnknown)
	}
	v.release()
}

// logChanges logs what an operator follows: the role, the members, and nodes
// that ask to join.
func (v *Voter) logChanges(s replog.Status) {
	if s.Role != v.logged.Role {
		klog.InfoS("voter: role changed", "voter", s.ID, "role", string(s.Role), "term", s.Term, "leader", s.Leader)
	}
	if !slices.Equal(s.Members, v.logged.Members) {
		klog.Infof("voter: members are now %v", s.Members)
	}
	if !slices.Equal(s.Waiting, v.logged.Waiting) {
		klog.Infof("voter: waiting to join: %v", s.Waiting)
	}
	v.logged = s
}

func (v *Voter) setStatus(s replog.Status) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if sameStatus(s, v.status) {
		return
	}
	v.status = s
	close(v.changed)
	v.changed = make(chan struct{})
}

func sameStatus(a, b replog.Status) bool {
	return a.Leader == b.Leader && a.LeaderAddr == b.LeaderAddr && a.Role == b.Role &&
		a.Term == b.Term && a.Applied == b.Applied && a.Commit == b.Commit &&
		a.LeaderSince.Equal(b.LeaderSince) && slices.Equal(a.Members, b.Members) &&
		slices.Equal(a.Waiting, b.Waiting)
}

// stop makes the end of Run visible and ends all requests.
func (v *Voter) stop() {
	s := v.node.Status()
	s.Role, s.Leader, s.LeaderAddr, s.LeaderSince = replog.Learner, "", "", time.Time{}
	v.setStatus(s)
	close(v.stopped)
	v.failProposals(ErrUnknown)
	for id := range v.confirms {
		v.answerConfirm(id, ErrNotLeader)
	}
	v.release()
}

// Status returns the present state.
func (v *Voter) Status() Status {
	s := v.Detail()
	return Status{
		ID: s.ID, Leader: s.Leader, LeaderAddr: s.LeaderAddr,
		Term: s.Term, Applied: s.Applied, LeaderSince: s.LeaderSince,
	}
}

// Detail returns the present state with the members.
func (v *Voter) Detail() replog.Status {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.status
}

// Changed returns a channel that is closed at the next change of the status.
func (v *Voter) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

var _ Log = (*Voter)(nil)

// AddressError says that the store belongs to a voter at another address. The
// members know each identity at one address only.
type AddressError struct {
	ID, Member, Addr string
}

func (e *AddressError) Error() string {
	return fmt.Sprintf("voter: the data folder belongs to voter %s at %s, this is %s", e.ID, e.Member, e.Addr)
}

// ErrStopped says that Run has ended.
var ErrStopped = errors.New("voter: stopped")
