package cli

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/cicadacove/cicadacove/internal/admin"
	"github.com/cicadacove/cicadacove/internal/core/questionnaire"
	"github.com/cicadacove/cicadacove/internal/core/revision"
)

// writeFlags are shared by the commands that change contracts.
type writeFlags struct {
	base      uint64
	requestID string
	dryRun    bool
}

func (w *writeFlags) register(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.Uint64Var(&w.base, "base", 0, "revision on which the change is based (default: the current revision)")
	flags.StringVar(&w.requestID, "request-id", "", "id of the change; to learn the result of a change whose response was lost, repeat it with the same id and --base")
	flags.BoolVar(&w.dryRun, "dry-run", false, "show the changes without applying them")
}

// request returns the body of a write. Unless --base is set, it fetches the
// current revision from the server.
func (w *writeFlags) request(cmd *cobra.Command, c *admin.Client) (admin.WriteRequest, error) {
	body := admin.WriteRequest{RequestID: w.requestID}
	if body.RequestID != "" && !cmd.Flags().Changed("base") {
		return body, usageError("--request-id needs --base: a repeated change must have the same id and the same base revision")
	}
	if body.RequestID == "" {
		body.RequestID = rand.Text()
	}
	base := w.base
	if !cmd.Flags().Changed("base") {
		list, err := c.Contracts(cmd.Context())
		if err != nil {
			return body, asExitError(err)
		}
		base = list.Revision
	}
	body.BaseRevision = &base
	return body, nil
}

// writeCall sends a prepared write.
type writeCall func(ctx context.Context, c *admin.Client, body admin.WriteRequest, dryRun bool) (revision.Result, error)

// write prepares a write, sends it and prints its result.
func write(cmd *cobra.Command, f *apiFlags, w *writeFlags, call writeCall) error {
	c, err := f.client()
	if err != nil {
		return err
	}
	body, err := w.request(cmd, c)
	if err != nil {
		return err
	}
	result, err := call(cmd.Context(), c, body, w.dryRun)
	if err != nil {
		return asExitError(fmt.Errorf("change %s on revision %d: %w", body.RequestID, *body.BaseRevision, err))
	}
	return printResult(cmd.OutOrStdout(), f.asJSON, w.dryRun, result)
}

// printResult prints a result. It returns an error unless the change was
// accepted.
func printResult(out io.Writer, asJSON, dryRun bool, result revision.Result) error {
	err := printValue(out, asJSON, result, func(w io.Writer, r revision.Result) {
		switch {
		case r.Kind == revision.Accepted && dryRun:
			fmt.Fprintf(w, "dry run: would become revision %d\n", r.Revision)
		case r.Kind == revision.Accepted:
			fmt.Fprintf(w, "accepted as revision %d\n", r.Revision)
		case r.Kind == revision.Conflict:
			fmt.Fprintf(w, "conflict: the current revision is %d; changes since the base revision:\n", r.Revision)
		}
		printChanges(w, r.Diff)
		if !r.DiffComplete {
			fmt.Fprintln(w, "  (more changes are not shown; see contract history)")
		}
	})
	if err != nil {
		return err
	}
	switch result.Kind {
	case revision.Accepted:
		return nil
	case revision.Conflict:
		return &ExitError{Code: ExitFailed, Err: fmt.Errorf("conflict with revision %d: review the changes and try again", result.Revision)}
	}
	return &ExitError{Code: ExitFailed, Err: fmt.Errorf("refused: %w", result.Errors)}
}

func newContractAmendCommand(f *apiFlags) *cobra.Command {
	w := &writeFlags{}
	var assignments []string
	cmd := &cobra.Command{
		Use:   "amend CONTRACT --set ANSWER=VALUE…",
		Short: "Change answers of a contract",
		Long: `Changes individual answers and derives the contract again. An answer of a service
is written SERVICE.QUESTION; "contract questionnaire --list" shows the questions.

A change names the revision on which it is based. If another change was made
since that revision, the command changes nothing and shows the other change.`,
		Example: `  cicadacove contract amend selam-hire-ledger --set stock.data_age=5s --dry-run
  cicadacove contract amend selam-hire-ledger --set support_ends=2032-06-30 --set booking.wait=400ms`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			settings, err := parseSettings(assignments)
			if err != nil {
				return err
			}
			return write(cmd, f, w, func(ctx context.Context, c *admin.Client, body admin.WriteRequest, dryRun bool) (revision.Result, error) {
				body.Set = settings
				return c.AmendAnswers(ctx, args[0], body, dryRun)
			})
		},
	}
	w.register(cmd)
	cmd.Flags().StringArrayVar(&assignments, "set", nil, "answer=value; may be repeated")
	return cmd
}

func parseSettings(assignments []string) ([]questionnaire.Setting, error) {
	if len(assignments) == 0 {
		return nil, usageError("give at least one --set answer=value")
	}
	settings := make([]questionnaire.Setting, len(assignments))
	for i, text := range assignments {
		s, err := questionnaire.ParseSetting(text)
		if err != nil {
			return nil, usageError("--set %v", err)
		}
		settings[i] = s
	}
	return settings, nil
}

func usageError(format string, args ...any) error {
	return &ExitError{Code: ExitUsage, Err: fmt.Errorf(format, args...)}
}

func newContractApplyCommand(f *apiFlags) *cobra.Command {
	w := &writeFlags{}
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Create or replace the contract that is derived from an answers file",
		Long: `Derives a contract from an answers file and activates it: creates the contract,
or replaces the contract of the same name.`,
		Example: "  cicadacove contract apply examples/selam.toml --dry-run",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return applyFile(cmd, f, w, args[0])
		},
	}
	w.register(cmd)
	return cmd
}

func newContractDiffCommand(f *apiFlags) *cobra.Command {
	return &cobra.Command{
		Use:     "diff FILE",
		Short:   "Show the changes that applying an answers file would make",
		Example: "  cicadacove contract diff examples/selam.toml",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return applyFile(cmd, f, &writeFlags{dryRun: true}, args[0])
		},
	}
}

func applyFile(cmd *cobra.Command, f *apiFlags, w *writeFlags, file string) error {
	answers, err := readAnswers(file)
	if err != nil {
		return err
	}
	return write(cmd, f, w, func(ctx context.Context, c *admin.Client, body admin.WriteRequest, dryRun bool) (revision.Result, error) {
		body.Answers = answers
		return c.PutAnswers(ctx, body, dryRun)
	})
}

func newContractRemoveCommand(f *apiFlags) *cobra.Command {
	w := &writeFlags{}
	cmd := &cobra.Command{
		Use:     "remove CONTRACT",
		Short:   "Remove a contract that has ended",
		Example: "  cicadacove contract remove selam-hire-ledger",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return write(cmd, f, w, func(ctx context.Context, c *admin.Client, body admin.WriteRequest, dryRun bool) (revision.Result, error) {
				return c.RemoveContract(ctx, args[0], body, dryRun)
			})
		},
	}
	w.register(cmd)
	return cmd
}
