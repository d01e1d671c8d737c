package drain

import "time"

// maxTransfer is the longest wait for another voter to lead. A voter that can't find
// a successor in this time finds none.
const maxTransfer = time.Second

// VoterSchedule divides the grace period of a voter. Transfer, Notice, Requests and
// Peers are the ends of its parts, as offsets from the signal to stop; a part that is
// over early lets the next one begin.
type VoterSchedule struct {
	// Transfer ends the transfer of leadership.
	Transfer time.Duration
	// Notice ends the time in which each answer tells its caller to close the
	// connection.
	Notice time.Duration
	// Requests and Peers end the wait for requests of the control API and for calls of
	// other instances. Those that still run are cancelled.
	Requests, Peers time.Duration
	// Answer is how long cancelled requests may take to send their answers.
	Answer time.Duration
}

// NewVoterSchedule divides a grace period. heartbeat is the interval at which
// upstreams use their connections; the notice covers it where the grace period allows.
// At least an eighth of the grace period is left for the components of the process.
func NewVoterSchedule(grace, heartbeat time.Duration) VoterSchedule {
	return VoterSchedule{
		Transfer: min(maxTransfer, grace/4),
		Notice:   min(heartbeat+heartbeat/2, grace/4),
		Requests: grace * 2 / 3,
		Peers:    grace * 5 / 6,
		Answer:   grace / 24,
	}
}
