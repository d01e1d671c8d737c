package replog

import (
	"flag"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// fakeT is a testing.T that records a failure instead of reporting it.
type fakeT struct {
	*testing.T
	failed bool
	output strings.Builder
}

func (r *fakeT) Errorf(format string, args ...any) {
	r.failed = true
	fmt.Fprintf(&r.output, format+"\n", args...)
}

func (r *fakeT) Error(args ...any)               { r.Errorf("%s", fmt.Sprint(args...)) }
func (r *fakeT) Fatalf(format string, a ...any)  { r.Errorf(format, a...); r.FailNow() }
func (r *fakeT) Fatal(args ...any)               { r.Error(args...); r.FailNow() }
func (r *fakeT) Fail()                           { r.failed = true }
func (r *fakeT) Failed() bool                    { return r.failed }
func (r *fakeT) Logf(format string, args ...any) { fmt.Fprintf(&r.output, format+"\n", args...) }
func (r *fakeT) Log(args ...any)                 { fmt.Fprintln(&r.output, args...) }
func (r *fakeT) FailNow()                        { r.failed = true; runtime.Goexit() }

// requireFailure runs a test with a safety mechanism disabled and requires that
// it fails with output that contains reason.
func requireFailure(t *testing.T, reason string, run func(*rapid.T)) {
	shrink := flag.Lookup("rapid.shrinktime")
	before := shrink.Value.String()
	require.NoError(t, flag.Set("rapid.shrinktime", "0s"))
	defer func() { _ = flag.Set("rapid.shrinktime", before) }()
	r := &fakeT{T: t}
	done := make(chan struct{})
	go func() {
		defer close(done)
		rapid.Check(r, run)
	}()
	<-done
	require.True(t, r.failed, "the test passes although a mechanism is disabled")
	require.True(t, strings.Contains(r.output.String(), reason), "the test fails for a different reason")
}

func TestMachineFindsAcknowledgementBeforeSync(t *testing.T) {
	requireFailure(t, "", func(t *rapid.T) {
		runMachine(t, func(s *sim) { s.ackBeforeSync = true }, "a", "b", "c")
	})
}

func TestMachineFindsConfirmationWithoutARound(t *testing.T) {
	requireFailure(t, "confirmed ", func(t *rapid.T) {
		runMachine(t, func(s *sim) { s.skipConfirmRound = true }, "a", "b", "c")
	})
}

func TestHistoryFindsReadsWithoutARound(t *testing.T) {
	requireFailure(t, notLinearizable, func(t *rapid.T) {
		runHistory(t, func(s *sim) { s.skipConfirmRound = true }, "a", "b", "c")
	})
}
