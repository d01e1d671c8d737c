package grants

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/grant"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// NotOwnerError reports that this instance does not own the upstream in the
// epoch of the report.
type NotOwnerError struct {
	Upstream topo.UpstreamID
	Epoch    uint64
}

// Error implements error.
func (e *NotOwnerError) Error() string {
	return fmt.Sprintf("grants: not the owner of %s in epoch %d", e.Upstream, e.Epoch)
}

// SupersededError reports that the holder has sent a newer report.
type SupersededError struct{ Upstream topo.UpstreamID }

// Error implements error.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("grants: a newer report on %s has arrived", e.Upstream)
}

// owned is an upstream that this instance owns in the active epoch.
type owned struct {
	mu    sync.Mutex
	owner *grant.Owner
	// changed is closed and replaced after each report.
	changed chan struct{}
}

func (o *owned) setCapacity(capacity grant.Amount) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.owner.SetCapacity(capacity)
}

// handleReport records a report and delays the answer until the holder's share
// changes or a quarter of a grant's duration has passed.
func (g *Grants) handleReport(ctx context.Context, r reportRequest) (grant.Grant, error) {
	o, err := g.ownedFor(r)
	if err != nil {
		return grant.Grant{}, err
	}
	if !o.report(g.options.Now(), r) {
		return grant.Grant{}, &SupersededError{r.Upstream}
	}
	until := g.options.Now().Add(g.params.Duration / longPollDivisor)
	for {
		changed, next, ready := o.poll(g.options.Now(), r, until)
		if ready {
			return g.commit(o, r)
		}
		if err := awaitChange(ctx, changed, next.Sub(g.options.Now())); err != nil {
			return grant.Grant{}, err
		}
	}
}

// ownedFor returns the owner's state for a report and creates it if necessary.
func (g *Grants) ownedFor(r reportRequest) (*owned, error) {
	view, since, ok := g.view()
	member, found := ownerOf(r.Upstream, view)
	if !ok || !found || member.ID != g.options.Self || view.Epoch != r.Report.Epoch {
		return nil, &NotOwnerError{r.Upstream, r.Report.Epoch}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.epoch != view.Epoch {
		return nil, &NotOwnerError{r.Upstream, r.Report.Epoch}
	}
	o := g.owned[r.Upstream]
	if o == nil {
		params := g.params
		params.Base = grant.BaseOf(r.Capacity, params.Instances)
		fresh := view.Epoch == firstEpoch
		o = &owned{
			owner:   grant.NewOwner(params, r.Capacity, view.Epoch, view.ids(), since, fresh),
			changed: make(chan struct{}),
		}
		g.owned[r.Upstream] = o
	}
	return o, nil
}

// firstEpoch is the first epoch of the live view. There were no grants before it.
const firstEpoch = 1

func (o *owned) report(now time.Time, r reportRequest) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.owner.Report(now, r.From, r.Report) {
		return false
	}
	close(o.changed)
	o.changed = make(chan struct{})
	return true
}

// poll reports whether the answer is due. If not, it returns the channel and the
// time of which the caller must await the first.
func (o *owned) poll(now time.Time, r reportRequest, until time.Time) (<-chan struct{}, time.Time, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	next := o.owner.Tick(now)
	superseded := o.owner.Latest(r.From) != r.Report.Seq
	if superseded || !now.Before(until) || o.owner.Changed(now, r.From) {
		return nil, time.Time{}, true
	}
	if until.Before(next) {
		next = until
	}
	return o.changed, next, false
}

// commit returns the grant if this instance still owns the upstream.
func (g *Grants) commit(o *owned, r reportRequest) (grant.Grant, error) {
	if current, err := g.ownedFor(r); err != nil || current != o {
		return grant.Grant{}, &NotOwnerError{r.Upstream, r.Report.Epoch}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.owner.Latest(r.From) != r.Report.Seq {
		return grant.Grant{}, &SupersededError{r.Upstream}
	}
	answer, _ := o.owner.Grant(g.options.Now(), r.From)
	return answer, nil
}

func awaitChange(ctx context.Context, changed <-chan struct{}, d time.Duration) error {
	timer := time.NewTimer(max(d, 0))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-changed:
	case <-timer.C:
	}
	return nil
}
