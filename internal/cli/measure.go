package cli

import (
	"context"
	"encoding/json"
	"time"

	"github.com/spf13/cobra"

	"github.com/cicadacove/cicadacove/internal/measure"
)

func newMeasureCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "measure",
		Short: "Measure the proxy on this machine",
	}
	cmd.AddCommand(newOverheadCommand(), newIdleCommand(), newReadsCommand(), newDurabilityCommand(),
		newControlCommand(), newTreeCommand())
	return cmd
}

func newOverheadCommand() *cobra.Command {
	var d time.Duration
	cmd := &cobra.Command{
		Use:     "overhead",
		Short:   "Compare reads through the proxy with direct reads, in one run",
		Example: "  cicadacove measure overhead --duration 8s",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			o, err := measure.RunOverhead(context.Background(), d)
			if err != nil {
				return &ExitError{ExitFailed, err}
			}
			return json.NewEncoder(cmd.OutOrStdout()).Encode(o)
		},
	}
	cmd.Flags().DurationVar(&d, "duration", 8*time.Second, "duration of the reads through the proxy, and of the direct reads")
	return cmd
}

func newIdleCommand() *cobra.Command {
	var sizes []int
	cmd := &cobra.Command{
		Use:     "idle",
		Short:   "Measure the memory of idle callers at one entry instance",
		Example: "  cicadacove measure idle --callers 1000,5000,9000",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			rows, err := measure.RunIdle(context.Background(), sizes)
			return printRows(cmd, rows, err)
		},
	}
	cmd.Flags().IntSliceVar(&sizes, "callers", []int{1000, 5000, 9000}, "numbers of callers, in ascending order")
	return cmd
}

// consistencyFlags are shared by the reads and durability commands.
type consistencyFlags struct {
	profile  string
	lags     []time.Duration
	duration time.Duration
}

func (f *consistencyFlags) register(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.profile, "profile", "selam", "profile of the deployment: selam or baumwachs")
	cmd.Flags().DurationSliceVar(&f.lags, "lag", []time.Duration{5 * time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond}, "replication lags")
	cmd.Flags().DurationVar(&f.duration, "duration", 3*time.Second, "duration of each combination")
}

func newReadsCommand() *cobra.Command {
	var f consistencyFlags
	cmd := &cobra.Command{
		Use:     "reads",
		Short:   "Compare the share and the latency of reads at replicas with primary-only routing",
		Example: "  cicadacove measure reads --profile baumwachs --lag 5ms,50ms",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			rows, err := measure.RunReads(context.Background(), f.profile, f.lags, f.duration)
			return printRows(cmd, rows, err)
		},
	}
	f.register(cmd)
	return cmd
}

func newDurabilityCommand() *cobra.Command {
	var f consistencyFlags
	cmd := &cobra.Command{
		Use:     "durability",
		Short:   "Compare writes that one database stores with writes that two databases store",
		Example: "  cicadacove measure durability --lag 5ms,50ms",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			rows, err := measure.RunDurability(context.Background(), f.profile, f.lags, f.duration)
			return printRows(cmd, rows, err)
		},
	}
	f.register(cmd)
	return cmd
}

func newControlCommand() *cobra.Command {
	var o measure.ControlOptions
	var target int
	cmd := &cobra.Command{
		Use:     "control",
		Short:   "Measure the traffic, CPU time and memory of the control plane for several numbers of instances and upstreams",
		Example: "  cicadacove measure control --instances 4,16,64,128 --upstreams 9,30,90 --at 690",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			rows, err := measure.RunControl(context.Background(), o)
			if err := printRows(cmd, rows, err); err != nil {
				return err
			}
			return printRows(cmd, measure.FitControl(rows, target), nil)
		},
	}
	cmd.Flags().IntSliceVar(&o.Instances, "instances", []int{4, 16, 64, 128}, "numbers of entry instances")
	cmd.Flags().IntSliceVar(&o.Upstreams, "upstreams", []int{9, 30, 90}, "numbers of announced upstreams")
	cmd.Flags().IntVar(&o.UpstreamInstances, "upstream-instances", 16, "number of entry instances to which the upstreams announce themselves")
	cmd.Flags().DurationVar(&o.Duration, "duration", 4*time.Second, "duration of each combination of sizes")
	cmd.Flags().IntVar(&target, "at", 690, "number of entry instances to extrapolate to")
	return cmd
}

func newTreeCommand() *cobra.Command {
	var instances, fanOuts []int
	cmd := &cobra.Command{
		Use:     "tree",
		Short:   "Measure sending one change to all instances through a distribution tree",
		Example: "  cicadacove measure tree --instances 30,120,480 --fan-out 4,8,26,0",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			rows, err := measure.RunTree(context.Background(), instances, fanOuts)
			return printRows(cmd, rows, err)
		},
	}
	cmd.Flags().IntSliceVar(&instances, "instances", []int{30, 120, 480}, "numbers of instances")
	cmd.Flags().IntSliceVar(&fanOuts, "fan-out", []int{4, 8, 26, 0}, "numbers of receivers of each sender; 0 sends from the root to all")
	return cmd
}

func printRows[T any](cmd *cobra.Command, rows []T, err error) error {
	if err != nil {
		return &ExitError{ExitFailed, err}
	}
	enc := json.NewEncoder(cmd.OutOrStdout())
	for _, r := range rows {
		if err := enc.Encode(r); err != nil {
			return err
		}
	}
	return nil
}
