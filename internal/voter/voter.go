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
	messageQueueSize = 4096
	requestQueueSize = 1024
	// maxBatch limits the queued messages and requests that the voter
	// processes before the next sync.
	maxBatch = 1024
	// ticksPerHeartbeat is the number of ticks of the node in one heartbeat
	// interval.
	ticksPerHeartbeat = 4
)

// Voter runs one replog.Node. It implements Log.
type Voter struct {
	opts     Options
	node     *replog.Node
	messages chan Message
	requests chan request
	stopped  chan struct{}

	// Only the goroutine of Run uses the fields from here to loggedStatus.
	proposals     map[uint64]*proposal
	confirmations map[uint64]*confirmation
	// confirmed holds the confirmations whose index is not applied yet.
	confirmed          []replog.Confirmation
	lastConfirmationID uint64
	// responses are sent after the status that they reflect is published.
	responses []pendingResponse
	// snapshotIndex is the index of the latest snapshot.
	snapshotIndex uint64
	// loggedStatus is the status at the last call of logChanges.
	loggedStatus replog.Status
	leaderless   leaderlessLog

	mu      sync.Mutex
	status  replog.Status
	changed chan struct{}
}

// New returns a voter that continues from the content of its store. It restores
// the stored snapshot into the machine.
func New(o Options) (*Voter, error) {
	o = o.withDefaults()
	if err := o.validate(); err != nil {
		return nil, err
	}
	stored := o.Store.Load()
	if stored.Snapshot.HasMachineState() {
		if err := o.Machine.Restore(stored.Snapshot.Data); err != nil {
			return nil, oops.In("voter").Wrapf(err, "restore snapshot %d", stored.Snapshot.Index)
		}
	}
	v := &Voter{
		opts:          o,
		messages:      make(chan Message, messageQueueSize),
		requests:      make(chan request, requestQueueSize),
		stopped:       make(chan struct{}),
		changed:       make(chan struct{}),
		proposals:     map[uint64]*proposal{},
		confirmations: map[uint64]*confirmation{},
		snapshotIndex: stored.Snapshot.Index,
	}
	v.node = replog.New(replog.Config{
		ID: o.Store.Identity(), Addr: o.Addr, Peers: o.Peers, JoinOnly: o.JoinOnly, Voters: o.Voters, NewCluster: rand.Text(),
		Seed: o.Seed, Now: time.Now(),
		HeartbeatInterval: o.HeartbeatInterval, ElectionTimeout: o.ElectionTimeout,
		KeepEntries: o.KeepEntries, Stored: stored,
	})
	v.status = v.node.Status()
	if m, ok := v.status.Members.Find(v.status.ID); ok && m.Addr != o.Addr {
		return nil, &AddressError{ID: m.ID, MemberAddr: m.Addr, Addr: o.Addr}
	}
	return v, nil
}

// Deliver queues a message from another voter. It drops the message when the
// queue is full.
func (v *Voter) Deliver(m Message) {
	select {
	case v.messages <- m:
	default:
	}
}

// Run runs the voter until ctx ends or an error occurs, for example in the
// store. It must be called only once.
func (v *Voter) Run(ctx context.Context) error {
	defer v.stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	if err := v.process(); err != nil {
		return err
	}
	for {
		timer.Reset(v.untilNextTick())
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			v.node.Tick(time.Now())
		case m := <-v.messages:
			v.node.Tick(time.Now())
			v.node.Step(m)
		case r := <-v.requests:
			v.node.Tick(time.Now())
			r.start(v)
		}
		v.drainQueues()
		if err := v.process(); err != nil {
			return err
		}
	}
}

// untilNextTick returns the time until the next tick: a fixed fraction of the
// heartbeat interval, or less if the election timeout of the node ends earlier.
func (v *Voter) untilNextTick() time.Duration {
	interval := v.opts.HeartbeatInterval / ticksPerHeartbeat
	at, ok := v.node.Deadline()
	if !ok {
		return interval
	}
	return max(0, min(interval, time.Until(at)))
}

