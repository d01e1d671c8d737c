package agent

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/clock"
	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/isolation"
	"github.com/cicadacove/cicadacove/internal/ctlwire"
	"github.com/cicadacove/cicadacove/internal/peer"
)

const (
	// isolationCheckInterval is the interval at which the agent checks whether it is
	// isolated, and the timeout for answers from other instances.
	isolationCheckInterval = 250 * time.Millisecond
	// maxIsolationWitnesses is the maximum number of other instances to query.
	maxIsolationWitnesses = 4
)

// Isolated reports whether this instance is isolated from the others, and since when.
func (a *Agent) Isolated() (since time.Time, isolated bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.isolatedSince, !a.isolatedSince.IsZero()
}

// maxWithoutControl is how long an instance counts itself to the live view while control is
// unavailable to all instances.
const maxWithoutControl = 5 * time.Second

// InLiveView reports whether the other instances still count this one to the live view, as
// far as it knows: it holds a lease, or control is unavailable to all instances, so that no
// view without it can have begun.
func (a *Agent) InLiveView() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.holder.Valid(a.now()) {
		return true
	}
	registered := !a.renewedAt.IsZero() && a.leaseState != stateLeft
	return registered && a.isolatedSince.IsZero() && a.now().Sub(a.renewedAt) < maxWithoutControl
}

// IsolatedWithoutLease reports whether this instance is isolated and has no lease,
// so that it cannot expect one soon.
func (a *Agent) IsolatedWithoutLease() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.isolatedSince.IsZero() && !a.holder.Valid(a.now())
}

func (a *Agent) isolationLoop(ctx context.Context) error {
	for clock.Sleep(ctx, isolationCheckInterval) {
		ago, known := a.sinceRenewal()
		if !known || ago < isolation.GracePeriod {
			a.setIsolated(false, ago)
			a.setOvertaken(false)
			continue
		}
		reports := a.queryWitnesses(ctx)
		a.setIsolated(isolation.Isolated(ago, reports), ago)
		a.setOvertaken(isolation.Overtaken(ago, reports))
	}
	return nil
}

// sinceRenewal returns the time since the last renewal of the lease. known is false
// before the first renewal and after Leave.
func (a *Agent) sinceRenewal() (ago time.Duration, known bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.renewedAt.IsZero() || a.leaseState == stateLeft {
		return 0, false
	}
	return a.now().Sub(a.renewedAt), true
}

func (a *Agent) setOvertaken(overtaken bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.overtaken = overtaken
}

func (a *Agent) setIsolated(isolated bool, ago time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if isolated == !a.isolatedSince.IsZero() {
		return
	}
	a.isolatedSince = time.Time{}
	if isolated {
		a.isolatedSince = a.now()
	}
	klog.InfoS("agent: isolation from the other instances changed", "instance", a.opts.Self.ID, "cut_off", isolated, "renewed_ms_ago", ago.Milliseconds())
}

// queryWitnesses asks other instances about their leases, preferring those in other
// availability zones.
func (a *Agent) queryWitnesses(ctx context.Context) []isolation.Report {
	ctx, cancel := context.WithTimeout(ctx, isolationCheckInterval)
	defer cancel()
	others := slices.DeleteFunc(slices.Clone(a.Members()), func(m ctlstate.Member) bool { return m.ID == a.opts.Self.ID })
	slices.SortStableFunc(others, func(x, y ctlstate.Member) int {
		return a.zoneOrder(x) - a.zoneOrder(y)
	})
	others = others[:min(len(others), maxIsolationWitnesses)]
	reports := make([]isolation.Report, len(others))
	var wg sync.WaitGroup
	for i, m := range others {
		wg.Go(func() {
			answer, err := peer.Call[ctlwire.LeaseStatus](ctx, a.opts.Client, m.PeerAddr, ctlwire.KindLeaseStatus, ctlwire.Empty{})
			if err == nil {
				reports[i] = isolation.Report{Reached: true, Renewed: answer.Leased, RenewedAgo: answer.RenewedAgo}
			}
		})
	}
	wg.Wait()
	return reports
}

// zoneOrder sorts members of other availability zones before those of this one.
func (a *Agent) zoneOrder(m ctlstate.Member) int {
	if m.Zone == a.opts.Self.Zone {
		return 1
	}
	return 0
}

// onLeaseStatus returns the status of this instance's lease.
func (a *Agent) onLeaseStatus(context.Context, ctlwire.Empty) (ctlwire.LeaseStatus, error) {
	ago, known := a.sinceRenewal()
	return ctlwire.LeaseStatus{Leased: known && a.HasLease(), RenewedAgo: ago}, nil
}
