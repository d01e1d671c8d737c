package cli

import (
	"encoding/json"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/cicadacove/cicadacove/internal/settings"
)

func newSettingsCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "settings",
		Short: "Check or print the settings of a process",
		Args:  cobra.NoArgs,
	}
	cmd.AddCommand(newSettingsCheckCommand(), newSettingsPrintCommand())
	return cmd
}

func newSettingsCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file",
		Long: `Checks a settings file and reports the file, line and field of each error.

It does not open the files that the settings name, such as certificates.
Exit codes: 0 the file is valid, 2 it is not.`,
		Example: "  cicadacove settings check examples/entry-1.toml",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := settings.Load(args[0]); err != nil {
				return &ExitError{Code: ExitUsage, Err: err}
			}
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s: valid\n", args[0])
			return err
		},
	}
}

func newSettingsPrintCommand() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "print [FILE]",
		Short: "Print all settings with their units, defaults and meanings",
		Long: `Prints all settings of a file, or the defaults, as TOML. Comments show the unit,
default and meaning of each setting. The output contains no secrets, because
settings only name the files with the secrets.`,
		Example: `  cicadacove settings print > entry-1.toml
  cicadacove settings print examples/entry-1.toml --json`,
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s := settings.Default()
			if len(args) == 1 {
				loaded, err := settings.Load(args[0])
				if err != nil {
					return &ExitError{Code: ExitUsage, Err: err}
				}
				s = loaded
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(settings.Entries(s))
			}
			return settings.Print(cmd.OutOrStdout(), s)
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}
