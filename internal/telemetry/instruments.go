package telemetry

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Bucket boundaries of the histograms, in seconds.
var (
	requestBuckets = []float64{0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10}
	gapBuckets     = []float64{0.1, 0.2, 0.5, 1, 1.5, 2, 3, 5, 10, 20, 60}
)

// Instruments holds all instruments of a process. A nil *Instruments records
// nothing.
type Instruments struct {
	requests        metric.Int64Counter
	requestDuration metric.Float64Histogram
	late            metric.Int64Counter
	reads           metric.Int64Counter
	retries         metric.Int64Counter
	writeGap        metric.Float64Histogram
	floors          metric.Int64Counter
	queueLength     metric.Int64Gauge
	queueWait       metric.Float64Histogram
	poolConnections metric.Int64Gauge
	upstreamPace    metric.Float64Gauge
	callers         metric.Int64Gauge
	leaseRemaining  metric.Float64Gauge
	groupTerm       metric.Int64Gauge
	configRevision  metric.Int64Gauge
	replicaLag      metric.Int64Gauge
	leader          metric.Int64Gauge
	primaryLeaving  metric.Float64Gauge
	furtherLosses   metric.Int64Gauge
	memberKind      metric.Int64Gauge
	voters          metric.Int64Gauge
	leaderless      metric.Float64Gauge
	diskUnavailable metric.Float64Gauge
	controlBytes    metric.Int64Counter
	droppedLogLines metric.Int64Counter
	clientBytes     metric.Int64Gauge
	clientsClosed   metric.Int64Counter

	organisations atomic.Pointer[[]OrganisationOperations]
	relays        atomic.Pointer[RelayState]

	options sync.Map // from attributeKey to metric.MeasurementOption
}

// builder creates instruments and collects their errors.
type builder struct {
	meter metric.Meter
	errs  []error
}

func (b *builder) counter(name, unit, description string) metric.Int64Counter {
	i, err := b.meter.Int64Counter(name, metric.WithUnit(unit), metric.WithDescription(description))
	b.errs = append(b.errs, err)
	return i
}

func (b *builder) gauge(name, unit, description string) metric.Int64Gauge {
	i, err := b.meter.Int64Gauge(name, metric.WithUnit(unit), metric.WithDescription(description))
	b.errs = append(b.errs, err)
	return i
}

func (b *builder) secondsGauge(name, description string) metric.Float64Gauge {
	i, err := b.meter.Float64Gauge(name, metric.WithUnit("s"), metric.WithDescription(description))
	b.errs = append(b.errs, err)
	return i
}

func (b *builder) shareGauge(name, description string) metric.Float64Gauge {
	i, err := b.meter.Float64Gauge(name, metric.WithUnit("1"), metric.WithDescription(description))
	b.errs = append(b.errs, err)
	return i
}

func (b *builder) histogram(name, description string, buckets []float64) metric.Float64Histogram {
	i, err := b.meter.Float64Histogram(name, metric.WithUnit("s"), metric.WithDescription(description),
		metric.WithExplicitBucketBoundaries(buckets...))
	b.errs = append(b.errs, err)
	return i
}

