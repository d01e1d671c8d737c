package engine

import (
	"errors"
	"fmt"
)

var (
	errNoAuthority = errors.New("engine: no primary is available under a valid lease")
	errLeaving     = errors.New("engine: the upstream is about to shut down")
	errCircuitOpen = errors.New("engine: the upstream's circuit breaker is open")
)

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
