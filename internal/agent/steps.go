package agent

import (
	"context"
	"time"
)

// step is one way to get an answer.
type step[Rep any] struct {
	run func(context.Context) (Rep, error)
	// giveUp is called when the step has failed, or has not answered in time; nil does
	// nothing.
	giveUp func()
}

type stepResult[Rep any] struct {
	index int
	rep   Rep
	err   error
}

// firstAnswer starts the steps one after the other, each when the one before has failed or
// has not answered within the delay, and returns the first answer. A slow step goes on
// meanwhile, since its answer may be on its way. If all steps fail, it returns the first
// error; if ctx ends, that of ctx.
func firstAnswer[Rep any](ctx context.Context, delay time.Duration, steps []step[Rep]) (rep Rep, first error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan stepResult[Rep], len(steps))
	failed := 0
	for i, s := range steps {
		go func() {
			rep, err := s.run(ctx)
			results <- stepResult[Rep]{i, rep, err}
		}()
		slow := time.NewTimer(delay)
		defer slow.Stop()
		last := i == len(steps)-1
		for moveOn := false; !moveOn || last && failed < len(steps); {
			select {
			case r := <-results:
				if r.err == nil {
					return r.rep, nil
				}
				if first == nil {
					first = r.err
				}
				failed++
				moveOn = moveOn || r.index == i
			case <-slow.C:
				moveOn = true
			case <-ctx.Done():
				return rep, ctx.Err()
			}
		}
		if s.giveUp != nil {
			s.giveUp()
		}
	}
	return rep, first
}
