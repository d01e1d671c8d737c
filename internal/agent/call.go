package agent

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/codec"
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

// ask is call without a time limit of its own. When the leader can't be
// reached, another voter passes the request on.
func ask[Rep answered](ctx context.Context, a *Agent, kind string, request any) (Rep, error) {
	if via := a.relay(); via != "" {
		rep, err := relayed[Rep](ctx, a, via, kind, request)
		if err == nil {
			return rep, nil
		}
		a.setRelay("")
	}
	direct, cancel := context.WithTimeout(ctx, directShare*a.timing.Call/relayParts)
	defer cancel()
	rep, err := askDirectly[Rep](direct, a, kind, request)
	if err == nil || ctx.Err() != nil {
		return rep, err
	}
	if rep, relayErr := askRelays[Rep](ctx, a, kind, request); relayErr == nil {
		return rep, nil
	}
	return rep, err
}

const (
	// directShare of relayParts is the part of a call's time that the leader
	// has to answer before other voters are asked to pass the request on.
	directShare = 2
	relayParts  = 3
	// relayFor is how long requests go through another voter before the leader
	// is tried directly again.
	relayFor = 2 * time.Second
)

func (a *Agent) relay() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.now().Sub(a.relaySince) > relayFor {
		return ""
	}
	return a.relayAddr
}

func (a *Agent) setRelay(addr string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if addr != "" && a.relayAddr == "" {
		klog.Infof("agent: %s: the leader is reached through voter %s", a.opts.Self.ID, addr)
	}
	a.relayAddr, a.relaySince = addr, a.now()
}

// askRelays asks all voters at once to pass the request on.
func askRelays[Rep answered](ctx context.Context, a *Agent, kind string, request any) (Rep, error) {
	addrs := a.Voters()
	replies := make(chan reply[Rep], len(addrs))
	for _, addr := range addrs {
		go func() {
			rep, err := relayed[Rep](ctx, a, addr, kind, request)
			replies <- reply[Rep]{addr, rep, err}
		}()
	}
	last := reply[Rep]{err: errors.New("no voter is known")}
	for range addrs {
		last = <-replies
		if last.err == nil {
			a.setRelay(last.addr)
			return last.rep, nil
		}
	}
	return last.rep, fmt.Errorf("%s through %s: %w", kind, last.addr, last.err)
}

// relayed asks one voter to pass a request on.
func relayed[Rep answered](ctx context.Context, a *Agent, addr, kind string, request any) (rep Rep, err error) {
	body, err := msgpack.Marshal(request)
	if err != nil {
		return rep, err
	}
	got, err := peer.Call[ctlwire.Relayed](ctx, a.opts.Client, addr, ctlwire.KindRelay, ctlwire.Relay{Kind: kind, Body: body})
	if err != nil {
		return rep, err
	}
	if got.Status != ctlwire.OK {
		return rep, fmt.Errorf("%s: %s", addr, got.Status)
	}
	if err := codec.Unmarshal(got.Body, &rep); err != nil {
		return rep, err
	}
	if rep.Head().Status == ctlwire.NotLeader {
		return rep, fmt.Errorf("%s: %s", addr, ctlwire.NotLeader)
	}
	return rep, nil
}

// askDirectly asks the leader, or all voters when it is unknown.
func askDirectly[Rep answered](ctx context.Context, a *Agent, kind string, request any) (Rep, error) {
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
