package entry

import (
	"crypto/rand"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/clientbudget"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/statement"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/core/unit"
	"github.com/cicadacove/cicadacove/internal/lingering"
)

// startupTimeout bounds the time from accepting a caller's connection to
// opening its session.
const startupTimeout = 10 * time.Second

// reportedParameters are the parameters that clients expect at startup.
var reportedParameters = [][2]string{
	{"server_version", "15.0"},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"DateStyle", "ISO, MDY"},
	{"IntervalStyle", "postgres"},
	{"TimeZone", "UTC"},
	{"integer_datetimes", "on"},
	{"standard_conforming_strings", "on"},
}

// openSession negotiates a session on a new connection. For a cancel request
// it returns a nil session and no error.
func (s *Server) openSession(conn net.Conn, account *clientbudget.Account) (*callerSession, error) {
	accepted := conn
	if err := s.beginStartup(accepted); err != nil {
		return nil, err
	}
	conn, reader, backend, msg, err := s.negotiate(conn, account)
	if s.interruptsStartup(err) {
		s.refuseConn(accepted, conn, shuttingDown(""))
	}
	if err != nil {
		return nil, err
	}
	if cancel, ok := msg.(*pgproto3.CancelRequest); ok {
		s.cancel(cancel)
		return nil, nil
	}
	startup, ok := msg.(*pgproto3.StartupMessage)
	if !ok {
		return nil, fmt.Errorf("entry: unexpected startup message %T", msg)
	}
	c := s.newSession(conn, backend)
	c.accepted, c.account, c.reader = accepted, account, reader
	if o, ok := c.start(startup.Parameters); !ok {
		s.refuseConn(accepted, conn, o)
		return nil, errors.New(o.Reason)
	}
	if !s.endStartup(accepted, c) {
		s.refuseConn(accepted, conn, shuttingDown(""))
		return nil, errDraining
	}
	c.openReader()
	return c, nil
}

// interruptsStartup reports whether the error of a startup means that a drain has
// bounded it.
func (s *Server) interruptsStartup(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) && s.isDraining()
}

// errReadAhead means that bytes arrived in plain text after a request for encryption.
var errReadAhead = errors.New("entry: unencrypted data after a request for encryption")

// negotiate answers encryption requests until the startup message arrives.
func (s *Server) negotiate(conn net.Conn, account *clientbudget.Account) (net.Conn, *messageReader, *pgproto3.Backend, pgproto3.FrontendMessage, error) {
	reader := newMessageReader(conn, account, maxStartupMessage)
	backend := pgproto3.NewBackend(reader, conn)
	for {
		msg, err := backend.ReceiveStartupMessage()
		if err != nil {
			return conn, nil, nil, nil, err
		}
		switch msg.(type) {
		case *pgproto3.SSLRequest:
			if s.opts.TLS == nil {
				if _, err := conn.Write([]byte{'N'}); err != nil {
					return conn, nil, nil, nil, err
				}
				continue
			}
			if reader.in.Buffered() > 0 {
				return conn, nil, nil, nil, errReadAhead
			}
			if _, err := conn.Write([]byte{'S'}); err != nil {
				return conn, nil, nil, nil, err
			}
			conn = tls.Server(conn, s.opts.TLS)
			reader = newMessageReader(conn, account, maxStartupMessage)
			backend = pgproto3.NewBackend(reader, conn)
		case *pgproto3.GSSEncRequest:
			if _, err := conn.Write([]byte{'N'}); err != nil {
				return conn, nil, nil, nil, err
			}
		default:
			return conn, reader, backend, msg, nil
		}
	}
}

func (s *Server) newSession(conn net.Conn, backend *pgproto3.Backend) *callerSession {
	backend.SetMaxBodyLen(maxStartupMessage)
	c := &callerSession{
		server:   s,
		conn:     conn,
		backend:  backend,
		pid:      s.nextPID.Add(1),
		prepared: unit.Statements{},
		settings: map[string]string{},
		txState:  transactionChart.Initial,
	}
	rand.Read(c.secret[:])
	return c
}

