package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/cicadacove/cicadacove/internal/cluster"
	"github.com/cicadacove/cicadacove/internal/demo"
)

type demoFlags struct {
	profile     string
	duration    time.Duration
	seed        uint64
	json        bool
	keepRunning bool
}

func newDemoCommand() *cobra.Command {
	var f demoFlags
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a whole deployment in one process on loopback",
		Long: `demo starts three availability zones, four entry instances and three groups of
three stand-in databases in this process. It drives a mixed load, isolates one
primary halfway through, and compares the outcomes that callers received with
the final contents of the databases. The exit code is 1 if a guarantee was
violated.

With --hold it only starts the deployment, prints its addresses as one line of
JSON and runs until it is interrupted.`,
		Example: `  cicadacove demo --duration 5s
  cicadacove demo --profile baumwachs --json
  cicadacove demo --hold --json`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			if f.keepRunning {
				return serveDemo(ctx, cmd.OutOrStdout(), f)
			}
			return runDemo(ctx, cmd.OutOrStdout(), f)
		},
	}
	cmd.Flags().StringVar(&f.profile, "profile", "selam", "profile of the deployment, its answers and sizes: selam or baumwachs")
	cmd.Flags().DurationVar(&f.duration, "duration", 5*time.Second, "duration of the load")
	cmd.Flags().Uint64Var(&f.seed, "seed", 1, "seed of the load")
	cmd.Flags().BoolVar(&f.json, "json", false, "print JSON")
	cmd.Flags().BoolVar(&f.keepRunning, "hold", false, "start the deployment and run until interrupted, without load")
	return cmd
}

func runDemo(ctx context.Context, out io.Writer, f demoFlags) error {
	r, err := demo.Run(ctx, demo.Options{Profile: f.profile, Duration: f.duration, Seed: f.seed})
	if err != nil {
		return &ExitError{ExitFailed, err}
	}
	if err := printDemo(out, r, f.json); err != nil {
		return err
	}
	if !r.OK() {
		return &ExitError{ExitFailed, errors.New("demo: a guarantee was violated")}
	}
	return nil
}

func printDemo(out io.Writer, r *demo.Report, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(out).Encode(r)
	}
	_, err := fmt.Fprintf(out, `reads               %d, served by replicas %d, failed %d
writes done         %d, not run %d, unknown %d
lost                %d
duplicated          %d
not run but found   %d
stale own reads     %d
failover gap        %d ms
`, r.Reads, r.ReplicaReads, r.ReadsFailed, r.WritesDone, r.WritesNotRun, r.Unknown, r.Lost, r.Doubled, r.NotRunButFound, r.StaleOwnReads, r.FailoverGapMs)
	return err
}

// demoAddresses is the JSON line that demo --hold prints.
type demoAddresses struct {
	Entries   []string `json:"entries"`
	Admin     []string `json:"admin"`
	Databases []string `json:"databases"`
	User      string   `json:"user"`
	Password  string   `json:"password"`
}

func serveDemo(ctx context.Context, out io.Writer, f demoFlags) error {
	p, err := cluster.NewProfile(f.profile)
	if err != nil {
		return err
	}
	c, err := cluster.Start(ctx, cluster.Options{Profile: p, Seed: f.seed})
	if err != nil {
		return &ExitError{ExitFailed, err}
	}
	defer c.Close()
	addresses := demoAddresses{User: "app", Password: ""}
	for _, e := range c.Entries() {
		addresses.Entries = append(addresses.Entries, e.Addr())
		addresses.Admin = append(addresses.Admin, e.AdminAddr())
	}
	for _, g := range p.Groups() {
		addresses.Databases = append(addresses.Databases, string(g))
	}
	if err := json.NewEncoder(out).Encode(addresses); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}
