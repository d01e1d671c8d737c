package agent

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/codec"
	"github.com/cicadacove/cicadacove/internal/ctlwire"
	"github.com/cicadacove/cicadacove/internal/peer"
)

// response is implemented by all answers of a controller.
type response interface{ Head() ctlwire.Answer }

// call sends a request to the leader. If the leader is unknown, call sends it to all
// voters in parallel, so that an isolated voter does not delay the answers of the others.
func call[Rep response](ctx context.Context, a *Agent, kind string, request any) (Rep, error) {
	ctx, cancel := context.WithTimeout(ctx, a.timing.Call)
	defer cancel()
	return callWithoutTimeout[Rep](ctx, a, kind, request)
}

// callForLease is call for requests of the lease, whose answers count as long as a lease
// that is granted by them would last.
func callForLease[Rep response](ctx context.Context, a *Agent, kind string, request any) (Rep, error) {
	ctx, cancel := context.WithTimeout(ctx, a.timing.Lease-a.timing.Margin)
	defer cancel()
	return callWithoutTimeout[Rep](ctx, a, kind, request)
}

// callWithoutTimeout is call without a timeout of its own. If the leader cannot be
// reached, or doesn't answer soon, other voters relay the request. The first answer counts.
func callWithoutTimeout[Rep response](ctx context.Context, a *Agent, kind string, request any) (Rep, error) {
	var steps []step[Rep]
	if via := a.relay(); via != "" {
		steps = append(steps, step[Rep]{
			run:    func(ctx context.Context) (Rep, error) { return callVia[Rep](ctx, a, via, kind, request) },
			giveUp: func() { a.setRelay("") },
		})
	}
	leader := a.Leader()
	steps = append(steps,
		step[Rep]{
			run:    func(ctx context.Context) (Rep, error) { return callDirectly[Rep](ctx, a, kind, request) },
			giveUp: func() { a.forgetLeader(leader) },
		},
		step[Rep]{
			run: func(ctx context.Context) (Rep, error) { return callViaAnyVoter[Rep](ctx, a, kind, request) },
		},
	)
	return firstAnswer(ctx, directShare*a.timing.Call/relayParts, steps)
}

const (
	// directShare/relayParts is the fraction of a call's timeout after which the agent sends
	// the request through other voters too.
	directShare = 2
	relayParts  = 3
	// relayDuration is how long requests go through another voter before the
	// leader is called directly again.
	relayDuration = 2 * time.Second
)

func (a *Agent) relay() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.now().Sub(a.relaySince) > relayDuration {
		return ""
	}
	return a.relayAddr
}

func (a *Agent) setRelay(addr string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if addr != "" && a.relayAddr == "" {
		klog.Infof("agent: %s: leader unreachable; relaying requests through voter %s", a.opts.Self.ID, addr)
	}
	a.relayAddr, a.relaySince = addr, a.now()
}

// maxRelays is the number of voters that are asked at once to relay a request. A
// leader that is overloaded must not get every request from all voters.
const maxRelays = 2

// relayCandidates returns the voters to ask to relay a request, in random order, so
// that repeated attempts reach all of them.
func (a *Agent) relayCandidates() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	addrs := slices.DeleteFunc(slices.Clone(a.voters), func(addr string) bool { return addr == a.leader })
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return addrs[:min(len(addrs), maxRelays)]
}

// callViaAnyVoter asks some voters in parallel to relay the request.
func callViaAnyVoter[Rep response](ctx context.Context, a *Agent, kind string, request any) (Rep, error) {
	addrs := a.relayCandidates()
	replies := make(chan reply[Rep], len(addrs))
	for _, addr := range addrs {
		go func() {
			rep, err := callVia[Rep](ctx, a, addr, kind, request)
			replies <- reply[Rep]{addr, rep, err}
		}()
	}
	last := reply[Rep]{err: errors.New("no known voters")}
	for range addrs {
		last = <-replies
		if last.err == nil {
			a.setRelay(last.addr)
			return last.rep, nil
		}
	}
	return last.rep, fmt.Errorf("%s via %s: %w", kind, last.addr, last.err)
}

// callVia asks one voter to relay a request.
func callVia[Rep response](ctx context.Context, a *Agent, addr, kind string, request any) (rep Rep, err error) {
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

// callDirectly calls the leader, or all candidates if the leader is unknown, and then those
// to which their answers redirect.
func callDirectly[Rep response](ctx context.Context, a *Agent, kind string, request any) (Rep, error) {
	asked := a.leaderCandidates()
	limit := len(asked) + maxRedirects
	replies := make(chan reply[Rep], limit)
	ask := func(addr string) {
		rep, err := peer.Call[Rep](ctx, a.opts.Client, addr, kind, request)
		replies <- reply[Rep]{addr, rep, err}
	}
	for _, addr := range asked {
		go ask(addr)
	}
	last := reply[Rep]{err: fmt.Errorf("no known voters")}
	for answered := 0; answered < len(asked); answered++ {
		last = <-replies
		if last.err == nil && last.rep.Head().Status != ctlwire.NotLeader {
			a.setLeader(last.addr)
			return last.rep, nil
		}
		if ctx.Err() != nil {
			break
		}
		if addr := a.noteNotLeader(last); addr != "" && len(asked) < limit && !slices.Contains(asked, addr) {
			asked = append(asked, addr)
			go ask(addr)
		}
	}
	if last.err == nil {
		last.err = fmt.Errorf("no leader found")
	}
	return last.rep, fmt.Errorf("%s: %s: %w", kind, last.addr, last.err)
}

// reply is one voter's answer.
type reply[Rep response] struct {
	addr string
	rep  Rep
	err  error
}

// leaderInfo is the part of a reply that leads to the leader.
type leaderInfo interface {
	source() (addr, leader string, contacts []string)
}

func (r reply[Rep]) source() (addr, leader string, contacts []string) {
	if r.err != nil {
		return r.addr, "", nil
	}
	head := r.rep.Head()
	return r.addr, head.LeaderAddr, head.Contacts
}
