package standin

import (
	"context"
	"database/sql"
	"database/sql/driver"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"time"

	"modernc.org/sqlite"
)

// Data type OIDs of PostgreSQL.
const (
	oidBool   = 16
	oidBytea  = 17
	oidInt8   = 20
	oidText   = 25
	oidFloat8 = 701
)

type column struct {
	name string
	oid  uint32
}

// result is the result of one statement.
type result struct {
	columns  []column
	rows     [][]any
	affected int64
}

func (r result) equal(other result) bool {
	return r.affected == other.affected && reflect.DeepEqual(r.rows, other.rows)
}

// statement is an SQL statement with its arguments in text format. A nil
// argument is NULL.
type statement struct {
	SQL  string    `json:"sql"`
	Args []*string `json:"args,omitempty"`
}

// engine is one SQLite database in memory. It is not safe for concurrent use.
type engine struct {
	db   *sql.DB
	conn *sql.Conn
}

func newEngine() (*engine, error) {
	db, err := sql.Open("sqlite", ":memory:")
	if err != nil {
		return nil, fmt.Errorf("open in-memory database: %w", err)
	}
	db.SetMaxOpenConns(1)
	conn, err := db.Conn(context.Background())
	if err != nil {
		return nil, errors.Join(fmt.Errorf("connect to in-memory database: %w", err), db.Close())
	}
	return &engine{db: db, conn: conn}, nil
}

func (e *engine) close() error {
	return errors.Join(e.conn.Close(), e.db.Close())
}

func (e *engine) exec(sql string) error {
	_, err := e.conn.ExecContext(context.Background(), sql)
	return err
}

// apply executes the statements of a log entry as one transaction.
func (e *engine) apply(logged entry) error {
	if err := e.exec("BEGIN"); err != nil {
		return err
	}
	for _, s := range logged.Statements {
		if _, err := e.run(parseCommand(s.SQL), s.Args); err != nil {
			return errors.Join(fmt.Errorf("apply entry %s: %w", logged.Point, err), e.exec("ROLLBACK"))
		}
	}
	return e.exec("COMMIT")
}

// run executes one statement and returns its whole result.
func (e *engine) run(c command, args []*string) (result, error) {
	values := make([]any, len(args))
	for i, a := range args {
		if a != nil {
			values[i] = *a
		}
	}
	if c.returnsRows() {
		return e.queryRows(c.sql, values)
	}
	res, err := e.conn.ExecContext(context.Background(), c.sql, values...)
	if err != nil {
		return result{}, sqlError(err)
	}
	if !c.countsRows() {
		return result{}, nil
	}
	affected, err := res.RowsAffected()
	return result{affected: affected}, err
}

func (e *engine) queryRows(text string, values []any) (result, error) {
	rows, err := e.conn.QueryContext(context.Background(), text, values...)
	if err != nil {
		return result{}, sqlError(err)
	}
	defer rows.Close()
	types, err := rows.ColumnTypes()
	if err != nil {
		return result{}, sqlError(err)
	}
	var r result
	for rows.Next() {
		row, err := scanRow(rows, len(types))
		if err != nil {
			return result{}, sqlError(err)
		}
		r.rows = append(r.rows, row)
	}
	if err := rows.Err(); err != nil {
		return result{}, sqlError(err)
	}
	r.affected = int64(len(r.rows))
	for i, t := range types {
		r.columns = append(r.columns, column{name: t.Name(), oid: columnOID(t.DatabaseTypeName(), r.rows, i)})
	}
	return r, nil
}

func scanRow(rows *sql.Rows, columns int) ([]any, error) {
	row := make([]any, columns)
	targets := make([]any, columns)
	for i := range row {
		targets[i] = &row[i]
	}
	if err := rows.Scan(targets...); err != nil {
		return nil, err
	}
	for i, v := range row {
		if t, ok := v.(time.Time); ok {
			row[i] = t.UTC().Format("2006-01-02 15:04:05.999999")
		}
	}
	return row, nil
}

// columnOID returns the type of a column. It derives the type from the declared
// type, or from the first value that is not NULL if none is declared.
func columnOID(declared string, rows [][]any, index int) uint32 {
	declared = strings.ToUpper(declared)
	switch {
	case declared == "":
		return valueOID(rows, index)
	case strings.Contains(declared, "INT"):
		return oidInt8
	case strings.Contains(declared, "BOOL"):
		return oidBool
	case strings.Contains(declared, "BLOB"), strings.Contains(declared, "BYTEA"):
		return oidBytea
	case strings.Contains(declared, "REAL"), strings.Contains(declared, "FLOA"),
		strings.Contains(declared, "DOUB"), strings.Contains(declared, "NUMERIC"):
		return oidFloat8
	default:
		return oidText
	}
}

func valueOID(rows [][]any, index int) uint32 {
	for _, row := range rows {
		switch row[index].(type) {
		case nil:
			continue
		case int64:
			return oidInt8
		case float64:
			return oidFloat8
		case bool:
			return oidBool
		case []byte:
			return oidBytea
		default:
			return oidText
		}
	}
	return oidText
}

// Extended result codes of SQLite.
const (
	sqliteReadOnly   = 8
	sqliteCheck      = 275
	sqliteForeignKey = 787
	sqliteNotNull    = 1299
	sqlitePrimaryKey = 1555
	sqliteUnique     = 2067
)

// sqlError converts an error of SQLite to a pgError with an SQLSTATE.
func sqlError(err error) error {
	var e *sqlite.Error
	if errors.As(err, &e) {
		return &pgError{Code: sqlState(e), Message: e.Error()}
	}
	if errors.Is(err, driver.ErrBadConn) {
		return &pgError{Code: codeInternal, Message: err.Error()}
	}
	return &pgError{Code: codeSyntax, Message: err.Error()}
}

func sqlState(e *sqlite.Error) string {
	switch e.Code() {
	case sqliteUnique, sqlitePrimaryKey:
		return codeUnique
	case sqliteNotNull:
		return codeNotNull
	case sqliteCheck:
		return codeCheck
	case sqliteForeignKey:
		return codeForeignKey
	case sqliteReadOnly:
		return codeReadOnly
	}
	for _, m := range sqlStatesByMessage {
		if strings.Contains(e.Error(), m.text) {
			return m.code
		}
	}
	return codeInternal
}

var sqlStatesByMessage = []struct{ text, code string }{
	{"no such table", codeNoTable},
	{"no such column", codeNoColumn},
	{"already exists", codeTableExists},
	{"syntax error", codeSyntax},
	{"incomplete input", codeSyntax},
	{"no such function", codeNoFunction},
}
