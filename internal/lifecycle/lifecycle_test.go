package lifecycle

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func untilDone(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

func TestGroupEndsWhenAComponentEndsEarly(t *testing.T) {
	broken := errors.New("no space left on device")
	for name, err := range map[string]error{"with an error": broken, "without an error": nil} {
		t.Run(name, func(t *testing.T) {
			ln, listenErr := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, listenErr)
			g := New(t.Context(), func() { ln.Close() })
			g.Go("server", func(context.Context) error {
				_, err := ln.Accept()
				return err
			})
			g.Go("loop", untilDone)
			g.Go("voter", func(context.Context) error { return err })
			<-g.Failed()
			var part *PartError
			require.ErrorAs(t, g.Wait(), &part)
			require.Equal(t, &PartError{"voter", err}, part)
		})
	}
}

func TestGroupEndsAlthoughAComponentHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hang := make(chan struct{})
		defer close(hang)
		broken := errors.New("input/output error")
		g := New(t.Context(), func() {})
		g.Go("disk", func(context.Context) error { <-hang; return nil })
		g.Go("voter", func(context.Context) error { return broken })
		start := time.Now()
		require.ErrorIs(t, g.Wait(), broken)
		require.LessOrEqual(t, time.Since(start), StopTimeout)
	})
}

func TestStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(t.Context(), func() {})
		g.Go("loop", untilDone)
		require.NoError(t, g.Stop())

		ctx, cancel := context.WithCancel(t.Context())
		g = New(ctx, func() {})
		g.Go("loop", untilDone)
		cancel()
		require.NoError(t, g.Wait(), "the end of the context is no failure")

		hang := make(chan struct{})
		defer close(hang)
		g = New(t.Context(), func() {})
		g.Go("loop", untilDone)
		g.Go("disk", func(context.Context) error { <-hang; return nil })
		require.Equal(t, &StopTimeoutError{[]string{"disk"}}, g.Stop())
	})
}

func TestComponentsMayEndDuringAGracefulShutdown(t *testing.T) {
	server := make(chan struct{})
	g := New(t.Context(), func() {})
	g.Go("loop", untilDone)
	g.Go("server", func(context.Context) error { <-server; return nil })
	alive := false
	require.NoError(t, g.Shutdown(func() {
		close(server)
		time.Sleep(20 * time.Millisecond)
		alive = g.ctx.Err() == nil
	}))
	require.True(t, alive, "the others run until the drain is over")
}

// Guards against requests that are cut since another component has failed.
func TestGroupAnswersWhatWasReadBeforeItStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		broken := errors.New("no space left on device")
		closed, answered := false, false
		g := New(t.Context(), func() { closed = true })
		g.OnFailure(func(ctx context.Context) {
			deadline, ok := ctx.Deadline()
			require.True(t, ok)
			require.Equal(t, AnswerTimeout, time.Until(deadline))
			answered = !closed && g.ctx.Err() == nil
		})
		g.Go("server", untilDone)
		g.Go("voter", func(context.Context) error { return broken })
		<-g.Failed()
		require.ErrorIs(t, g.Stop(), broken)
		require.True(t, answered)
		require.True(t, closed)
	})
}

func TestGroupEndsAlthoughTheAnswersHang(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hang := make(chan struct{})
		defer close(hang)
		broken := errors.New("input/output error")
		g := New(t.Context(), func() {})
		g.OnFailure(func(context.Context) { <-hang })
		g.Go("voter", func(context.Context) error { return broken })
		start := time.Now()
		require.ErrorIs(t, g.Wait(), broken)
		require.Equal(t, AnswerTimeout, time.Since(start))
	})
}
