package entry

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cicadacove/cicadacove/internal/clientbudget"
	"github.com/cicadacove/cicadacove/internal/core/clientlimit"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/unit"
	"github.com/cicadacove/cicadacove/internal/upstream"
)

const (
	// callersProtocol names the PostgreSQL protocol in the log and the metrics.
	callersProtocol = "postgresql"
	// messageCopies is how often a message is held while it is served: the read buffer, the
	// unit, and the message for the database.
	messageCopies = 3
	// messageOverhead is the memory of a decoded message beside its bytes.
	messageOverhead = 128
	// reserveStep is the number of bytes of short messages that are reserved at once. The
	// fixed charge of a connection covers less.
	reserveStep = 8 << 10
	// maxStartupMessage limits each message before the caller is authenticated.
	maxStartupMessage = 10_000
	// maxSettingBytes limits a value that a session stores.
	maxSettingBytes = 4 << 10
	// statementOverhead is the memory of a prepared statement beside its text.
	statementOverhead = 128
	// answerPart is the number of bytes of an answer that are written at once: half a second
	// at the minimum rate, so that progress shows.
	answerPart = 16 << 10
	// maxLingering limits the refused connections that wait for their callers to close them.
	maxLingering = 64
)

// errSlowMessage means that a caller sends a message more slowly than the minimum rate.
var errSlowMessage = errors.New("entry: the message was sent too slowly")

// messageReader passes the bytes of a caller on and reserves the memory of each message
// when its header has arrived. It never reads beyond the current message, so that what is
// reserved when a unit is complete belongs to that unit.
type messageReader struct {
	in      *bufio.Reader
	account *clientbudget.Account
	// maxMessage is the length that the reader of the messages refuses.
	maxMessage int
	// typed is set once the startup message has arrived: later messages begin with a type.
	typed  bool
	header [startupHeader]byte
	// have are the bytes of the header that have arrived, remaining those of the body that
	// have not.
	have      int
	remaining int64
	// charged and reserved are bytes of the current unit.
	charged, reserved int64
	// began is when the first byte of the unit arrived, zero before it; moved counts its bytes.
	began time.Time
	moved int64
	// onPart is called after a part of a message; nil before the session is open.
	onPart func() error
}

// Lengths of the headers of messages: a length and a code, or a type and a length.
const (
	startupHeader = 8
	typedHeader   = 5
)

// readerBuffer is the size of the read buffer of a connection.
const readerBuffer = 4 << 10

func newMessageReader(conn net.Conn, account *clientbudget.Account, maxMessage int) *messageReader {
	return &messageReader{in: bufio.NewReaderSize(conn, readerBuffer), account: account, maxMessage: maxMessage}
}

// Read implements io.Reader.
func (m *messageReader) Read(p []byte) (int, error) {
	want := m.remaining
	if want == 0 {
		want = int64(m.headerLen() - m.have)
	}
	n, err := m.in.Read(p[:min(int64(len(p)), want)])
	if n == 0 {
		return 0, err
	}
	m.account.Progress(n)
	if m.began.IsZero() {
		m.began = time.Now()
		m.account.Enter(clientlimit.Receiving)
	}
	m.moved += int64(n)
	if err := m.advance(p[:n]); err != nil {
		return 0, err
	}
	if m.onPart != nil && m.inMessage() && m.in.Buffered() == 0 {
		return n, m.onPart()
	}
	return n, nil
}

func (m *messageReader) headerLen() int {
	if m.typed {
		return typedHeader
	}
	return startupHeader
}

func (m *messageReader) advance(part []byte) error {
	if m.remaining > 0 {
		m.remaining -= int64(len(part))
		return nil
	}
	m.have += copy(m.header[m.have:m.headerLen()], part)
	if m.have < m.headerLen() {
		return nil
	}
	m.have = 0
	if !m.typed {
		m.remaining = max(0, int64(binary.BigEndian.Uint32(m.header[:]))-startupHeader)
		m.typed = !isEncryptionRequest(binary.BigEndian.Uint32(m.header[4:]))
		return nil
	}
	m.remaining = max(0, int64(binary.BigEndian.Uint32(m.header[1:]))-(typedHeader-1))
	return m.reserve(m.remaining)
}

// Codes of startup messages that ask for encryption.
const (
	sslRequestCode    = 80877103
	gssEncRequestCode = 80877104
)

func isEncryptionRequest(code uint32) bool {
	return code == sslRequestCode || code == gssEncRequestCode
}

// reserve reserves memory for a message. One that is too long is refused without being
// read.
func (m *messageReader) reserve(length int64) error {
	if length > int64(m.maxMessage) {
		return nil
	}
	m.charged += messageCopies*length + messageOverhead
	if m.charged-m.reserved < reserveStep {
		return nil
	}
	err := m.account.Reserve(context.Background(), clientbudget.Message, m.charged-m.reserved)
	m.reserved = m.charged
	return err
}

func (m *messageReader) inMessage() bool { return m.have > 0 || m.remaining > 0 }

