package telemetry

import (
	"context"

	"github.com/cicadacove/cicadacove/internal/core/topo"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Keys of the attributes of organisations and relays.
const (
	keyOrganisation = attribute.Key("organisation")
	keyResult       = attribute.Key("result")
	keyDirection    = attribute.Key("direction")
)

// OrganisationOperations are the operations of an organisation at this instance since its
// start.
type OrganisationOperations struct {
	Organisation string
	// WithoutOwner is the part of Taken that was admitted without an owner.
	Taken, Refused, WithoutOwner uint64
}

// RelayOutcomes counts relayed statements by their outcome.
type RelayOutcomes struct {
	Done, Refused, Lost uint64
}

// UpstreamRelay describes how statements to an upstream are sent.
type UpstreamRelay struct {
	Upstream topo.UpstreamID
	// Relayed means that its statements are relayed to holders, Holder that this instance
	// is one of them.
	Relayed, Holder bool
}

// RelayState is the state of relaying at this instance.
type RelayState struct {
	// Sent are statements relayed to holders, Served those of other instances.
	Sent, Served RelayOutcomes
	Upstreams    []UpstreamRelay
}

// Organisations sets the operations of organisations. Only these have a series from now
// on, so their number is bounded by the list.
func (i *Instruments) Organisations(list []OrganisationOperations) {
	if i == nil {
		return
	}
	i.organisations.Store(&list)
}

// Relays sets the state of relaying. Only the upstreams in it have a series from now on.
func (i *Instruments) Relays(state RelayState) {
	if i == nil {
		return
	}
	i.relays.Store(&state)
}

func (b *builder) observableGauge(name, unit, description string) metric.Int64ObservableGauge {
	g, err := b.meter.Int64ObservableGauge(name, metric.WithUnit(unit), metric.WithDescription(description))
	b.errs = append(b.errs, err)
	return g
}

func (b *builder) observe(callback metric.Callback, instruments ...metric.Observable) {
	_, err := b.meter.RegisterCallback(callback, instruments...)
	b.errs = append(b.errs, err)
}

// observeOrganisations reports the latest Organisations. The instrument is a gauge, since
// an organisation that leaves the list lowers its value and raises that of the others.
func (b *builder) observeOrganisations(i *Instruments) {
	operations := b.observableGauge("cicadacove.quota.operations", "{operation}", "Operations of an organisation since the start, by result")
	b.observe(func(_ context.Context, o metric.Observer) error {
		list := i.organisations.Load()
		if list == nil {
			return nil
		}
		for _, c := range *list {
			observe := func(result string, count uint64) {
				o.ObserveInt64(operations, int64(count), metric.WithAttributes(keyOrganisation.String(c.Organisation), keyResult.String(result)))
			}
			observe("taken", c.Taken)
			observe("refused", c.Refused)
			observe("without_owner", c.WithoutOwner)
		}
		return nil
	}, operations)
}

// observeRelays reports the latest Relays.
func (b *builder) observeRelays(i *Instruments) {
	statements, err := b.meter.Int64ObservableCounter("cicadacove.relay.statements", metric.WithUnit("{statement}"),
		metric.WithDescription("Statements sent to holders or served for other instances, by outcome"))
	b.errs = append(b.errs, err)
	relayed := b.observableGauge("cicadacove.relay.active", "{upstream}", "1 when statements to an upstream are relayed, else 0")
	holder := b.observableGauge("cicadacove.relay.holder", "{upstream}", "1 when the instance is a holder of an upstream, else 0")
	b.observe(func(_ context.Context, o metric.Observer) error {
		state := i.relays.Load()
		if state == nil {
			return nil
		}
		observeOutcomes(o, statements, "sent", state.Sent)
		observeOutcomes(o, statements, "served", state.Served)
		for _, u := range state.Upstreams {
			upstream := metric.WithAttributes(keyUpstream.String(string(u.Upstream)))
			o.ObserveInt64(relayed, oneIf(u.Relayed), upstream)
			o.ObserveInt64(holder, oneIf(u.Holder), upstream)
		}
		return nil
	}, statements, relayed, holder)
}

func observeOutcomes(o metric.Observer, statements metric.Int64Observable, direction string, c RelayOutcomes) {
	observe := func(outcome string, count uint64) {
		o.ObserveInt64(statements, int64(count), metric.WithAttributes(keyDirection.String(direction), keyOutcome.String(outcome)))
	}
	observe("done", c.Done)
	observe("refused", c.Refused)
	observe("lost", c.Lost)
}

func oneIf(condition bool) int64 {
	if condition {
		return 1
	}
	return 0
}
