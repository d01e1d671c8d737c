package cli

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/clientbudget"
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
lease. A second signal ends it at once. SIGHUP is logged and changes nothing.`,
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

// logSIGHUP logs each SIGHUP. There is nothing to reload: certificates are read again
// when their files change, and other settings need a restart.
func logSIGHUP(sighups <-chan os.Signal) {
	for range sighups {
		klog.Info("node: SIGHUP received; the running process does not read its settings again")
	}
}

// limitMemory sets the soft memory limit of the Go runtime, unless the environment does.
func limitMemory(memory int64) {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(clientbudget.RuntimeLimit(memory))
	}
}

func serve(s settings.Settings, out io.Writer) error {
	if err := setVerbosity(s.Log.Level); err != nil {
		return err
	}
	sighups := make(chan os.Signal, 1)
	signal.Notify(sighups, syscall.SIGHUP)
	defer signal.Stop(sighups)
	go logSIGHUP(sighups)
	signals, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	// The next signal has its default effect, also while the node starts.
	context.AfterFunc(signals, stop)
	limitMemory(int64(s.Limits.Memory))
	opts, err := node.FromSettings(s, Version)
	if err != nil {
		return err
	}
	if signals.Err() != nil {
		klog.Infof("node: %s is stopped before its start", s.Instance.ID)
		return nil
	}
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
	klog.Infof("node: %s is shutting down", s.Instance.ID)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(s.Limits.ShutdownTimeout))
	defer cancel()
	if err := n.Shutdown(ctx); err != nil {
		return &ExitError{ExitFailed, err}
	}
	return nil
}
