package engine

import (
	"context"
	"maps"

	"github.com/cicadacove/cicadacove/internal/connpool"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// link is a connection with what this instance has set up on it.
type link[C Conn] struct {
	conn C
	// values and prepared are what the connection holds now.
	values   map[string]string
	prepared map[Definition]string
	// inTransaction says that a transaction is open on the connection.
	inTransaction bool
	broken        bool
}

// maxPrepared bounds the statements that stay prepared on a connection.
const maxPrepared = 200

func (e *Engine[C]) openLink(a topo.Announcement) connpool.OpenFunc[*link[C]] {
	open := e.opts.Open(a)
	return func(ctx context.Context, term topo.Term) (*link[C], error) {
		c, err := open(ctx, term)
		if err != nil {
			return nil, err
		}
		return &link[C]{conn: c, values: map[string]string{}, prepared: map[Definition]string{}}, nil
	}
}

// Clean implements connpool.Conn.
func (l *link[C]) Clean() bool {
	return !l.broken && !l.inTransaction && len(l.prepared) <= maxPrepared && l.conn.Clean()
}

// Close implements connpool.Conn.
func (l *link[C]) Close() { l.conn.Close() }

// Abort implements connpool.Conn.
func (l *link[C]) Abort() { l.conn.Abort() }

func (l *link[C]) run(ctx context.Context, statements ...Statement) ([]Result, error) {
	results, err := l.conn.Run(ctx, statements...)
	if err != nil {
		l.broken = true
		return results, err
	}
	l.inTransaction = results[len(results)-1].State != TxNone
	return results, nil
}

// reset clears the connection. Its answer tells the upstream's position and
// takes no slot.
func (l *link[C]) reset(ctx context.Context) (Result, error) {
	results, err := l.run(ctx, Statement{Verb: Reset})
	if err != nil {
		return Result{}, err
	}
	clear(l.values)
	clear(l.prepared)
	return results[0], nil
}

// setUp gives the connection the session's values and, if def is not nil, the
// prepared statement. It returns the name under which the connection knows
// that.
func (l *link[C]) setUp(ctx context.Context, values map[string]string, def *Definition) (name string, err error) {
	batch := l.missing(values)
	if def != nil && l.prepared[*def] == "" {
		batch = append(batch, Statement{Verb: Prepare, Name: nameOf(*def), Definition: *def})
	}
	if len(batch) > 0 {
		if err := l.apply(ctx, batch); err != nil {
			return "", err
		}
	}
	if def == nil {
		return "", nil
	}
	return l.prepared[*def], nil
}

// missing lists what changes the connection's values into the wanted ones.
func (l *link[C]) missing(wanted map[string]string) []Statement {
	if maps.Equal(l.values, wanted) {
		return nil
	}
	var batch []Statement
	for name := range l.values {
		if _, keep := wanted[name]; !keep {
			batch = []Statement{{Verb: Reset}}
			clear(l.values)
			clear(l.prepared)
			break
		}
	}
	for name, value := range wanted {
		if have, ok := l.values[name]; !ok || have != value {
			batch = append(batch, Statement{Verb: Set, Name: name, Value: value})
		}
	}
	return batch
}

// apply runs the set-up statements. One that fails makes the connection
// useless: nothing may run on it with other values than the session's.
func (l *link[C]) apply(ctx context.Context, batch []Statement) error {
	results, err := l.run(ctx, batch...)
	if err != nil {
		return err
	}
	for i, r := range results {
		if r.Code != CodeNone {
			l.broken = true
			return &SetUpError{batch[i].Verb, r.Code, r.Detail}
		}
		switch st := batch[i]; st.Verb {
		case Set:
			l.values[st.Name] = st.Value
		case Prepare:
			l.prepared[st.Definition] = st.Name
		}
	}
	return nil
}

// nameOf returns the name of a prepared statement, the same on every
// connection, so that callers who prepared the same statement share it.
func nameOf(d Definition) string {
	if d.Writes {
		return "w_" + d.Shape
	}
	return "r_" + d.Shape
}
