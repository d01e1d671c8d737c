package cli

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/node"
	"github.com/cicadacove/cicadacove/internal/settings"
)

// serveAddresses is the JSON line that serve prints once it accepts callers.
type serveAddresses struct {
	Instance string `json:"instance"`
	Callers  string `json:"callers"`
	Peers    string `json:"peers"`
	Admin    string `json:"admin"`
}

func newServeCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "serve SETTINGS",
		Short: "Run an entry instance",
		Long: `serve runs one entry instance, with a control voter if its settings say so. It
prints one line of JSON with its addresses once it accepts callers.

SIGTERM and SIGINT end it gracefully: it reports that it is not ready, waits for
running transactions, closes the connections of idle callers and releases its
lease. A second signal ends it at once.`,
		Example: "  cicadacove serve /etc/cicadacove/entry-1.toml",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := settings.Load(args[0])
			if err != nil {
				return err
			}
			return serve(s, cmd.OutOrStdout())
		},
	}
}

// setVerbosity sets the verbosity level of the log.
func setVerbosity(level int) error {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	return flags.Set("v", strconv.Itoa(level))
}

func serve(s settings.Settings, out io.Writer) error {
	if err := setVerbosity(s.Log.Level); err != nil {
		return err
	}
	opts, err := node.FromSettings(s, Version)
	if err != nil {
		return err
	}
	signals, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	n, err := node.Start(context.Background(), opts)
	if err != nil {
		return &ExitError{ExitFailed, err}
	}
	addresses := serveAddresses{s.Instance.ID, n.CallerAddr(), n.PeerAddr(), n.AdminAddr()}
	if err := json.NewEncoder(out).Encode(addresses); err != nil {
		return err
	}
	stopped := make(chan error, 1)
	go func() { stopped <- n.Wait() }()
	select {
	case err := <-stopped:
		return &ExitError{ExitFailed, err}
	case <-signals.Done():
	}
	stop()
	klog.Infof("node: %s is shutting down", s.Instance.ID)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(s.Limits.ShutdownTimeout))
	defer cancel()
	if err := n.Shutdown(ctx); err != nil {
		return &ExitError{ExitFailed, err}
	}
	return nil
}
