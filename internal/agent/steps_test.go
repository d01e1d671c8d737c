package agent

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/ctlwire"
	"github.com/cicadacove/cicadacove/internal/peer"
)

// Guards against an instance on a slow link that never renews, since each answer comes after the timeout of a call.
func TestSlowAnswersStillRenewTheLease(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	const slow = ctlwire.DefaultCall + 200*time.Millisecond
	voter := peer.NewServer(peer.Options{})
	peer.Handle(voter, ctlwire.KindRegister, func(context.Context, ctlwire.Register) (ctlwire.Answer, error) {
		time.Sleep(slow)
		return ctlwire.Answer{Status: ctlwire.OK}, nil
	})
	peer.Handle(voter, ctlwire.KindRenew, func(context.Context, ctlwire.Renew) (ctlwire.Renewed, error) {
		time.Sleep(slow)
		return ctlwire.Renewed{Answer: ctlwire.Answer{Status: ctlwire.OK}}, nil
	})
	go func() { _ = voter.Serve(ln) }()
	t.Cleanup(func() { _ = voter.Close() })
	a := newAgentWithSeeds(t, ln.Addr().String())
	t.Cleanup(a.opts.Client.Close)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = a.renewLoop(ctx) }()
	require.Eventually(t, a.HasLease, 5*time.Second, 10*time.Millisecond)
	require.Never(t, func() bool { return !a.HasLease() }, 3*time.Second, 10*time.Millisecond)
}

func TestFirstAnswer(t *testing.T) {
	const delay = 100 * time.Millisecond
	errFirst := errors.New("first")
	after := func(d time.Duration, answer string, err error, gaveUp *bool) step[string] {
		return step[string]{giveUp: func() { *gaveUp = true }, run: func(ctx context.Context) (string, error) {
			select {
			case <-time.After(d):
				return answer, err
			case <-ctx.Done():
				return "", ctx.Err()
			}
		}}
	}
	cases := []struct {
		name          string
		first, second time.Duration
		firstErr      error
		secondErr     error
		want          string
		err           error
		took          time.Duration
		gaveUp        bool
	}{
		{"a quick answer", 50, 50, nil, nil, "first", nil, 50, false},
		{"a failure starts the next step", 50, 20, errFirst, nil, "second", nil, 70, true},
		{"a slow answer overtakes the next step", 150, 90, nil, nil, "first", nil, 150, true},
		{"the next step answers", 900, 10, nil, nil, "second", nil, 110, true},
		{"the slow step answers after the next has failed", 500, 10, nil, errors.New("second"), "first", nil, 500, true},
		{"all fail", 50, 10, errFirst, errors.New("second"), "", errFirst, 60, true},
		{"no answer in time", 5000, 5000, nil, nil, "", context.DeadlineExceeded, 1000, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				began, gaveUp, ignored := time.Now(), false, false
				got, err := firstAnswer(ctx, delay, []step[string]{
					after(c.first*time.Millisecond, "first", c.firstErr, &gaveUp), after(c.second*time.Millisecond, "second", c.secondErr, &ignored),
				})
				require.ErrorIs(t, err, c.err)
				require.Equal(t, c.want, got)
				require.Equal(t, c.took*time.Millisecond, time.Since(began))
				require.Equal(t, c.gaveUp, gaveUp)
			})
		})
	}
}
