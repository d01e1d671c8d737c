// Package eventlog writes the log of a process as one line of JSON for each
// decision. Logging never blocks: if the writer is slow or blocked, the log
// drops lines and counts them.
//
//	log := eventlog.Start(os.Stdout, nil)
//	defer log.Close()
//	log.Event(logbudget.Failure, "engine: request refused", "request", id, "reason", reason)
//
// After Install, klog writes to the same log.
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
	// queueLines and queueBytes bound the lines queued for the writer.
	queueLines = 512
	queueBytes = 256 << 10
	// reportInterval is the time between two reports of dropped lines.
	reportInterval = time.Second
	// closeTimeout bounds the time that Close waits for the writer.
	closeTimeout = 100 * time.Millisecond
)

// Log is the log of a process. It is safe for concurrent use.
type Log struct {
	// onDropped is called with the number of dropped lines of a class.
	onDropped func(logbudget.Class, uint64)
	queue     chan []byte
	done      chan struct{}
	closing   chan struct{}
	closeOnce sync.Once
	logger    *slog.Logger

	mu          sync.Mutex
	budget      *logbudget.Budget
	queuedBytes int
	// class is the class of the line that the logger is formatting.
	class logbudget.Class
}

// Start returns a log that writes to w until Close. onDropped may be nil.
func Start(w io.Writer, onDropped func(logbudget.Class, uint64)) *Log {
	l := &Log{
		onDropped: onDropped, queue: make(chan []byte, queueLines), done: make(chan struct{}), closing: make(chan struct{}),
		budget: logbudget.New(time.Now()),
	}
	l.logger = slog.New(slog.NewJSONHandler(lineWriter{l}, &slog.HandlerOptions{Level: slog.LevelDebug}))
	go l.write(w)
	return l
}

// Install redirects the output of klog to the log.
func (l *Log) Install() { klog.SetSlogLogger(slog.New(klogHandler{l.logger.Handler(), l})) }

// Event logs one decision. The fields are alternating keys and values.
func (l *Log) Event(c logbudget.Class, message string, fields ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.budget.Take(c, time.Now()) {
		return
	}
	l.class = c
	l.logger.Info(message, fields...)
}

// lineWriter queues the formatted lines. The caller of Write holds the log's
// lock.
type lineWriter struct{ log *Log }

// Write implements io.Writer.
func (w lineWriter) Write(line []byte) (int, error) {
	l := w.log
	if l.queuedBytes+len(line) > queueBytes {
		l.budget.CountDropped(l.class)
		return len(line), nil
	}
	select {
	case l.queue <- bytes.Clone(line):
		l.queuedBytes += len(line)
	default:
		l.budget.CountDropped(l.class)
	}
	return len(line), nil
}

// klogHandler logs the lines of klog in the class Change.
type klogHandler struct {
	slog.Handler
	log *Log
}

// Handle implements slog.Handler.
func (h klogHandler) Handle(ctx context.Context, r slog.Record) error {
	h.log.mu.Lock()
	defer h.log.mu.Unlock()
	if !h.log.budget.Take(logbudget.Change, time.Now()) {
		return nil
	}
	h.log.class = logbudget.Change
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h klogHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return klogHandler{h.Handler.WithAttrs(attrs), h.log}
}

// WithGroup implements slog.Handler.
func (h klogHandler) WithGroup(name string) slog.Handler {
	return klogHandler{h.Handler.WithGroup(name), h.log}
}

// write writes the queued lines to w and reports dropped lines.
func (l *Log) write(w io.Writer) {
	defer close(l.done)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-l.queue:
			l.writeLine(w, line)
		case <-ticker.C:
			l.reportDropped()
		case <-l.closing:
			l.reportDropped()
			l.drain(w)
			return
		}
	}
}

func (l *Log) writeLine(w io.Writer, line []byte) {
	// An error of the writer is ignored, since there is nowhere to report it.
	_, _ = w.Write(line)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queuedBytes -= len(line)
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

// reportDropped logs and counts the dropped lines.
func (l *Log) reportDropped() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c, n := range l.budget.TakeDropped() {
		if l.onDropped != nil {
			l.onDropped(c, n)
		}
		l.class = logbudget.Change
		l.logger.Warn("log: lines dropped", "class", c.String(), "lines", n)
	}
}

// Close writes the queued lines, but waits for at most closeTimeout.
func (l *Log) Close() {
	l.closeOnce.Do(func() { close(l.closing) })
	select {
	case <-l.done:
	case <-time.After(closeTimeout):
	}
}
