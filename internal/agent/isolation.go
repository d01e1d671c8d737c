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
	// isolationCheck is the interval at which a failing renewal is looked
	// into, and bounds the wait for the others' answers.
	isolationCheck = 250 * time.Millisecond
	// isolationWitnesses is how many other instances are asked.
	isolationWitnesses = 4
)

// CutOff reports whether this instance is cut off from the others, and since
// when.
func (a *Agent) CutOff() (since time.Time, cutOff bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.cutOffSince, !a.cutOffSince.IsZero()
}

// Stranded reports whether this instance has no lease and, cut off from the
// others, can't expect one soon.
func (a *Agent) Stranded() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.cutOffSince.IsZero() && !a.holder.Valid(a.now())
}

func (a *Agent) isolationLoop(ctx context.Context) error {
	for clock.Sleep(ctx, isolationCheck) {
		ago, known := a.renewedAgo()
		if !known || ago < isolation.Patience {
			a.noteIsolation(false, ago)
			continue
		}
		a.noteIsolation(isolation.CutOff(ago, a.askWitnesses(ctx)), ago)
	}
	return nil
}

// renewedAgo is the time since the latest renewal of the lease.
func (a *Agent) renewedAgo() (ago time.Duration, known bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.renewedAt.IsZero() || a.state == stateLeft {
		return 0, false
	}
	return a.now().Sub(a.renewedAt), true
}

func (a *Agent) noteIsolation(cutOff bool, ago time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if cutOff == !a.cutOffSince.IsZero() {
		return
	}
	a.cutOffSince = time.Time{}
	if cutOff {
		a.cutOffSince = a.now()
	}
	klog.InfoS("agent: cut off from the others", "instance", a.opts.Self.ID, "cut_off", cutOff, "renewed_ms_ago", ago.Milliseconds())
}

// askWitnesses asks other instances, first those of other availability zones.
func (a *Agent) askWitnesses(ctx context.Context) []isolation.Report {
	ctx, cancel := context.WithTimeout(ctx, isolationCheck)
	defer cancel()
	others := slices.DeleteFunc(a.Members(), func(m ctlstate.Member) bool { return m.ID == a.opts.Self.ID })
	slices.SortStableFunc(others, func(x, y ctlstate.Member) int {
		return a.zoneOrder(x) - a.zoneOrder(y)
	})
	others = others[:min(len(others), isolationWitnesses)]
	reports := make([]isolation.Report, len(others))
	var wg sync.WaitGroup
	for i, m := range others {
		wg.Go(func() {
			answer, err := peer.Call[ctlwire.Standing](ctx, a.opts.Client, m.PeerAddr, ctlwire.KindStanding, ctlwire.Empty{})
			if err == nil {
				reports[i] = isolation.Report{Reached: true, Renewed: answer.Leased, RenewedAgo: answer.RenewedAgo}
			}
		})
	}
	wg.Wait()
	return reports
}

// zoneOrder puts other availability zones before the own one.
func (a *Agent) zoneOrder(m ctlstate.Member) int {
	if m.Zone == a.opts.Self.Zone {
		return 1
	}
	return 0
}

// onStanding tells another instance how this one's lease stands.
func (a *Agent) onStanding(context.Context, ctlwire.Empty) (ctlwire.Standing, error) {
	ago, known := a.renewedAgo()
	return ctlwire.Standing{Leased: known && a.HasLease(), RenewedAgo: ago}, nil
}
