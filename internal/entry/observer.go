package entry

import (
	"time"

	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// Request describes a completed request to an Observer.
type Request struct {
	Group     topo.GroupID
	Service   contract.Service
	Session   string
	RequestID string
	Outcome   outcome.Outcome
	// Upstream is the upstream that served the request, or empty. Role is its
	// role.
	Upstream topo.UpstreamID
	Role     topo.Role
	Took     time.Duration
}

// Observer receives each completed request, for metrics and the timeline.
type Observer interface {
	Ended(Request)
}

type noObserver struct{}

func (noObserver) Ended(Request) {}
