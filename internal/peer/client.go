package peer

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/codec"
)

// ErrClosed means that the connection was closed before the reply arrived. The
// request may have run.
var ErrClosed = errors.New("peer: connection closed before the reply")

// Client sends requests to other entry instances. It keeps one connection per
// address and replaces it when it has failed.
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
// handler, ErrClosed when the connection failed before the reply arrived, the
// error of the context, or a *NotSentError with the error of the dial, of the handshake
// or of the context.
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
	if err := l.waitConnected(ctx); err != nil {
		return Frame{}, &NotSentError{err}
	}
	id, reply := l.addPending()
	defer l.removePending(id)
	request := Frame{ID: id, Kind: kind, Body: body}
	if err := l.send(c.opts, &request); err != nil {
		return Frame{}, err
	}
	select {
	case f := <-reply:
		return f, nil
	case <-l.done:
		return arrived(reply, ErrClosed)
	case <-ctx.Done():
		return arrived(reply, ctx.Err())
	}
}

// arrived returns the reply if it is there, else err.
func arrived(reply <-chan Frame, err error) (Frame, error) {
	select {
	case f := <-reply:
		return f, nil
	default:
		return Frame{}, err
	}
}

// link returns the link to addr. It starts a new one if there is none or the
// existing one has failed.
func (c *Client) link(addr string) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l, ok := c.links[addr]; ok && !l.isClosed() {
		return l
	}
	l := &link{connected: make(chan struct{}), done: make(chan struct{}), pending: map[uint64]chan Frame{}}
	c.links[addr] = l
	go l.run(c.opts, addr)
	go l.checkLiveness(c.opts)
	return l
}

// link is one connection to a server, from the dial to its close.
type link struct {
	connected chan struct{}
	done      chan struct{}
	writer    *writer

	mu      sync.Mutex
	conn    net.Conn
	dialErr error
	closed  bool
	nextID  uint64
	pending map[uint64]chan Frame
	// unanswered is set if a frame was sent since the last one arrived.
	unanswered bool
}

func (l *link) run(opts Options, addr string) {
	defer l.fail()
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	conn, err := opts.Dial(ctx, "tcp", addr)
	if err == nil {
		err = clientHandshake(conn, opts.Secret)
	}
	if !l.setConnected(conn, err) {
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

// setConnected records the result of the dial and the handshake, and reports
// whether the link is usable.
func (l *link) setConnected(conn net.Conn, err error) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer close(l.connected)
	l.conn, l.dialErr = conn, err
	if l.closed && err == nil {
		l.dialErr = ErrClosed
	}
	if l.dialErr != nil {
		if conn != nil {
			conn.Close()
		}
		return false
	}
	l.writer = &writer{conn: conn}
	return true
}

func (l *link) waitConnected(ctx context.Context) error {
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
	if err := l.writer.write(f); err != nil {
		l.abort()
		return ErrClosed
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unanswered = true
	return nil
}

// checkLiveness pings the server while sent frames are unanswered and closes
// the link if the ping times out. A connection can stop delivering without an
// error; without the ping, all later messages that have no reply would be lost.
func (l *link) checkLiveness(opts Options) {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.done:
			return
		case <-ticker.C:
		}
		if l.hasUnanswered() && !l.ping(opts) {
			l.abort()
			return
		}
	}
}

func (l *link) hasUnanswered() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unanswered
}

// ping returns false if the server does not reply in time.
func (l *link) ping(opts Options) bool {
	id, reply := l.addPending()
	defer l.removePending(id)
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

func (l *link) addPending() (uint64, chan Frame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextID++
	reply := make(chan Frame, 1)
	l.pending[l.nextID] = reply
	return l.nextID, reply
}

func (l *link) removePending(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, id)
}

// deliver passes a reply to the request that waits for it. It drops a late
// reply, whose request is no longer pending.
func (l *link) deliver(f Frame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unanswered = false
	if reply, ok := l.pending[f.ID]; ok {
		reply <- f
		delete(l.pending, f.ID)
	}
}

func (l *link) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// abort closes a link that does not deliver. It discards requests that were not delivered,
// so that they do not run after their senders have given them up.
func (l *link) abort() {
	l.mu.Lock()
	if tcp, ok := l.conn.(interface{ SetLinger(sec int) error }); ok && !l.closed {
		if err := tcp.SetLinger(0); err != nil {
			klog.V(2).Infof("peer: could not reset the connection to %s: %v", l.conn.RemoteAddr(), err)
		}
	}
	l.mu.Unlock()
	l.fail()
}

func (l *link) fail() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.closed = true
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
	if err := l.waitConnected(ctx); err != nil {
		return err
	}
	return l.send(c.opts, &Frame{Kind: kind, Body: body})
}
