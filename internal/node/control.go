package node

import (
	"context"
	"errors"
	"fmt"

	"github.com/cicadacove/cicadacove/internal/admin"
	"github.com/cicadacove/cicadacove/internal/agent"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// groupControl shows the agent to the operators' interface. It implements
// admin.GroupController.
type groupControl struct{ agent *agent.Agent }

// Switchover implements admin.GroupController.
func (c groupControl) Switchover(ctx context.Context, g topo.GroupID, to topo.UpstreamID) error {
	return operated(c.agent.Switchover(ctx, g, to))
}

// RemoveUpstream implements admin.GroupController.
func (c groupControl) RemoveUpstream(ctx context.Context, g topo.GroupID, id topo.UpstreamID) error {
	return operated(c.agent.RemoveDatabase(ctx, g, id))
}

// operated tells a refusal from a leader that could not be reached.
func operated(err error) error {
	var refused *agent.RefusedError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refused):
		return fmt.Errorf("%w: %s", admin.ErrGroupRefused, refused.Reason)
	}
	return fmt.Errorf("%w: %w", admin.ErrUnavailable, err)
}
