package entry

import (
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/session"
	"github.com/cicadacove/cicadacove/internal/core/statement"
	"github.com/cicadacove/cicadacove/internal/core/unit"
)

// ignoredParameters lists the parameters that a caller may set outside of a
// transaction. The proxy stores the values and does not send them to the
// databases.
var ignoredParameters = map[string]bool{
	"application_name":    true,
	"client_encoding":     true,
	"client_min_messages": true,
	"datestyle":           true,
	"extra_float_digits":  true,
	"intervalstyle":       true,
	"reset":               true,
	"timezone":            true,
}

// serveLocally answers units that need no upstream: the proxy's own parameters
// and, outside of a transaction, COMMIT and ROLLBACK.
func (c *callerSession) serveLocally(u *unit.Unit) (handled bool, err error) {
	switch u.Stmt.Kind {
	case statement.Set:
		return true, c.serveSet(u)
	case statement.Show:
		if strings.HasPrefix(u.Stmt.Name, statement.Prefix) && u.Simple {
			return true, c.serveShow(u.Stmt.Name)
		}
	case statement.Empty:
		if u.Simple {
			return true, c.answerLocally(&pgproto3.EmptyQueryResponse{})
		}
	case statement.Commit, statement.Rollback:
		if c.tx == nil {
			return true, c.answerUnit(u, "ROLLBACK")
		}
	}
	return false, nil
}

// serveRolledBack refuses every unit until the caller ends the transaction
// that the proxy has rolled back.
func (c *callerSession) serveRolledBack(u *unit.Unit) error {
	switch u.Stmt.Kind {
	case statement.Commit, statement.Rollback:
		c.step("end")
		return c.answerUnit(u, "ROLLBACK")
	}
	return c.refuse(outcome.Refused("25P02", "the transaction has been rolled back; commands are ignored until its end"))
}

func (c *callerSession) serveSet(u *unit.Unit) error {
	name, value := u.Stmt.Name, u.Stmt.Value
	if len(value) > maxSettingBytes {
		return c.refuse(outcome.Refused("54000", fmt.Sprintf("the value of %s is longer than %d bytes", name, maxSettingBytes)))
	}
	attr, isProxyAttr := strings.CutPrefix(name, statement.Prefix)
	if !isProxyAttr {
		if !ignoredParameters[name] {
			return c.refuse(refusalOutcome(&unit.UnsupportedError{Feature: "SET " + name + " for a session; use SET LOCAL in a transaction"}))
		}
		c.settings[name] = value
		return c.answerUnit(u, "SET")
	}
	if attr == statement.AttrToken {
		if _, o, ok := c.checkToken(value); !ok {
			return c.refuse(o)
		}
	}
	if err := c.attrs.Set(attr, value); err != nil {
		return c.refuse(outcome.Refused("22023", err.Error()))
	}
	return c.answerUnit(u, "SET")
}

func (c *callerSession) serveShow(name string) error {
	value := ""
	switch strings.TrimPrefix(name, statement.Prefix) {
	case statement.AttrToken:
		value = c.server.opts.Signer.Sign(session.Token{Group: c.group, Point: c.lastWrite})
	case statement.AttrService:
		value = c.attrs.Service
	case statement.AttrSessionID:
		value = c.attrs.SessionID
	case statement.AttrMaxAge:
		if c.attrs.HasMaxAge {
			value = c.attrs.MaxAge.String()
		}
	default:
		return c.refuse(outcome.Refused("42704", "unrecognized parameter "+name))
	}
	return c.answerLocally(
		&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte(name), DataTypeOID: 25, DataTypeSize: -1, TypeModifier: -1}}},
		&pgproto3.DataRow{Values: [][]byte{[]byte(value)}},
		&pgproto3.CommandComplete{CommandTag: []byte("SHOW")},
	)
}

// answerUnit answers a unit of one statement that returns no rows.
func (c *callerSession) answerUnit(u *unit.Unit, tag string) error {
	u.UpdateStatements(c.prepared)
	return c.answerLocally(u.Answer(tag)...)
}

func (c *callerSession) answerLocally(msgs ...pgproto3.BackendMessage) error {
	var buf []byte
	for _, m := range msgs {
		buf = appendMessage(buf, m)
	}
	return c.write(appendMessage(buf, &pgproto3.ReadyForQuery{TxStatus: c.callerStatus()}))
}