func newInstruments(meter metric.Meter) (*Instruments, error) {
	b := &builder{meter: meter}
	i := &Instruments{
		requests:        b.counter("cicadacove.requests", "{request}", "Requests by service, rank, outcome and SQLSTATE"),
		requestDuration: b.histogram("cicadacove.request.duration", "Time from a request's arrival to the end of its answer", requestBuckets),
		late:            b.counter("cicadacove.requests.late", "{request}", "Requests done after their service's target"),
		reads:           b.counter("cicadacove.reads", "{read}", "Reads by the role of the upstream that served them"),
		retries:         b.counter("cicadacove.retries", "{retry}", "Requests sent to an upstream once more"),
		writeGap:        b.histogram("cicadacove.write.gap", "Time during which an entry instance could not acknowledge writes of a group", gapBuckets),
		floors:          b.counter("cicadacove.floor.windows", "{window}", "Windows in which a service had demand, by whether it kept its floor"),
		queueLength:     b.gauge("cicadacove.queue.length", "{request}", "Requests that wait for a slot"),
		queueWait:       b.histogram("cicadacove.queue.wait", "Time that a request waited for a slot", requestBuckets),
		poolConnections: b.gauge("cicadacove.pool.connections", "{connection}", "Connections to an upstream by state"),
		upstreamPace:    b.shareGauge("cicadacove.upstream.pace", "Fraction of its usual work that an upstream may be sent after a start or recovery; else 1"),
		callers:         b.gauge("cicadacove.callers", "{connection}", "Connections of callers"),
		leaseRemaining:  b.secondsGauge("cicadacove.lease.remaining", "Time until the entry instance's lease ends; 0 without a lease"),
		groupTerm:       b.gauge("cicadacove.group.term", "{term}", "Term of a group"),
		configRevision:  b.gauge("cicadacove.config.revision", "{revision}", "Revision of the configuration in force"),
		replicaLag:      b.gauge("cicadacove.replica.lag", "{transaction}", "Transactions by which a replica is behind its primary"),
		leader:          b.gauge("cicadacove.control.leader", "{leader}", "1 when the instance's voter leads, else 0"),
		primaryLeaving:  b.secondsGauge("cicadacove.control.primary_leaving", "Longest time for which a primary in use has been leaving, by the leader; else 0"),
		furtherLosses:   b.gauge("cicadacove.control.further_losses", "{voter}", "Voters that may still fail before control stops, by the leader"),
		memberKind:      b.gauge("cicadacove.control.member", "{member}", "1 for how the instance takes part in control (none, learner or voter), else 0"),
		voters:          b.gauge("cicadacove.control.voters", "{voter}", "Voters by the leader: listed, active and wanted"),
		leaderless:      b.secondsGauge("cicadacove.control.leaderless", "Time for which the instance's voter has had no leader; else 0"),
		diskUnavailable: b.secondsGauge("cicadacove.control.disk_unavailable", "Time for which the voter has waited for a data folder that can't be written; else 0"),
		controlBytes:    b.counter("cicadacove.control.bytes", "By", "Bytes sent between entry instances"),
		clientBytes:     b.gauge("cicadacove.clients.held", "By", "Bytes that clients make the process hold, by kind"),
		clientsClosed:   b.counter("cicadacove.clients.closed", "{connection}", "Connections of clients that were closed or refused because of a limit, by reason"),
		droppedLogLines: b.counter("cicadacove.log.left_out", "{line}", "Log lines that were left out, by class"),
	}
	b.observeOrganisations(i)
	b.observeRelays(i)
	return i, errors.Join(b.errs...)
}

// option returns the measurement option for the attributes of key.
func (i *Instruments) option(key attributeKey) metric.MeasurementOption {
	if o, ok := i.options.Load(key); ok {
		return o.(metric.MeasurementOption)
	}
	o, _ := i.options.LoadOrStore(key, metric.WithAttributeSet(attribute.NewSet(key.attributes()...)))
	return o.(metric.MeasurementOption)
}

// Request describes a completed request of a caller.
type Request struct {
	Service string
	Rank    int
	Outcome outcome.Kind
	// Code is the SQLSTATE sent to the caller, or empty if the request is
	// done.
	Code     string
	Duration time.Duration
	// Target is the service's target, or 0 if it has none.
	Target time.Duration
}

// Request records a completed request.
func (i *Instruments) Request(r Request) {
	if i == nil {
		return
	}
	ctx := context.Background()
	service := serviceKey{r.Service, r.Rank}
	i.requests.Add(ctx, 1, i.option(requestKey{service, r.Outcome, r.Code}))
	if r.Outcome != outcome.Done {
		return
	}
	o := i.option(service)
	i.requestDuration.Record(ctx, r.Duration.Seconds(), o)
	if r.Target > 0 && r.Duration > r.Target {
		i.late.Add(ctx, 1, o)
	}
}

// Read counts a read by the role of the upstream that served it.
func (i *Instruments) Read(service string, group topo.GroupID, role topo.Role) {
	if i == nil {
		return
	}
	i.reads.Add(context.Background(), 1, i.option(readKey{service, group, role}))
}

// Retry counts a request that is sent to an upstream again. The reason is one
// of a few fixed words.
func (i *Instruments) Retry(service, reason string) {
	if i == nil {
		return
	}
	i.retries.Add(context.Background(), 1, i.option(retryKey{service, reason}))
}

// WriteGap records the length of a period in which this instance could not
// acknowledge writes of the group.
func (i *Instruments) WriteGap(group topo.GroupID, gap time.Duration) {
	if i == nil {
		return
	}
	i.writeGap.Record(context.Background(), gap.Seconds(), i.option(groupKey{group}))
}

// GroupTerm sets the term of a group.
func (i *Instruments) GroupTerm(group topo.GroupID, term topo.Term) {
	if i == nil {
		return
	}
	i.groupTerm.Record(context.Background(), int64(term), i.option(groupKey{group}))
}

// Floor counts a window in which the service had demand, by whether the
// service got its floor.
func (i *Instruments) Floor(service string, rank int, kept bool) {
	if i == nil {
		return
	}
	i.floors.Add(context.Background(), 1, i.option(floorKey{serviceKey{service, rank}, kept}))
}

