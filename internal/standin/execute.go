package standin

import (
	"context"
	"regexp"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// response is the command tag and the result of one statement.
type response struct {
	tag    string
	result result
}

// simpleQuery executes the statements of a Query message.
func (s *session) simpleQuery(text string) {
	statements := splitStatements(text)
	if len(statements) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	for i, sql := range statements {
		last := i == len(statements)-1
		resp, err := s.runStatement(parseCommand(sql), nil, i == 0 && last)
		if err == nil && last {
			err = s.commitImplicit()
		}
		if err != nil {
			s.sendError(err)
			return
		}
		s.sendResponse(resp)
	}
}

func (s *session) sendResponse(resp response) {
	if resp.result.columns != nil {
		s.backend.Send(rowDescription(resp.result.columns, nil))
		s.sendRows(resp.result, nil, nil)
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(resp.tag)})
}

// runStatement executes one statement. autocommit means that the statement is
// the only one of its implicit transaction.
func (s *session) runStatement(c command, args []*string, autocommit bool) (response, error) {
	ctx, done := s.statementContext()
	defer done()
	if s.tx != nil && s.tx.failed && !endsTransaction(c.verb) {
		return response{}, &pgError{codeFailedTransaction, "current transaction is aborted, commands ignored until end of transaction block"}
	}
	if c.control != nil {
		r, err := s.d.runControl(ctx, c.control)
		return response{tag: tag(c, r), result: r}, err
	}
	if handler, ok := sessionCommands[c.verb]; ok {
		return handler(s, c)
	}
	if s.params[paramControl] != "" {
		return response{}, &pgError{codeUnsupported, "only control statements on a control connection"}
	}
	r, err := s.runSQL(ctx, c, args, autocommit)
	return response{tag: tag(c, r), result: r}, err
}

func (s *session) runSQL(ctx context.Context, c command, args []*string, autocommit bool) (result, error) {
	if len(args) < c.params {
		return result{}, &pgError{codeProtocol, "not enough parameters"}
	}
	release, err := s.d.acquireSlot(ctx)
	if err != nil {
		return result{}, err
	}
	defer release()
	if s.d.faults.breaksNext() {
		s.conn.breakNextWrite = true
	}
	if s.tx == nil && autocommit {
		r, point, err := s.d.autocommit(c, args, s.term)
		if !point.IsZero() {
			s.committed = point
		}
		return r, err
	}
	if s.tx == nil {
		s.tx = &transaction{}
	}
	return s.d.execute(s.tx, c, args, s.term)
}

// endImplicit commits the implicit transaction that a Sync message ends.
func (s *session) endImplicit() {
	if err := s.commitImplicit(); err != nil {
		s.sendError(err)
	}
}

func (s *session) commitImplicit() error {
	if s.tx == nil || s.tx.explicit {
		return nil
	}
	return s.commit()
}

func (s *session) commit() error {
	tx := s.tx
	s.tx = nil
	point, err := s.d.commit(tx, s.term)
	if err != nil {
		return err
	}
	if !point.IsZero() {
		s.committed = point
	}
	return nil
}

func endsTransaction(verb string) bool {
	switch verb {
	case "COMMIT", "END", "ROLLBACK", "ABORT":
		return true
	}
	return false
}

type sessionCommand func(*session, command) (response, error)

var sessionCommands map[string]sessionCommand

func init() {
	sessionCommands = map[string]sessionCommand{
		"BEGIN":      runBegin,
		"START":      runBegin,
		"COMMIT":     runCommit,
		"END":        runCommit,
		"ROLLBACK":   runRollback,
		"ABORT":      runRollback,
		"SAVEPOINT":  runUnsupported,
		"RELEASE":    runUnsupported,
		"SET":        runSet,
		"SHOW":       runShow,
		"RESET":      runNoOp,
		"DISCARD":    runNoOp,
		"DEALLOCATE": runDeallocate,
	}
}

func runBegin(s *session, _ command) (response, error) {
	if s.tx == nil {
		s.tx = &transaction{}
	}
	s.tx.explicit = true
	return response{tag: "BEGIN"}, nil
}

func runCommit(s *session, c command) (response, error) {
	if s.tx != nil && s.tx.failed {
		return runRollback(s, c)
	}
	if s.tx == nil {
		return response{tag: "COMMIT"}, nil
	}
	return response{tag: "COMMIT"}, s.commit()
}

func runRollback(s *session, c command) (response, error) {
	if list := words(c.sql); len(list) > 1 && list[len(list)-2] == "TO" {
		return runUnsupported(s, c)
	}
	s.tx = nil
	return response{tag: "ROLLBACK"}, nil
}

func runUnsupported(_ *session, c command) (response, error) {
	return response{}, &pgError{codeUnsupported, c.verb + " is not supported"}
}

func runNoOp(_ *session, c command) (response, error) { return response{tag: c.verb}, nil }

func runDeallocate(s *session, c command) (response, error) {
	list := strings.Fields(c.sql)
	name := strings.Trim(list[len(list)-1], `"`)
	if strings.EqualFold(name, "ALL") {
		clear(s.prepared)
	}
	delete(s.prepared, name)
	return response{tag: c.verb}, nil
}

var setTo = regexp.MustCompile(`(?i)\s+to\s+`)

func runSet(s *session, c command) (response, error) {
	text := setTo.ReplaceAllString(strings.TrimSpace(c.sql[len("SET"):]), "=")
	if name, value, found := strings.Cut(text, "="); found {
		s.params[strings.TrimSpace(name)] = strings.Trim(strings.TrimSpace(value), "'")
	}
	return response{tag: "SET"}, nil
}

func runShow(s *session, c command) (response, error) {
	name := strings.TrimSpace(c.sql[len("SHOW"):])
	r := result{columns: textColumns(name), rows: [][]any{{s.params[name]}}, affected: 1}
	return response{tag: "SHOW", result: r}, nil
}

// tag returns the command tag of a statement.
func tag(c command, r result) string {
	count := strconv.FormatInt(r.affected, 10)
	switch c.verb {
	case "INSERT":
		return "INSERT 0 " + count
	case "SELECT", "UPDATE", "DELETE":
		return c.verb + " " + count
	case "VALUES":
		return "SELECT " + count
	case "CREATE", "DROP", "ALTER":
		return strings.Join(words(c.sql)[:2], " ")
	default:
		return c.verb
	}
}
