package engine

import (
	"errors"
	"fmt"
)

var (
	errNoAuthority = errors.New("engine: no primary under a lease")
	errBusy        = errors.New("engine: the circuit of the upstream is open")
)

// SetUpError means that an upstream did not take over a session's values or
// prepared statements. Nothing of the caller's was sent.
type SetUpError struct {
	Verb   Verb
	Code   Code
	Detail string
}

// Error names what was refused.
func (e *SetUpError) Error() string {
	return fmt.Sprintf("engine: set-up statement %d refused: %s %s", e.Verb, e.Code, e.Detail)
}
