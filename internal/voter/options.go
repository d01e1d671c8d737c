package voter

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/replog"
)

// Message is what voters send each other.
type Message = replog.Message

// Transport carries messages. Send does not block, and a message may be lost.
// The receiving side hands messages to Voter.Deliver.
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

// MaxProposalBytes is the highest size of one proposal.
const MaxProposalBytes = 1 << 20

// Options configure a voter.
type Options struct {
	// Addr is where peers reach this voter.
	Addr string
	// Peers are the addresses of the voters, this one included. They are asked
	// only while the store holds no cluster.
	Peers []string
	// JoinOnly forbids to form a new cluster, see replog.Config.
	JoinOnly bool
	// Voters is how many voters the leader keeps by itself; zero leaves the
	// members to the operator.
	Voters    int
	Transport Transport
	Store     Store
	Machine   Machine
	// HeartbeatInterval and ElectionTimeout pace the log; zero means the
	// default.
	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration
	// SnapshotEvery is the number of applied entries after which a snapshot is
	// taken; zero means the default.
	SnapshotEvery uint64
	// KeepEntries is the number of entries before a snapshot that stay in
	// memory for followers that lag; zero means the default.
	KeepEntries uint64
	// Seed varies the election timeouts.
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

func (o Options) check() error {
	switch {
	case o.Addr == "":
		return errors.New("voter: no address")
	case o.Transport == nil || o.Store == nil || o.Machine == nil:
		return errors.New("voter: transport, store and machine are required")
	case len(o.Peers) > replog.MaxVoters:
		return fmt.Errorf("voter: %d peers, at most %d", len(o.Peers), replog.MaxVoters)
	case len(slices.Compact(slices.Sorted(slices.Values(o.Peers)))) != len(o.Peers):
		return errors.New("voter: a peer address stands twice")
	case o.ElectionTimeout < 2*o.HeartbeatInterval:
		return errors.New("voter: the election timeout is below two heartbeat intervals")
	}
	return nil
}
