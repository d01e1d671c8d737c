package peer

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/cicadacove/cicadacove/internal/codec"
)

// ErrClosed means that the connection ended before the reply came. The
// request may have run.
var ErrClosed = errors.New("peer: connection closed before the reply")

// Client sends requests to other entry instances. It keeps one connection an
// address and opens it again when it has failed.
type Client struct {
	opts Options

	mu    sync.Mutex
	links map[string]*link
}

// NewClient returns a client without connections.
func NewClient(opts Options) *Client {
	if opts.Dial == nil {
		opts.Dial = (&net.Dialer{}).DialContext
	}
	return &Client{opts: opts, links: map[string]*link{}}
}

// Call sends a request and waits for its reply. Errors: *RemoteError from the
// handler, ErrClosed when the reply was lost, the context's error, or a dial
// error, in which case nothing was sent.
func Call[Rep any](ctx context.Context, c *Client, addr, kind string, req any) (Rep, error) {
	var rep Rep
	body, err := msgpack.Marshal(req)
	if err != nil {
		return rep, err
	}
	f, err := c.roundTrip(ctx, addr, kind, body)
	if err != nil {
		return rep, err
	}
	if f.Error != "" {
		return rep, &RemoteError{f.Error}
	}
	err = codec.Unmarshal(f.Body, &rep)
	return rep, err
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, l := range c.links {
		delete(c.links, addr)
		l.fail()
	}
}

func (c *Client) roundTrip(ctx context.Context, addr, kind string, body []byte) (Frame, error) {
	l := c.link(addr)
	if err := l.ready(ctx); err != nil {
		return Frame{}, err
	}
	id, reply := l.expect()
	defer l.forget(id)
	request := Frame{ID: id, Kind: kind, Body: body}
	if err := l.send(c.opts, &request); err != nil {
		return Frame{}, err
	}
	select {
	case f := <-reply:
		return f, nil
	case <-l.done:
		return Frame{}, ErrClosed
	case <-ctx.Done():
		return Frame{}, ctx.Err()
	}
}

// link returns the live link to addr, starting a new one if need be.
func (c *Client) link(addr string) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l, ok := c.links[addr]; ok && !l.failed() {
		return l
	}
	l := &link{connected: make(chan struct{}), done: make(chan struct{}), pending: map[uint64]chan Frame{}}
	c.links[addr] = l
	go l.run(c.opts, addr)
	go l.watch(c.opts)
	return l
}

// link is one connection, from its dial to its end.
type link struct {
	connected chan struct{}
	done      chan struct{}
	out       *writer

	mu      sync.Mutex
	conn    net.Conn
	dialErr error
	dead    bool
	nextID  uint64
	pending map[uint64]chan Frame
	// used says that something was sent since the last frame arrived.
	used bool
}

func (l *link) run(opts Options, addr string) {
	defer l.fail()
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	conn, err := opts.Dial(ctx, "tcp", addr)
	if err == nil {
		err = clientHandshake(conn, opts.Secret)
	}
	if !l.opened(conn, err) {
		return
	}
	in := bufio.NewReader(conn)
	for {
		f, err := ReadFrame(in)
		if err != nil {
			return
		}
		opts.observe(&f)
		l.deliver(f)
	}
}

// opened publishes the result of the dial and reports whether the link works.
func (l *link) opened(conn net.Conn, err error) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer close(l.connected)
	l.conn, l.dialErr = conn, err
	if l.dead && err == nil {
		l.dialErr = ErrClosed
	}
	if l.dialErr != nil {
		if conn != nil {
			conn.Close()
		}
		return false
	}
	l.out = &writer{conn: conn}
	return true
}

func (l *link) ready(ctx context.Context) error {
	select {
	case <-l.connected:
	case <-ctx.Done():
		return ctx.Err()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dialErr
}

// send writes a frame. Error: ErrClosed.
func (l *link) send(opts Options, f *Frame) error {
	opts.stamp(f)
	if err := l.out.write(f); err != nil {
		l.fail()
		return ErrClosed
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used = true
	return nil
}

// watch closes a link that takes what is sent and brings nothing back: a
// connection may go silent without an error, and messages without a reply
// would be lost for good.
func (l *link) watch(opts Options) {
	ticker := time.NewTicker(pingEvery)
	defer ticker.Stop()
	for {
		select {
		case <-l.done:
			return
		case <-ticker.C:
		}
		if l.isUsed() && !l.ping(opts) {
			l.fail()
			return
		}
	}
}

func (l *link) isUsed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used
}

// ping reports whether the other side answers.
func (l *link) ping(opts Options) bool {
	id, reply := l.expect()
	defer l.forget(id)
	if err := l.send(opts, &Frame{ID: id, Kind: kindPing}); err != nil {
		return false
	}
	timer := time.NewTimer(pingTimeout)
	defer timer.Stop()
	select {
	case <-reply:
		return true
	case <-timer.C:
		return false
	case <-l.done:
		return true // closed already
	}
}

func (l *link) expect() (uint64, chan Frame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextID++
	reply := make(chan Frame, 1)
	l.pending[l.nextID] = reply
	return l.nextID, reply
}

func (l *link) forget(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, id)
}

// deliver hands a reply to its request. A late reply, whose request has been
// forgotten, is dropped.
func (l *link) deliver(f Frame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used = false
	if reply, ok := l.pending[f.ID]; ok {
		reply <- f
		delete(l.pending, f.ID)
	}
}

func (l *link) failed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dead
}

func (l *link) fail() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dead {
		return
	}
	l.dead = true
	close(l.done)
	if l.conn != nil {
		l.conn.Close()
	}
}

// Notify sends a message that has no reply. It may be lost.
func Notify(ctx context.Context, c *Client, addr, kind string, msg any) error {
	body, err := msgpack.Marshal(msg)
	if err != nil {
		return err
	}
	l := c.link(addr)
	if err := l.ready(ctx); err != nil {
		return err
	}
	return l.send(c.opts, &Frame{Kind: kind, Body: body})
}
