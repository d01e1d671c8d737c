package timeline

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

const (
	fileName         = "timeline.jsonl"
	previousFileName = "timeline.1.jsonl"
	// maxFileBytes is the size at which the writer rotates the file. It keeps one
	// earlier file.
	maxFileBytes = 8 << 20
	// syncInterval bounds the time between the write of an event and its sync.
	syncInterval = 500 * time.Millisecond
	// queueCapacity is the number of events that may wait to be written.
	queueCapacity = 4096
)

// fileWriter appends events to a file in the background.
type fileWriter struct {
	folder   string
	queue    chan Event
	dropped  atomic.Uint64
	done     chan struct{}
	stopOnce sync.Once
	stopped  chan struct{}
	err      error // set before done is closed

	file   *os.File
	buffer *bufio.Writer
	size   int64
}

func openFile(folder string) (*fileWriter, error) {
	w := &fileWriter{
		folder:  folder,
		queue:   make(chan Event, queueCapacity),
		done:    make(chan struct{}),
		stopped: make(chan struct{}),
	}
	if err := w.open(); err != nil {
		return nil, err
	}
	go w.run()
	return w, nil
}

// add queues an event. It drops the event when the queue is full.
func (w *fileWriter) add(e Event) {
	select {
	case w.queue <- e:
	default:
		w.dropped.Add(1)
	}
}

func (w *fileWriter) close() error {
	w.stopOnce.Do(func() { close(w.stopped) })
	<-w.done
	return w.err
}

func (w *fileWriter) open() error {
	file, err := os.OpenFile(filepath.Join(w.folder, fileName), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open timeline: %w", err)
	}
	size, err := file.Seek(0, io.SeekEnd)
	if err != nil {
		return errors.Join(fmt.Errorf("open timeline: %w", err), file.Close())
	}
	w.file, w.buffer, w.size = file, bufio.NewWriter(file), size
	return nil
}

func (w *fileWriter) run() {
	defer close(w.done)
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	for {
		select {
		case e := <-w.queue:
			w.logError(w.write(e))
		case <-ticker.C:
			w.logError(w.sync())
		case <-w.stopped:
			w.err = w.drain()
			return
		}
	}
}

func (w *fileWriter) logError(err error) {
	if err != nil {
		w.dropped.Add(1)
		klog.Errorf("timeline: failed to write to %s: %v", w.folder, err)
	}
}

func (w *fileWriter) write(e Event) error {
	line, err := json.Marshal(e)
	if err != nil {
		return err
	}
	n, err := w.buffer.Write(append(line, '\n'))
	w.size += int64(n)
	if err != nil || w.size < maxFileBytes {
		return err
	}
	return w.rotate()
}

// sync makes the events written so far durable.
func (w *fileWriter) sync() error {
	if w.buffer.Buffered() == 0 {
		return nil
	}
	if err := w.buffer.Flush(); err != nil {
		return err
	}
	return w.file.Sync()
}

func (w *fileWriter) rotate() error {
	if err := errors.Join(w.buffer.Flush(), w.file.Sync(), w.file.Close()); err != nil {
		return err
	}
	if err := os.Rename(filepath.Join(w.folder, fileName), filepath.Join(w.folder, previousFileName)); err != nil {
		return err
	}
	return w.open()
}

func (w *fileWriter) drain() error {
	for {
		select {
		case e := <-w.queue:
			if err := w.write(e); err != nil {
				return err
			}
		default:
			return errors.Join(w.buffer.Flush(), w.file.Sync(), w.file.Close())
		}
	}
}

// ReadFolder returns the events in the files of a data folder, oldest first. It
// skips an incomplete last line, which a crash can leave.
func ReadFolder(folder string) ([]Event, error) {
	var events []Event
	for _, name := range []string{previousFileName, fileName} {
		file, err := os.Open(filepath.Join(folder, name))
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, err
		}
		read, err := readEvents(file)
		if err := errors.Join(err, file.Close()); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		events = append(events, read...)
	}
	return events, nil
}

func readEvents(r io.Reader) ([]Event, error) {
	var events []Event
	decoder := json.NewDecoder(r)
	for {
		var e Event
		err := decoder.Decode(&e)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return events, nil
		}
		if err != nil {
			return events, err
		}
		events = append(events, e)
	}
}
