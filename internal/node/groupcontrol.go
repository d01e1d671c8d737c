package node

import (
	"context"
	"errors"
	"fmt"

	"github.com/cicadacove/cicadacove/internal/admin"
	"github.com/cicadacove/cicadacove/internal/agent"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// groupControl provides the agent's group operations to the admin API. It
// implements admin.GroupController.
type groupControl struct{ agent *agent.Agent }

// Switchover implements admin.GroupController.
func (c groupControl) Switchover(ctx context.Context, g topo.GroupID, to topo.UpstreamID) error {
	return adminError(c.agent.Switchover(ctx, g, to))
}

// RemoveUpstream implements admin.GroupController.
func (c groupControl) RemoveUpstream(ctx context.Context, g topo.GroupID, id topo.UpstreamID) error {
	return adminError(c.agent.RemoveDatabase(ctx, g, id))
}

// adminError maps an error of the agent to an error of the admin API: the
// leader refused the operation, or the agent could not reach the leader.
func adminError(err error) error {
	var refused *agent.RefusedError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refused):
		return fmt.Errorf("%w: %s", admin.ErrGroupRefused, refused.Reason)
	}
	return fmt.Errorf("%w: %w", admin.ErrUnavailable, err)
}
