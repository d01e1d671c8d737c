package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cicadacove/cicadacove/internal/admin"
	"github.com/cicadacove/cicadacove/internal/core/hlc"
	"github.com/cicadacove/cicadacove/internal/timeline"
	"github.com/spf13/cobra"
)

// Output formats of the time line.
const (
	formatText = "text"
	formatJSON = "json"
	formatSVG  = "svg"
)

type timelineFlags struct {
	admins  []string
	filter  timeline.Filter
	part    string
	since   time.Duration
	format  string
	output  string
	timeout time.Duration
	server  admin.ClientOptions
}

func newTimelineCommand() *cobra.Command {
	var flags timelineFlags
	cmd := &cobra.Command{
		Use:   "timeline",
		Short: "Show the events of all processes in causal order",
		Long: `Fetches the events of the processes whose admin servers are given, merges them in
causal order, and shows those that the filters select.

The output names the processes that could not be reached. The exit code is 3 if
no process could be reached.`,
		Example: `  cicadacove timeline --admin http://10.0.0.1:8080 --admin http://10.0.1.1:8080 --group ledger-1
  cicadacove timeline --admin http://10.0.0.1:8080 --request b-4711 --format json
  cicadacove timeline --admin http://10.0.0.1:8080 --since 5m --format svg --output failover.svg`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return flags.run(cmd) },
	}
	f := cmd.Flags()
	f.StringArrayVar(&flags.admins, "admin", nil, "base URL of a process's admin server (repeat for each process)")
	f.StringVar(&flags.filter.Group, "group", "", "only events of this database group")
	f.StringVar(&flags.filter.Session, "session", "", "only events of this session")
	f.StringVar(&flags.filter.Request, "request", "", "only events of this request")
	f.StringVar(&flags.part, "part", "", "only events of this part, for example entry or control")
	f.DurationVar(&flags.since, "since", 0, "only events of this period before now; 0 shows all")
	f.StringVar(&flags.format, "format", formatText, "text, json or svg")
	f.StringVar(&flags.output, "output", "", "output file; standard output when empty")
	f.StringVar(&flags.server.TokenFile, "token-file", os.Getenv(envTokenFile), "file that holds the bearer token (or "+envTokenFile+")")
	f.StringVar(&flags.server.CAFile, "ca", os.Getenv(envCA), "PEM file with the trusted CA certificates (or "+envCA+")")
	f.DurationVar(&flags.timeout, "timeout", 5*time.Second, "time limit for all processes together")
	if err := cmd.MarkFlagRequired("admin"); err != nil {
		panic(err)
	}
	return cmd
}

func (f *timelineFlags) run(cmd *cobra.Command) error {
	write, err := f.formatter()
	if err != nil {
		return err
	}
	parent := cmd.Context()
	if parent == nil {
		parent = context.Background()
	}
	ctx, cancel := context.WithTimeout(parent, f.timeout)
	defer cancel()
	f.filter.Part = timeline.Part(f.part)
	if f.since > 0 {
		f.filter.Since = hlc.Timestamp{Wall: time.Now().Add(-f.since).UnixMicro()}
	}
	collection := timeline.Collect(ctx, f.admins, f.filter, f.fetch)
	if err := f.writeOutput(cmd.OutOrStdout(), func(w io.Writer) error { return write(collection, w) }); err != nil {
		return &ExitError{Code: ExitFailed, Err: err}
	}
	if len(collection.Unreached) == len(f.admins) {
		return &ExitError{Code: ExitUnavailable, Err: errors.New("no process could be reached")}
	}
	return nil
}

func (f *timelineFlags) fetch(ctx context.Context, base string, filter timeline.Filter) (timeline.Excerpt, error) {
	options := f.server
	options.URL = base
	client, err := admin.NewClient(options)
	if err != nil {
		return timeline.Excerpt{}, err
	}
	return client.Timeline(ctx, filter)
}

func (f *timelineFlags) formatter() (func(timeline.Collection, io.Writer) error, error) {
	switch f.format {
	case formatText:
		return timeline.Collection.WriteText, nil
	case formatSVG:
		return timeline.Collection.WriteSVG, nil
	case formatJSON:
		return func(c timeline.Collection, w io.Writer) error { return json.NewEncoder(w).Encode(c) }, nil
	default:
		return nil, fmt.Errorf("--format %q: want %s, %s or %s", f.format, formatText, formatJSON, formatSVG)
	}
}

// writeOutput passes the output file, or standard output, to write.
func (f *timelineFlags) writeOutput(stdout io.Writer, write func(io.Writer) error) error {
	if f.output == "" {
		return write(stdout)
	}
	file, err := os.Create(f.output)
	if err != nil {
		return err
	}
	return errors.Join(write(file), file.Close())
}
