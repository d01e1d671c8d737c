package entry

import (
	"github.com/cicadacove/cicadacove/internal/core/admission"
	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/groupstate"
	"github.com/cicadacove/cicadacove/internal/upstream"
)

// Shares says which part of each upstream's slots and connections this
// instance may use. The parts change with the demand of all instances.
type Shares interface {
	groupstate.Shares
	// Floors is what each rank is due over time, in slots.
	Floors(id topo.UpstreamID) [contract.Ranks + 1]float64
	// Connections is the most connections that may be open.
	Connections(id topo.UpstreamID) int
	// MustClose is how many of the open connections must be closed now,
	// busy or not.
	MustClose(id topo.UpstreamID, open int) int
}

// fixedShares lets this instance use everything that an upstream has. It is
// for an instance that is alone.
type fixedShares struct{}

func (fixedShares) Use(topo.Announcement)                                     {}
func (fixedShares) Slots(topo.UpstreamID) int                                 { return 0 }
func (fixedShares) Average(topo.UpstreamID) float64                           { return 0 }
func (fixedShares) Floors(topo.UpstreamID) (none [contract.Ranks + 1]float64) { return none }
func (fixedShares) Connections(topo.UpstreamID) int                           { return 0 }
func (fixedShares) MustClose(topo.UpstreamID, int) int                        { return 0 }
func (fixedShares) Poke(topo.UpstreamID)                                      {}

// ShareChanged applies this instance's present share of an upstream.
func (s *Server) ShareChanged(id topo.UpstreamID) {
	if gt, ok := s.groups.GateOf(id); ok {
		gt.SetFloors(s.opts.Shares.Floors(id))
		gt.SetShare(s.opts.Shares.Slots(id), s.opts.Shares.Average(id))
	}
	if m, ok := s.opts.Upstreams.Lookup(id); ok {
		m.SetLimit(s.opts.Shares.Connections(id))
	}
}

// spareConnections is how many connections beyond those in use an instance
// asks for, so that a request need not wait for a grant.
const spareConnections = 1

// Usage returns what this instance uses of an upstream: the load of its gate,
// the open connections, and those that are in use, waited for or spare.
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

// closeExcess closes connections whose grant has ended for good.
func (s *Server) closeExcess(id topo.UpstreamID, m *upstream.Member) {
	if n := s.opts.Shares.MustClose(id, m.Stats().Open); n > 0 {
		m.Cut(n)
	}
}

// Gauges are numbers about the present state of an upstream at this instance.
type Gauges = groupstate.Gauges

// Gauges returns the numbers of all upstreams in use.
func (s *Server) Gauges() []Gauges {
	return s.groups.Gauges(s.opts.Upstreams.Stats)
}
