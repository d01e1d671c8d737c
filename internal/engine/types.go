package engine

import (
	"context"

	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// Verb is the kind of a statement.
type Verb int

// Verbs.
const (
	Begin Verb = iota + 1
	Commit
	Rollback
	Read
	Write
	// Set changes a session value.
	Set
	// Prepare defines a named statement, Execute runs it and Deallocate removes
	// it.
	Prepare
	Execute
	Deallocate
	// Reset clears the values and prepared statements of a connection. Callers
	// do not send it.
	Reset
	// Status queries the upstream's position. Unlike the answers to other statements, its
	// answer consists of it; but it needs a slot. Callers do not send it.
	Status
)

// String names the verb for logs.
func (v Verb) String() string {
	names := [...]string{"", "begin", "commit", "rollback", "read", "write", "set", "prepare", "execute", "deallocate", "reset", "status"}
	if v < 0 || int(v) >= len(names) {
		return "unknown"
	}
	return names[v]
}

// Definition describes a prepared statement: its shape and whether it writes.
type Definition struct {
	Writes bool   `msgpack:"w,omitempty"`
	Shape  string `msgpack:"s"`
}

// Statement is one request of a caller, or of the engine to an upstream.
type Statement struct {
	// ID names the request, empty for the engine's own statements.
	ID   string `msgpack:"i,omitempty"`
	Verb Verb   `msgpack:"v"`
	// ReadOnly marks a Begin whose transaction only reads.
	ReadOnly bool `msgpack:"r,omitempty"`
	// Text is the item and data of Read, Write and Execute, passed on
	// unchanged.
	Text string `msgpack:"-"`
	// Name is the name of a session value or of a prepared statement.
	Name string `msgpack:"n,omitempty"`
	// Value is the session value.
	Value      string     `msgpack:"-"`
	Definition Definition `msgpack:"-"`
	// After is the point that the upstream's log must cover before it runs a
	// Read, an Execute that reads or a Begin. Zero requires nothing.
	After topo.Point `msgpack:"a"`
}

// TxState is the state of a session's transaction.
type TxState byte

// States of a transaction.
const (
	TxNone   TxState = 'I'
	TxOpen   TxState = 'T'
	TxFailed TxState = 'E'
)

// Reply answers one statement of a caller.
type Reply struct {
	// Outcome is success (Done) or the reason of a failure.
	Outcome outcome.Outcome
	Rows    []string
	// Signature is the upstream's proof that it ran the statement, empty when
	// the engine answered the statement itself.
	Signature string
	State     TxState

	// guard is set when the answer depends on the primary of a term.
	guard *guard
}

// guard names the lease under which a reply may be delivered.
type guard struct {
	group topo.GroupID
	term  topo.Term
	// writes means that the upstream may have committed a write.
	writes bool
}

// Code is an upstream's reason for refusing or failing a statement.
type Code string

// Codes. Those from CodeBusy to CodeMisrouted guarantee that the statement did
// not run.
const (
	CodeNone        Code = ""
	CodeBusy        Code = "busy"
	CodeNoStatement Code = "no such prepared statement"
	CodeLagging     Code = "lagging"
	CodeReadOnly    Code = "read only"
	CodeTooMany     Code = "too many connections"
	CodeMisrouted   Code = "another upstream"
	// CodeFailed and CodeTimeout mean that the statement ran.
	CodeFailed  Code = "failed"
	CodeTimeout Code = "timeout"
	// CodeOther does not tell whether the statement ran.
	CodeOther Code = "other"
)

// notRun reports whether the code guarantees that the statement did not run.
func (c Code) notRun() bool {
	switch c {
	case CodeBusy, CodeNoStatement, CodeLagging, CodeReadOnly, CodeTooMany, CodeMisrouted:
		return true
	}
	return false
}

// served reports whether an upstream that answers with this code is able to
// serve statements: it ran the statement, or the statement does not match its
// role, its log or the state of the connection.
func (c Code) served() bool {
	switch c {
	case CodeNone, CodeNoStatement, CodeLagging, CodeReadOnly:
		return true
	}
	return false
}

// Result is an upstream's answer to one statement.
type Result struct {
	Rows      []string `msgpack:"-"`
	Signature string   `msgpack:"g,omitempty"`
	Code      Code     `msgpack:"c,omitempty"`
	// Detail is the upstream's message for the code.
	Detail string  `msgpack:"d,omitempty"`
	State  TxState `msgpack:"s"`
	// Point is the end of the upstream's log as of the answer.
	Point topo.ReportedPoint `msgpack:"p"`
}

// Conn is one connection to an upstream. One goroutine uses it at a time.
type Conn interface {
	comparable
	// Run sends the statements in one batch and reads their answers. An error
	// means that the connection is broken: it is closed, and the statements
	// without an answer may have run.
	Run(ctx context.Context, statements ...Statement) ([]Result, error)
	// Alive reports whether the upstream has not closed the connection.
	Alive() bool
	Clean() bool
	Close()
	Abort()
}

// RefusedError is an upstream's refusal of a connection.
type RefusedError struct {
	Upstream topo.UpstreamID
	Code     Code
	Detail   string
}

// TooMany implements connpool.TooManyError.
func (e *RefusedError) TooMany() bool { return e.Code == CodeTooMany }

// Error implements error.
func (e *RefusedError) Error() string {
	return "upstream " + string(e.Upstream) + " refused the connection: " + string(e.Code) + " " + e.Detail
}
