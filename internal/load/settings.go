package load

import (
	"time"

	"github.com/cicadacove/cicadacove/internal/core/admission"
	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/load/model"
)

const (
	// warmup is the time at the start of a run that is not measured.
	warmup = time.Second
	// callerTimeout is the time after which a caller abandons a request that
	// has not started.
	callerTimeout = 2 * time.Second
	// callersPerService is the number of callers of each service.
	callersPerService = 200
	// defaultRetries is the number of retries of a caller that follows the
	// retry hints.
	defaultRetries = 0
)

// settings returns the settings of a run with the profile's usual demand.
func (p *Profile) settings(seed uint64, length time.Duration) model.Settings {
	s := model.Settings{
		Seed: seed, Length: length, Warmup: warmup,
		Policy: admission.Ranked, Allocation: model.Grants,
		Instances: p.Instances, Zones: p.Zones, Databases: p.Databases,
		Slots: p.Slots, Connections: p.Connections, Pipeline: p.pipeline(),
		ZoneDelay: p.ZoneDelay, CallerDelay: p.CallerDelay, ConnectDelay: p.ConnectDelay,
		CallerTimeout: callerTimeout, Lease: p.Lease, Workloads: p.Workloads,
	}
	for rank := contract.RankUrgent; rank <= contract.Ranks; rank++ {
		s.Streams = append(s.Streams, p.stream(rank, p.Shares[rank-1]))
	}
	return s
}

// stream returns a stream whose requests occupy the given share of the slots
// that the service of a rank may use.
func (p *Profile) stream(rank int, share float64) model.Stream {
	return model.Stream{
		Workload: rank - 1, Rate: p.rate(rank, share),
		Callers: callersPerService, Retries: defaultRetries,
	}
}

// pipeline returns how many slots are granted beyond those of a database. A
// slot is held while the statement and its answer travel between zones, so
// without the extra slots the database would idle during that time.
func (p *Profile) pipeline() int {
	var longest time.Duration
	for _, w := range p.Workloads {
		longest = max(longest, w.Time)
	}
	roundTrip := 2 * p.ZoneDelay
	return int(float64(p.Slots)*roundTrip.Seconds()/longest.Seconds() + 0.5)
}
