package httpdrain

import (
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cicadacove/cicadacove/internal/clientbudget"
	"github.com/cicadacove/cicadacove/internal/core/clientlimit"
)

// maxHeaderBytes limits the headers of a request. They are not reserved, so they must be
// few beside the fixed charge of a connection.
const maxHeaderBytes = 8 << 10

// writePart is the number of bytes that are written at once, so that progress shows.
const writePart = 16 << 10

// Limit limits what clients make the process hold. protocol names the server in the log
// and the metrics. Limit must be called before Serve.
func (s *Server) Limit(budget *clientbudget.Budget, protocol string) {
	s.budget, s.protocol = budget, protocol
	s.http.MaxHeaderBytes = maxHeaderBytes
}

// ReadBody reads the body of a request of at most limit bytes at the minimum rate. copies
// is how often the body is held while the request is served. The memory is reserved until
// the request has been served. The error may be an *http.MaxBytesError.
func ReadBody(w http.ResponseWriter, r *http.Request, limit, copies int64) ([]byte, error) {
	account := clientbudget.FromContext(r.Context())
	account.Enter(clientlimit.Receiving)
	defer account.Enter(clientlimit.Serving)
	body := clientbudget.Buffer{Account: account, Kind: clientbudget.Message, Copies: copies}
	control := http.NewResponseController(w)
	err := body.ReadAll(r.Context(), http.MaxBytesReader(w, r.Body, limit), account.Rate(), func(at time.Time) error {
		return ignoreUnsupported(control.SetReadDeadline(at))
	})
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		account.Note(clientlimit.TooLong)
	case errors.Is(err, os.ErrDeadlineExceeded):
		account.Note(clientlimit.SlowMessage)
	case err == nil:
		// An expired deadline would end the request that is being served.
		err = ignoreUnsupported(control.SetReadDeadline(time.Time{}))
	}
	return body.Bytes(), err
}

// ignoreUnsupported ignores that a handler is called without a connection, as in tests.
func ignoreUnsupported(err error) error {
	if errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	return err
}

// open accounts for a connection that was accepted.
func (s *Server) open(nc net.Conn) (*conn, bool) {
	c := &conn{Conn: nc, server: s}
	account, ok := s.budget.Open(s.protocol, nc.RemoteAddr().String(), func() { nc.Close() })
	c.account = account
	return c, ok
}

// Write writes in parts, so that the progress of the client shows.
func (c *conn) Write(b []byte) (written int, err error) {
	c.account.Enter(clientlimit.Sending)
	defer c.account.Enter(clientlimit.Serving)
	if c.account != nil {
		if err := c.Conn.SetWriteDeadline(c.account.Rate().Deadline(time.Now(), int64(len(b)))); err != nil {
			return 0, err
		}
	}
	for len(b) > 0 && err == nil {
		var n int
		n, err = c.Conn.Write(b[:min(writePart, len(b))])
		c.account.Progress(n)
		written, b = written+n, b[n:]
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.account.Note(clientlimit.SlowAnswer)
	}
	return written, err
}
