package admin

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"

	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// ErrGroupRefused means that the leader refused an operation on a group. A
// GroupController wraps it in an error whose text is shown to the operator.
var ErrGroupRefused = errors.New("refused")

// GroupController changes database groups. It returns ErrGroupRefused when the
// leader refused the operation, and ErrUnavailable when no leader answered; in
// the latter case the operation may have begun, and can safely be repeated.
type GroupController interface {
	Switchover(ctx context.Context, g topo.GroupID, to topo.UpstreamID) error
	RemoveUpstream(ctx context.Context, g topo.GroupID, id topo.UpstreamID) error
}

// GroupRequest is the body of an operation on a group. Upstream is the upstream
// to promote or to remove.
type GroupRequest struct {
	Upstream topo.UpstreamID `json:"upstream"`
}

// GroupResponse is the response to an operation on a group.
type GroupResponse struct {
	Group    topo.GroupID    `json:"group"`
	Upstream topo.UpstreamID `json:"upstream"`
}

func (s *Server) switchover(w http.ResponseWriter, r *http.Request, id Identity) error {
	return s.operate(w, r, id, s.backends.Groups.Switchover)
}

func (s *Server) removeUpstream(w http.ResponseWriter, r *http.Request, id Identity) error {
	return s.operate(w, r, id, s.backends.Groups.RemoveUpstream)
}

// operate runs an operation on a group, which must belong to the sender's
// team.
func (s *Server) operate(w http.ResponseWriter, r *http.Request, id Identity, operation func(context.Context, topo.GroupID, topo.UpstreamID) error) error {
	var body GroupRequest
	if err := decodeBody(w, r, maxBodyBytes, &body); err != nil {
		return err
	}
	if body.Upstream == "" {
		return badField("upstream", contract.ProblemMissing, "must not be empty")
	}
	g := topo.GroupID(r.PathValue("group"))
	if !s.canViewGroup(id, g) {
		return newError(CodeNotFound, "group %q does not exist", g)
	}
	err := operation(r.Context(), g, body.Upstream)
	if errors.Is(err, ErrGroupRefused) {
		return newError(CodeRefused, "%v", err)
	}
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, GroupResponse{g, body.Upstream})
	return nil
}

// Switchover makes an upstream the primary of its group.
func (c *Client) Switchover(ctx context.Context, g topo.GroupID, to topo.UpstreamID) (GroupResponse, error) {
	return c.operate(ctx, g, "switchover", to)
}

// RemoveUpstream removes a permanently lost upstream from its group.
func (c *Client) RemoveUpstream(ctx context.Context, g topo.GroupID, id topo.UpstreamID) (GroupResponse, error) {
	return c.operate(ctx, g, "remove", id)
}

func (c *Client) operate(ctx context.Context, g topo.GroupID, operation string, id topo.UpstreamID) (GroupResponse, error) {
	var response GroupResponse
	path := fmt.Sprintf("/v1/groups/%s/%s", url.PathEscape(string(g)), operation)
	err := c.do(ctx, http.MethodPost, path, GroupRequest{id}, &response)
	return response, err
}
