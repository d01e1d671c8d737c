// Package clientbudget limits what clients make a process hold: the bytes of messages,
// answers and session state, and the connections.
//
// Memory is reserved before it is filled, and a reservation waits while there is none.
// Package clientlimit decides which connections are closed then.
package clientbudget

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/core/clientlimit"
	"github.com/cicadacove/cicadacove/internal/core/logbudget"
)

// Kind is what reserved bytes are for.
type Kind int

// Kinds.
const (
	// Message: messages that are being read, and statements until their answer is sent.
	Message Kind = iota
	// Answer: answers of databases until they are sent.
	Answer
	// State: values and prepared statements of sessions.
	State
	kinds
)

// Kinds of memory in metrics. The fixed charge of connections has no Kind, since it is
// never reserved.
var kindNames = [kinds]string{Message: "message", Answer: "answer", State: "state"}

const kindConnection = "connection"

const (
	// memoryShare is the fraction of a machine's memory that clients may fill. Together
	// with the program itself and with copies that are garbage it stays below runtimeShare.
	memoryShare = 0.3
	// runtimeShare is the fraction that becomes the soft memory limit of the Go runtime.
	// The rest is for the program's code, thread stacks and the kernel.
	runtimeShare = 0.7
	// connectionBytes is the fixed charge of a connection: read buffer, stack, session and
	// a message that fits into the read buffer.
	connectionBytes = 16 << 10
	// connectionShare is the fraction of the budget that connections may fill.
	connectionShare = 0.5
	// fileShare is the fraction of the descriptors that clients may use; the rest is for
	// files, control, other instances and databases.
	fileShare = 0.75
	// maxWait limits how long a reservation waits. Callers give up after 2 s.
	maxWait = time.Second
	// maxLoggedRequest limits the id of a request in a log line, in bytes.
	maxLoggedRequest = 100
	// retryInterval is how often a waiting reservation looks for connections to close.
	retryInterval = 100 * time.Millisecond
)

// DefaultRate is the minimum rate of messages and answers. The slowest machines have 175
// kB/s, so a client that shares one with four others is still faster.
var DefaultRate = clientlimit.Rate{Grace: 5 * time.Second, BytesPerSecond: 32 << 10}

// RuntimeLimit returns the soft memory limit of the Go runtime for a machine with this
// memory in bytes.
func RuntimeLimit(memory int64) int64 { return int64(runtimeShare * float64(memory)) }

// Metrics records what clients hold.
type Metrics interface {
	// ClientBytes sets the bytes of a kind that clients hold.
	ClientBytes(kind string, bytes int64)
	// ClientClosed counts a connection that was closed or refused for the reason.
	ClientClosed(protocol, reason string)
}

// Options configures a Budget.
type Options struct {
	// Memory is the memory of the machine in bytes.
	Memory int64
	// MaxConns limits the connections further; 0 leaves the limits by memory and by
	// descriptors.
	MaxConns int
	Rate     clientlimit.Rate
	// Metrics may be nil.
	Metrics Metrics
}

// Budget is the budget of one process. A nil *Budget limits nothing.
type Budget struct {
	opts           Options
	size           int64
	maxConnections int

	mu sync.Mutex
	// held are the reserved bytes by kind.
	held     [kinds]int64
	accounts map[uint64]*Account
	nextID   uint64
	// closing counts the accounts whose connections are being closed.
	closing int
	// nextRoom is when connections may be closed for new ones again.
	nextRoom time.Time
	// waiters are the reservations that wait for memory, the oldest first.
	waiters []*waiter
	lines   *logbudget.Budget
}

// New returns a budget. It takes the limit of descriptors from the process.
func New(opts Options) *Budget {
	if opts.Rate == (clientlimit.Rate{}) {
		opts.Rate = DefaultRate
	}
	b := &Budget{opts: opts, size: int64(memoryShare * float64(opts.Memory)), accounts: map[uint64]*Account{}, lines: logbudget.New(time.Now())}
	b.maxConnections = int(min(float64(b.size)*connectionShare/connectionBytes, float64(maxFiles())*fileShare))
	if opts.MaxConns > 0 {
		b.maxConnections = min(b.maxConnections, opts.MaxConns)
	}
	return b
}

// maxFiles returns the limit of descriptors of this process.
func maxFiles() int64 {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int64(limit.Cur)
}

// MaxConnections returns the number of connections that the budget allows.
func (b *Budget) MaxConnections() int { return b.maxConnections }

// Rate returns the minimum rate of messages and answers.
func (b *Budget) Rate() clientlimit.Rate {
	if b == nil {
		return DefaultRate
	}
	return b.opts.Rate
}

// Rate returns the minimum rate of messages and answers.
func (a *Account) Rate() clientlimit.Rate {
	if a == nil {
		return DefaultRate
	}
	return a.budget.Rate()
}

// Account is what one connection holds. A nil *Account limits nothing.
type Account struct {
	budget   *Budget
	id       uint64
	protocol string
	remote   string
	close    func()
	openedAt time.Time

	state               atomic.Int32
	since, lastProgress atomic.Int64
	transferred         atomic.Int64
	used                atomic.Bool
	request             atomic.Pointer[string]
	reason              atomic.Pointer[clientlimit.Reason]
	held                [kinds]int64 // guarded by budget.mu
	peak                int64        // guarded by budget.mu
	closing, ended      bool         // guarded by budget.mu
}

