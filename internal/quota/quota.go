// Package quota limits the rate of each organisation's operations across all entry
// instances. It runs the decisions of core/quota with a clock and with requests
// between instances.
//
// An instance takes tokens from the organisation's owner in batches, with at most one
// request in flight for each organisation, so most operations are admitted without a
// message.
package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	corequota "github.com/cicadacove/cicadacove/internal/core/quota"

	"github.com/cicadacove/cicadacove/internal/clock"
	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/peer"
)

// KindTake is the request kind of a request for tokens.
const KindTake = "quota.take"

const (
	// observeInterval is the time between two observations of the lease and of
	// the owned organisations.
	observeInterval = 100 * time.Millisecond
	// maxRounds bounds the answers for which one operation waits. Operations that
	// arrive during a request may use the tokens of its answer.
	maxRounds = 3
	// roundsRetryAfter is the Retry-After of an operation refused after that, and
	// of one whose context ends.
	roundsRetryAfter = 50 * time.Millisecond
)

// Options configure a Quota.
type Options struct {
	Self   topo.InstanceID
	Client *peer.Client
	Server *peer.Server
	// Members returns the active live view. The slice must not be modified
	// later; returning the same slice for the same view saves the search for the
	// owner.
	Members func() []ctlstate.Member
	// HasLease reports whether this instance's lease is valid now.
	HasLease func() bool
	// Limit returns an organisation's limit; false or a rate of 0 means no limit.
	Limit     func(organisation string) (corequota.Limit, bool)
	Tolerance corequota.Tolerance
	// Now is the clock, which must include the time of suspension; nil means
	// clock.Now.
	Now func() time.Time
}

// Quota admits operations and answers requests on the organisations that this
// instance owns.
type Quota struct {
	options Options

	mu            sync.RWMutex
	organisations map[string]*organisation

	ownersMu sync.Mutex
	owners   *corequota.Owners
	// nextObserve is when observe runs again, in nanoseconds since the epoch.
	nextObserve atomic.Int64
}

// New returns a Quota and registers its request handler at the server.
func New(options Options) *Quota {
	if options.Now == nil {
		options.Now = clock.Now
	}
	q := &Quota{
		options:       options,
		organisations: map[string]*organisation{},
		owners:        corequota.NewOwners(corequota.Mechanisms{}),
	}
	peer.Handle(options.Server, KindTake, q.handleTake)
	return q
}

// Run observes the lease and the view until ctx ends, and logs the refusals that are
// not logged yet. Take does the same while it is called; without Run, an instance that
// is idle for a second loses the buckets that it owns.
func (q *Quota) Run(ctx context.Context) error {
	for clock.Sleep(ctx, observeInterval) {
		now := q.options.Now()
		q.observe(now)
		q.logRefusals(now)
	}
	return nil
}

// Take asks for the admission of one operation. It returns false with the time after
// which the caller may retry if the operation is beyond the organisation's limit. It
// blocks for at most a few requests to the owner.
func (q *Quota) Take(ctx context.Context, name string) (retryAfter time.Duration, ok bool) {
	limit, limited := q.limit(name)
	if !limited {
		return 0, true
	}
	now := q.options.Now()
	q.observe(now)
	return q.organisation(name, now).take(ctx, now, limit)
}

func (q *Quota) limit(name string) (corequota.Limit, bool) {
	l, ok := q.options.Limit(name)
	return l, ok && l.Rate > 0
}

func (q *Quota) organisation(name string, now time.Time) *organisation {
	q.mu.RLock()
	o := q.organisations[name]
	q.mu.RUnlock()
	if o != nil {
		return o
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if o := q.organisations[name]; o != nil {
		return o
	}
	o = newOrganisation(q, name, corequota.NewHolder(q.options.Self, now, rand.Float64(), corequota.Mechanisms{}))
	q.organisations[name] = o
	return o
}

// observe records the lease and removes what this instance no longer owns or has no
// limit, at most once in observeInterval.
func (q *Quota) observe(now time.Time) {
	next := q.nextObserve.Load()
	if now.UnixNano() < next || !q.nextObserve.CompareAndSwap(next, now.Add(observeInterval).UnixNano()) {
		return
	}
	leased, members := q.options.HasLease(), q.options.Members()
	q.ownersMu.Lock()
	q.owners.Observe(now, leased)
	q.owners.Retain(func(name string) bool {
		owner, ok := corequota.Owner(name, members)
		_, limited := q.limit(name)
		return ok && owner.ID == q.options.Self && limited
	})
	q.ownersMu.Unlock()
	q.removeUnlimited()
}

// removeUnlimited removes the organisations that have no limit any more.
func (q *Quota) removeUnlimited() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for name := range q.organisations {
		if _, limited := q.limit(name); !limited {
			delete(q.organisations, name)
		}
	}
}

// takeRequest is a request for tokens on the wire.
type takeRequest struct {
	Organisation string        `msgpack:"o"`
	Ask          corequota.Ask `msgpack:"a"`
}

func (q *Quota) handleTake(_ context.Context, request takeRequest) (corequota.Answer, error) {
	return q.answer(request), nil
}

// answer answers a request for tokens as the organisation's owner.
func (q *Quota) answer(request takeRequest) corequota.Answer {
	limit, limited := q.limit(request.Organisation)
	if !limited {
		return corequota.Answer{Refused: true}
	}
	owner, ok := corequota.Owner(request.Organisation, q.options.Members())
	owned := ok && owner.ID == q.options.Self
	now := q.options.Now()
	q.observe(now)
	q.ownersMu.Lock()
	defer q.ownersMu.Unlock()
	// The lease is read under the lock, so that the observations are in order.
	leased := q.options.HasLease()
	return q.owners.Answer(q.options.Now(), request.Organisation, owned, leased, limit, q.options.Tolerance, request.Ask)
}
