package standin

import (
	"context"
	"encoding/json"
	"errors"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// controlCall is a control statement such as SELECT cicadacove_fence(7).
type controlCall struct {
	function string
	args     []string
}

var controlPattern = regexp.MustCompile(
	`(?is)^\s*select\s+(?:\*\s+from\s+)?cicadacove_(status|fence|promote|follow|wait|log)\s*\(([^()]*)\)\s*$`)

func parseControl(sql string) *controlCall {
	m := controlPattern.FindStringSubmatch(sql)
	if m == nil {
		return nil
	}
	call := &controlCall{function: strings.ToLower(m[1])}
	if strings.TrimSpace(m[2]) == "" {
		return call
	}
	for _, a := range strings.Split(m[2], ",") {
		call.args = append(call.args, strings.Trim(strings.TrimSpace(a), "'"))
	}
	return call
}

const (
	logFunction = "log"
	// maxLogWait limits how long cicadacove_log waits for an entry.
	maxLogWait = 10 * time.Second
)

var controlArity = map[string]int{
	"status": 0, "fence": 1, "promote": 1, "follow": 2, "wait": 2, logFunction: 3,
}

var (
	statusColumns = textColumns("id", "group", "role", "term", "position", "fenced_term")
	logColumns    = textColumns("primary_term", "term", "position", "committed_at", "statements")
)

func textColumns(names ...string) []column {
	columns := make([]column, len(names))
	for i, name := range names {
		columns[i] = column{name: name, oid: oidText}
	}
	return columns
}

func (c *controlCall) columns() []column {
	if c.function == logFunction {
		return logColumns
	}
	return statusColumns
}

// runControl executes a control statement.
func (d *Database) runControl(ctx context.Context, c *controlCall) (result, error) {
	if len(c.args) != controlArity[c.function] {
		return result{}, &pgError{codeInvalidParameter, "wrong number of arguments for cicadacove_" + c.function}
	}
	switch c.function {
	case logFunction:
		return d.readLog(ctx, c.args)
	case "wait":
		return d.runWait(ctx, c.args)
	case "status":
		return d.statusRow(), nil
	}
	if err := d.changeRole(c); err != nil {
		return result{}, err
	}
	d.requestAnnouncement()
	return d.statusRow(), nil
}

// changeRole executes fence, promote and follow.
func (d *Database) changeRole(c *controlCall) error {
	number, err := strconv.ParseUint(c.args[0], 10, 64)
	if err != nil {
		return &pgError{codeInvalidParameter, "term: " + err.Error()}
	}
	term := topo.Term(number)
	d.mu.Lock()
	defer d.mu.Unlock()
	switch c.function {
	case "fence":
		return d.state.fence(term)
	case "promote":
		return d.state.promote(term)
	default:
		return d.state.follow(term, c.args[1])
	}
}

func (d *Database) statusRow() result {
	s := d.Status()
	return result{columns: statusColumns, affected: 1, rows: [][]any{{
		string(s.ID), string(s.Group), string(s.Role),
		strconv.FormatUint(uint64(s.Point.Term), 10),
		strconv.FormatUint(uint64(s.Point.Position), 10),
		strconv.FormatUint(uint64(s.FencedTerm), 10),
	}}}
}

func (d *Database) runWait(ctx context.Context, args []string) (result, error) {
	want, err := topo.ParsePoint(args[0])
	if err != nil {
		return result{}, &pgError{codeInvalidParameter, err.Error()}
	}
	limit, err := milliseconds(args[1])
	if err != nil {
		return result{}, err
	}
	if err := d.waitPoint(ctx, want, limit); err != nil {
		return result{}, &pgError{codeCanceled, "canceling statement due to user request"}
	}
	return d.statusRow(), nil
}

func milliseconds(text string) (time.Duration, error) {
	n, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		return 0, &pgError{codeInvalidParameter, "milliseconds: " + err.Error()}
	}
	return time.Duration(n) * time.Millisecond, nil
}

// readLog returns the log entries after a point. It waits for the first one if
// there is none yet.
func (d *Database) readLog(ctx context.Context, args []string) (result, error) {
	from, errFrom := topo.ParsePoint(args[0])
	limit, errLimit := strconv.Atoi(args[1])
	wait, errWait := milliseconds(args[2])
	if err := errors.Join(errFrom, errLimit, errWait); err != nil {
		return result{}, &pgError{codeInvalidParameter, err.Error()}
	}
	timer := time.NewTimer(min(wait, maxLogWait))
	defer timer.Stop()
	for {
		r, changed, err := d.logAfter(from, limit)
		if err != nil || len(r.rows) > 0 {
			return r, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return r, nil
		case <-ctx.Done():
			return result{}, &pgError{codeCanceled, "canceling statement due to user request"}
		}
	}
}

// logAfter returns up to limit entries after the point from, and a channel that
// is closed at the next change of the state.
func (d *Database) logAfter(from topo.Point, limit int) (result, <-chan struct{}, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.state.role != topo.RolePrimary {
		return result{}, nil, &pgError{codeTermRefused, "not a primary"}
	}
	if !d.state.contains(from) {
		return result{}, nil, &pgError{codePointNotInLog, "point " + from.String() + " is not in the log"}
	}
	entries := d.state.log[from.Position:]
	entries = entries[:min(limit, len(entries))]
	r := result{columns: logColumns, affected: int64(len(entries))}
	for _, e := range entries {
		statements, err := json.Marshal(e.Statements)
		if err != nil {
			return result{}, nil, &pgError{codeInternal, err.Error()}
		}
		r.rows = append(r.rows, []any{
			strconv.FormatUint(uint64(d.state.term), 10),
			strconv.FormatUint(uint64(e.Point.Term), 10),
			strconv.FormatUint(uint64(e.Point.Position), 10),
			strconv.FormatInt(e.CommittedAt.UnixNano(), 10),
			string(statements),
		})
	}
	return r, d.state.changed, nil
}
