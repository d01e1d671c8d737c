package control

import (
	"context"
	"errors"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/cicadacove/cicadacove/internal/clock"
	"github.com/cicadacove/cicadacove/internal/ctlwire"
	"github.com/cicadacove/cicadacove/internal/peer"
)

func (c *Controller) handle(s *peer.Server) {
	peer.Handle(s, ctlwire.KindRegister, c.onRegister)
	peer.Handle(s, ctlwire.KindRenew, c.onRenew)
	peer.Handle(s, ctlwire.KindLeave, c.onLeave)
	peer.Handle(s, ctlwire.KindEvidence, c.onEvidence)
	peer.Handle(s, ctlwire.KindAnnouncements, c.onAnnouncements)
	peer.Handle(s, ctlwire.KindListAnnouncements, c.onListAnnouncements)
	peer.Handle(s, ctlwire.KindRelay, c.onRelay)
	peer.Handle(s, ctlwire.KindSwitchover, c.onSwitchover)
	peer.Handle(s, ctlwire.KindRemove, c.onRemove)
}

// notLeader returns an answer that redirects to the leader, if it is known.
func (c *Controller) notLeader() ctlwire.Answer {
	return ctlwire.Answer{Status: ctlwire.NotLeader, LeaderAddr: c.opts.Log.Status().LeaderAddr}
}

// redirect is notLeader for a member that may have lost all voters that it knew.
func (c *Controller) redirect() ctlwire.Answer {
	answer := c.notLeader()
	if c.opts.Contacts != nil {
		answer.Contacts = c.opts.Contacts()
	}
	return answer
}

func failed(err error) ctlwire.Answer {
	return ctlwire.Answer{Status: ctlwire.Failed, Reason: err.Error()}
}

var ok = ctlwire.Answer{Status: ctlwire.OK}

func (c *Controller) onRegister(ctx context.Context, req ctlwire.Register) (ctlwire.Answer, error) {
	l := c.leadership()
	if l == nil {
		return c.redirect(), nil
	}
	// A restart of all instances makes each send its registration several times.
	err := l.register(ctx, req.Member)
	var refused *RefusedError
	if errors.As(err, &refused) {
		highest := c.opts.State.HighestIncarnation(req.Member.ID)
		return ctlwire.Answer{Status: ctlwire.Superseded, Reason: refused.Reason, Highest: highest}, nil
	}
	if err != nil {
		return failed(err), nil
	}
	return ok, nil
}

// onRenew grants a lease. The quorum round starts after the renewal arrives, and
// the delta is read after the round.
func (c *Controller) onRenew(ctx context.Context, req ctlwire.Renew) (ctlwire.Renewed, error) {
	arrival := clock.Now()
	l := c.leadership()
	if l == nil {
		return ctlwire.Renewed{Answer: c.redirect()}, nil
	}
	if err := l.confirm.wait(ctx); err != nil {
		return ctlwire.Renewed{Answer: failed(err)}, nil
	}
	return l.grant(req, arrival), nil
}

func (c *Controller) onLeave(ctx context.Context, req ctlwire.Leave) (ctlwire.Answer, error) {
	l := c.leadership()
	if l == nil {
		return c.notLeader(), nil
	}
	l.recordLeaseClosed(req.Key)
	l.remove(ctx, req.Key)
	return ok, nil
}

func (c *Controller) onEvidence(_ context.Context, req ctlwire.Evidence) (ctlwire.Answer, error) {
	l := c.leadership()
	if l == nil {
		return c.notLeader(), nil
	}
	l.recordEvidence(req)
	return ok, nil
}

// relayable are the kinds of requests that a voter relays to the leader.
var relayable = map[string]bool{
	ctlwire.KindRegister: true, ctlwire.KindRenew: true, ctlwire.KindLeave: true,
	ctlwire.KindEvidence: true, ctlwire.KindAnnouncements: true,
}

// onRelay relays a request to the leader for an instance that cannot reach it. A
// lease granted this way still starts when the instance sent the request.
func (c *Controller) onRelay(ctx context.Context, req ctlwire.Relay) (ctlwire.Relayed, error) {
	status := c.opts.Log.Status()
	if !relayable[req.Kind] || status.IsLeader() || status.LeaderAddr == "" {
		return ctlwire.Relayed{Status: ctlwire.NotLeader}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, c.timing.Call)
	defer cancel()
	body, err := peer.Call[msgpack.RawMessage](ctx, c.opts.Client, status.LeaderAddr, req.Kind, req.Body)
	if err != nil {
		return ctlwire.Relayed{}, err
	}
	return ctlwire.Relayed{Status: ctlwire.OK, Body: body}, nil
}

func (c *Controller) onSwitchover(ctx context.Context, req ctlwire.Switchover) (ctlwire.Answer, error) {
	if c.leadership() == nil {
		return c.notLeader(), nil
	}
	if err := c.Switchover(ctx, req.Group, req.To); err != nil {
		return failed(err), nil
	}
	return ok, nil
}

func (c *Controller) onRemove(ctx context.Context, req ctlwire.Remove) (ctlwire.Answer, error) {
	if c.leadership() == nil {
		return c.notLeader(), nil
	}
	if err := c.RemoveDatabase(ctx, req.Group, req.ID); err != nil {
		return failed(err), nil
	}
	return ok, nil
}
