package dbapi

import (
	"errors"
	"time"
)

// ErrPermitExpired means that a command was not sent because the leadership under
// which it was decided was confirmed too long ago.
var ErrPermitExpired = errors.New("database: the confirmation of the leadership has expired")

// Permit is a confirmed leadership. A Client checks it immediately before it sends a
// command, since the process may have been suspended after the confirmation.
type Permit struct {
	// Token is the term of the leadership. It grows with each leader.
	Token uint64
	// SendBy is until when the command may be sent, by internal/clock.
	SendBy time.Time
}

// Check returns ErrPermitExpired if the command may no longer be sent.
func (p Permit) Check(now time.Time) error {
	if !now.Before(p.SendBy) {
		return ErrPermitExpired
	}
	return nil
}
