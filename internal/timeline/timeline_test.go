package timeline

import (
	"context"
	"encoding/json"
	"encoding/xml"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/hlc"
	"github.com/stretchr/testify/require"
)

// fixedClock returns a clock that does not advance.
func fixedClock(at int64) func() time.Time {
	return func() time.Time { return time.UnixMicro(at) }
}

func newRecorder(t *testing.T, process string, o Options) *Recorder {
	t.Helper()
	r, err := New(process, o)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, r.Close()) })
	return r
}

func eventKinds(events []Event) []Kind {
	var list []Kind
	for _, e := range events {
		list = append(list, e.Kind)
	}
	return list
}

func TestMergeOrdersCauseBeforeEffect(t *testing.T) {
	ahead := newRecorder(t, "e1", Options{Now: fixedClock(9_000)})
	behind := newRecorder(t, "e2", Options{Now: fixedClock(1_000)})
	ahead.Record(PartControl, FailoverBegun, Fields{Group: "ledger-1"})
	behind.Observe(ahead.Stamp())
	behind.Record(PartAgent, LeaseReleased, Fields{Group: "ledger-1"})
	ahead.Observe(behind.Stamp())
	ahead.Record(PartControl, FailoverCompleted, Fields{Group: "ledger-1"})
	lists := [][]Event{behind.Excerpt(Filter{}).Events, ahead.Excerpt(Filter{}).Events, ahead.Excerpt(Filter{}).Events}
	require.Equal(t, []Kind{FailoverBegun, LeaseReleased, FailoverCompleted}, eventKinds(Merge(lists...)))
}

func TestRecorderOverwritesOldestEvents(t *testing.T) {
	r := newRecorder(t, "e1", Options{Capacity: 3, Now: fixedClock(1)})
	for _, request := range []string{"1", "2", "3", "4", "5"} {
		r.Record(PartEntry, RequestDone, Fields{Request: request})
	}
	x := r.Excerpt(Filter{})
	require.Equal(t, uint64(2), x.Overwritten)
	require.Len(t, x.Events, 3)
	require.Equal(t, "3", x.Events[0].Request)
	require.Equal(t, "5", x.Events[2].Request)
}

func TestNilRecorder(t *testing.T) {
	var r *Recorder
	r.Record(PartEntry, RequestDone, Fields{})
	r.Observe(hlc.Timestamp{Wall: 1})
	require.True(t, r.Stamp().IsZero())
	require.Empty(t, r.Excerpt(Filter{}).Events)
	require.NoError(t, r.Close())
}

func TestFilter(t *testing.T) {
	r := newRecorder(t, "e1", Options{Now: fixedClock(10)})
	r.Record(PartEntry, RequestDone, Fields{Group: "a", Session: "s1", Request: "r1"})
	r.Record(PartEntry, RequestRefused, Fields{Group: "b", Session: "s1", Request: "r2"})
	r.Record(PartControl, FailoverBegun, Fields{Group: "a"})
	events := r.Excerpt(Filter{}).Events
	for want, f := range map[Kind]Filter{
		RequestDone:    {Group: "a", Session: "s1"},
		RequestRefused: {Request: "r2"},
		FailoverBegun:  {Part: PartControl},
	} {
		require.Equal(t, []Kind{want}, eventKinds(f.Apply(events)))
	}
	require.Equal(t, []Kind{FailoverBegun}, eventKinds(Filter{Since: events[2].At}.Apply(events)))
	require.Empty(t, Filter{Process: "e2"}.Apply(events))
}

func TestCollectReportsUnreachableProcess(t *testing.T) {
	r := newRecorder(t, "e1", Options{})
	r.Record(PartEntry, RequestRefused, Fields{Group: "a", Request: "<r1>", Text: "no primary may acknowledge a write now"})
	r.Record(PartEntry, RequestDone, Fields{Group: "b"})
	mux := http.NewServeMux()
	mux.Handle(Path, r.Handler())
	server := httptest.NewServer(mux)
	defer server.Close()
	const unreachable = "http://127.0.0.1:1"
	fetch := func(ctx context.Context, base string, f Filter) (Excerpt, error) {
		reply, err := server.Client().Get(base + Path + "?" + f.Query().Encode())
		if err != nil {
			return Excerpt{}, err
		}
		defer reply.Body.Close()
		var x Excerpt
		return x, json.NewDecoder(reply.Body).Decode(&x)
	}
	c := Collect(t.Context(), []string{server.URL, unreachable}, Filter{Group: "a"}, fetch)
	require.Equal(t, []Kind{RequestRefused}, eventKinds(c.Events))
	require.Len(t, c.Unreached, 1)
	require.Equal(t, unreachable, c.Unreached[0].URL)

	var text, svg strings.Builder
	require.NoError(t, c.WriteText(&text))
	require.Contains(t, text.String(), "group=a request=<r1> no primary")
	require.Contains(t, text.String(), "not reached: "+unreachable)
	require.NoError(t, c.WriteSVG(&svg))
	require.Contains(t, svg.String(), "not reached: "+unreachable)
	requireWellFormed(t, svg.String())

	reply, err := server.Client().Get(server.URL + Path + "?since=yesterday")
	require.NoError(t, err)
	defer reply.Body.Close()
	require.Equal(t, http.StatusBadRequest, reply.StatusCode)
}

func requireWellFormed(t *testing.T, document string) {
	t.Helper()
	decoder := xml.NewDecoder(strings.NewReader(document))
	for {
		_, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			return
		}
		require.NoError(t, err)
	}
}

func TestFileKeepsEventsAcrossARestart(t *testing.T) {
	folder := t.TempDir()
	for _, request := range []string{"before", "after"} {
		r, err := New("e1", Options{Folder: folder})
		require.NoError(t, err)
		r.Record(PartEntry, RequestDone, Fields{Request: request})
		require.NoError(t, r.Close())
		require.NoError(t, r.Close())
	}
	file, err := os.OpenFile(filepath.Join(folder, fileName), os.O_APPEND|os.O_WRONLY, 0)
	require.NoError(t, err)
	_, err = file.WriteString(`{"at":{"w":1`)
	require.NoError(t, err)
	require.NoError(t, file.Close())
	events, err := ReadFolder(folder)
	require.NoError(t, err)
	require.Len(t, events, 2)
	require.Equal(t, "after", events[1].Request)
}

func TestRotateKeepsOneEarlierFile(t *testing.T) {
	folder := t.TempDir()
	w, err := openFile(folder)
	require.NoError(t, err)
	require.NoError(t, w.close())
	require.NoError(t, w.open())
	w.size = maxFileBytes
	require.NoError(t, w.write(Event{Seq: 1}))
	require.NoError(t, w.write(Event{Seq: 2}))
	require.NoError(t, w.drain())
	events, err := ReadFolder(folder)
	require.NoError(t, err)
	require.Len(t, events, 2)
	require.FileExists(t, filepath.Join(folder, previousFileName))
}

func BenchmarkRecord(b *testing.B) {
	r, err := New("e1", Options{})
	require.NoError(b, err)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r.Record(PartEntry, RequestDone, Fields{Group: "ledger-1", Session: "s", Request: "r"})
		}
	})
}
