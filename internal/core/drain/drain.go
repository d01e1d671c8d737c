// Package drain decides what a stopping entry instance or voter does at each moment
// of its grace period, so that everything it has accepted is answered before the
// process is killed.
//
// The package does no I/O; time is an argument.
package drain

import "time"

// Step is what the sessions of a stopping instance may still do. Later steps
// include the earlier ones.
type Step int

// Steps of a drain, in their order.
const (
	// Serve: sessions go on, since the load balancer still sends new callers.
	Serve Step = iota
	// Leave: sessions end at their next statement boundary outside of transactions,
	// and new ones are refused.
	Leave
	// EndTransactions: open transactions are rolled back at their next statement
	// boundary.
	EndTransactions
	// Abandon: statements that still run are abandoned, and their callers learn the
	// outcome as far as it is known.
	Abandon
	// Close: the remaining connections are closed.
	Close
)

// String returns the name of the step, for logs.
func (s Step) String() string {
	return [...]string{"serve", "leave", "end transactions", "abandon", "close"}[s]
}

// Schedule holds the starts of the steps that depend on the time only, as offsets
// from the signal to stop.
type Schedule struct{ EndTransactions, Abandon, Close time.Duration }

// NewSchedule divides a grace period. A statement that begins in the first half has
// a third of the grace period to end; the rest is for the last answers and for what the
// instance releases after its sessions.
func NewSchedule(grace time.Duration) Schedule {
	return Schedule{EndTransactions: grace / 2, Abandon: grace * 5 / 6, Close: grace * 11 / 12}
}

// LastAnswers limits what an instance does after its sessions, once for the requests of
// operators and once for the calls of other instances: it waits for those that run, and
// then gives the cancelled ones time to answer.
type LastAnswers struct{ Wait, Answer time.Duration }

// maxLastAnswers bounds LastAnswers, whose calls are short.
var maxLastAnswers = LastAnswers{Wait: time.Second, Answer: 100 * time.Millisecond}

// NewLastAnswers divides what remains of a grace period. An eighth is left for the end of
// the process; the answers of other instances' calls count twice, since their
// connections are closed after them.
func NewLastAnswers(remaining time.Duration) LastAnswers {
	return LastAnswers{Wait: min(maxLastAnswers.Wait, remaining/4), Answer: min(maxLastAnswers.Answer, remaining/8)}
}

// StepAt returns the step at a time after the signal. moved means that new callers
// are sent to other instances.
func (s Schedule) StepAt(elapsed time.Duration, moved bool) Step {
	switch {
	case elapsed >= s.Close:
		return Close
	case elapsed >= s.Abandon:
		return Abandon
	case elapsed >= s.EndTransactions:
		return EndTransactions
	case moved:
		return Leave
	}
	return Serve
}

// Boundary describes a session that waits for its caller's next statement.
type Boundary struct {
	// InTransaction: a transaction is open. Failed: it was rolled back, and the caller
	// has not ended it yet.
	InTransaction, Failed bool
	// Notified: the caller has been asked to leave and has not sent a statement since.
	Notified bool
	// Pending: a further statement has already arrived.
	Pending bool
}

// Action is what a session does at a statement boundary.
type Action int

// Actions at a statement boundary.
const (
	// Wait for the caller's next statement.
	Wait Action = iota
	// Notify the caller that the session ends. A statement that crosses the
	// notification has not run, and the notification is its answer.
	Notify
	// RollBack the open transaction and notify the caller.
	RollBack
	// End the session.
	End
)

// AtBoundary returns what a session does at a statement boundary.
func (s Step) AtBoundary(b Boundary) Action {
	switch {
	case s == Close:
		return End
	case b.Notified, s == Serve:
		return Wait
	case s >= EndTransactions && b.InTransaction:
		return RollBack
	case s >= EndTransactions:
		return Notify
	case b.InTransaction, b.Failed, b.Pending:
		return Wait
	}
	return Notify
}
