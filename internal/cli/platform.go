package cli

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/cicadacove/cicadacove/platform"
)

func newPlatformCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "platform",
		Short: "Run an instance on the users' platform",
		Long: `platform runs an entry instance or a control voter. The environment variable
` + platform.SettingsVariable + ` holds the path of its settings file. SIGTERM ends it gracefully.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := platform.Run(context.Background()); err != nil {
				return &ExitError{ExitFailed, err}
			}
			return nil
		},
	}
}
