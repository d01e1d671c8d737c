package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/cicadacove/cicadacove/internal/admin"
)

// processStatus is the output of the status command.
type processStatus struct {
	Status    admin.Status     `json:"status"`
	Upstreams []admin.Upstream `json:"upstreams"`
	Voters    []admin.Voter    `json:"voters"`
}

func newStatusCommand() *cobra.Command {
	f := &apiFlags{}
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show the status of an entry instance and its view of the groups and upstreams",
		Long: `Shows the status of the entry instance at the admin URL: its lease, its
active revision, and its view of the groups, upstreams and voters. It works
without a leader.`,
		Example: `  cicadacove status --admin https://10.20.1.11:6434 --token-file ada.token --ca ca.crt
  cicadacove status --json`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return callAndPrint(cmd, f, fetchStatus, printStatus) },
	}
	f.register(cmd)
	return cmd
}

func fetchStatus(ctx context.Context, c *admin.Client) (processStatus, error) {
	status, err := c.Status(ctx)
	if err != nil {
		return processStatus{}, err
	}
	upstreams, err := c.Upstreams(ctx)
	if err != nil {
		return processStatus{}, err
	}
	voters, err := c.Voters(ctx)
	return processStatus{Status: status, Upstreams: upstreams.Upstreams, Voters: voters.Voters}, err
}

func printStatus(w io.Writer, s processStatus) {
	fmt.Fprintf(w, "instance\t%s\nzone\t%s\nversion\t%s\nrevision\t%d\n", s.Status.Instance, s.Status.Zone, s.Status.Version, s.Status.Revision)
	fmt.Fprintf(w, "lease\t%s\ncallers\t%d\n", leaseState(s.Status), s.Status.Callers)
	if s.Status.Leader != "" {
		fmt.Fprintf(w, "leader\t%s\n", s.Status.Leader)
	}
	fmt.Fprintln(w, "\nGROUP\tTERM\tPRIMARY")
	for _, g := range s.Status.Groups {
		fmt.Fprintf(w, "%s\t%d\t%s\n", g.ID, g.Term, g.Primary)
	}
	fmt.Fprintln(w, "\nUPSTREAM\tZONE\tROLE\tSTATE\tPOINT\tAGE")
	for _, u := range s.Upstreams {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%dms\n", u.ID, u.Zone, u.Role, u.State, u.Point, u.AgeMillis)
	}
	fmt.Fprintln(w, "\nVOTER\tADDRESS\tTERM\tAPPLIED\tROLE")
	for _, v := range s.Voters {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\n", v.ID, v.Addr, v.Term, v.Applied, voterRole(v))
	}
}

func leaseState(s admin.Status) string {
	switch {
	case s.ShuttingDown:
		return "shutting down"
	case s.LeaseValid:
		return "valid"
	}
	return "none"
}

func voterRole(v admin.Voter) string {
	switch {
	case v.Leader:
		return "leader"
	case v.Learner:
		return "learner"
	}
	return "follower"
}
