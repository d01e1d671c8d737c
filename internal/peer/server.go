package peer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/accept"
	"github.com/cicadacove/cicadacove/internal/codec"
)

type handler func(ctx context.Context, body []byte) (any, error)

// ErrStopping is the error in the reply to a request that arrives while the server
// stops. The request did not run.
var ErrStopping = errors.New("peer: the server is stopping")

// Server handles requests from other entry instances.
type Server struct {
	opts Options
	// ctx is the parent of the contexts of all handlers.
	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	handlers map[string]handler
	conns    map[net.Conn]*writer
	ln       net.Listener
	// stopping is set once new requests are refused, closed once all connections
	// are closed.
	stopping, closed bool
	// running is the number of requests whose handlers have not replied.
	running int
	// changed is closed and replaced when a request or a connection has ended while the
	// server stops.
	changed chan struct{}
}

// NewServer returns a server without handlers.
func NewServer(opts Options) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{
		opts: opts, ctx: ctx, cancel: cancel,
		handlers: map[string]handler{}, conns: map[net.Conn]*writer{}, changed: make(chan struct{}),
	}
}

// Handle registers the function that handles requests of a kind.
func Handle[Req, Rep any](s *Server, kind string, f func(ctx context.Context, req Req) (Rep, error)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[kind] = func(ctx context.Context, body []byte) (any, error) {
		var req Req
		if err := codec.Unmarshal(body, &req); err != nil {
			return nil, fmt.Errorf("peer: request %s: %w", kind, err)
		}
		return f(ctx, req)
	}
}

// Serve accepts connections until the listener or the server is closed.
func (s *Server) Serve(ln net.Listener) error {
	s.mu.Lock()
	s.ln = ln
	stopping := s.stopping
	s.mu.Unlock()
	if stopping {
		return ln.Close()
	}
	accept.Each(ln, "peer", func(conn net.Conn) {
		out := &writer{conn: conn}
		if !s.track(out) {
			conn.Close()
			return
		}
		go s.serve(out)
	})
	return nil
}

// Shutdown ends Serve and lets the handlers that run reply. It refuses requests that
// arrive meanwhile with ErrStopping, and goes on delivering messages that have no
// reply, since handlers may depend on them. When ctx ends, it cancels the handlers that
// still run and gives them the time answer to reply. Then it closes the connections, each after
// what was written to it has been received. It returns the number of requests without
// a reply.
func (s *Server) Shutdown(ctx context.Context, answer time.Duration) (cut int) {
	s.refuse()
	idle := func() bool { return s.running == 0 }
	if !s.await(ctx, idle) {
		s.cancel()
		last, cancel := context.WithTimeout(context.WithoutCancel(ctx), answer)
		defer cancel()
		s.await(last, idle)
	}
	cut = s.Running()
	s.endWriting()
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), answer)
	defer cancel()
	s.await(last, func() bool { return len(s.conns) == 0 })
	if err := s.Close(); err != nil {
		klog.V(2).Infof("peer: could not close the server: %v", err)
	}
	return cut
}

// refuse ends Serve and refuses requests from now on.
func (s *Server) refuse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	if s.ln != nil {
		s.ln.Close()
	}
}

// endWriting ends the writing half of each connection between two frames. The other
// side then closes the connection; until it does, serve goes on reading, since unread
// bytes would reset the connection and discard replies.
func (s *Server) endWriting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, out := range s.conns {
		go out.end()
	}
}

// await returns true once done, which it calls with the lock held, or false when ctx
// ends before.
func (s *Server) await(ctx context.Context, done func() bool) bool {
	for {
		s.mu.Lock()
		reached, changed := done(), s.changed
		s.mu.Unlock()
		if reached {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// notifyChanged must be called with the lock held.
func (s *Server) notifyChanged() {
	if s.stopping {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// Running returns the number of requests whose handlers have not replied.
func (s *Server) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// Close ends Serve and closes all connections at once.
func (s *Server) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping, s.closed = true, true
	s.cancel()
	for conn := range s.conns {
		conn.Close()
	}
	if s.ln == nil {
		return nil
	}
	if err := s.ln.Close(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

func (s *Server) track(out *writer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.conns[out.conn] = out
	return true
}

func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
	conn.Close()
	s.notifyChanged()
}

func (s *Server) serve(out *writer) {
	conn := out.conn
	defer s.untrack(conn)
	if err := serverHandshake(conn, s.opts.Secret); err != nil {
		klog.V(1).Infof("peer: handshake with %s failed: %v", conn.RemoteAddr(), err)
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	slots := make(chan struct{}, maxConcurrentRequests)
	in := bufio.NewReader(conn)
	for {
		f, err := ReadFrame(in)
		if err != nil {
			logReadError(conn, err)
			return
		}
		s.opts.observe(&f)
		if !s.begin(&f) {
			s.reply(out, &f, nil, ErrStopping)
			continue
		}
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			defer s.end(&f)
			s.serveRequest(ctx, out, f)
		}()
	}
}

// begin counts a request until end is called. It returns false if the request must be
// refused. Messages that have no reply are neither counted nor refused.
func (s *Server) begin(f *Frame) bool {
	if f.ID == 0 {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping && f.Kind != kindPing {
		return false
	}
	s.running++
	return true
}

func (s *Server) end(f *Frame) {
	if f.ID == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.notifyChanged()
}

func logReadError(conn net.Conn, err error) {
	var frameErr *FrameError
	if errors.As(err, &frameErr) {
		klog.Warningf("peer: closing the connection from %s: %v", conn.RemoteAddr(), err)
	}
}

func (s *Server) serveRequest(ctx context.Context, out *writer, f Frame) {
	body, err := s.dispatch(ctx, f)
	if f.ID != 0 {
		s.reply(out, &f, body, err)
	}
}

// reply sends the reply to a request: the body, or the text of err if it is not nil.
func (s *Server) reply(out *writer, request *Frame, body msgpack.RawMessage, err error) {
	reply := Frame{ID: request.ID}
	if err != nil {
		reply.Error = err.Error()
	} else {
		reply.Body = body
	}
	s.opts.stamp(&reply)
	if err := out.write(&reply); err != nil {
		klog.V(2).Infof("peer: failed to send the reply to a %s request: %v", request.Kind, err)
	}
}

func (s *Server) dispatch(ctx context.Context, f Frame) (msgpack.RawMessage, error) {
	if f.Kind == kindPing {
		return nil, nil
	}
	s.mu.Lock()
	h, ok := s.handlers[f.Kind]
	s.mu.Unlock()
	if !ok {
		return nil, fmt.Errorf("peer: unknown request kind %q", f.Kind)
	}
	rep, err := h(ctx, f.Body)
	if err != nil {
		return nil, err
	}
	return msgpack.Marshal(rep)
}

// writer writes the frames of one connection one at a time.
type writer struct {
	mu   sync.Mutex
	conn net.Conn
	buf  []byte
}

func (w *writer) write(f *Frame) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	buf, err := AppendFrame(w.buf[:0], f)
	if err != nil {
		return err
	}
	if w.buf = buf; cap(buf) > maxKeptBuffer {
		w.buf = nil
	}
	if err := w.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err = w.conn.Write(buf)
	return err
}

// end ends the writing half of the connection, or closes a connection that has no
// halves.
func (w *writer) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	half, ok := w.conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		w.conn.Close()
	}
}
