// Package clientlimit decides which connections of clients are closed when the memory
// or the connections that a process has for its clients run short.
//
// A connection is closed only if it makes no ordinary progress itself: one that moves
// data at the minimum rate, or whose request is being served, is never chosen.
//
// The package does no I/O; time is an argument.
package clientlimit

import (
	"cmp"
	"slices"
	"time"
)

// State is what a connection does.
type State int32

// States of a connection.
const (
	// Starting: no session or request has begun.
	Starting State = iota
	// Idle: the connection waits for its client's next message.
	Idle
	// Receiving: a message has begun and isn't complete.
	Receiving
	// Serving: a request is being served.
	Serving
	// Sending: an answer is being written.
	Sending
	// Waiting: the connection waits for memory.
	Waiting
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"starting", "idle", "receiving", "serving", "sending", "waiting"}[s]
}

// Reason is why a connection is closed or refused.
type Reason string

// Reasons.
const (
	// Stalled: memory is short, and the client neither sends nor reads at the minimum rate.
	Stalled Reason = "stalled"
	// IdleHolder: memory is short, and the session holds much while it does nothing.
	IdleHolder Reason = "idle_holder"
	// Short: memory is short, and no other connection could be closed for this one.
	Short Reason = "memory_short"
	// NotStarted: connections are short, and the client has sent nothing.
	NotStarted Reason = "not_started"
	// Unused: connections are short, and the session has never sent a request.
	Unused Reason = "unused"
	// LongIdle: connections are short, and the session has sent nothing for long.
	LongIdle Reason = "long_idle"
	// TooMany: connections are short, and none could be closed.
	TooMany Reason = "too_many_connections"
	// SlowMessage and SlowAnswer: a message or an answer took longer than its minimum rate
	// allows.
	SlowMessage Reason = "slow_message"
	SlowAnswer  Reason = "slow_answer"
	// TooLong: a message or the state of a session is longer than its limit.
	TooLong Reason = "too_long"
)

// Conn describes one connection.
type Conn struct {
	ID    uint64
	State State
	// Held are the bytes that the connection holds, without its fixed charge.
	Held int64
	// OpenedAt is when the connection was accepted, Since when its state began.
	OpenedAt, Since time.Time
	// LastProgress is when the latest bytes were read or written, Transferred their number
	// since the state began.
	LastProgress time.Time
	Transferred  int64
	// Used is set once the connection has sent a request.
	Used bool
}

// Rate is the minimum rate at which clients send messages and read answers.
type Rate struct {
	// Grace is the time that any transfer may take, BytesPerSecond the rate beyond it.
	Grace          time.Duration
	BytesPerSecond int64
}

// Deadline returns when a transfer must have moved more bytes than the given number.
func (r Rate) Deadline(began time.Time, moved int64) time.Time {
	return began.Add(r.Grace + time.Duration(moved)*time.Second/time.Duration(r.BytesPerSecond))
}

const (
	// stallAfter is how long a transfer may rest while memory is short. It is several
	// round trips and far longer than a scheduling delay.
	stallAfter = 500 * time.Millisecond
	// waitLimit is how long a connection waits for memory before it may itself be closed.
	waitLimit = 500 * time.Millisecond
	// minIdleHeld is what an idle session may hold without being chosen: less would free
	// too little to be worth a session.
	minIdleHeld = 64 << 10
	// startLimit is how long a connection may do nothing after its accept while
	// connections are short. An ordinary client sends its first message at once.
	startLimit = time.Second
	// idleLimit is how long a session that was used may rest while connections are short.
	idleLimit = 10 * time.Second
)

// Closing says that a connection is to be closed.
type Closing struct {
	ID     uint64
	Reason Reason
}

// ForMemory returns the connections to close so that at least need bytes become free,
// or all that may be closed if they hold less.
func ForMemory(conns []Conn, need int64, rate Rate, now time.Time) []Closing {
	var closings []Closing
	for _, class := range []struct {
		reason  Reason
		matches func(Conn) bool
	}{
		{Stalled, func(c Conn) bool { return c.stalled(rate, now) }},
		{IdleHolder, func(c Conn) bool { return c.State == Idle && c.Held >= minIdleHeld }},
		{Short, func(c Conn) bool { return c.State == Waiting && now.Sub(c.Since) >= waitLimit }},
	} {
		candidates := slices.DeleteFunc(slices.Clone(conns), func(c Conn) bool { return c.Held <= 0 || !class.matches(c) })
		slices.SortFunc(candidates, func(a, b Conn) int {
			return cmp.Or(cmp.Compare(b.Held, a.Held), a.LastProgress.Compare(b.LastProgress), cmp.Compare(a.ID, b.ID))
		})
		for _, c := range candidates {
			if need <= 0 {
				return closings
			}
			closings = append(closings, Closing{c.ID, class.reason})
			need -= c.Held
		}
	}
	return closings
}

// stalled reports whether a transfer rests, or is slower than the minimum rate after the
// first stallAfter.
func (c Conn) stalled(rate Rate, now time.Time) bool {
	if c.State != Receiving && c.State != Sending {
		return false
	}
	if now.Sub(latest(c.LastProgress, c.Since)) >= stallAfter {
		return true
	}
	took := now.Sub(c.Since)
	return took >= 2*stallAfter && float64(c.Transferred) < took.Seconds()*float64(rate.BytesPerSecond)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// maxForConnections limits the connections that make no progress and are closed at once.
const maxForConnections = 32

// ForConnections returns connections to close so that others can be accepted, in this
// order: those that have sent nothing, those that stall within a message or an answer, the
// oldest session that was never used, the one that has been idle for longest. Of the first
// two kinds it returns several, so that a flood of them is cleared by few calls.
func ForConnections(conns []Conn, rate Rate, now time.Time) []Closing {
	for _, class := range []struct {
		reason  Reason
		most    int
		matches func(Conn) bool
	}{
		{NotStarted, maxForConnections, func(c Conn) bool { return c.State == Starting && now.Sub(c.Since) >= startLimit }},
		{Stalled, maxForConnections, func(c Conn) bool { return c.stalled(rate, now) }},
		{Unused, 1, func(c Conn) bool { return c.State == Idle && !c.Used && now.Sub(c.Since) >= startLimit }},
		{LongIdle, 1, func(c Conn) bool { return c.State == Idle && now.Sub(c.Since) >= idleLimit }},
	} {
		candidates := slices.DeleteFunc(slices.Clone(conns), func(c Conn) bool { return !class.matches(c) })
		slices.SortFunc(candidates, func(a, b Conn) int { return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.ID, b.ID)) })
		var closings []Closing
		for _, c := range candidates[:min(len(candidates), class.most)] {
			closings = append(closings, Closing{c.ID, class.reason})
		}
		if len(closings) > 0 {
			return closings
		}
	}
	return nil
}
