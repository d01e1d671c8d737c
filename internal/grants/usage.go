package grants

import (
	"github.com/cicadacove/cicadacove/internal/core/admission"
	"github.com/cicadacove/cicadacove/internal/core/grant"
)

// UsageFrom computes the usage of an upstream from the load of its gate and the
// state of its pool: the open connections, and those in use or waited for. Requests
// that wait at the gate count as waiting for a connection.
func UsageFrom(load admission.Load, open, needed int) Usage {
	queued := 0
	for _, n := range load.Queued {
		queued += n
	}
	return Usage{
		InUse: grant.Amount{Slots: load.InUse, Connections: open},
		Demand: grant.Demand{
			Slots:       load.Demand,
			Floors:      load.Floors,
			Busy:        load.InUse + queued,
			Connections: needed + queued,
		},
	}
}
