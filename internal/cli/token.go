package cli

import (
	"fmt"

	"github.com/pelletier/go-toml/v2"
	"github.com/spf13/cobra"

	"github.com/cicadacove/cicadacove/internal/admin"
)

// tokensFile is the structure of the tokens file.
type tokensFile struct {
	Token []admin.Token `toml:"token"`
}

func newTokenCommand() *cobra.Command {
	var name, team, role string
	cmd := &cobra.Command{
		Use:   "token",
		Short: "Create a bearer token for the admin API",
		Long: `Creates a random token. It prints the token to the standard output and the entry
for the tokens file to the standard error stream. The entry contains only a hash
of the token. Servers reload a changed tokens file without a restart.

Roles: a viewer reads; an operator also amends answers and switches primaries
over; an admin also adds and removes contracts, removes upstreams and reads the
audit record. The team * stands for all teams.`,
		Example: "  cicadacove token --name ada --team selam --role operator > ada.token 2>> tokens.toml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			token, entry := admin.NewToken(name, team, admin.Role(role))
			if err := entry.Check(); err != nil {
				return usageError("--%w", err)
			}
			text, err := toml.Marshal(tokensFile{Token: []admin.Token{entry}})
			if err != nil {
				return err
			}
			if _, err := cmd.ErrOrStderr().Write(text); err != nil {
				return err
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), token)
			return err
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&name, "name", "", "name of the holder, as the audit record shows it")
	flags.StringVar(&team, "team", "", "team whose contracts the token gives access to; * for all teams")
	flags.StringVar(&role, "role", string(admin.RoleViewer), "viewer, operator or admin")
	return cmd
}
