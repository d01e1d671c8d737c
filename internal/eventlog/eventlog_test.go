package eventlog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/core/logbudget"
)

func TestEventIsOneLineOfJSON(t *testing.T) {
	var out bytes.Buffer
	l := Start(&out, nil)
	l.Event(logbudget.Failure, "engine: request refused", "request", "id1", "took_ms", 12)
	l.Close()
	var line map[string]any
	require.NoError(t, json.Unmarshal(out.Bytes(), &line))
	require.Equal(t, "engine: request refused", line["msg"])
	require.Equal(t, "id1", line["request"])
	require.Contains(t, line, "time")
}

// Event must not block when the reader of the log stops reading. The log
// reports the dropped lines when the reader continues.
func TestStuckReaderDoesNotBlockEvent(t *testing.T) {
	r, w := io.Pipe()
	counted := make(chan uint64, 16)
	l := Start(w, func(_ logbudget.Class, n uint64) { counted <- n })
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		for range 5000 {
			l.Event(logbudget.Change, "agent: lease expired", "detail", "0123456789")
		}
	}()
	select {
	case <-finished:
	case <-time.After(30 * time.Second):
		t.Fatal("Event blocks when the reader has stopped")
	}
	lines := bufio.NewScanner(r)
	require.True(t, lines.Scan())
	go func() { _, _ = io.Copy(io.Discard, r) }()
	require.Positive(t, <-counted)
	l.Close()
}
