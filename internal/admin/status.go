package admin

import (
	"net/http"

	"github.com/cicadacove/cicadacove/internal/core/revision"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// Status is the response to GET /v1/status: the status of the process that
// serves the request.
type Status struct {
	Instance topo.InstanceID `json:"instance"`
	Zone     topo.Zone       `json:"zone"`
	Version  string          `json:"version"`
	// Revision is the revision of the active configuration of this process.
	Revision uint64 `json:"revision"`
	// LeaseValid reports whether this process may acknowledge writes.
	LeaseValid bool `json:"lease_valid"`
	// Leader is the last known leader of the control voters.
	Leader string `json:"leader"`
	// Callers is the number of open caller connections.
	Callers int `json:"callers"`
	// ShuttingDown reports whether a graceful shutdown has begun.
	ShuttingDown bool         `json:"shutting_down"`
	Groups       []topo.Group `json:"groups"`
}

// Upstream is the view of an upstream in this process.
type Upstream struct {
	topo.Announcement
	// State is the lifecycle state of the upstream, for example serving.
	State string `json:"state"`
	// AgeMillis is the age of the latest announcement in this process's view, in
	// milliseconds since an instance first received it.
	AgeMillis int64 `json:"age_ms"`
}

// Voter is the view of a control voter in this process.
type Voter struct {
	ID      string `json:"id"`
	Addr    string `json:"addr"`
	Leader  bool   `json:"leader"`
	Learner bool   `json:"learner"`
	Term    uint64 `json:"term"`
	Applied uint64 `json:"applied"`
}

// UpstreamList is the response to GET /v1/upstreams.
type UpstreamList struct {
	Upstreams []Upstream `json:"upstreams"`
}

// VoterList is the response to GET /v1/voters.
type VoterList struct {
	Voters []Voter `json:"voters"`
}

type healthResponse struct {
	OK     bool   `json:"ok"`
	Reason string `json:"reason,omitempty"`
}

// health handles liveness checks. It succeeds as long as the process runs.
func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, healthResponse{OK: true})
}

// ready handles readiness checks, by which the platform's load balancer decides
// whether to send new callers to this process.
func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if err := s.backends.Status.Ready(); err != nil {
		writeJSON(w, http.StatusServiceUnavailable, healthResponse{Reason: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, healthResponse{OK: true})
}

// getStatus returns the status with the groups of the sender's team only.
func (s *Server) getStatus(w http.ResponseWriter, _ *http.Request, id Identity) error {
	status := s.backends.Status.Status()
	groups := []topo.Group{}
	for _, g := range status.Groups {
		if s.canViewGroup(id, g.ID) {
			groups = append(groups, g)
		}
	}
	status.Groups = groups
	writeJSON(w, http.StatusOK, status)
	return nil
}

func (s *Server) getUpstreams(w http.ResponseWriter, _ *http.Request, id Identity) error {
	list := UpstreamList{Upstreams: []Upstream{}}
	for _, u := range s.backends.Status.Upstreams() {
		if s.canViewGroup(id, u.Group) {
			list.Upstreams = append(list.Upstreams, u)
		}
	}
	writeJSON(w, http.StatusOK, list)
	return nil
}

// canViewGroup reports whether a contract of the sender's team covers the
// group. It uses the active configuration of this process, so that the status can
// be read without a leader.
func (s *Server) canViewGroup(id Identity, g topo.GroupID) bool {
	if id.Team == revision.AnyTeam {
		return true
	}
	c, covered := s.backends.Status.Config().ForGroup(g)
	return covered && id.CanView(c.Team)
}

func (s *Server) getVoters(w http.ResponseWriter, _ *http.Request, _ Identity) error {
	voters := s.backends.Status.Voters()
	if voters == nil {
		voters = []Voter{}
	}
	writeJSON(w, http.StatusOK, VoterList{Voters: voters})
	return nil
}
