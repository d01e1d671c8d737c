package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the record of one run. It is safe for concurrent use.
type record struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// note writes a line with the time since the start.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// say is note, and also prints the line.
func (r *record) say(format string, args ...any) {
	r.note(format, args...)
	fmt.Printf("%9.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// at returns a time as seconds since the start.
func (r *record) at(t time.Time) float64 { return t.Sub(r.began).Seconds() }

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, "standin2: record:", err)
	}
	r.file.Close()
}
