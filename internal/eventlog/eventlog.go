// Package eventlog writes the log of a process: one line of JSON for each
// decision, on a writer that may be slow or stuck. Logging never waits: lines
// are left out and counted instead.
//
//	log := eventlog.Start(os.Stdout, nil)
//	defer log.Close()
//	log.Event(logbudget.Failure, "engine: request refused", "request", id, "reason", reason)
//
// After Install the calls of klog go the same way.
package eventlog

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/core/logbudget"
)

const (
	// queueLines and queueBytes bound the lines that wait for the writer.
	queueLines = 512
	queueBytes = 256 << 10
	// reportEvery is how often left out lines are told.
	reportEvery = time.Second
	// closeTimeout bounds the wait for the writer at the end.
	closeTimeout = 100 * time.Millisecond
)

// Log is the log of a process. It is safe for concurrent use.
type Log struct {
	// leftOut is told how many lines of a class were left out.
	leftOut func(logbudget.Class, uint64)
	queue   chan []byte
	done    chan struct{}
	closing chan struct{}
	once    sync.Once
	logger  *slog.Logger

	mu     sync.Mutex
	budget *logbudget.Budget
	queued int
	// class is that of the line being formatted.
	class logbudget.Class
}

// Start returns a log that writes to w until Close. leftOut may be nil.
func Start(w io.Writer, leftOut func(logbudget.Class, uint64)) *Log {
	l := &Log{
		leftOut: leftOut, queue: make(chan []byte, queueLines), done: make(chan struct{}), closing: make(chan struct{}),
		budget: logbudget.New(time.Now()),
	}
	l.logger = slog.New(slog.NewJSONHandler(lineWriter{l}, &slog.HandlerOptions{Level: slog.LevelDebug}))
	go l.write(w)
	return l
}

// Install sends the calls of klog to the log.
func (l *Log) Install() { klog.SetSlogLogger(slog.New(changeHandler{l.logger.Handler(), l})) }

// Event logs one decision with its fields, as keys and values in turn.
func (l *Log) Event(c logbudget.Class, message string, fields ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.budget.Take(c, time.Now()) {
		return
	}
	l.class = c
	l.logger.Info(message, fields...)
}

// lineWriter queues the lines of the formatter. The log's lock is held.
type lineWriter struct{ log *Log }

// Write implements io.Writer.
func (w lineWriter) Write(line []byte) (int, error) {
	l := w.log
	if l.queued+len(line) > queueBytes {
		l.budget.LeaveOut(l.class)
		return len(line), nil
	}
	select {
	case l.queue <- bytes.Clone(line):
		l.queued += len(line)
	default:
		l.budget.LeaveOut(l.class)
	}
	return len(line), nil
}

// changeHandler passes the lines of klog on, which tell of changes.
type changeHandler struct {
	slog.Handler
	log *Log
}

// Handle implements slog.Handler.
func (h changeHandler) Handle(ctx context.Context, r slog.Record) error {
	h.log.mu.Lock()
	defer h.log.mu.Unlock()
	if !h.log.budget.Take(logbudget.Change, time.Now()) {
		return nil
	}
	h.log.class = logbudget.Change
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h changeHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return changeHandler{h.Handler.WithAttrs(attrs), h.log}
}

// WithGroup implements slog.Handler.
func (h changeHandler) WithGroup(name string) slog.Handler {
	return changeHandler{h.Handler.WithGroup(name), h.log}
}

// write passes lines on to w and tells of those that were left out.
func (l *Log) write(w io.Writer) {
	defer close(l.done)
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	for {
		select {
		case line := <-l.queue:
			l.writeLine(w, line)
		case <-ticker.C:
			l.report()
		case <-l.closing:
			l.report()
			l.drain(w)
			return
		}
	}
}

func (l *Log) writeLine(w io.Writer, line []byte) {
	// An error of the writer has no place left where it could be told.
	_, _ = w.Write(line)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queued -= len(line)
}

func (l *Log) drain(w io.Writer) {
	for {
		select {
		case line := <-l.queue:
			l.writeLine(w, line)
		default:
			return
		}
	}
}

// report logs and counts the lines that were left out.
func (l *Log) report() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c, n := range l.budget.TakeLeftOut() {
		if l.leftOut != nil {
			l.leftOut(c, n)
		}
		l.class = logbudget.Change
		l.logger.Warn("log: lines left out", "class", c.String(), "lines", n)
	}
}

// Close writes what is queued, for a short while.
func (l *Log) Close() {
	l.once.Do(func() { close(l.closing) })
	select {
	case <-l.done:
	case <-time.After(closeTimeout):
	}
}
