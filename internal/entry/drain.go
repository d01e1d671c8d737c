package entry

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/accept"
	"github.com/cicadacove/cicadacove/internal/core/drain"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
)

const (
	// drainStartupTimeout bounds the startup of a connection during a drain.
	drainStartupTimeout = time.Second
	// lingerTimeout is how long the server waits for a caller to close its connection
	// after the reason why the session ends.
	lingerTimeout = time.Second
	// closeTimeout bounds the wait for sessions whose connections were closed.
	closeTimeout = time.Second
	// maxLoggedRequests limits the request ids in one log line.
	maxLoggedRequests = 20
)

// Errors of a drain. errDraining ends a session between requests, errAbandoned ends a
// running statement.
var (
	errDraining  = errors.New("entry: draining")
	errAbandoned = errors.New("entry: the statement was abandoned at the end of the grace period")
)

// Shutdown refuses new callers and ends the sessions within the grace period that began
// at the signal to stop and ends with ctx, as package drain divides it. It returns once
// every accepted connection is closed and its session has ended. The error says how
// many connections had to be closed before their callers had the reason.
func (s *Server) Shutdown(ctx context.Context, began time.Time) error {
	defer s.opts.Upstreams.Close()
	s.beginStep(drain.Leave)
	ended := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(ended)
	}()
	for _, next := range stepsOf(ctx, began) {
		if awaitEnd(ctx, ended, next.at) {
			s.logDrain("entry: drained")
			return nil
		}
		s.beginStep(next.step)
	}
	return s.closeRest(ended)
}

// closeRest closes the remaining connections and waits for their sessions.
func (s *Server) closeRest(ended <-chan struct{}) error {
	left := s.unanswered()
	s.closeConns()
	select {
	case <-ended:
	case <-time.After(closeTimeout):
		s.logDrain("entry: left at the end of the drain")
	}
	if left == 0 {
		return nil
	}
	return fmt.Errorf("entry: connections were closed without a reason at the end of the grace period: %d", left)
}

// timedStep is a step of a drain and the time at which it begins.
type timedStep struct {
	step drain.Step
	at   time.Time
}

// stepsOf returns the steps after Leave. Without a deadline of ctx they begin when ctx
// ends.
func stepsOf(ctx context.Context, began time.Time) []timedStep {
	deadline, ok := ctx.Deadline()
	if !ok {
		return []timedStep{{drain.Close, time.Time{}}}
	}
	schedule := drain.NewSchedule(deadline.Sub(began))
	return []timedStep{
		{drain.EndTransactions, began.Add(schedule.EndTransactions)},
		{drain.Abandon, began.Add(schedule.Abandon)},
		{drain.Close, began.Add(schedule.Close)},
	}
}

// awaitEnd waits until the sessions have ended, and reports whether they have. It
// returns false at the time, if there is one, or when ctx ends.
func awaitEnd(ctx context.Context, ended <-chan struct{}, at time.Time) bool {
	var timeout <-chan time.Time
	if !at.IsZero() {
		timeout = time.After(time.Until(at))
	}
	select {
	case <-ended:
		return true
	case <-timeout:
	case <-ctx.Done():
	}
	return false
}

// Close closes all caller connections immediately.
func (s *Server) Close() {
	s.enter(drain.Close)
	s.closeConns()
	s.opts.Upstreams.Close()
}

func (s *Server) beginStep(step drain.Step) {
	s.enter(step)
	s.logDrain("entry: drain, step " + step.String())
}

// enter makes the sessions follow a step of the drain.
func (s *Server) enter(step drain.Step) {
	s.mu.Lock()
	first := s.step == drain.Serve
	s.step = max(s.step, step)
	if s.ln != nil && first {
		s.stopListener()
	}
	for conn, state := range s.conns {
		if first && state == connStarting {
			conn.SetDeadline(time.Now().Add(drainStartupTimeout))
		}
	}
	for _, c := range s.sessions {
		c.drain(step)
	}
	s.mu.Unlock()
	if step >= drain.Abandon {
		s.abandon(errAbandoned)
	}
}

// stopListener accepts and refuses the connections that wait in the queue of the
// listener, and closes it.
func (s *Server) stopListener() {
	if err := accept.Stop(s.ln); err != nil {
		klog.Warningf("entry: stop the listener: %v", err)
	}
}

func (s *Server) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.Close()
	}
}

// unanswered returns the number of connections whose callers don't know yet why they end.
func (s *Server) unanswered() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, state := range s.conns {
		if state != connAnswered {
			n++
		}
	}
	return n
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.step > drain.Serve
}

// logDrain logs what is left of the callers' connections.
func (s *Server) logDrain(message string) {
	s.mu.Lock()
	connections, sessions := len(s.conns), len(s.sessions)
	var running []string
	for _, c := range s.sessions {
		if id := c.runningRequest(); id != "" {
			running = append(running, id)
		}
	}
	s.mu.Unlock()
	slices.Sort(running)
	klog.InfoS(message, "connections", connections, "sessions", sessions, "statements", len(running),
		"requests", strings.Join(running[:min(len(running), maxLoggedRequests)], " "))
}

// shuttingDown returns the outcome of what the instance refuses during a drain.
func shuttingDown(detail string) outcome.Outcome {
	return outcome.Refused(outcome.CodeShuttingDown, "this entry instance is shutting down"+detail)
}

// drain tells the session that a step of the drain has begun. A session that waits for
// its caller and has to end is interrupted.
func (c *callerSession) drain(step drain.Step) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drainStep = max(c.drainStep, step)
	if c.waiting && c.drainStep.EndsSession(c.betweenUnits, c.inTransaction) {
		c.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// mustEnd reports whether the drain ends the session before its next message.
func (c *callerSession) mustEnd(betweenUnits bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.drainStep.EndsSession(betweenUnits, c.tx != nil)
}

// setRunning records the id of the request that the session serves, empty for none.
func (c *callerSession) setRunning(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = id
}

func (c *callerSession) runningRequest() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running
}

// afterAbandon replaces the reason of a request that did not run if its statement was
// abandoned.
func (c *callerSession) afterAbandon(o outcome.Outcome) outcome.Outcome {
	if o.Kind != outcome.NotRun || c.server.work.Err() == nil {
		return o
	}
	if c.txState == stateLost {
		return shuttingDown("; the transaction has been rolled back")
	}
	return shuttingDown("; the statement did not run")
}
