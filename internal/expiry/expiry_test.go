package expiry

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/core/contract"
)

const day = 24 * time.Hour

// source is a Source whose configuration the test replaces.
type source struct {
	mu      sync.Mutex
	config  *contract.Config
	changed chan struct{}
}

func (s *source) Config() *contract.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config
}

func (s *source) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *source) set(ends ...time.Time) {
	cfg := &contract.Config{}
	for i, end := range ends {
		cfg.Contracts = append(cfg.Contracts, contract.Contract{ID: string(rune('a' + i)), EndsAt: end})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config = cfg
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

func TestPhasesAreReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		src := &source{}
		src.set(start.Add(8*day), start.Add(90*day))
		var mu sync.Mutex
		var events []string
		reported := func() []string {
			mu.Lock()
			defer mu.Unlock()
			return slices.Clone(events)
		}
		ctx, cancel := context.WithCancel(t.Context())
		go Run(ctx, src, func(e Event) {
			mu.Lock()
			defer mu.Unlock()
			events = append(events, e.Contract+" "+string(e.Phase)+" "+time.Since(start).String())
		})
		synctest.Wait()
		require.Equal(t, []string{"a ends within 30 days 0s"}, reported())

		time.Sleep(7*day + time.Minute)
		synctest.Wait()
		require.Equal(t, []string{"a ends within 7 days 24h0m0s", "a ends within 1 day 168h0m0s"}, reported()[1:])

		src.set(start.Add(100*day), start.Add(90*day))
		synctest.Wait()
		require.Equal(t, "a running 168h1m0s", reported()[3])

		time.Sleep(120 * day)
		synctest.Wait()
		require.Contains(t, reported(), "b ended 2160h0m0s")
		require.Equal(t, "a ended 2400h0m0s", reported()[11])
		require.Len(t, reported(), 4+8)
		cancel()
		synctest.Wait()
	})
}
