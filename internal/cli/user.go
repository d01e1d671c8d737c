package cli

import (
	"bufio"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"github.com/cicadacove/cicadacove/internal/users"
)

func newUserCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "user NAME",
		Short:   "Print the users file entry of a caller",
		Long:    "user reads a password from the first line of the standard input and prints the user's entry with its SCRAM-SHA-256 verifier.",
		Example: `  cicadacove user app < password.txt >> users.toml`,
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			line, err := bufio.NewReader(cmd.InOrStdin()).ReadString('\n')
			password := strings.TrimRight(line, "\r\n")
			if password == "" {
				return fmt.Errorf("password: the standard input is empty (%v)", err)
			}
			verifier, err := users.NewVerifier(args[0], password)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "[[user]]\nname = %q\nverifier = %q\n", args[0], verifier)
			return err
		},
	}
}
