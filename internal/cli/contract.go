package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/cicadacove/cicadacove/internal/admin"
	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/questionnaire"
	"github.com/cicadacove/cicadacove/internal/core/revision"
)

// Environment variables with the default values of flags of the commands that
// call the admin API.
const (
	envAdmin     = "CICADACOVE_ADMIN"
	envTokenFile = "CICADACOVE_TOKEN_FILE"
	envCA        = "CICADACOVE_CA"
)

// defaultAdmin is the URL of an admin server on the same machine.
const defaultAdmin = "http://127.0.0.1:6434"

// apiFlags are shared by the commands that call the admin API.
type apiFlags struct {
	server admin.ClientOptions
	asJSON bool
}

func newContractCommand() *cobra.Command {
	f := &apiFlags{}
	cmd := &cobra.Command{
		Use:   "contract",
		Short: "Answer the questionnaire; show and change contracts",
		Long: `Contracts are derived from a team's answers to the questionnaire and are changed
by amending answers. All commands but questionnaire call the admin API of any
entry instance.

Exit codes: 0 success, 1 the change was refused or conflicts with another one,
2 invalid arguments or answers, 3 no server or no leader answered.`,
		Example: `  cicadacove contract questionnaire > answers.toml
  cicadacove contract apply answers.toml --admin https://10.20.1.11:6434 --token-file token
  cicadacove contract amend selam-hire-ledger --set stock.data_age=5s --dry-run`,
		Args: cobra.NoArgs,
	}
	f.register(cmd)
	cmd.AddCommand(
		newQuestionnaireCommand(f), newContractShowCommand(f), newContractExplainCommand(f),
		newContractAmendCommand(f), newContractApplyCommand(f), newContractDiffCommand(f),
		newContractRemoveCommand(f), newContractHistoryCommand(f),
	)
	return cmd
}

// register adds the flags to a command and its subcommands.
func (f *apiFlags) register(cmd *cobra.Command) {
	flags := cmd.PersistentFlags()
	flags.StringVar(&f.server.URL, "admin", envOr(envAdmin, defaultAdmin), "URL of an admin server (or "+envAdmin+")")
	flags.StringVar(&f.server.TokenFile, "token-file", os.Getenv(envTokenFile), "file that holds the bearer token (or "+envTokenFile+")")
	flags.StringVar(&f.server.CAFile, "ca", os.Getenv(envCA), "PEM file with the trusted CA certificates (or "+envCA+")")
	flags.BoolVar(&f.asJSON, "json", false, "print JSON")
}

func envOr(name, fallback string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return fallback
}

func (f *apiFlags) client() (*admin.Client, error) {
	c, err := admin.NewClient(f.server)
	if err != nil {
		return nil, &ExitError{Code: ExitUsage, Err: err}
	}
	return c, nil
}

// asExitError adds the exit code to an error of the admin API.
func asExitError(err error) error {
	var unreachable *admin.UnreachableError
	var response *admin.Error
	switch {
	case errors.As(err, &unreachable):
		return &ExitError{Code: ExitUnavailable, Err: err}
	case errors.As(err, &response) && (response.Code == admin.CodeUnavailable || response.Code == admin.CodeUnknown):
		return &ExitError{Code: ExitUnavailable, Err: err}
	}
	return &ExitError{Code: ExitFailed, Err: err}
}

// callAndPrint calls the API once and prints the response, as JSON or with text.
func callAndPrint[T any](cmd *cobra.Command, f *apiFlags, call func(context.Context, *admin.Client) (T, error), text func(io.Writer, T)) error {
	c, err := f.client()
	if err != nil {
		return err
	}
	response, err := call(cmd.Context(), c)
	if err != nil {
		return asExitError(err)
	}
	return printValue(cmd.OutOrStdout(), f.asJSON, response, text)
}

func printValue[T any](w io.Writer, asJSON bool, value T, text func(io.Writer, T)) error {
	if asJSON {
		return json.NewEncoder(w).Encode(value)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	text(table, value)
	return table.Flush()
}

func newContractShowCommand(f *apiFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "show [CONTRACT]",
		Short: "List all contracts, or show the values of one",
		Example: `  cicadacove contract show
  cicadacove contract show selam-hire-ledger --json`,
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 {
				return callAndPrint(cmd, f, func(ctx context.Context, c *admin.Client) (admin.ContractList, error) { return c.Contracts(ctx) }, printContracts)
			}
			return callAndPrint(cmd, f, func(ctx context.Context, c *admin.Client) (admin.ContractView, error) {
				return c.Contract(ctx, args[0])
			}, printContract)
		},
	}
}

func printContracts(w io.Writer, list admin.ContractList) {
	fmt.Fprintf(w, "revision %d\n", list.Revision)
	fmt.Fprintln(w, "CONTRACT\tTEAM\tGROUPS\tSERVICES\tENDS\tPHASE")
	for _, c := range list.Contracts {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t%s\n", c.ID, c.Team, len(c.Groups), len(c.Services), c.EndsAt.Format(time.RFC3339), c.Phase)
	}
}

func printContract(w io.Writer, c admin.ContractView) {
	fmt.Fprintf(w, "revision\t%d\ncontract\t%s\nphase\t%s\n", c.Revision, c.ID, c.Phase)
	for _, v := range contract.Values(&c.Contract) {
		fmt.Fprintf(w, "%s\t%s\n", v.Field, v.Text)
	}
}

func newContractExplainCommand(f *apiFlags) *cobra.Command {
	return &cobra.Command{
		Use:     "explain CONTRACT",
		Short:   "Show the answer from which each value of a contract is derived",
		Example: "  cicadacove contract explain selam-hire-ledger",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return callAndPrint(cmd, f, func(ctx context.Context, c *admin.Client) (admin.Explanation, error) { return c.Explain(ctx, args[0]) },
				func(w io.Writer, e admin.Explanation) { printSources(w, e.Sources) })
		},
	}
}

func printSources(w io.Writer, sources []questionnaire.Source) {
	fmt.Fprintln(w, "VALUE\t\tANSWER\t\tBECAUSE")
	for _, s := range sources {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", s.Field, s.Value, s.Answer, s.Given, s.Rule)
	}
}

func newContractHistoryCommand(f *apiFlags) *cobra.Command {
	limit := 0
	cmd := &cobra.Command{
		Use:     "history [CONTRACT]",
		Short:   "Show the revisions of the contracts, the latest first",
		Example: "  cicadacove contract history selam-hire-ledger --limit 5",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			id := ""
			if len(args) == 1 {
				id = args[0]
			}
			return callAndPrint(cmd, f, func(ctx context.Context, c *admin.Client) (revision.History, error) { return c.History(ctx, id, limit) }, printHistory)
		},
	}
	cmd.Flags().IntVar(&limit, "limit", 20, fmt.Sprintf("number of revisions, at most %d", revision.MaxHistory))
	return cmd
}

func printHistory(w io.Writer, h revision.History) {
	for _, e := range h.Entries {
		fmt.Fprintf(w, "revision %d  %s  %s  %s by %s\n", e.Revision, e.At.Format(time.RFC3339), e.ContractID, e.Kind, e.Actor)
		printChanges(w, e.Changes)
	}
}

func printChanges(w io.Writer, changes []contract.Change) {
	for _, c := range changes {
		fmt.Fprintf(w, "  %s\n", c)
	}
}
