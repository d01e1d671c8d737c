package grants

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/grant"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/peer"
)

// reportRequest is a report to the owner.
type reportRequest struct {
	From     topo.InstanceID `msgpack:"f"`
	Upstream topo.UpstreamID `msgpack:"u"`
	Capacity grant.Amount    `msgpack:"c"`
	Report   grant.Report    `msgpack:"r"`
}

// holding is this instance's grant for one upstream.
type holding struct {
	grants  *Grants
	id      topo.UpstreamID
	updated chan struct{}
	removed chan struct{}

	mu       sync.Mutex
	capacity grant.Amount
	holder   *grant.Holder
	// published is the share at the last call of Options.Changed.
	published published
	reported  grant.Report
	// expiry calls publish when the grant expires.
	expiry *time.Timer
}

// published is an instance's share of an upstream.
type published struct {
	limit   grant.Amount
	average float64
	floors  [contract.Ranks + 1]float64
}

func newHolding(g *Grants, id topo.UpstreamID, capacity grant.Amount) *holding {
	params := g.params
	params.Base = grant.BaseOf(capacity, params.Instances)
	// The clock at start-up orders the reports of successive incarnations.
	firstSeq := uint64(g.options.Now().UnixNano())
	h := &holding{
		grants:   g,
		id:       id,
		updated:  make(chan struct{}, 1),
		removed:  make(chan struct{}),
		capacity: capacity,
		holder:   grant.NewHolder(params, firstSeq),
	}
	h.expiry = time.AfterFunc(params.Duration, h.publish)
	return h
}

func (h *holding) setCapacity(capacity grant.Amount) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.capacity = capacity
}

func (h *holding) slots(now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.holder.Valid(now) {
		return h.holder.Limit(now).Slots
	}
	return h.fallbackSlots()
}

// fallbackSlots returns the slots without a grant: an even share, at least one, so
// that an instance isolated from the owner continues to serve. Slots limit the
// work sent to an upstream, not its capacity, so during a partition the sum over
// the instances may exceed the upstream's slots.
func (h *holding) fallbackSlots() int {
	return max(h.capacity.Slots/h.grants.params.Instances, 1)
}

func (h *holding) average(now time.Time) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.holder.Valid(now) {
		return h.holder.Average(now)
	}
	return float64(h.fallbackSlots())
}

func (h *holding) floors(now time.Time) [contract.Ranks + 1]float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holder.Floors(now)
}

func (h *holding) connections(now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holder.Limit(now).Connections
}

func (h *holding) mustClose(now time.Time, open int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holder.Excess(now, grant.Amount{Connections: open}).Connections
}

// run sends reports until ctx ends or the upstream is removed.
func (h *holding) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer h.expiry.Stop()
	go func() {
		select {
		case <-h.removed:
			cancel()
		case <-ctx.Done():
		}
	}()
	for ctx.Err() == nil {
		answered := h.exchange(ctx)
		h.publish()
		if !answered {
			sleep(ctx, retryDelay)
		}
	}
}

// exchange sends one report and applies its answer. It returns false if there was
// no answer.
func (h *holding) exchange(ctx context.Context) bool {
	view, _, ok := h.grants.view()
	if !ok {
		return false
	}
	owner, ok := ownerOf(h.id, view)
	if !ok {
		return false
	}
	request := h.report(view.Epoch)
	ctx, cancel := context.WithTimeout(ctx, h.grants.params.Duration)
	defer cancel()
	stop := h.cancelOnUpdate(ctx, cancel)
	g, err := h.call(ctx, owner, request)
	if updated := stop(); err != nil {
		if !updated {
			klog.V(1).Infof("grants: %s: failed to report to owner %s: %v", h.id, owner.ID, err)
		}
		return updated
	}
	h.apply(g, view.Until)
	return true
}

// cancelOnUpdate cancels the wait for the owner's answer when the instance has a
// change to report. The returned function stops waiting for a change and returns
// whether there was one.
func (h *holding) cancelOnUpdate(ctx context.Context, cancel func()) func() bool {
	done := make(chan struct{})
	updated := make(chan bool, 1)
	go func() {
		updated <- h.awaitUpdate(ctx, done)
		cancel()
	}()
	return func() bool {
		close(done)
		return <-updated
	}
}

// awaitUpdate waits until there is a change to report. It returns false if ctx or
// done ends first.
func (h *holding) awaitUpdate(ctx context.Context, done <-chan struct{}) bool {
	for {
		select {
		case <-h.updated:
			if h.needsReport() {
				return true
			}
		case <-done:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// needsReport reports whether the current usage differs from the last report in
// a way that matters to the owner: a new shortage, or a release.
func (h *holding) needsReport() bool {
	usage := h.grants.options.Usage(h.id)
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.grants.options.Now()
	if h.holder.ReturnIdle(now, usage.Demand.Busy) {
		return true
	}
	limit := h.holder.Limit(now)
	return newShortage(usage.Demand, h.reported.Demand, limit) || h.reducedUse(usage, limit)
}

func newShortage(now, reported grant.Demand, limit grant.Amount) bool {
	slots := now.Busy > limit.Slots && reported.Busy <= limit.Slots
	connections := now.Connections > limit.Connections && reported.Connections <= limit.Connections
	return slots || connections
}

// reducedUse reports whether the use in excess of the limit is lower than
// reported.
func (h *holding) reducedUse(usage Usage, limit grant.Amount) bool {
	base := h.holder.Base()
	held := h.reported.Held
	slots := held.Slots+base.Slots > max(limit.Slots, usage.InUse.Slots)
	return slots || held.Connections+base.Connections > max(limit.Connections, usage.InUse.Connections)
}

func (h *holding) report(epoch uint64) reportRequest {
	usage := h.grants.options.Usage(h.id)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holder.SetEpoch(epoch)
	h.reported = h.holder.Report(h.grants.options.Now(), usage.InUse, usage.Demand)
	return reportRequest{
		From:     h.grants.options.Self,
		Upstream: h.id,
		Capacity: h.capacity,
		Report:   h.reported,
	}
}

func (h *holding) call(ctx context.Context, owner Member, r reportRequest) (grant.Grant, error) {
	if owner.ID == h.grants.options.Self {
		return h.grants.handleReport(ctx, r)
	}
	return peer.Call[grant.Grant](ctx, h.grants.options.Client, owner.Addr, KindReport, r)
}

func (h *holding) apply(g grant.Grant, leaseEnd time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holder.Apply(g, leaseEnd)
	h.expiry.Reset(h.holder.EndsAt().Sub(h.grants.options.Now()))
}

// publish calls Options.Changed if the share differs from the published one.
func (h *holding) publish() {
	now := h.grants.options.Now()
	limit := grant.Amount{Slots: h.slots(now), Connections: h.connections(now)}
	share := published{limit, h.average(now), h.floors(now)}
	h.mu.Lock()
	changed := share != h.published
	h.published = share
	h.mu.Unlock()
	if changed {
		h.grants.options.Changed(h.id)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
