package agent

import (
	"context"
	"fmt"

	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/ctlwire"
)

// RefusedError means that the leader rejected an operator's request.
type RefusedError struct{ Reason string }

// Error returns the leader's reason.
func (e *RefusedError) Error() string { return e.Reason }

// Switchover asks the leader for a planned change of the group's primary. It returns
// once the new primary is published or the leader has refused the request.
func (a *Agent) Switchover(ctx context.Context, g topo.GroupID, to topo.UpstreamID) error {
	return a.requestOperation(ctx, ctlwire.KindSwitchover, ctlwire.Switchover{Group: g, To: to})
}

// RemoveDatabase asks the leader to remove a database that will not return from its
// group.
func (a *Agent) RemoveDatabase(ctx context.Context, g topo.GroupID, id topo.UpstreamID) error {
	return a.requestOperation(ctx, ctlwire.KindRemove, ctlwire.Remove{Group: g, ID: id})
}

func (a *Agent) requestOperation(ctx context.Context, kind string, request any) error {
	answer, err := callWithoutTimeout[ctlwire.Answer](ctx, a, kind, request)
	if err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	if answer.Status != ctlwire.OK {
		return &RefusedError{answer.Reason}
	}
	return nil
}
