package engine

import (
	"context"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/outcome"
)

// Quota limits the operations of organisations over all instances.
type Quota interface {
	// Take counts one operation. If the organisation has reached its limit, ok is false
	// and the operation must not run; retryAfter is when the next one may.
	Take(ctx context.Context, organisation string) (retryAfter time.Duration, ok bool)
}

// admitOperation counts the statement for the rate limit of the organisation if it begins
// an operation: a statement outside of transactions, or the first one of a transaction.
func (s *Session[C]) admitOperation(ctx context.Context, organisation string) (o outcome.Outcome, admitted bool) {
	if s.engine.opts.Quota == nil || organisation == "" {
		return outcome.Outcome{}, true
	}
	if s.tx != nil && s.tx.counted {
		return outcome.Outcome{}, true
	}
	retryAfter, ok := s.engine.opts.Quota.Take(ctx, organisation)
	if !ok {
		return outcome.RefusedWithRetry(outcome.CodeRateLimited, "the organisation has reached its rate limit", retryAfter), false
	}
	if s.tx != nil {
		s.tx.counted = true
	}
	return outcome.Outcome{}, true
}
