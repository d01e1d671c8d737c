package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cicadacove/cicadacove/internal/clientbudget"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/unit"
)

const (
	// streamThreshold is the size in bytes up to which the answer of a read is
	// buffered until it is complete, so that another upstream can serve the
	// read when this one fails. A longer answer is streamed to the caller.
	streamThreshold = 256 << 10
	// maxWriteAnswer bounds the answer of a write in bytes. The answer is
	// buffered until the write is durable, and is stored with the request id.
	maxWriteAnswer = 1 << 20
)

// errAnswerTooLong aborts a write, before its commit, when its answer is
// longer than maxWriteAnswer.
var errAnswerTooLong = fmt.Errorf("the answer of a write is longer than %d bytes", maxWriteAnswer)

// answer buffers the encoded messages for the caller.
type answer struct {
	buf []byte
	// flush sends the buffer to the caller when it grows past limit. If flush
	// is nil, a longer answer is an error.
	flush func([]byte) error
	limit int
	// account reserves the memory of the buffer; it may be nil. reserved is what it has.
	account  *clientbudget.Account
	reserved int
	// streamed reports whether a part of the answer has been sent to the
	// caller.
	streamed bool
	// interrupted is set if the sending of a part failed, so that the caller may have
	// received half a message.
	interrupted bool
}

func (a *answer) collect(msg pgproto3.BackendMessage) error {
	buf, err := msg.Encode(a.buf)
	if err != nil {
		return err
	}
	a.buf = buf
	if grown := cap(buf) - a.reserved; grown >= reserveStep {
		a.reserved = cap(buf)
		if err := a.account.Reserve(context.Background(), clientbudget.Answer, int64(grown)); err != nil {
			return err
		}
	}
	if len(a.buf) <= a.limit {
		return nil
	}
	if a.flush == nil {
		return errAnswerTooLong
	}
	a.streamed = true
	err = a.flush(a.buf)
	a.interrupted = err != nil && !errors.Is(err, errNoAuthority)
	a.buf = a.buf[:0]
	return err
}

// appendMessage appends a message that the proxy itself sends. Encoding fails
// only for lengths that the proxy never sends.
func appendMessage(buf []byte, msg pgproto3.BackendMessage) []byte {
	out, err := msg.Encode(buf)
	if err != nil {
		panic(fmt.Sprintf("entry: encode %T: %v", msg, err))
	}
	return out
}

// appendOutcome appends the error response that reports an outcome to the
// caller.
func appendOutcome(buf []byte, o outcome.Outcome) []byte {
	e := &pgproto3.ErrorResponse{
		Severity:            "ERROR",
		SeverityUnlocalized: "ERROR",
		Code:                o.Code,
		Message:             o.Reason,
		Detail:              "outcome: " + string(o.Kind),
	}
	if o.RetryAfter > 0 {
		e.Hint = "retry after " + o.RetryAfter.Round(time.Millisecond).String()
	}
	return appendMessage(buf, e)
}

// failedOutcome returns the outcome for an error response of the upstream.
func failedOutcome(err *pgconn.PgError) outcome.Outcome {
	return outcome.Outcome{Kind: outcome.Failed, Code: err.Code, Reason: err.Message}
}

// refusalOutcome returns the outcome of a unit that the proxy cannot serve.
func refusalOutcome(err error) outcome.Outcome {
	var unsupported *unit.UnsupportedError
	if errors.As(err, &unsupported) {
		return outcome.Refused(outcome.CodeUnsupported, err.Error())
	}
	var unknown *unit.UnknownStatementError
	if errors.As(err, &unknown) {
		return outcome.Refused("26000", err.Error())
	}
	return outcome.Refused(outcome.CodeProtocol, err.Error())
}
