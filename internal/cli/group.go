package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/cicadacove/cicadacove/internal/admin"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

func newGroupCommand() *cobra.Command {
	f := &apiFlags{}
	cmd := &cobra.Command{
		Use:   "group",
		Short: "Change database groups: planned switchover, removal of a lost database",
	}
	f.register(cmd)
	cmd.AddCommand(newSwitchoverCommand(f), newRemoveUpstreamCommand(f))
	return cmd
}

func newSwitchoverCommand(f *apiFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "switchover GROUP UPSTREAM",
		Short: "Make an upstream the primary of its group",
		Long: `Makes an upstream the primary of its group and interrupts writes as briefly as
possible. It returns when the new primary is in use. A switchover that was
refused, or whose response was lost, may be repeated.`,
		Example: "  cicadacove group switchover ledger-1 ledger-1/b",
		Args:    cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return changeGroup(cmd, f, args, (*admin.Client).Switchover, "%s: the primary is %s\n")
		},
	}
}

func newRemoveUpstreamCommand(f *apiFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "remove-upstream GROUP UPSTREAM",
		Short: "Remove a permanently lost upstream from its group",
		Long: `Removes a permanently lost upstream, so that a failover of its group no longer
counts it. Start its replacement first. The leader refuses the removal unless
another upstream has the whole log of the primary. It may be repeated.`,
		Example: "  cicadacove group remove-upstream ledger-1 ledger-1/c",
		Args:    cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return changeGroup(cmd, f, args, (*admin.Client).RemoveUpstream, "%s: %s is removed\n")
		},
	}
}

type groupCall func(c *admin.Client, ctx context.Context, g topo.GroupID, id topo.UpstreamID) (admin.GroupResponse, error)

// changeGroup calls an operation on a group and prints the response.
func changeGroup(cmd *cobra.Command, f *apiFlags, args []string, call groupCall, format string) error {
	return callAndPrint(cmd, f, func(ctx context.Context, c *admin.Client) (admin.GroupResponse, error) {
		return call(c, ctx, topo.GroupID(args[0]), topo.UpstreamID(args[1]))
	}, func(w io.Writer, a admin.GroupResponse) {
		fmt.Fprintf(w, format, a.Group, a.Upstream)
	})
}
