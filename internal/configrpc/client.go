package configrpc

import (
	"context"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/admin"
	"github.com/cicadacove/cicadacove/internal/core/revision"
	"github.com/cicadacove/cicadacove/internal/peer"
)

// Timeouts and retries of the client.
const (
	// searchTimeout and searchRounds limit the search for the leader.
	searchTimeout = 6 * time.Second
	searchRounds  = 50
	// callTimeout limits one call, since an isolated voter does not reply.
	callTimeout = 1500 * time.Millisecond
	// retryDelay is the delay between two rounds over the voters.
	retryDelay = 100 * time.Millisecond
)

// Client sends requests to the leader of the control voters. It implements
// admin.Configurator and is safe for concurrent use.
type Client struct {
	peers  *peer.Client
	voters []string
	rounds int

	mu     sync.Mutex
	leader string
}

var _ admin.Configurator = (*Client)(nil)

// NewClient returns a client for the voters at the given peer addresses.
func NewClient(peers *peer.Client, voters []string) *Client {
	return &Client{peers: peers, voters: voters, rounds: searchRounds}
}

// Propose executes a command. The client sends it again while its result is
// unknown; thanks to its request id it takes effect at most once. Errors:
// admin.ErrUnavailable when the command did not run, admin.ErrUnknown when it
// may have run.
func (c *Client) Propose(ctx context.Context, cmd revision.Command) (revision.Result, error) {
	body, err := c.callLeader(ctx, kindPropose, request{Command: cmd.Encode()})
	if err != nil {
		return revision.Result{}, err
	}
	return revision.DecodeResult(body)
}

// Preview returns the result that a command would have, without executing it.
func (c *Client) Preview(ctx context.Context, cmd revision.Command) (revision.Result, error) {
	body, err := c.callLeader(ctx, kindPreview, request{Command: cmd.Encode()})
	if err != nil {
		return revision.Result{}, readError(err)
	}
	return revision.DecodeResult(body)
}

// View returns all contracts.
func (c *Client) View(ctx context.Context) (revision.View, error) {
	body, err := c.callLeader(ctx, kindView, request{})
	if err != nil {
		return revision.View{}, readError(err)
	}
	return revision.DecodeView(body)
}

// History returns the revisions that the query selects.
func (c *Client) History(ctx context.Context, q revision.HistoryQuery) (revision.History, error) {
	body, err := c.callLeader(ctx, kindHistory, request{Query: q})
	if err != nil {
		return revision.History{}, readError(err)
	}
	return revision.DecodeHistory(body)
}

// readError turns admin.ErrUnknown into admin.ErrUnavailable, because a read
// changes nothing.
func readError(err error) error {
	if errors.Is(err, admin.ErrUnknown) {
		return admin.ErrUnavailable
	}
	return err
}

// callLeader calls the voters in turn, the last known leader first, until one
// replies as the leader.
func (c *Client) callLeader(ctx context.Context, kind string, req request) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	mayHaveRun := false
	for range c.rounds {
		for _, addr := range c.leaderFirst() {
			rep, outcome := c.call(ctx, addr, kind, req)
			switch outcome {
			case answered:
				return rep.Body, nil
			case maybeRun:
				mayHaveRun = true
			}
		}
		if !sleep(ctx, retryDelay) {
			break
		}
	}
	return nil, searchError(mayHaveRun)
}

func searchError(mayHaveRun bool) error {
	if mayHaveRun {
		return admin.ErrUnknown
	}
	return admin.ErrUnavailable
}

// leaderFirst returns the addresses of the voters, the last known leader first.
func (c *Client) leaderFirst() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == "" {
		return c.voters
	}
	addrs := []string{c.leader}
	for _, v := range c.voters {
		if v != c.leader {
			addrs = append(addrs, v)
		}
	}
	return addrs
}

func (c *Client) setLeader(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = addr
}

// callOutcome tells whether a voter has answered or may have run a request.
type callOutcome int

const (
	answered callOutcome = iota
	notRun
	maybeRun
)

// call sends a request to one voter. If that voter is not the leader but names
// another voter as the leader, call sends the request to that one.
func (c *Client) call(ctx context.Context, addr, kind string, req request) (reply, callOutcome) {
	rep, outcome := c.callOnce(ctx, addr, kind, req)
	leader := rep.LeaderAddr
	if outcome != notRun || leader == "" || leader == addr {
		return rep, outcome
	}
	return c.callOnce(ctx, leader, kind, req)
}

func (c *Client) callOnce(ctx context.Context, addr, kind string, req request) (reply, callOutcome) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rep, err := peer.Call[reply](ctx, c.peers, addr, kind, req)
	if err != nil {
		klog.V(2).Infof("configrpc: failed to call %s at %s: %v", kind, addr, err)
		return reply{}, outcomeOf(err)
	}
	switch rep.Status {
	case statusOK:
		c.setLeader(addr)
		return rep, answered
	case statusNotLeader:
		return rep, notRun
	}
	return rep, maybeRun
}

// outcomeOf returns whether the request of a failed call may have run: it may have
// run after a lost reply, a timeout or a cancellation, but not after a failed dial
// or an error of the handler.
func outcomeOf(err error) callOutcome {
	var remote *peer.RemoteError
	switch {
	case errors.As(err, &remote):
		return notRun
	case errors.Is(err, peer.ErrClosed), errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return maybeRun
	}
	return notRun
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