// start validates the startup parameters, authenticates the caller and opens
// the session. If ok is false, the caller is refused with the outcome.
func (c *callerSession) start(params map[string]string) (o outcome.Outcome, ok bool) {
	c.user = params["user"]
	c.callerKey = c.user + "/" + params["application_name"] + "@" + remoteHost(c.conn)
	if c.user == "" {
		return outcome.Refused("28000", "startup parameter user is missing"), false
	}
	name := params["database"]
	if name == "" {
		name = c.user
	}
	c.group = topo.GroupID(name)
	if err := c.readParameters(params); err != nil {
		return outcome.Refused("22023", err.Error()), false
	}
	err := c.authenticate()
	if c.server.interruptsStartup(err) {
		return shuttingDown(""), false
	}
	if err != nil {
		return outcome.Refused("28P01", "authentication of user "+c.user+" failed"), false
	}
	trust := c.server.opts.Control.ConfigTrust()
	if _, ok := c.server.opts.Control.Config().ForGroup(c.group); !ok {
		return trust.Deny(outcome.Refused(outcome.CodeNoDatabase, fmt.Sprintf("no contract covers database %q", name))), false
	}
	if _, o, ok := c.checkToken(c.attrs.Token); !ok {
		return o, false
	}
	return outcome.Outcome{}, c.sendSessionStart() == nil
}

// readParameters reads the proxy's own parameters, including those within
// options ("-c cicadacove.service=stock").
func (c *callerSession) readParameters(params map[string]string) error {
	for name, value := range params {
		if attr, isProxyAttr := strings.CutPrefix(name, statement.Prefix); isProxyAttr {
			if err := c.attrs.Set(attr, value); err != nil {
				return err
			}
		}
	}
	fields := strings.Fields(params["options"])
	for i, f := range fields {
		setting, found := strings.CutPrefix(f, "-c")
		if !found {
			setting, found = strings.CutPrefix(f, "--")
		}
		if found && setting == "" && i+1 < len(fields) {
			setting = fields[i+1]
		}
		name, value, assigned := strings.Cut(setting, "=")
		attr, isProxyAttr := strings.CutPrefix(name, statement.Prefix)
		if !found || !assigned || !isProxyAttr {
			continue
		}
		if err := c.attrs.Set(attr, value); err != nil {
			return err
		}
	}
	return nil
}

// sendSessionStart sends the messages that open the session.
func (c *callerSession) sendSessionStart() error {
	var buf []byte
	buf = appendMessage(buf, &pgproto3.AuthenticationOk{})
	for _, p := range reportedParameters {
		buf = appendMessage(buf, &pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	buf = appendMessage(buf, &pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: c.secret[:]})
	buf = appendMessage(buf, &pgproto3.ReadyForQuery{TxStatus: 'I'})
	return c.write(buf)
}

// remoteHost returns the host address of the caller.
func remoteHost(conn net.Conn) string {
	host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		return conn.RemoteAddr().String()
	}
	return host
}

// refuseConn sends the reason to the caller and closes the connection once the caller
// has closed its side, after lingerTimeout at the latest. conn is the accepted
// connection or the TLS connection on it.
func (s *Server) refuseConn(accepted, conn net.Conn, o outcome.Outcome) {
	msg := &pgproto3.ErrorResponse{Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: o.Code, Message: o.Reason, Detail: "outcome: " + string(o.Kind)}
	conn.SetWriteDeadline(time.Now().Add(time.Second))
	if _, err := conn.Write(appendMessage(nil, msg)); err != nil {
		klog.V(2).Infof("entry: the reason could not be sent to caller %s: %v", conn.RemoteAddr(), err)
		conn.Close()
		return
	}
	s.markAnswered(accepted)
	// The caller has the reason; an error of the close changes nothing.
	_ = lingering.Close(conn, lingerTimeout)
}

// cancel passes a cancel request to the session that it identifies, at this
// instance or another one.
func (s *Server) cancel(m *pgproto3.CancelRequest) {
	req := cancelRequest{PID: m.ProcessID, Secret: m.SecretKey}
	if !s.cancelLocal(req) {
		s.cancelOnPeers(req)
	}
}
