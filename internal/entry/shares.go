package entry

import (
	"github.com/cicadacove/cicadacove/internal/core/admission"
	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/groupstate"
	"github.com/cicadacove/cicadacove/internal/upstream"
)

// Shares provides this instance's share of each upstream's slots and
// connections. The shares change with the demand of all instances.
type Shares interface {
	groupstate.Shares
	// Floors returns the average number of slots that each rank is guaranteed.
	Floors(id topo.UpstreamID) [contract.Ranks + 1]float64
	// Connections returns the maximum number of open connections.
	Connections(id topo.UpstreamID) int
	// MustClose returns how many of the open connections this instance must
	// close now, whether they are in use or not.
	MustClose(id topo.UpstreamID, open int) int
}

// unlimitedShares lets this instance use the whole of every upstream. It is
// for a deployment with a single instance.
type unlimitedShares struct{}

func (unlimitedShares) Use(topo.Announcement)                                       {}
func (unlimitedShares) Slots(topo.UpstreamID) int                                   { return 0 }
func (unlimitedShares) Average(topo.UpstreamID) float64                             { return 0 }
func (unlimitedShares) Floors(topo.UpstreamID) (floors [contract.Ranks + 1]float64) { return floors }
func (unlimitedShares) Connections(topo.UpstreamID) int                             { return 0 }
func (unlimitedShares) MustClose(topo.UpstreamID, int) int                          { return 0 }
func (unlimitedShares) DemandChanged(topo.UpstreamID)                               {}

// ShareChanged applies this instance's current share of an upstream.
func (s *Server) ShareChanged(id topo.UpstreamID) {
	if gt, ok := s.groups.GateOf(id); ok {
		gt.SetFloors(s.opts.Shares.Floors(id))
		gt.SetShare(s.opts.Shares.Slots(id), s.opts.Shares.Average(id))
	}
	if m, ok := s.opts.Upstreams.Lookup(id); ok {
		m.SetLimit(s.opts.Shares.Connections(id))
	}
}

// spareConnections is how many connections an instance requests beyond those
// in use, so that a request need not wait for a grant.
const spareConnections = 1

// Usage returns this instance's use of an upstream: the load of its admission
// gate, the number of open connections, and the number that it needs, which
// are those in use, waited for or spare.
func (s *Server) Usage(id topo.UpstreamID) (load admission.Load, open, needed int) {
	if gt, ok := s.groups.GateOf(id); ok {
		load = gt.Load()
	}
	if m, ok := s.opts.Upstreams.Lookup(id); ok {
		st := m.Stats()
		open, needed = st.Open, st.Open-st.Idle+st.Waiting+spareConnections
	}
	return load, open, needed
}

// closeExcess closes the connections for which this instance no longer has a
// grant.
func (s *Server) closeExcess(id topo.UpstreamID, m *upstream.Member) {
	if n := s.opts.Shares.MustClose(id, m.Stats().Open); n > 0 {
		m.CloseNow(n)
	}
}

// Gauges describes the current state of an upstream at this instance.
type Gauges = groupstate.Gauges

// Gauges returns the gauges of all upstreams in use.
func (s *Server) Gauges() []Gauges {
	return s.groups.Gauges(s.opts.Upstreams.Stats)
}
