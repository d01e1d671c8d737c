package standin

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/xdg-go/scram"
	"k8s.io/klog/v2"
)

// Database is one running stand-in database.
type Database struct {
	options     Options
	credentials scram.StoredCredentials

	mu     sync.Mutex // guards engine and state
	engine *engine
	state  state

	faults           faults
	lag              atomic.Int64 // nanoseconds
	leaving          atomic.Bool
	incarnation      atomic.Uint64
	announceSeq      atomic.Uint64
	statements       atomic.Uint64
	announceRequests chan struct{}
	slots            chan struct{}

	serveMu  sync.Mutex // guards the fields below
	listener net.Listener
	addr     string
	sessions map[uint32]*session
	nextPID  uint32

	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// Start starts a database. It runs until ctx ends or Close is called.
func Start(ctx context.Context, options Options) (*Database, error) {
	options = options.withDefaults()
	credentials, err := newCredentials(options)
	if err != nil {
		return nil, err
	}
	engine, err := newEngine()
	if err != nil {
		return nil, err
	}
	d := &Database{
		options:          options,
		credentials:      credentials,
		engine:           engine,
		announceRequests: make(chan struct{}, 1),
		slots:            make(chan struct{}, options.Slots),
		sessions:         make(map[uint32]*session),
		state: state{
			role:        options.Role,
			term:        options.Term,
			base:        topo.Point{Term: options.Term},
			primaryAddr: options.Primary,
			changed:     make(chan struct{}),
		},
	}
	d.lag.Store(int64(options.ReplicationLag))
	d.incarnation.Store(nextIncarnation())
	d.ctx, d.cancel = context.WithCancel(ctx)
	if err := d.listen(options.Listen); err != nil {
		d.cancel()
		return nil, errors.Join(err, engine.close())
	}
	context.AfterFunc(d.ctx, d.stopServing)
	d.goroutines.Go(func() { d.replicateLoop(d.ctx) })
	if len(options.AnnounceTo) > 0 {
		d.goroutines.Go(func() { d.announceLoop(d.ctx) })
	}
	return d, nil
}

// nextIncarnation returns a number that increases with each restart, including
// restarts as a new process.
func nextIncarnation() uint64 { return uint64(time.Now().UnixNano()) }

// Addr returns the address that the database listens on.
func (d *Database) Addr() string {
	d.serveMu.Lock()
	defer d.serveMu.Unlock()
	return d.addr
}

// ID returns the id of the database.
func (d *Database) ID() topo.UpstreamID { return d.options.ID }

// SetReplicationLag changes the minimum age of a log entry before the database
// applies it.
func (d *Database) SetReplicationLag(lag time.Duration) { d.lag.Store(int64(lag)) }

// Close stops the database and waits for its goroutines.
func (d *Database) Close() error {
	d.cancel()
	d.stopServing()
	d.goroutines.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.engine.close()
}

// Restart closes the listener and all connections, waits for pause, and listens
// again on the same address. It keeps the committed contents, the role and the
// terms.
func (d *Database) Restart(pause time.Duration) error {
	d.stopServing()
	if err := sleep(d.ctx, pause); err != nil {
		return err
	}
	d.incarnation.Store(nextIncarnation())
	d.leaving.Store(false)
	if err := d.listen(d.Addr()); err != nil {
		return err
	}
	d.requestAnnouncement()
	return nil
}

func (d *Database) listen(addr string) error {
	listener, err := d.options.Listener(addr)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", addr, err)
	}
	d.serveMu.Lock()
	d.listener = listener
	d.addr = listener.Addr().String()
	d.serveMu.Unlock()
	d.goroutines.Go(func() { d.acceptLoop(listener) })
	return nil
}

func (d *Database) acceptLoop(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		d.goroutines.Go(func() { d.serveConn(conn) })
	}
}

// stopServing closes the listener and all connections.
func (d *Database) stopServing() {
	d.serveMu.Lock()
	listener := d.listener
	d.serveMu.Unlock()
	if err := listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		klog.Warningf("standin: %s: close listener: %v", d.options.ID, err)
	}
	d.closeSessions()
}

func (d *Database) closeSessions() {
	d.serveMu.Lock()
	defer d.serveMu.Unlock()
	for _, s := range d.sessions {
		s.close()
	}
}

// register adds a session and assigns its process id and a random cancel key.
func (d *Database) register(s *session) {
	d.serveMu.Lock()
	defer d.serveMu.Unlock()
	d.nextPID++
	s.pid = d.nextPID
	s.secret = make([]byte, 4)
	binary.BigEndian.PutUint32(s.secret, randomUint32())
	d.sessions[s.pid] = s
}

func randomUint32() uint32 {
	var b [4]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic("crypto/rand failed: " + err.Error())
	}
	return binary.BigEndian.Uint32(b[:])
}

func (d *Database) unregister(s *session) {
	d.serveMu.Lock()
	defer d.serveMu.Unlock()
	delete(d.sessions, s.pid)
}

// admit counts the session towards Options.Connections. It returns an error if
// the limit is reached.
func (d *Database) admit(s *session) error {
	d.serveMu.Lock()
	defer d.serveMu.Unlock()
	counted := 0
	for _, other := range d.sessions {
		if other.counted {
			counted++
		}
	}
	if counted >= d.options.Connections {
		return &pgError{codeTooManyConnections, "sorry, too many clients already"}
	}
	s.counted = true
	return nil
}

// OpenConnections returns the number of connections that count towards
// Options.Connections.
func (d *Database) OpenConnections() int {
	d.serveMu.Lock()
	defer d.serveMu.Unlock()
	counted := 0
	for _, s := range d.sessions {
		if s.counted {
			counted++
		}
	}
	return counted
}

func (d *Database) cancelStatement(pid uint32, secret []byte) {
	d.serveMu.Lock()
	s := d.sessions[pid]
	d.serveMu.Unlock()
	if s != nil && string(s.secret) == string(secret) {
		s.cancelStatement()
	}
}

// Statements returns the number of statements that have acquired a slot so far.
func (d *Database) Statements() uint64 { return d.statements.Load() }

// acquireSlot waits for a free slot, and then for the service time.
func (d *Database) acquireSlot(ctx context.Context) (release func(), err error) {
	select {
	case d.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	d.statements.Add(1)
	release = func() { <-d.slots }
	serviceTime := d.options.ServiceTime + time.Duration(d.faults.statementDelay.Load())
	if err := sleep(ctx, serviceTime); err != nil {
		release()
		return nil, err
	}
	return release, nil
}
