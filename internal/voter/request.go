package voter

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/replog"
)

// ErrTooLarge means that a proposal exceeds MaxProposalBytes; nothing was
// appended.
var ErrTooLarge = errors.New("voter: the proposal is too large")

// request is work for the goroutine of Run, which calls start.
type request interface{ start(*Voter) }

// response is the result of a request or its error.
type response struct {
	result []byte
	err    error
}

// pendingResponse is a response that the voter has not sent to the caller yet.
type pendingResponse struct {
	response
	done chan<- response
}

func (v *Voter) respond(done chan<- response, result []byte, err error) {
	v.responses = append(v.responses, pendingResponse{response{result, err}, done})
}

// sendResponses sends the pending responses to their callers.
func (v *Voter) sendResponses() {
	for _, r := range v.responses {
		r.done <- r.response
	}
	v.responses = nil
}

// proposal is an entry that a caller waits for. append appends it to the log.
type proposal struct {
	ctx    context.Context
	append func(*replog.Node) (index, term uint64, err error)
	term   uint64
	done   chan response
}

func (p *proposal) start(v *Voter) {
	if p.ctx.Err() != nil {
		v.respond(p.done, nil, ErrNotLeader)
		return
	}
	index, term, err := p.append(v.node)
	if errors.Is(err, replog.ErrNotLeader) {
		err = ErrNotLeader
	}
	if err != nil {
		v.respond(p.done, nil, err)
		return
	}
	p.term = term
	v.proposals[index] = p
}

func (v *Voter) failProposals(err error) {
	for index, p := range v.proposals {
		delete(v.proposals, index)
		v.respond(p.done, nil, err)
	}
}

// Propose appends data and waits until this voter has applied it.
func (v *Voter) Propose(ctx context.Context, data []byte) ([]byte, error) {
	if len(data) > MaxProposalBytes {
		return nil, ErrTooLarge
	}
	return v.propose(ctx, func(n *replog.Node) (uint64, uint64, error) {
		index, term, ok := n.Propose(data)
		if !ok {
			return 0, 0, ErrNotLeader
		}
		return index, term, nil
	})
}

func (v *Voter) propose(ctx context.Context, appendEntry func(*replog.Node) (uint64, uint64, error)) ([]byte, error) {
	if v.hasStopped() {
		return nil, fmt.Errorf("%w: %w", ErrNotLeader, ErrStopped)
	}
	p := &proposal{ctx: ctx, append: appendEntry, done: make(chan response, 1)}
	select {
	case v.requests <- p:
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", ErrNotLeader, ctx.Err())
	case <-v.stopped:
		return nil, fmt.Errorf("%w: %w", ErrNotLeader, ErrStopped)
	}
	select {
	case r := <-p.done:
		return r.result, r.err
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", ErrUnknown, ctx.Err())
	case <-v.stopped:
		return p.responseAfterStop()
	}
}

func (v *Voter) hasStopped() bool {
	select {
	case <-v.stopped:
		return true
	default:
		return false
	}
}

// responseAfterStop returns the response if Run sent one before it ended, else
// ErrUnknown.
func (p *proposal) responseAfterStop() ([]byte, error) {
	select {
	case r := <-p.done:
		return r.result, r.err
	default:
		return nil, fmt.Errorf("%w: %w", ErrUnknown, ErrStopped)
	}
}

// confirmation is a request to confirm with a quorum that this voter leads.
type confirmation struct {
	done chan response
}

func (c *confirmation) start(v *Voter) {
	v.lastConfirmationID++
	v.confirmations[v.lastConfirmationID] = c
	v.node.Confirm(v.lastConfirmationID)
}

// Confirm returns nil once a quorum has confirmed, in a round of messages that
// began after the call, that this voter is the leader, and this voter has
// applied all entries accepted before the round.
func (v *Voter) Confirm(ctx context.Context) error {
	c := &confirmation{done: make(chan response, 1)}
	select {
	case v.requests <- c:
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrNotLeader, ctx.Err())
	case <-v.stopped:
		return ErrNotLeader
	}
	select {
	case r := <-c.done:
		return r.err
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrNotLeader, ctx.Err())
	case <-v.stopped:
		return ErrNotLeader
	}
}

// completeConfirmations responds to the refused confirmations and to the
// confirmed ones whose index is applied, counting the entries that rd commits.
func (v *Voter) completeConfirmations(rd replog.Ready) {
	for _, id := range rd.Refused {
		v.completeConfirmation(id, ErrNotLeader)
	}
	v.confirmed = append(v.confirmed, rd.Confirmed...)
	applied := v.node.Status().Applied
	if n := len(rd.Committed); n > 0 {
		applied = rd.Committed[n-1].Index
	}
	waiting := v.confirmed[:0]
	for _, c := range v.confirmed {
		if c.Index <= applied {
			v.completeConfirmation(c.Request, nil)
			continue
		}
		waiting = append(waiting, c)
	}
	v.confirmed = waiting
}

func (v *Voter) completeConfirmation(id uint64, err error) {
	c := v.confirmations[id]
	if c == nil {
		return
	}
	delete(v.confirmations, id)
	v.respond(c.done, nil, err)
}

// AddLearner adds a node that waits to join (see replog.Status.Waiting) and
// returns once the change is committed. With promote the leader makes it a
// voter as soon as it has caught up.
func (v *Voter) AddLearner(ctx context.Context, id, addr string, promote bool) error {
	_, err := v.propose(ctx, func(n *replog.Node) (uint64, uint64, error) {
		return n.AddLearner(replog.Member{ID: id, Addr: addr, PromoteWhenCaughtUp: promote})
	})
	return err
}

// Promote turns a learner that has caught up into a voter.
func (v *Voter) Promote(ctx context.Context, id string) error {
	_, err := v.propose(ctx, func(n *replog.Node) (uint64, uint64, error) {
		return n.Promote(id)
	})
	return err
}

// Remove removes a member and returns once the change is committed.
func (v *Voter) Remove(ctx context.Context, id string) error {
	_, err := v.propose(ctx, func(n *replog.Node) (uint64, uint64, error) {
		return n.Remove(id)
	})
	return err
}

// setSeeds is a request to contact further addresses while there is no leader.
type setSeeds []string

func (addrs setSeeds) start(v *Voter) { v.node.SetSeeds(addrs) }

// SetSeeds sets addresses of nodes that this voter contacts, besides those that it knows,
// while it has no leader. It has no effect after Run has ended.
func (v *Voter) SetSeeds(addrs []string) {
	select {
	case v.requests <- setSeeds(addrs):
	case <-v.stopped:
	}
}

// transferLeadership is a request to the node to transfer the leadership once.
type transferLeadership struct{}

func (transferLeadership) start(v *Voter) { v.node.TransferLeadership() }

// TransferLeadership transfers the leadership to another voter before a shutdown. It
// returns once this voter is not the leader.
func (v *Voter) TransferLeadership(ctx context.Context) error {
	for {
		changed := v.Changed()
		if !v.Status().IsLeader() {
			return nil
		}
		select {
		case v.requests <- transferLeadership{}:
		case <-ctx.Done():
			return ctx.Err()
		}
		select {
		case <-changed:
		case <-time.After(v.opts.HeartbeatInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
