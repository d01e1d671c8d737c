package standin

import (
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"

	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/jackc/pgx/v5/pgproto3"
	"k8s.io/klog/v2"
)

// Run-time parameters of a connection.
const (
	paramTerm    = "cicadacove.term"
	paramPoint   = "cicadacove.point"
	paramControl = "cicadacove.control"
)

// maxMessageBytes is the maximum length of a message from a caller.
const maxMessageBytes = 16 << 20

// session is one connection of a caller.
type session struct {
	d       *Database
	conn    *breakableConn
	backend *pgproto3.Backend
	pid     uint32
	secret  []byte
	counted bool // towards Options.Connections, guarded by Database.serveMu

	params map[string]string
	term   topo.Term

	tx         *transaction
	prepared   map[string]*prepared
	portals    map[string]*portal
	skipToSync bool

	pointSent topo.Point
	committed topo.Point // the latest commit that was not yet sent to the caller

	ctx    context.Context
	close  func()
	mu     sync.Mutex // guards cancel
	cancel context.CancelFunc
}

func (d *Database) serveConn(conn net.Conn) {
	wrapped := &breakableConn{Conn: conn}
	ctx, cancel := context.WithCancel(d.ctx)
	s := &session{
		d:        d,
		conn:     wrapped,
		backend:  pgproto3.NewBackend(wrapped, wrapped),
		params:   make(map[string]string),
		prepared: make(map[string]*prepared),
		portals:  make(map[string]*portal),
		ctx:      ctx,
	}
	s.close = cancel
	context.AfterFunc(ctx, func() {
		if err := conn.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			klog.V(2).Infof("standin: %s: close connection: %v", d.options.ID, err)
		}
	})
	defer cancel()
	d.register(s)
	defer d.unregister(s)
	s.backend.SetMaxBodyLen(maxMessageBytes)
	if err := s.serve(); err != nil && ctx.Err() == nil && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		klog.V(2).Infof("standin: %s: connection ended: %v", d.options.ID, err)
	}
}

func (s *session) serve() error {
	started, err := s.startup()
	if err != nil {
		return s.rejectStartup(err)
	}
	if !started {
		return nil
	}
	for {
		message, err := s.backend.Receive()
		if err != nil {
			return err
		}
		if _, ok := message.(*pgproto3.Terminate); ok {
			return nil
		}
		if err := s.d.faults.waitWhileHung(s.ctx); err != nil {
			return err
		}
		if err := s.handle(message); err != nil {
			return err
		}
	}
}

// rejectStartup sends an error that ends the connection.
func (s *session) rejectStartup(err error) error {
	var e *pgError
	if !errors.As(err, &e) {
		return err
	}
	s.backend.Send(e.response("FATAL"))
	return errors.Join(err, s.backend.Flush())
}

// startup handles all messages until it sends the first ReadyForQuery. started
// is false for a cancel request.
func (s *session) startup() (started bool, err error) {
	for {
		message, err := s.backend.ReceiveStartupMessage()
		if err != nil {
			return false, err
		}
		if err := s.d.faults.waitWhileHung(s.ctx); err != nil {
			return false, err
		}
		switch m := message.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := s.conn.Write([]byte{'N'}); err != nil {
				return false, err
			}
		case *pgproto3.CancelRequest:
			s.d.cancelStatement(m.ProcessID, m.SecretKey)
			return false, nil
		case *pgproto3.StartupMessage:
			return true, s.openSession(m)
		}
	}
}

func (s *session) openSession(m *pgproto3.StartupMessage) error {
	for name, value := range m.Parameters {
		s.params[name] = value
	}
	s.parseOptions(m.Parameters["options"])
	if s.params[paramControl] == "" {
		if err := s.d.admit(s); err != nil {
			return err
		}
	}
	if err := sleep(s.ctx, s.d.options.ConnectDelay); err != nil {
		return err
	}
	if err := s.authenticate(); err != nil {
		return err
	}
	if err := s.checkTerm(); err != nil {
		return err
	}
	s.backend.Send(&pgproto3.AuthenticationOk{})
	for _, p := range serverParameters {
		s.backend.Send(&pgproto3.ParameterStatus{Name: p.name, Value: p.value})
	}
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: s.secret})
	return s.sendReady()
}

var serverParameters = []struct{ name, value string }{
	{"server_version", "16.0 (cicadacove stand-in)"},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"DateStyle", "ISO, MDY"},
	{"integer_datetimes", "on"},
	{"standard_conforming_strings", "on"},
}

// parseOptions sets the parameters that are given in the form -c name=value.
func (s *session) parseOptions(options string) {
	fields := strings.Fields(options)
	for i, field := range fields {
		field = strings.TrimPrefix(field, "-c")
		name, value, found := strings.Cut(field, "=")
		if found && (i > 0 && fields[i-1] == "-c" || field != fields[i]) {
			s.params[name] = value
		}
	}
}

// checkTerm returns an error if the connection names a term that may not write
// to this database.
func (s *session) checkTerm() error {
	text := s.params[paramTerm]
	if text == "" {
		return nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || n == 0 {
		return &pgError{codeInvalidParameter, "invalid value for " + paramTerm}
	}
	s.term = topo.Term(n)
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	return s.d.state.checkTerm(s.term)
}

// sendReady sends ReadyForQuery. If the point has changed, it sends the point
// first.
func (s *session) sendReady() error {
	point := s.d.Status().Point
	if !s.committed.IsZero() {
		point = s.committed
	}
	if point != s.pointSent || !s.committed.IsZero() {
		s.backend.Send(&pgproto3.ParameterStatus{Name: paramPoint, Value: point.String()})
		s.pointSent = point
		s.committed = topo.Point{}
	}
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: s.txStatus()})
	return s.backend.Flush()
}

func (s *session) txStatus() byte {
	switch {
	case s.tx == nil || !s.tx.explicit:
		return 'I'
	case s.tx.failed:
		return 'E'
	default:
		return 'T'
	}
}

func (s *session) handle(message pgproto3.FrontendMessage) error {
	switch m := message.(type) {
	case *pgproto3.Query:
		s.skipToSync = false
		s.simpleQuery(m.String)
		return s.sendReady()
	case *pgproto3.Sync:
		s.skipToSync = false
		s.endImplicit()
		clear(s.portals)
		return s.sendReady()
	case *pgproto3.Flush:
		return s.backend.Flush()
	}
	if s.skipToSync {
		return nil
	}
	if err := s.handleExtended(message); err != nil {
		s.sendError(err)
		s.skipToSync = true
	}
	return nil
}

// sendError sends an error and marks the transaction as failed.
func (s *session) sendError(err error) {
	var e *pgError
	switch {
	case errors.As(err, &e):
	case errors.Is(err, context.Canceled):
		e = &pgError{codeCanceled, "canceling statement due to user request"}
	default:
		e = &pgError{codeInternal, err.Error()}
	}
	s.backend.Send(e.response("ERROR"))
	if s.tx == nil {
		return
	}
	s.tx.failed = true
	if !s.tx.explicit {
		s.tx = nil
	}
}

// statementContext returns a context that a cancel request cancels.
func (s *session) statementContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(s.ctx)
	s.mu.Lock()
	s.cancel = cancel
	s.mu.Unlock()
	return ctx, func() {
		s.mu.Lock()
		s.cancel = nil
		s.mu.Unlock()
		cancel()
	}
}

func (s *session) cancelStatement() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		s.cancel()
	}
}
