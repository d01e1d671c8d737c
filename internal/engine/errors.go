package engine

import (
	"errors"
	"fmt"

	"github.com/cicadacove/cicadacove/internal/core/outcome"
)

var (
	errNoAuthority     = errors.New("engine: no primary is available under a valid lease")
	errNoPosition      = errors.New("engine: the primary answered without its position")
	errLeaving         = errors.New("engine: the upstream is about to shut down")
	errEmptyRelayReply = errors.New("engine: the instance that holds the connection sent no result")
	errCircuitOpen     = errors.New("engine: the upstream's circuit breaker is open")
)

// NotRunError means that nothing was sent to the upstream. Outcome is what the caller
// gets.
type NotRunError struct {
	Outcome outcome.Outcome
	// Final means that another upstream would refuse the statement too.
	Final bool
}

// Error implements error.
func (e *NotRunError) Error() string { return e.Outcome.Reason }

// finalRefusal returns the outcome of a *NotRunError that is final.
func finalRefusal(err error) (o outcome.Outcome, final bool) {
	var notRun *NotRunError
	if errors.As(err, &notRun) && notRun.Final {
		return notRun.Outcome, true
	}
	return outcome.Outcome{}, false
}

// ErrStopping is the cause of a context that ends because the instance stops.
var ErrStopping = errors.New("engine: this entry instance has stopped before the upstream answered")

// SetUpError means that an upstream refused a session's values or prepared
// statements. The caller's statement was not sent.
type SetUpError struct {
	Verb   Verb
	Code   Code
	Detail string
}

// Error implements error.
func (e *SetUpError) Error() string {
	return fmt.Sprintf("engine: set-up statement %d refused: %s %s", e.Verb, e.Code, e.Detail)
}
