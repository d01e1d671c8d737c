// Package oracle checks the proxy's consistency guarantees from the callers'
// point of view. It records only the rows that each session asked to write, the
// outcome of each write and the rows that each read returned. At the end it
// compares them with the contents of the databases.
//
// A write is a request that writes one or more rows in one transaction. The
// table of the rows has no unique key, so that a request that ran twice leaves
// duplicate rows.
package oracle

import (
	"fmt"
	"sync"

	"github.com/cicadacove/cicadacove/internal/core/outcome"
)

// Row identifies one row that a request writes.
type Row struct {
	Session string
	Request string
	Part    int
}

// Kind is the kind of a violation.
type Kind string

// Kinds of violations.
const (
	// Lost: an acknowledged durable write is missing at the end.
	Lost Kind = "lost"
	// Doubled: a row is present more than once.
	Doubled Kind = "doubled"
	// StaleOwnRead: a read misses an acknowledged durable write of its own
	// session.
	StaleOwnRead Kind = "stale own read"
	// RefusedButRan: a write that ended as not run or failed is present at the
	// end.
	RefusedButRan Kind = "ran though not run"
	// Partial: some but not all rows of a transaction are present.
	Partial Kind = "torn"
	// Unexpected: a row that no session asked to write, or a row of another
	// session in an answer.
	Unexpected Kind = "foreign"
)

// Violation is one violation of a guarantee.
type Violation struct {
	Kind   Kind
	Row    Row
	Detail string
}

// String describes the violation.
func (v Violation) String() string {
	return fmt.Sprintf("%s: session %s request %s part %d: %s", v.Kind, v.Row.Session, v.Row.Request, v.Row.Part, v.Detail)
}

// Write is a request that writes rows.
type Write struct {
	session string
	request string
	parts   int
	durable bool
	ended   bool
	kind    outcome.Kind
}

// Oracle records requests and checks answers. It is safe for concurrent use.
type Oracle struct {
	mu         sync.Mutex
	writes     map[string]*Write
	sessions   map[string][]*Write
	violations []Violation
	counts     map[outcome.Kind]int
	reads      int
}

// New returns an empty oracle.
func New() *Oracle {
	return &Oracle{
		writes:   make(map[string]*Write),
		sessions: make(map[string][]*Write),
		counts:   make(map[outcome.Kind]int),
	}
}

// BeginWrite records a request before it is sent. A durable request must survive
// a failover once it is acknowledged.
func (o *Oracle) BeginWrite(session, request string, parts int, durable bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, known := o.writes[request]; known {
		return
	}
	w := &Write{session: session, request: request, parts: parts, durable: durable}
	o.writes[request] = w
	o.sessions[session] = append(o.sessions[session], w)
}

// precedence orders the outcomes of the copies of one request. The outcome with
// the highest value is the outcome of the request.
var precedence = map[outcome.Kind]int{outcome.NotRun: 1, outcome.Failed: 1, outcome.Unknown: 2, outcome.Done: 3}

// EndWrite records the outcome of a request. A request that was sent several
// times has several outcomes. If one copy was acknowledged, the request counts
// as acknowledged, whatever the outcomes of the other copies. "Not run" says
// nothing about an earlier copy whose outcome is unknown.
func (o *Oracle) EndWrite(request string, kind outcome.Kind) {
	o.mu.Lock()
	defer o.mu.Unlock()
	w := o.writes[request]
	o.counts[kind]++
	if w.ended && precedence[w.kind] > precedence[kind] {
		return
	}
	w.ended, w.kind = true, kind
}

// Read is a read of a session's rows that has not been answered yet.
type Read struct {
	oracle   *Oracle
	session  string
	required []*Write
}

// BeginRead starts a read and records the rows that it must return: the
// acknowledged durable writes of the session.
func (o *Oracle) BeginRead(session string) *Read {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := &Read{oracle: o, session: session}
	for _, w := range o.sessions[session] {
		if w.ended && w.kind == outcome.Done && w.durable {
			r.required = append(r.required, w)
		}
	}
	return r
}

// End checks the rows of the answer. source names the upstream that served the
// read.
func (r *Read) End(rows []Row, source string) {
	o := r.oracle
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reads++
	found := o.countRows(rows, source)
	for _, row := range rows {
		if row.Session != r.session {
			o.report(Unexpected, row, "in a read of session "+r.session+" from "+source)
		}
	}
	for _, w := range r.required {
		if found[w.row(0)] == 0 {
			o.report(StaleOwnRead, w.row(0), "read from "+source)
		}
	}
}

// Finish checks the contents of the databases after all requests have ended.
func (o *Oracle) Finish(rows []Row) {
	o.mu.Lock()
	defer o.mu.Unlock()
	found := o.countRows(rows, "the final contents")
	for _, w := range o.writes {
		present := found[w.row(0)] > 0
		switch {
		case w.kind == outcome.Done && w.durable && !present:
			o.report(Lost, w.row(0), "acknowledged")
		case (w.kind == outcome.NotRun || w.kind == outcome.Failed) && present:
			o.report(RefusedButRan, w.row(0), string(w.kind))
		}
	}
}

// countRows counts the rows. It reports duplicate, unexpected and partial rows.
func (o *Oracle) countRows(rows []Row, source string) map[Row]int {
	found := make(map[Row]int)
	for _, row := range rows {
		found[row]++
		if found[row] == 2 {
			o.report(Doubled, row, source)
		}
	}
	for row := range found {
		w, known := o.writes[row.Request]
		if !known || w.session != row.Session || row.Part >= w.parts {
			o.report(Unexpected, row, source)
			continue
		}
		if row.Part > 0 && found[w.row(0)] == 0 {
			o.report(Partial, row, "the first part is missing in "+source)
		}
		if row.Part == 0 {
			o.checkComplete(w, found, source)
		}
	}
	return found
}

func (o *Oracle) checkComplete(w *Write, found map[Row]int, source string) {
	for part := 1; part < w.parts; part++ {
		if found[w.row(part)] == 0 {
			o.report(Partial, w.row(part), "missing in "+source)
		}
	}
}

func (w *Write) row(part int) Row {
	return Row{Session: w.session, Request: w.request, Part: part}
}

func (o *Oracle) report(kind Kind, row Row, detail string) {
	o.violations = append(o.violations, Violation{Kind: kind, Row: row, Detail: detail})
}

// Violations returns the violations found so far.
func (o *Oracle) Violations() []Violation {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]Violation(nil), o.violations...)
}

// Summary counts the reads, the outcomes of writes and the violations.
type Summary struct {
	Reads      int                  `json:"reads"`
	Writes     map[outcome.Kind]int `json:"writes"`
	Violations map[Kind]int         `json:"violations"`
}

// Summary returns the counts so far.
func (o *Oracle) Summary() Summary {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := Summary{Reads: o.reads, Writes: make(map[outcome.Kind]int), Violations: make(map[Kind]int)}
	for kind, n := range o.counts {
		s.Writes[kind] = n
	}
	for _, v := range o.violations {
		s.Violations[v.Kind]++
	}
	return s
}
