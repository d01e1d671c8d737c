package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"os/signal"
	"syscall"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/standin"
	"github.com/spf13/cobra"
)

// standinAddress is the JSON line that the command prints once it serves.
type standinAddress struct {
	ID   topo.UpstreamID `json:"id"`
	Addr string          `json:"addr"`
}

func newStandinCommand() *cobra.Command {
	var o standin.Options
	var id, group, zone, role, announceKey string
	var term uint64
	cmd := &cobra.Command{
		Use:   "standin",
		Short: "Serve one stand-in database, for tests",
		Long: `Serves one stand-in database of a group until SIGINT or SIGTERM.

It keeps all data in memory and is meant for tests with separate processes.
Once it serves, it prints one line of JSON with its id and address.`,
		Example: `  cicadacove standin --id ledger-1/a --group ledger-1 --zone z1 --role primary --listen 127.0.0.1:5501
  cicadacove standin --id ledger-1/b --group ledger-1 --zone z2 --primary 127.0.0.1:5501 --replication-lag 20ms`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			o.ID, o.Group, o.Zone = topo.UpstreamID(id), topo.GroupID(group), topo.Zone(zone)
			o.Role, o.Term, o.AnnounceKey = topo.Role(role), topo.Term(term), []byte(announceKey)
			if o.Role != topo.RolePrimary && o.Role != topo.RoleReplica {
				return fmt.Errorf("--role %q: want primary or replica", role)
			}
			return serveStandin(cmd, o)
		},
	}
	f := cmd.Flags()
	f.StringVar(&id, "id", "db-1/a", "id of the database")
	f.StringVar(&group, "group", "db-1", "group of the database")
	f.StringVar(&zone, "zone", "z1", "availability zone")
	f.StringVar(&role, "role", string(topo.RoleReplica), "primary or replica")
	f.Uint64Var(&term, "term", 1, "term in which the empty log starts")
	f.StringVar(&o.Listen, "listen", standin.DefaultListen, "address to listen on")
	f.StringVar(&o.Primary, "primary", "", "address of the primary to follow")
	f.IntVar(&o.Slots, "slots", standin.DefaultSlots, "maximum number of statements that execute concurrently")
	f.IntVar(&o.Connections, "connections", standin.DefaultConnections, "maximum number of connections")
	f.DurationVar(&o.ConnectDelay, "connect-delay", 10*time.Millisecond, "time that it takes to open a connection")
	f.DurationVar(&o.ServiceTime, "service-time", 0, "time for which a statement occupies its slot")
	f.DurationVar(&o.ReplicationLag, "replication-lag", 0, "minimum age of a log entry before a replica applies it")
	f.StringSliceVar(&o.AnnounceTo, "announce-to", nil, "base URLs of the admin servers of entry instances in the zone")
	f.StringVar(&announceKey, "announce-key", "", "key that signs announcements")
	f.DurationVar(&o.AnnounceEvery, "announce-every", standin.DefaultAnnounceEvery, "time between announcements")
	f.StringVar(&o.User, "user", "", "user name that callers must give")
	f.StringVar(&o.Password, "password", "", "password that callers must give; empty accepts every caller")
	return cmd
}

func serveStandin(cmd *cobra.Command, o standin.Options) error {
	ctx := cmd.Context()
	if ctx == nil {
		ctx = context.Background()
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	d, err := standin.Start(ctx, o)
	if err != nil {
		return &ExitError{Code: ExitFailed, Err: err}
	}
	if err := json.NewEncoder(cmd.OutOrStdout()).Encode(standinAddress{ID: d.ID(), Addr: d.Addr()}); err != nil {
		return err
	}
	<-ctx.Done()
	return d.Close()
}