// QueueLength sets the number of requests of a service that wait for a slot.
func (i *Instruments) QueueLength(service string, rank, length int) {
	if i == nil {
		return
	}
	i.queueLength.Record(context.Background(), int64(length), i.option(serviceKey{service, rank}))
}

// QueueWait records how long a request waited for a slot.
func (i *Instruments) QueueWait(service string, rank int, wait time.Duration) {
	if i == nil {
		return
	}
	i.queueWait.Record(context.Background(), wait.Seconds(), i.option(serviceKey{service, rank}))
}

// Pool sets the number of idle and busy connections to an upstream.
func (i *Instruments) Pool(upstream topo.UpstreamID, idle, busy int) {
	if i == nil {
		return
	}
	for state, count := range map[string]int{stateIdle: idle, stateBusy: busy} {
		i.poolConnections.Record(context.Background(), int64(count), i.option(poolKey{upstream, state}))
	}
}

// Callers sets the number of caller connections.
func (i *Instruments) Callers(count int) {
	if i == nil {
		return
	}
	i.callers.Record(context.Background(), int64(count))
}

// LeaseRemaining sets the time until the lease ends; a negative time counts as
// 0.
func (i *Instruments) LeaseRemaining(remaining time.Duration) {
	if i == nil {
		return
	}
	i.leaseRemaining.Record(context.Background(), max(0, remaining.Seconds()))
}

// ConfigRevision sets the revision of the active configuration.
func (i *Instruments) ConfigRevision(revision uint64) {
	if i == nil {
		return
	}
	i.configRevision.Record(context.Background(), int64(revision))
}

// UpstreamPace sets the fraction of its usual work that an upstream may be sent.
func (i *Instruments) UpstreamPace(upstream topo.UpstreamID, pace float64) {
	if i == nil {
		return
	}
	i.upstreamPace.Record(context.Background(), pace, i.option(upstreamKey{upstream}))
}

// ReplicaLag sets the number of transactions by which a replica is behind its
// primary.
func (i *Instruments) ReplicaLag(upstream topo.UpstreamID, transactions uint64) {
	if i == nil {
		return
	}
	i.replicaLag.Record(context.Background(), int64(transactions), i.option(upstreamKey{upstream}))
}

// Leader sets whether the instance's voter is the leader.
func (i *Instruments) Leader(isLeader bool) {
	if i == nil {
		return
	}
	value := int64(0)
	if isLeader {
		value = 1
	}
	i.leader.Record(context.Background(), value)
}

// PrimaryLeaving sets the longest time for which a primary in use has been
// leaving.
func (i *Instruments) PrimaryLeaving(longest time.Duration) {
	if i == nil {
		return
	}
	i.primaryLeaving.Record(context.Background(), longest.Seconds())
}

// FurtherLosses sets how many voters may still fail before control stops.
func (i *Instruments) FurtherLosses(voters int) {
	if i == nil {
		return
	}
	i.furtherLosses.Record(context.Background(), int64(voters))
}

// Member sets how the instance takes part in control and for how long its voter has had
// no leader.
func (i *Instruments) Member(kind string, leaderless time.Duration) {
	if i == nil {
		return
	}
	for _, k := range []string{"none", "learner", "voter"} {
		value := int64(0)
		if k == kind {
			value = 1
		}
		i.memberKind.Record(context.Background(), value, i.option(stateKey{k}))
	}
	i.leaderless.Record(context.Background(), leaderless.Seconds())
}

// Voters sets the numbers of voters as the leader knows them.
func (i *Instruments) Voters(listed, active, wanted int) {
	if i == nil {
		return
	}
	i.voters.Record(context.Background(), int64(listed), i.option(stateKey{"listed"}))
	i.voters.Record(context.Background(), int64(active), i.option(stateKey{"active"}))
	i.voters.Record(context.Background(), int64(wanted), i.option(stateKey{"wanted"}))
}

// DiskUnavailable sets how long the voter has waited for its data folder.
func (i *Instruments) DiskUnavailable(waiting time.Duration) {
	if i == nil {
		return
	}
	i.diskUnavailable.Record(context.Background(), waiting.Seconds())
}

// ControlBytes counts bytes sent to other entry instances.
func (i *Instruments) ControlBytes(n int) {
	if i == nil {
		return
	}
	i.controlBytes.Add(context.Background(), int64(n))
}

// LogLinesDropped counts dropped log lines. The class is one of a few fixed words.
func (i *Instruments) LogLinesDropped(class string, lines uint64) {
	if i == nil {
		return
	}
	i.droppedLogLines.Add(context.Background(), int64(lines), i.option(classKey{class}))
}
