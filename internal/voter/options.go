package voter

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/replog"
)

// Message is a message between voters.
type Message = replog.Message

// Transport sends messages to other voters. Send must not block and may lose
// messages. The receiver passes them to Voter.Deliver.
type Transport interface {
	Send(to string, m Message)
}

// Defaults of the options.
const (
	DefaultHeartbeatInterval = 100 * time.Millisecond
	DefaultElectionTimeout   = 500 * time.Millisecond
	DefaultSnapshotEvery     = 256
	DefaultKeepEntries       = 512
)

// MaxProposalBytes is the maximum size of one proposal.
const MaxProposalBytes = 1 << 20

// Options configure a voter.
type Options struct {
	// Addr is the address at which peers reach this voter.
	Addr string
	// Peers are the addresses of the voters, including this one. The voter
	// uses them only while it belongs to no cluster.
	Peers []string
	// JoinOnly prevents this voter from forming a new cluster, see
	// replog.Config.
	JoinOnly bool
	// Voters is the number of voters that the leader maintains by admitting
	// nodes that ask to join and removing unresponsive voters. With zero only
	// the operator changes the members.
	Voters    int
	Transport Transport
	Store     Store
	Machine   Machine
	// HeartbeatInterval and ElectionTimeout are the timing of the log; zero
	// means the default.
	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration
	// SnapshotEvery is the number of applied entries after which the voter
	// takes a snapshot; zero means the default.
	SnapshotEvery uint64
	// KeepEntries is the number of entries before a snapshot that the voter
	// keeps in memory for lagging followers; zero means the default.
	KeepEntries uint64
	// Seed seeds the randomization of the election timeouts.
	Seed uint64
}

func (o Options) withDefaults() Options {
	if o.HeartbeatInterval == 0 {
		o.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if o.ElectionTimeout == 0 {
		o.ElectionTimeout = DefaultElectionTimeout
	}
	if o.SnapshotEvery == 0 {
		o.SnapshotEvery = DefaultSnapshotEvery
	}
	if o.KeepEntries == 0 {
		o.KeepEntries = DefaultKeepEntries
	}
	return o
}

func (o Options) validate() error {
	switch {
	case o.Addr == "":
		return errors.New("voter: no address")
	case o.Transport == nil || o.Store == nil || o.Machine == nil:
		return errors.New("voter: transport, store and machine are required")
	case len(o.Peers) > replog.MaxVoters:
		return fmt.Errorf("voter: %d peers, at most %d", len(o.Peers), replog.MaxVoters)
	case len(slices.Compact(slices.Sorted(slices.Values(o.Peers)))) != len(o.Peers):
		return errors.New("voter: duplicate peer address")
	case o.ElectionTimeout < 2*o.HeartbeatInterval:
		return errors.New("voter: the election timeout is below two heartbeat intervals")
	}
	return nil
}
