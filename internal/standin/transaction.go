package standin

import (
	"errors"

	"github.com/cicadacove/cicadacove/internal/core/topo"
	"k8s.io/klog/v2"
)

// execution is a statement of a transaction with the result that the caller
// received.
type execution struct {
	command command
	args    []*string
	result  result
}

// transaction is an open transaction. The engine holds none of its changes
// between its statements: each step executes the earlier statements again, and
// COMMIT checks that they return the same results as before.
type transaction struct {
	explicit   bool
	failed     bool
	writes     bool
	executions []execution
}

// execute executes one statement in tx. The engine keeps none of its changes.
func (d *Database) execute(tx *transaction, c command, args []*string, term topo.Term) (result, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.writes {
		if err := d.state.checkWrite(term); err != nil {
			return result{}, err
		}
	}
	r, err := d.tryStatement(tx, c, args)
	if err != nil {
		return result{}, err
	}
	tx.executions = append(tx.executions, execution{command: c, args: args, result: r})
	tx.writes = tx.writes || c.writes
	return r, nil
}

func (d *Database) tryStatement(tx *transaction, c command, args []*string) (result, error) {
	if !c.writes && !tx.writes {
		return d.engine.run(c, args)
	}
	if err := d.engine.exec("BEGIN"); err != nil {
		return result{}, sqlError(err)
	}
	defer d.rollback()
	if err := d.replay(tx); err != nil {
		return result{}, err
	}
	return d.engine.run(c, args)
}

// replay executes the statements of tx again and compares the results.
func (d *Database) replay(tx *transaction) error {
	for _, x := range tx.executions {
		r, err := d.engine.run(x.command, x.args)
		if err != nil {
			return replayError(err)
		}
		if !r.equal(x.result) {
			return errSerialization
		}
	}
	return nil
}

var errSerialization = &pgError{codeSerialization, "could not serialize access due to concurrent update"}

func replayError(err error) error {
	var e *pgError
	if errors.As(err, &e) && e.Code == codeUnique {
		return e
	}
	return errSerialization
}

// rollback rolls back the engine's transaction. It fails only if the engine has
// already rolled back.
func (d *Database) rollback() {
	if err := d.engine.exec("ROLLBACK"); err != nil {
		klog.V(2).Infof("standin: %s: rollback: %v", d.options.ID, err)
	}
}

// commit commits the transaction and returns its point, which is zero if the
// transaction wrote nothing.
func (d *Database) commit(tx *transaction, term topo.Term) (topo.Point, error) {
	if !tx.writes {
		return topo.Point{}, nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.state.checkWrite(term); err != nil {
		return topo.Point{}, err
	}
	if err := d.engine.exec("BEGIN"); err != nil {
		return topo.Point{}, sqlError(err)
	}
	if err := d.replay(tx); err != nil {
		d.rollback()
		return topo.Point{}, err
	}
	return d.commitEngine(tx.writeStatements())
}

// commitEngine commits the engine's transaction and appends it to the log.
func (d *Database) commitEngine(statements []statement) (topo.Point, error) {
	if err := d.engine.exec("COMMIT"); err != nil {
		d.rollback()
		return topo.Point{}, sqlError(err)
	}
	return d.state.append(statements), nil
}

func (tx *transaction) writeStatements() []statement {
	var list []statement
	for _, x := range tx.executions {
		if x.command.writes {
			list = append(list, statement{SQL: x.command.sql, Args: x.args})
		}
	}
	return list
}

// autocommit executes one statement as a separate transaction.
func (d *Database) autocommit(c command, args []*string, term topo.Term) (result, topo.Point, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !c.writes {
		r, err := d.engine.run(c, args)
		return r, topo.Point{}, err
	}
	if err := d.state.checkWrite(term); err != nil {
		return result{}, topo.Point{}, err
	}
	if err := d.engine.exec("BEGIN"); err != nil {
		return result{}, topo.Point{}, sqlError(err)
	}
	r, err := d.engine.run(c, args)
	if err != nil {
		d.rollback()
		return result{}, topo.Point{}, err
	}
	point, err := d.commitEngine([]statement{{SQL: c.sql, Args: args}})
	return r, point, err
}

// describe returns the result columns of a statement. It executes the
// statement's describeQuery with NULL for each parameter and rolls it back.
func (d *Database) describe(tx *transaction, c command) ([]column, error) {
	if !c.returnsRows() {
		return nil, nil
	}
	query := command{sql: c.describeQuery(), verb: "SELECT"}
	args := make([]*string, countParams(query.sql))
	d.mu.Lock()
	defer d.mu.Unlock()
	if tx == nil {
		tx = &transaction{}
	}
	r, err := d.tryStatement(tx, query, args)
	return r.columns, err
}

// Contents executes a query directly on the database, without the network, slots
// or faults. Test oracles use it.
func (d *Database) Contents(query string) ([][]any, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, err := d.engine.run(command{sql: query, verb: "SELECT"}, nil)
	return r.rows, err
}
