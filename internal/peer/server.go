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

// Server handles requests from other entry instances.
type Server struct {
	opts Options

	mu       sync.Mutex
	handlers map[string]handler
	conns    map[net.Conn]struct{}
	ln       net.Listener
	closed   bool
}

// NewServer returns a server without handlers.
func NewServer(opts Options) *Server {
	return &Server{opts: opts, handlers: map[string]handler{}, conns: map[net.Conn]struct{}{}}
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
	closed := s.closed
	s.mu.Unlock()
	if closed {
		return ln.Close()
	}
	accept.Each(ln, "peer", func(conn net.Conn) {
		if !s.track(conn) {
			conn.Close()
			return
		}
		go s.serve(conn)
	})
	return nil
}

// Close ends Serve and closes all connections.
func (s *Server) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.conns {
		conn.Close()
	}
	if s.ln == nil {
		return nil
	}
	return s.ln.Close()
}

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
	conn.Close()
}

func (s *Server) serve(conn net.Conn) {
	defer s.untrack(conn)
	if err := serverHandshake(conn, s.opts.Secret); err != nil {
		klog.V(1).Infof("peer: handshake with %s failed: %v", conn.RemoteAddr(), err)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	out := &writer{conn: conn}
	slots := make(chan struct{}, maxConcurrentRequests)
	in := bufio.NewReader(conn)
	for {
		f, err := ReadFrame(in)
		if err != nil {
			logReadError(conn, err)
			return
		}
		s.opts.observe(&f)
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			s.serveRequest(ctx, out, f)
		}()
	}
}

func logReadError(conn net.Conn, err error) {
	var frameErr *FrameError
	if errors.As(err, &frameErr) {
		klog.Warningf("peer: closing the connection from %s: %v", conn.RemoteAddr(), err)
	}
}

func (s *Server) serveRequest(ctx context.Context, out *writer, f Frame) {
	reply := Frame{ID: f.ID}
	body, err := s.dispatch(ctx, f)
	if f.ID == 0 {
		return
	}
	if err != nil {
		reply.Error = err.Error()
	} else {
		reply.Body = body
	}
	s.opts.stamp(&reply)
	if err := out.write(&reply); err != nil {
		klog.V(2).Infof("peer: failed to send the reply to a %s request: %v", f.Kind, err)
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
	w.buf = buf
	if err := w.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err = w.conn.Write(buf)
	return err
}