// drainQueues processes the messages and requests that are already queued, so
// that they share the next sync.
func (v *Voter) drainQueues() {
	for range maxBatch {
		select {
		case m := <-v.messages:
			v.node.Step(m)
		case r := <-v.requests:
			r.start(v)
		default:
			return
		}
	}
}

// process stores, sends and applies the output of the node until the node has no
// more.
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
		v.logMemberChanges(rd.Changes)
		v.logDropped(rd.Dropped)
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
		v.snapshotIndex = rd.Snapshot.Index
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
			return oops.In("voter").Wrapf(err, "restore snapshot %d from the leader", s.Index)
		}
		klog.Infof("voter: restored the leader's snapshot at index %d", s.Index)
	}
	for _, e := range rd.Committed {
		v.applyEntry(e)
	}
	v.completeConfirmations(rd)
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
		v.respond(p.done, nil, ErrNotLeader)
		return
	}
	v.respond(p.done, result, nil)
}

// maybeSnapshot compacts the log once SnapshotEvery entries have been applied
// since the latest snapshot.
func (v *Voter) maybeSnapshot() error {
	applied := v.node.Status().Applied
	if applied < v.snapshotIndex+v.opts.SnapshotEvery {
		return nil
	}
	data, err := v.opts.Machine.Snapshot()
	if err != nil {
		return oops.In("voter").Wrapf(err, "take snapshot at index %d", applied)
	}
	snapshot, entries := v.node.Compact(data)
	if err := v.opts.Store.SaveSnapshot(v.node.HardState(), snapshot, entries); err != nil {
		return oops.In("voter").Wrapf(err, "store snapshot %d", snapshot.Index)
	}
	v.snapshotIndex = snapshot.Index
	return nil
}

// publish makes the current status visible and then sends the responses, so
// that a caller that receives a response also sees the status that it reflects.
func (v *Voter) publish() {
	s := v.node.Status()
	v.logChanges(s)
	v.setStatus(s)
	if s.Role != replog.Leader {
		v.failProposals(ErrUnknown)
	}
	v.sendResponses()
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
		a.ActiveVoters == b.ActiveVoters && a.WantedVoters == b.WantedVoters &&
		a.LeaderlessSince.Equal(b.LeaderlessSince) && slices.Equal(a.Waiting, b.Waiting) && slices.Equal(a.Unresponsive, b.Unresponsive) &&
		slices.Equal(a.Contacts, b.Contacts)
}

// stop sets the status to that of a voter that does not lead and fails all open
// requests.
func (v *Voter) stop() {
	s := v.node.Status()
	s.Role, s.Leader, s.LeaderAddr, s.LeaderSince = replog.Learner, "", "", time.Time{}
	v.setStatus(s)
	close(v.stopped)
	v.failProposals(ErrUnknown)
	for id := range v.confirmations {
		v.completeConfirmation(id, ErrNotLeader)
	}
	v.sendResponses()
}

// Status returns the current status.
func (v *Voter) Status() Status {
	s := v.NodeStatus()
	return Status{
		ID: s.ID, Leader: s.Leader, LeaderAddr: s.LeaderAddr,
		Term: s.Term, Applied: s.Applied, LeaderSince: s.LeaderSince,
		Member: s.MemberKind(), LeaderlessSince: s.LeaderlessSince,
	}
}

// NodeStatus returns the current status of the node, including the members.
func (v *Voter) NodeStatus() replog.Status {
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

// AddressError reports that the store belongs to a voter at another address.
// The membership holds one address for each identity.
type AddressError struct {
	ID, MemberAddr, Addr string
}

func (e *AddressError) Error() string {
	return fmt.Sprintf("voter: the data folder belongs to voter %s at %s, this is %s", e.ID, e.MemberAddr, e.Addr)
}

// ErrStopped means that Run has ended.
var ErrStopped = errors.New("voter: stopped")
