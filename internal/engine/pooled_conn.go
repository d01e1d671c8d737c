package engine

import (
	"context"
	"maps"

	"github.com/cicadacove/cicadacove/internal/connpool"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// pooledConn is a connection with the session state that was set up on it.
type pooledConn[C Conn] struct {
	conn C
	// values and prepared are the current state of the connection.
	values        map[string]string
	prepared      map[Definition]string
	inTransaction bool
	broken        bool
}

// maxPrepared bounds the prepared statements of a connection; one with more is
// closed when it is released.
const maxPrepared = 200

func (e *Engine[C]) openPooledConn(a topo.Announcement) connpool.OpenFunc[*pooledConn[C]] {
	open := e.opts.Open(a)
	return func(ctx context.Context, k connpool.Key) (*pooledConn[C], error) {
		c, err := open(ctx, k)
		if err != nil {
			return nil, err
		}
		return &pooledConn[C]{conn: c, values: map[string]string{}, prepared: map[Definition]string{}}, nil
	}
}

// Clean implements connpool.Conn.
func (pc *pooledConn[C]) Clean() bool {
	return !pc.broken && !pc.inTransaction && len(pc.prepared) <= maxPrepared && pc.conn.Clean()
}

// Close implements connpool.Conn.
func (pc *pooledConn[C]) Close() { pc.conn.Close() }

// Abort implements connpool.Conn.
func (pc *pooledConn[C]) Abort() { pc.conn.Abort() }

// run sends the statements and reads their answers. Unless all of them have been read,
// the connection is broken.
func (pc *pooledConn[C]) run(ctx context.Context, statements ...Statement) ([]Result, error) {
	pc.broken = true
	results, err := pc.conn.Run(ctx, statements...)
	if err != nil {
		return results, err
	}
	pc.broken = false
	pc.inTransaction = results[len(results)-1].State != TxNone
	return results, nil
}

// queryPosition returns an answer with the upstream's position. Reset needs no slot; an
// upstream that answers it without its position is asked for its status. If that is
// refused too, the answer has no position.
func (pc *pooledConn[C]) queryPosition(ctx context.Context) (Result, error) {
	results, err := pc.run(ctx, Statement{Verb: Reset})
	if err != nil {
		return Result{}, err
	}
	clear(pc.values)
	clear(pc.prepared)
	reset := results[0]
	if reset.Point.Known {
		return reset, nil
	}
	results, err = pc.run(ctx, Statement{Verb: Status})
	if err != nil {
		return Result{}, err
	}
	reset.Point = results[0].Point
	return reset, nil
}

// setUp applies the session's values to the connection and, if def is not nil,
// prepares the statement. It returns the statement's name on the connection.
func (pc *pooledConn[C]) setUp(ctx context.Context, values map[string]string, def *Definition) (name string, err error) {
	batch := pc.missing(values)
	if def != nil && pc.prepared[*def] == "" {
		batch = append(batch, Statement{Verb: Prepare, Name: nameOf(*def), Definition: *def})
	}
	if len(batch) > 0 {
		if err := pc.apply(ctx, batch); err != nil {
			return "", err
		}
	}
	if def == nil {
		return "", nil
	}
	return pc.prepared[*def], nil
}

// missing returns the statements that change the connection's values into the
// wanted ones.
func (pc *pooledConn[C]) missing(wanted map[string]string) []Statement {
	if maps.Equal(pc.values, wanted) {
		return nil
	}
	var batch []Statement
	for name := range pc.values {
		if _, keep := wanted[name]; !keep {
			batch = []Statement{{Verb: Reset}}
			clear(pc.values)
			clear(pc.prepared)
			break
		}
	}
	for name, value := range wanted {
		if have, ok := pc.values[name]; !ok || have != value {
			batch = append(batch, Statement{Verb: Set, Name: name, Value: value})
		}
	}
	return batch
}

// apply runs the set-up statements. If one fails, the connection is broken:
// nothing may run on it with values other than the session's.
func (pc *pooledConn[C]) apply(ctx context.Context, batch []Statement) error {
	results, err := pc.run(ctx, batch...)
	if err != nil {
		return err
	}
	for i, r := range results {
		if r.Code != CodeNone {
			pc.broken = true
			return &SetUpError{batch[i].Verb, r.Code, r.Detail}
		}
		switch st := batch[i]; st.Verb {
		case Set:
			pc.values[st.Name] = st.Value
		case Prepare:
			pc.prepared[st.Definition] = st.Name
		}
	}
	return nil
}

// nameOf returns the name of a prepared statement. It is the same on all
// connections, so that callers with the same statement share it.
func nameOf(d Definition) string {
	if d.Writes {
		return "w_" + d.Shape
	}
	return "r_" + d.Shape
}