// beginUnit releases what the last unit held, unless a part of the next one has arrived.
func (m *messageReader) beginUnit() {
	if !m.began.IsZero() && m.inMessage() {
		return
	}
	m.account.ReleaseAll(clientbudget.Message)
	m.account.ReleaseAll(clientbudget.Answer)
	m.account.Enter(clientlimit.Idle)
	m.charged, m.reserved, m.began, m.moved = 0, 0, time.Time{}, 0
}

// messageDeadline returns when the rest of a message or of a unit must have arrived, zero
// if none has begun.
func (c *callerSession) messageDeadline(first bool) time.Time {
	m := c.reader
	if m == nil || m.began.IsZero() {
		return time.Time{}
	}
	rate := m.account.Rate()
	if !m.inMessage() {
		if first {
			return time.Time{}
		}
		rate.Grace = max(rate.Grace, c.server.opts.Limits.IdleTransaction) // between two messages of a unit
	}
	return rate.Deadline(m.began, m.moved)
}

// extendDeadline sets the deadline for the rest of a message. It keeps one that a drain
// has set, and that of an idle transaction.
func (c *callerSession) extendDeadline() error {
	at := c.messageDeadline(c.betweenUnits)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.drainStep.EndsSession(c.betweenUnits, c.inTransaction) {
		return nil
	}
	return c.conn.SetReadDeadline(earlier(at, c.idleDeadline))
}

// earlier returns the earlier time; a zero time is none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// isSlow reports whether the deadline for the rest of a message has passed.
func (c *callerSession) isSlow(first bool) bool {
	at := c.messageDeadline(first)
	return !at.IsZero() && !time.Now().Before(at)
}

// openReader begins to limit what the caller sends after its session was opened.
func (c *callerSession) openReader() {
	c.backend.SetMaxBodyLen(c.server.opts.Limits.MaxMessage)
	if c.reader != nil {
		c.reader.maxMessage = c.server.opts.Limits.MaxMessage
		c.reader.onPart = c.extendDeadline
		c.reader.beginUnit()
	}
}

// reserveStatements reserves memory for the statements that a unit prepares. It returns
// the reason if the unit is refused.
func (c *callerSession) reserveStatements(ctx context.Context, u *unit.Unit) (refusal string, err error) {
	size := int64(0)
	for _, msg := range u.Msgs {
		if p, ok := msg.(*pgproto3.Parse); ok && p.Name != "" {
			size += statementOverhead + int64(len(p.Name)+len(p.Query))
		}
	}
	if size == 0 {
		return "", nil
	}
	limit := int64(c.server.opts.Limits.MaxMessage) + reserveStep
	if c.stateBytes+size > limit {
		// The sum counts statements that were closed or replaced since.
		exact := c.preparedSize()
		c.account.Release(clientbudget.State, c.stateBytes-exact)
		c.stateBytes = exact
	}
	if c.stateBytes+size > limit {
		return fmt.Sprintf("the prepared statements of the session are longer than %d bytes", limit), nil
	}
	if err := c.account.Reserve(ctx, clientbudget.State, size); err != nil {
		return "", err
	}
	c.stateBytes += size
	return "", nil
}

func (c *callerSession) preparedSize() (size int64) {
	for name, p := range c.prepared {
		size += statementOverhead + int64(len(name)+len(p.SQL))
	}
	return size
}

// reset closes a connection and drops what its caller has not read, which would stay in
// the memory of the kernel.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is closed
	}
	conn.Close()
}

// admit accounts for an accepted connection. If there are too many it refuses it and
// returns false.
func (s *Server) admit(conn net.Conn) (*clientbudget.Account, bool) {
	account, ok := s.clientBudget.Open(callersProtocol, conn.RemoteAddr().String(), func() { reset(conn) })
	if ok {
		return account, true
	}
	if s.lingering.Add(1) <= maxLingering {
		s.refuseConn(conn, conn, outcome.Refused(upstream.CodeTooManyConns, "this entry instance has too many callers"))
	} else {
		conn.Close()
	}
	s.lingering.Add(-1)
	return nil, false
}

// Budget returns the budget of the callers, nil if there is none.
func (s *Server) Budget() *clientbudget.Budget { return s.clientBudget }

// writeWithin writes an answer or a part of one.
func (c *callerSession) writeWithin(buf []byte, limit time.Duration) error {
	c.account.Enter(clientlimit.Sending)
	now := time.Now()
	deadline := earlier(now.Add(limit), c.account.Rate().Deadline(now, int64(len(buf))))
	if err := c.conn.SetWriteDeadline(deadline); err != nil {
		return err
	}
	for len(buf) > 0 {
		n, err := c.conn.Write(buf[:min(answerPart, len(buf))])
		c.account.Progress(n)
		if errors.Is(err, os.ErrDeadlineExceeded) && limit > leasedWriteTimeout {
			c.account.Note(clientlimit.SlowAnswer)
		}
		if err != nil {
			return err
		}
		buf = buf[n:]
	}
	c.account.Enter(clientlimit.Serving)
	return nil
}
