// Package cli implements the command line of cicadacove.
//
// newRoot registers the commands. The exit codes, defined by the Exit
// constants, are part of the interface.
package cli

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// Exit codes of the cicadacove command.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means that the command ran and its result is negative, for
	// example a demo in which a guarantee was violated.
	ExitFailed = 1
	// ExitUsage means that the arguments or the settings are invalid.
	ExitUsage = 2
	// ExitUnavailable means that a server that the command needs did not
	// answer.
	ExitUnavailable = 3
)

// ExitError is an error with the exit code of the process.
type ExitError struct {
	Code int
	Err  error
}

// Error returns the message of the cause.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Err }

// Main runs the command line and returns the exit code of the process.
func Main(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	root := newRoot()
	root.SetArgs(args)
	root.SetIn(stdin)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.Execute()
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(stderr, "cicadacove: %v\n", err)
	var exit *ExitError
	if errors.As(err, &exit) {
		return exit.Code
	}
	return ExitUsage
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "cicadacove",
		Short: "A database proxy with session consistency",
		Long: `cicadacove is a proxy between callers and groups of replicated databases.

Exit codes: 0 success, 1 the command ran and its result is negative,
2 invalid arguments or settings, 3 a server did not answer.`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newServeCommand())
	root.AddCommand(newPlatformCommand())
	root.AddCommand(newMeasureCommand())
	root.AddCommand(newDemoCommand())
	root.AddCommand(newUserCommand())
	root.AddCommand(newLoadCommand())
	root.AddCommand(newVersionCommand())
	root.AddCommand(newStandinCommand())
	root.AddCommand(newTimelineCommand())
	root.AddCommand(newSettingsCommand())
	root.AddCommand(newContractCommand())
	root.AddCommand(newTokenCommand())
	root.AddCommand(newStatusCommand())
	root.AddCommand(newGroupCommand())
	return root
}
