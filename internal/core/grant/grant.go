// Package grant distributes the slots and connections of one upstream among the
// entry instances by demand.
//
// Each upstream has one owner among the members of the active live-view epoch.
// Every instance is a holder, including the owner for its own use. A holder
// reports its holdings and its demand; the owner answers with a grant that ends a
// fixed time after the holder sent the report. Together the holders never hold
// more than the upstream's capacity: for each holder, the owner tracks an upper
// bound of its holdings, and lowers that bound only on a report or after the grant
// and the hard bound on its use have ended.
//
// The package is pure: no I/O, no clock, no goroutines. Time is an argument.
package grant

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// Defaults of Params.
const (
	// DefaultDuration is how long a grant lasts.
	DefaultDuration = time.Second
	// DefaultDrift is the maximum relative drift between two clocks.
	DefaultDrift = 0.01
	// DefaultUseBound is how long a transaction may continue to use a
	// connection after its grant has ended.
	DefaultUseBound = time.Second
	// DefaultStatementBound is how long a statement counts as using a slot
	// after its grant has ended.
	DefaultStatementBound = 250 * time.Millisecond
	// DefaultTurn is how long a holder keeps a slot that several holders use in
	// turns.
	DefaultTurn = 10 * time.Millisecond
)

// Params configure the protocol. They must be the same on every instance.
type Params struct {
	Duration time.Duration
	Drift    float64
	// UseBound limits the use of a connection and StatementBound the use of a
	// slot after the end of the grant.
	UseBound       time.Duration
	StatementBound time.Duration
	Turn           time.Duration
	// Base is the amount that each of up to Instances instances may hold at any
	// time without a grant. The owner never grants it to others.
	Base Amount
	// Instances is the maximum number of instances that hold connections.
	Instances int
	// Disabled turns off mechanisms. Tests use it to show that each one is
	// needed.
	Disabled Mechanisms
}

// Mechanisms selects mechanisms of the protocol: in Params.Disabled, a true field
// turns the mechanism off.
type Mechanisms struct {
	// Settling makes a new owner wait until the grants of earlier owners have
	// ended.
	Settling bool
	// UseBound counts a grant as held until the bound on its use has passed.
	UseBound bool
	// Latest makes a holder ignore answers to earlier reports.
	Latest bool
	// LeaseEnd ends a grant with the holder's lease.
	LeaseEnd bool
	// Returns counts a grant as held until a report shows that it was returned.
	Returns bool
}

// WithDefaults replaces zero fields with the defaults.
func (p Params) WithDefaults() Params {
	if p.Duration <= 0 {
		p.Duration = DefaultDuration
	}
	if p.Drift <= 0 {
		p.Drift = DefaultDrift
	}
	if p.UseBound <= 0 {
		p.UseBound = DefaultUseBound
	}
	if p.StatementBound <= 0 {
		p.StatementBound = DefaultStatementBound
	}
	if p.Turn <= 0 {
		p.Turn = DefaultTurn
	}
	return p
}

// baseDivisor divides an upstream's connections to give the base of all
// instances together: one half.
const baseDivisor = 2

// BaseOf returns the base of each of n instances for the given capacity.
func BaseOf(capacity Amount, n int) Amount {
	if n <= 0 {
		return Amount{}
	}
	return Amount{Connections: capacity.Connections / (baseDivisor * n)}
}

// lifetime returns how long after its report a grant may be in use, given the
// bound on the use after its end.
func (p Params) lifetime(bound time.Duration) time.Duration {
	return p.withDrift(p.Duration) + p.useDuration(bound)
}

// useDuration returns how long a grant counts as in use after its end.
func (p Params) useDuration(bound time.Duration) time.Duration {
	if p.Disabled.UseBound {
		return 0
	}
	return p.withDrift(bound)
}

func (p Params) withDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + p.Drift))
}

// Amount is a number of slots and connections of one upstream.
type Amount struct {
	Slots       int `msgpack:"s"`
	Connections int `msgpack:"c"`
}

func (a Amount) plus(b Amount) Amount {
	return Amount{a.Slots + b.Slots, a.Connections + b.Connections}
}

func (a Amount) minus(b Amount) Amount {
	return Amount{a.Slots - b.Slots, a.Connections - b.Connections}
}

// atLeast returns the larger of both amounts, field by field.
func (a Amount) atLeast(b Amount) Amount {
	return Amount{max(a.Slots, b.Slots), max(a.Connections, b.Connections)}
}

// atMost returns the smaller of both amounts, field by field.
func (a Amount) atMost(b Amount) Amount {
	return Amount{min(a.Slots, b.Slots), min(a.Connections, b.Connections)}
}

// Within reports whether no field of a exceeds that of b.
func (a Amount) Within(b Amount) bool {
	return a.Slots <= b.Slots && a.Connections <= b.Connections
}

// Demand is the demand of a holder.
type Demand struct {
	// Slots is the arriving work by rank, in slots. Index 0 is unused.
	Slots [contract.Ranks + 1]float64 `msgpack:"s"`
	// Floors is the share of the upstream that is reserved for each rank, 0 to
	// 1.
	Floors [contract.Ranks + 1]float64 `msgpack:"f"`
	// Busy is the number of running and waiting requests.
	Busy int `msgpack:"b"`
	// Connections is the number of connections in use or waited for.
	Connections int `msgpack:"c"`
}

// Report is a holder's report to the owner.
type Report struct {
	Epoch uint64 `msgpack:"e"`
	// Seq orders the reports of one holder, also across its restarts.
	Seq uint64 `msgpack:"q"`
	// Held is the maximum that the holder may use at the time of the report,
	// under the current grant or left over from an earlier one, without the
	// base.
	Held Amount `msgpack:"h"`
	// Granted is the grant in effect at the time of the report.
	Granted Amount `msgpack:"g"`
	Demand  Demand `msgpack:"d"`
}

// Grant is the owner's answer to a report.
type Grant struct {
	Epoch uint64 `msgpack:"e"`
	// Seq is the sequence number of the report. The duration of the grant
	// starts when that report was sent.
	Seq    uint64 `msgpack:"q"`
	Amount Amount `msgpack:"a"`
	// Average is the number of slots that the holder can use over time: its
	// share by demand, which it may hold in turns, and the unused slots.
	Average float64 `msgpack:"v"`
	// Floors is the part of the average that is guaranteed to each rank, in
	// slots. Index 0 is unused.
	Floors [contract.Ranks + 1]float64 `msgpack:"f"`
	// Wanted means that other holders wait for slots. The holder then returns a
	// slot as soon as it is idle.
	Wanted bool `msgpack:"w"`
}

// OwnerOf returns the member that owns the upstream: the one with the highest
// rendezvous hash. It returns "" if there are no members.
func OwnerOf(upstream topo.UpstreamID, members []topo.InstanceID) topo.InstanceID {
	var owner topo.InstanceID
	var highest uint64
	for _, m := range members {
		hash := xxhash.Sum64String(string(upstream) + "\x00" + string(m))
		if owner == "" || hash > highest || hash == highest && m < owner {
			owner, highest = m, hash
		}
	}
	return owner
}
