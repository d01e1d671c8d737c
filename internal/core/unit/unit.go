package unit

import (
	"fmt"
	"hash/fnv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cicadacove/cicadacove/internal/core/statement"
)

// MaxMessages bounds the number of messages of one unit.
const MaxMessages = 10_000

// Unit is one request of a caller.
type Unit struct {
	Msgs []pgproto3.FrontendMessage
	// Stmt is the statement that runs if there is only one, otherwise a
	// statement of kind statement.Other.
	Stmt statement.Statement
	// SQLs are the SQL texts that run, in order.
	SQLs []string
	// Executes reports whether the unit executes statements rather than only
	// preparing them.
	Executes bool
	// Simple reports whether the unit is a simple query.
	Simple bool
}

// Prepared is a statement that the session has prepared.
type Prepared struct {
	SQL  string
	OIDs []uint32
}

// Statements maps the caller's names to the session's prepared statements.
type Statements map[string]Prepared

// UnsupportedError refuses a unit that uses a feature the proxy does not support.
type UnsupportedError struct{ Feature string }

// Error returns a message with the feature.
func (e *UnsupportedError) Error() string { return e.Feature + " is not supported by the proxy" }

// UnknownStatementError refuses a unit that names a statement that the session
// has not prepared.
type UnknownStatementError struct{ Name string }

// Error returns a message with the name of the statement.
func (e *UnknownStatementError) Error() string {
	return fmt.Sprintf("prepared statement %q does not exist", e.Name)
}

// Add appends a copy of a message, since the reader reuses its memory. It reports
// whether the unit is complete. The error is an *UnsupportedError.
func (u *Unit) Add(msg pgproto3.FrontendMessage) (complete bool, err error) {
	if _, flush := msg.(*pgproto3.Flush); flush {
		return false, &UnsupportedError{"Flush"}
	}
	clone := cloneMessage(msg)
	if clone == nil {
		return false, &UnsupportedError{"this protocol message"}
	}
	if len(u.Msgs) == MaxMessages {
		return false, &UnsupportedError{"a request with this many messages"}
	}
	u.Msgs = append(u.Msgs, clone)
	switch m := clone.(type) {
	case *pgproto3.Query:
		u.Simple, u.Executes = true, true
		u.SQLs = []string{m.String}
		return true, nil
	case *pgproto3.Sync:
		return true, nil
	}
	return false, nil
}

// Classify determines the statements that a complete unit runs. The error is an
// *UnsupportedError.
func (u *Unit) Classify(known Statements) error {
	if !u.Simple {
		u.findExecuted(known)
	}
	for _, sql := range u.SQLs {
		if err := u.classifyOne(sql); err != nil {
			return err
		}
	}
	return nil
}

func (u *Unit) classifyOne(sql string) error {
	st := statement.Classify(sql)
	if st.Kind == statement.Refused {
		return &UnsupportedError{st.Feature}
	}
	if statement.ContainsTransactionControl(sql) {
		return &UnsupportedError{"BEGIN, COMMIT or ROLLBACK within a query of several statements"}
	}
	if len(u.SQLs) == 1 {
		u.Stmt = st
		return nil
	}
	switch st.Kind {
	case statement.Begin, statement.Commit, statement.Rollback, statement.Set:
		return &UnsupportedError{"BEGIN, COMMIT, ROLLBACK or SET within a batch"}
	}
	return nil
}

// findExecuted collects the SQL texts that the Execute messages run.
func (u *Unit) findExecuted(known Statements) {
	statements := map[string]string{}
	portals := map[string]string{}
	for _, msg := range u.Msgs {
		switch m := msg.(type) {
		case *pgproto3.Parse:
			statements[m.Name] = m.Query
		case *pgproto3.Bind:
			sql, ok := statements[m.PreparedStatement]
			if !ok {
				sql = known[m.PreparedStatement].SQL
			}
			portals[m.DestinationPortal] = sql
		case *pgproto3.Execute:
			u.Executes = true
			if sql, ok := portals[m.Portal]; ok {
				u.SQLs = append(u.SQLs, sql)
			}
		}
	}
}

// UpdateStatements updates the session's statements with those that the unit prepared
// and closed. It is called after the unit has succeeded.
func (u *Unit) UpdateStatements(known Statements) {
	for _, msg := range u.Msgs {
		switch m := msg.(type) {
		case *pgproto3.Parse:
			known[m.Name] = Prepared{m.Query, m.ParameterOIDs}
		case *pgproto3.Close:
			if m.ObjectType == 'S' {
				delete(known, m.Name)
			}
		}
	}
}

// Fingerprint returns a hash of the SQL texts without their comments and of the
// parameters. Units with the same request id must have equal fingerprints.
func (u *Unit) Fingerprint() string {
	h := fnv.New128a()
	for _, sql := range u.SQLs {
		h.Write([]byte(statement.StripComments(sql)))
		h.Write([]byte{0})
	}
	for _, msg := range u.Msgs {
		if b, ok := msg.(*pgproto3.Bind); ok {
			for _, p := range b.Parameters {
				fmt.Fprintf(h, "%d:", len(p))
				h.Write(p)
			}
		}
	}
	return fmt.Sprintf("%x", h.Sum(nil))
}

// Shape returns one letter for the type of each message. A stored answer is
// valid only for a unit of the same shape.
func (u *Unit) Shape() string {
	var b strings.Builder
	for _, msg := range u.Msgs {
		switch msg.(type) {
		case *pgproto3.Query:
			b.WriteByte('Q')
		case *pgproto3.Parse:
			b.WriteByte('P')
		case *pgproto3.Bind:
			b.WriteByte('B')
		case *pgproto3.Describe:
			b.WriteByte('D')
		case *pgproto3.Execute:
			b.WriteByte('E')
		case *pgproto3.Close:
			b.WriteByte('C')
		}
	}
	return b.String()
}

// Answer returns the messages that answer a unit whose only statement returns no
// rows and completes with tag.
func (u *Unit) Answer(tag string) []pgproto3.BackendMessage {
	var msgs []pgproto3.BackendMessage
	for _, msg := range u.Msgs {
		switch m := msg.(type) {
		case *pgproto3.Query, *pgproto3.Execute:
			msgs = append(msgs, &pgproto3.CommandComplete{CommandTag: []byte(tag)})
		case *pgproto3.Parse:
			msgs = append(msgs, &pgproto3.ParseComplete{})
		case *pgproto3.Bind:
			msgs = append(msgs, &pgproto3.BindComplete{})
		case *pgproto3.Close:
			msgs = append(msgs, &pgproto3.CloseComplete{})
		case *pgproto3.Describe:
			if m.ObjectType == 'S' {
				msgs = append(msgs, &pgproto3.ParameterDescription{})
			}
			msgs = append(msgs, &pgproto3.NoData{})
		}
	}
	return msgs
}