// Open accounts for a connection that was accepted. close must make its reads and writes
// fail and must not block. ok is false if there are too many connections.
func (b *Budget) Open(protocol, remote string, closeConn func()) (a *Account, ok bool) {
	if b == nil {
		return nil, true
	}
	a = &Account{budget: b, protocol: protocol, remote: remote, close: closeConn, openedAt: time.Now()}
	a.Enter(clientlimit.Starting)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.open() >= b.maxConnections && !b.makeRoom() {
		b.report(a, clientlimit.TooMany)
		return nil, false
	}
	b.nextID++
	a.id = b.nextID
	b.accounts[a.id] = a
	return a, true
}

// open returns the number of connections that aren't being closed.
func (b *Budget) open() int { return len(b.accounts) - b.closing }

// roomInterval is the time between two looks for connections that can be closed for new
// ones. A look costs time for each connection, and a flood of new ones must not multiply it.
const roomInterval = 20 * time.Millisecond

// makeRoom closes connections for new ones. It must be called with the lock held.
func (b *Budget) makeRoom() bool {
	now := time.Now()
	if now.Before(b.nextRoom) {
		return false
	}
	b.nextRoom = now.Add(roomInterval)
	for _, c := range clientlimit.ForConnections(b.snapshot(), b.opts.Rate, now) {
		b.closeLocked(b.accounts[c.ID], c.Reason)
	}
	return b.open() < b.maxConnections
}

// snapshot describes the connections that aren't being closed.
func (b *Budget) snapshot() []clientlimit.Conn {
	conns := make([]clientlimit.Conn, 0, len(b.accounts))
	for id, a := range b.accounts {
		if a.closing {
			continue
		}
		conns = append(conns, clientlimit.Conn{
			ID: id, State: clientlimit.State(a.state.Load()), Held: a.total(), OpenedAt: a.openedAt, Since: time.Unix(0, a.since.Load()),
			LastProgress: time.Unix(0, a.lastProgress.Load()), Transferred: a.transferred.Load(), Used: a.used.Load(),
		})
	}
	return conns
}

func (a *Account) total() (bytes int64) {
	for _, n := range a.held {
		bytes += n
	}
	return bytes
}

// Enter sets the state of the connection.
func (a *Account) Enter(s clientlimit.State) {
	if a == nil {
		return
	}
	now := time.Now().UnixNano()
	a.transferred.Store(0)
	a.since.Store(now)
	a.lastProgress.Store(now)
	a.state.Store(int32(s))
}

// Use records that the client has sent a request. Its id, empty if it has none, is logged
// if the connection is closed.
func (a *Account) Use(request string) {
	if a == nil {
		return
	}
	a.used.Store(true)
	a.request.Store(&request)
}

// latestRequest returns the id of the latest request, shortened.
func (a *Account) latestRequest() string {
	id := a.request.Load()
	if id == nil {
		return ""
	}
	return (*id)[:min(len(*id), maxLoggedRequest)]
}

// Progress records bytes that were read from or written to the client.
func (a *Account) Progress(n int) {
	if a == nil || n <= 0 {
		return
	}
	a.transferred.Add(int64(n))
	a.lastProgress.Store(time.Now().UnixNano())
}

// Close releases all that the connection holds, and logs and counts its reason if it was
// closed because of a limit.
func (a *Account) Close() {
	if a == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	b.dropWaiters(a)
	for kind := range kinds {
		a.release(kind, a.held[kind])
	}
	delete(b.accounts, a.id)
	if a.closing {
		b.closing--
	}
	b.grant()
	if reason := a.reason.Load(); reason != nil {
		b.report(a, *reason)
	}
}

// report counts and logs a connection that was closed or refused. The lines are limited
// like those of failed requests.
func (b *Budget) report(a *Account, reason clientlimit.Reason) {
	if b.opts.Metrics != nil {
		b.opts.Metrics.ClientClosed(a.protocol, string(reason))
	}
	now := time.Now()
	if !b.lines.Take(logbudget.Failure, now) {
		return
	}
	leftOut := b.lines.TakeDropped()[logbudget.Failure]
	klog.InfoS("client closed", "protocol", a.protocol, "client", a.remote, "reason", string(reason),
		"request", a.latestRequest(), "state", clientlimit.State(a.state.Load()).String(), "held_bytes_peak", a.peak, "age_ms", now.Sub(a.openedAt).Milliseconds(),
		"rest_ms", now.Sub(time.Unix(0, a.lastProgress.Load())).Milliseconds(), "free_bytes", b.free(), "lines_left_out", leftOut)
}

// reportInterval is the time between two updates of the metrics.
const reportInterval = time.Second

// Run updates the metrics until ctx ends.
func (b *Budget) Run(ctx context.Context) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		b.updateMetrics()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (b *Budget) updateMetrics() {
	if b.opts.Metrics == nil {
		return
	}
	b.mu.Lock()
	held, connections := b.held, len(b.accounts)
	b.mu.Unlock()
	for kind, name := range kindNames {
		b.opts.Metrics.ClientBytes(name, held[kind])
	}
	b.opts.Metrics.ClientBytes(kindConnection, int64(connections)*connectionBytes)
}

// contextKey is the key of the account of a request.
type contextKey struct{}

// NewContext returns a context for a request of the connection.
func NewContext(ctx context.Context, a *Account) context.Context {
	return context.WithValue(ctx, contextKey{}, a)
}

// FromContext returns the account of the connection whose request runs, nil if there is
// none.
func FromContext(ctx context.Context) *Account {
	a, _ := ctx.Value(contextKey{}).(*Account)
	return a
}
