// Package lifecycle runs the components of a process. They live and end together:
// when one of them ends early, the process answers what it has read, stops all others
// and ends with an error, so that its supervisor restarts it.
package lifecycle

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// StopTimeout bounds the wait for components that have been asked to stop. A
// component that hangs, for example in a disk that does not answer, must not keep
// the process alive.
const StopTimeout = 2 * time.Second

// AnswerTimeout bounds the time in which a process whose component has failed answers
// what it has read.
const AnswerTimeout = time.Second

// PartError means that a component ended although it was not asked to stop.
type PartError struct {
	Part string
	// Err is nil if the component ended without an error.
	Err error
}

// Error names the component and the cause.
func (e *PartError) Error() string {
	if e.Err == nil {
		return e.Part + " ended unexpectedly"
	}
	return fmt.Sprintf("%s ended: %v", e.Part, e.Err)
}

// Unwrap returns the cause.
func (e *PartError) Unwrap() error { return e.Err }

// StopTimeoutError lists the components that did not stop in time.
type StopTimeoutError struct{ Parts []string }

// Error lists the components.
func (e *StopTimeoutError) Error() string {
	return fmt.Sprintf("did not stop within %s: %s", StopTimeout, strings.Join(e.Parts, ", "))
}

// Group is the set of components of a process.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	close  func()
	// answer is called before the components are stopped after a failure; it may be
	// nil.
	answer func(context.Context)
	// failed is closed when a component has ended early, done when Stop is over.
	failed, done chan struct{}

	mu sync.Mutex
	// stopping is set once no component is expected to run on, closing once Stop
	// has begun.
	stopping, closing bool
	err               error
	// running counts the components that run, by name.
	running map[string]int
	// ended is closed and replaced when a component ends.
	ended chan struct{}
}

// New returns an empty group. Its components run until Stop is called, ctx ends
// or one of them ends. closeAll makes the components return that do not watch
// their context, for example by closing their listeners; it is called once.
func New(ctx context.Context, closeAll func()) *Group {
	ctx, cancel := context.WithCancel(ctx)
	g := &Group{
		ctx: ctx, cancel: cancel, close: closeAll,
		failed: make(chan struct{}), done: make(chan struct{}),
		running: map[string]int{}, ended: make(chan struct{}),
	}
	context.AfterFunc(ctx, func() { _ = g.Stop() })
	return g
}

// OnFailure sets what the group does when a component has ended early, before it stops
// the others: answer should end the requests that were read, within its context. It must
// be called before Go.
func (g *Group) OnFailure(answer func(context.Context)) { g.answer = answer }

// Go starts a component.
func (g *Group) Go(part string, run func(context.Context) error) {
	g.mu.Lock()
	g.running[part]++
	g.mu.Unlock()
	go func() { g.partEnded(part, run(g.ctx)) }()
}

func (g *Group) partEnded(part string, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running[part]--; g.running[part] == 0 {
		delete(g.running, part)
	}
	close(g.ended)
	g.ended = make(chan struct{})
	if g.stopping || g.ctx.Err() != nil {
		if err != nil && !errors.Is(err, context.Canceled) {
			klog.InfoS("process: component stopped with an error", "component", part, "reason", err.Error())
		}
		return
	}
	g.stopping, g.err = true, &PartError{part, err}
	klog.ErrorS(err, "process: component ended early; stopping the process", "component", part)
	close(g.failed)
	go func() { _ = g.Stop() }()
}

// Failed returns a channel that is closed when a component has ended early.
func (g *Group) Failed() <-chan struct{} { return g.failed }

// Shutdown stops the process gracefully: it calls drain, during which components
// may end, and then Stop.
func (g *Group) Shutdown(drain func()) error {
	g.mu.Lock()
	g.stopping = true
	g.mu.Unlock()
	drain()
	return g.Stop()
}

// Stop stops all components and returns once they have ended, after StopTimeout
// at the latest. The error is a *PartError if a component had ended early before,
// else a *StopTimeoutError if one did not stop in time.
func (g *Group) Stop() error {
	g.mu.Lock()
	first := !g.closing
	g.stopping, g.closing = true, true
	g.mu.Unlock()
	if first {
		g.stopAll()
	}
	return g.Wait()
}

func (g *Group) stopAll() {
	defer close(g.done)
	g.answerAfterFailure()
	g.cancel()
	g.close()
	late := g.awaitEnd()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.err == nil {
		g.err = late
	}
}

// answerAfterFailure calls answer if a component has failed, and waits for it within
// AnswerTimeout.
func (g *Group) answerAfterFailure() {
	g.mu.Lock()
	failed := g.err != nil
	g.mu.Unlock()
	if !failed || g.answer == nil {
		return
	}
	ctx, cancel := context.WithTimeout(g.ctx, AnswerTimeout)
	defer cancel()
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		g.answer(ctx)
	}()
	select {
	case <-answered:
	case <-ctx.Done():
		klog.InfoS("process: requests were not answered in time after a failure")
	}
}

// Wait waits until the group has stopped and returns the error of Stop.
func (g *Group) Wait() error {
	<-g.done
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.err
}

// awaitEnd waits until no component runs. It returns a *StopTimeoutError if some
// still run after StopTimeout.
func (g *Group) awaitEnd() error {
	timeout := time.NewTimer(StopTimeout)
	defer timeout.Stop()
	for {
		g.mu.Lock()
		ended := g.ended
		var parts []string
		for part := range g.running {
			parts = append(parts, part)
		}
		g.mu.Unlock()
		if len(parts) == 0 {
			return nil
		}
		select {
		case <-ended:
		case <-timeout.C:
			slices.Sort(parts)
			err := &StopTimeoutError{parts}
			klog.ErrorS(err, "process: components do not stop")
			return err
		}
	}
}
