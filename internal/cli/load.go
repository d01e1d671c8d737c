package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/cicadacove/cicadacove/internal/load"
)

// errTargetMissed means that the system's policy missed a target of the
// experiment.
var errTargetMissed = errors.New("load: a target was missed")

type loadFlags struct {
	profile string
	seed    uint64
	mode    string
	plot    string
	json    bool
}

func newLoadCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Run load experiments and compare policies",
		Long: `load drives an open-loop load: requests follow their schedule regardless of the
outcome of earlier ones, and latencies are measured from the scheduled start.
Each experiment runs the system's policy and its baselines.`,
	}
	cmd.AddCommand(newLoadListCommand())
	cmd.AddCommand(newLoadRunCommand())
	cmd.AddCommand(newLoadSlopeCommand())
	return cmd
}

func newLoadListCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the experiments and the cost measurements",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			for _, e := range load.Experiments() {
				fmt.Fprintf(t, "run\t%s\t%s\n", e.Name, e.About)
			}
			for _, s := range load.Slopes() {
				fmt.Fprintf(t, "slope\t%s\t%s\n", s.Name, s.About)
			}
			return t.Flush()
		},
	}
}

func newLoadRunCommand() *cobra.Command {
	var f loadFlags
	cmd := &cobra.Command{
		Use:   "run NAME",
		Short: "Run an experiment with its baselines",
		Long: `run executes an experiment. Mode model uses a model of the databases and the
network in virtual time; its result depends only on the seed. Mode cluster
starts a whole deployment in this process, in real time.

The exit code is 1 if the system's own policy missed a target.`,
		Example: `  cicadacove load run flood-low
  cicadacove load run flood-urgent --profile baumwachs --seed 3 --json
  cicadacove load run lose-entry --mode cluster --plot lose-entry.svg`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			return runLoad(ctx, cmd.OutOrStdout(), args[0], f)
		},
	}
	cmd.Flags().StringVar(&f.profile, "profile", "selam", "profile of the deployment, its answers and sizes: selam or baumwachs")
	cmd.Flags().Uint64Var(&f.seed, "seed", 1, "seed of the arrivals")
	cmd.Flags().StringVar(&f.mode, "mode", string(load.ModeModel), "model or cluster")
	cmd.Flags().StringVar(&f.plot, "plot", "", "write the goodput over time to this .svg or .png file")
	cmd.Flags().BoolVar(&f.json, "json", false, "print JSON")
	return cmd
}

func runLoad(ctx context.Context, out io.Writer, name string, f loadFlags) error {
	e, err := load.ByName(name)
	if err != nil {
		return &ExitError{ExitUsage, err}
	}
	p, err := load.ProfileByName(f.profile)
	if err != nil {
		return &ExitError{ExitUsage, err}
	}
	report, err := e.Run(ctx, p, load.Mode(f.mode), f.seed)
	var unknown *load.ModeError
	if errors.As(err, &unknown) {
		return &ExitError{ExitUsage, err}
	}
	if err != nil {
		return &ExitError{ExitFailed, err}
	}
	if f.plot != "" {
		if err := report.Plot(f.plot); err != nil {
			return &ExitError{ExitFailed, err}
		}
	}
	if err := printLoad(out, report, f.json); err != nil {
		return &ExitError{ExitFailed, err}
	}
	if report.Failed() {
		return &ExitError{ExitFailed, errTargetMissed}
	}
	return nil
}

func printLoad(out io.Writer, report *load.Report, asJSON bool) error {
	if !asJSON {
		return report.Print(out)
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}

func newLoadSlopeCommand() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "slope NAME",
		Short: "Measure CPU time, memory and message bytes at several sizes",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := load.SlopeByName(args[0])
			if err != nil {
				return &ExitError{ExitUsage, err}
			}
			report := s.Run()
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(report)
			}
			return report.Print(cmd.OutOrStdout())
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}
