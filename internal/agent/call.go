package agent

import (
	"context"
	"fmt"
	"slices"

	"github.com/cicadacove/cicadacove/internal/ctlwire"
	"github.com/cicadacove/cicadacove/internal/peer"
)

// answered is implemented by all answers of a controller.
type answered interface{ Head() ctlwire.Answer }

// call sends a request to the leader. When the leader is unknown it asks all
// voters at once: a voter that is cut off must not delay the others' answers.
func call[Rep answered](ctx context.Context, a *Agent, kind string, request any) (Rep, error) {
	ctx, cancel := context.WithTimeout(ctx, a.timing.Call)
	defer cancel()
	return ask[Rep](ctx, a, kind, request)
}

// ask is call without a time limit of its own.
func ask[Rep answered](ctx context.Context, a *Agent, kind string, request any) (Rep, error) {
	addrs := a.candidates()
	replies := make(chan reply[Rep], len(addrs))
	for _, addr := range addrs {
		go func() {
			rep, err := peer.Call[Rep](ctx, a.opts.Client, addr, kind, request)
			replies <- reply[Rep]{addr, rep, err}
		}()
	}
	last := reply[Rep]{err: fmt.Errorf("no voter is known")}
	for range addrs {
		last = <-replies
		if last.err == nil && last.rep.Head().Status != ctlwire.NotLeader {
			a.turnTo(last.addr)
			return last.rep, nil
		}
		a.turnFrom(last)
	}
	if last.err == nil {
		last.err = fmt.Errorf("no leader")
	}
	return last.rep, fmt.Errorf("%s: %s: %w", kind, last.addr, last.err)
}

// reply is one voter's answer.
type reply[Rep answered] struct {
	addr string
	rep  Rep
	err  error
}

// outcome is the part of a reply that tells where the leader is.
type outcome interface {
	from() (addr, leader string)
}

func (r reply[Rep]) from() (addr, leader string) {
	if r.err != nil {
		return r.addr, ""
	}
	return r.addr, r.rep.Head().LeaderAddr
}

// candidates returns the leader's address, or all addresses at which the
// leader may be.
func (a *Agent) candidates() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leader != "" {
		return []string{a.leader}
	}
	addrs := slices.Clone(a.voters)
	if a.hint != "" && !slices.Contains(addrs, a.hint) {
		addrs = append(addrs, a.hint)
	}
	return addrs
}

func (a *Agent) turnTo(addr string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leader = addr
}

// turnFrom forgets the leader unless another one has been found. A hint of a
// voter is kept for the next request.
func (a *Agent) turnFrom(o outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	addr, leader := o.from()
	if a.leader == addr {
		a.leader = ""
	}
	if leader != "" {
		a.hint = leader
	}
}
