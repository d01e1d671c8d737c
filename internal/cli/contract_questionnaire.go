package cli

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/cicadacove/cicadacove/internal/core/questionnaire"
)

// clock returns the time with which the end of support is compared. Tests
// replace it.
var clock = time.Now

// derivation is the JSON output of the questionnaire command.
type derivation struct {
	Answers *questionnaire.Answers `json:"answers"`
	Sources []questionnaire.Source `json:"sources"`
}

func newQuestionnaireCommand(f *apiFlags) *cobra.Command {
	file := ""
	list := false
	cmd := &cobra.Command{
		Use:   "questionnaire",
		Short: "Answer the questions about a set of databases",
		Long: `Asks the questions on the terminal and prints the answers as TOML on the standard
output, for use with "contract apply". With --answers it checks a file instead
and shows the contract that is derived from it. It calls no server.`,
		Example: `  cicadacove contract questionnaire > answers.toml
  cicadacove contract questionnaire --answers examples/selam.toml
  cicadacove contract questionnaire --list`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			switch {
			case list:
				return printQuestions(cmd.OutOrStdout())
			case file != "":
				return checkAnswersFile(cmd, f, file)
			}
			return askQuestions(cmd, f)
		},
	}
	cmd.Flags().StringVar(&file, "answers", "", "answers file to check")
	cmd.Flags().BoolVar(&list, "list", false, "list the questions")
	return cmd
}

func askQuestions(cmd *cobra.Command, f *apiFlags) error {
	p := prompter{in: bufio.NewScanner(cmd.InOrStdin()), out: cmd.ErrOrStderr(), now: clock}
	answers, err := p.run()
	if err != nil {
		return &ExitError{Code: ExitUsage, Err: err}
	}
	if f.asJSON {
		return printDerivation(cmd.OutOrStdout(), f, answers)
	}
	text, err := questionnaire.Format(answers)
	if err != nil {
		return err
	}
	_, err = cmd.OutOrStdout().Write(text)
	return err
}

func readAnswers(file string) (*questionnaire.Answers, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &ExitError{Code: ExitUsage, Err: err}
	}
	answers, err := questionnaire.Parse(data)
	if err != nil {
		return nil, usageError("%s: %w", file, err)
	}
	return answers, nil
}

func checkAnswersFile(cmd *cobra.Command, f *apiFlags, file string) error {
	answers, err := readAnswers(file)
	if err != nil {
		return err
	}
	if err := printDerivation(cmd.OutOrStdout(), f, answers); err != nil {
		return usageError("%s: %w", file, err)
	}
	return nil
}

func printDerivation(w io.Writer, f *apiFlags, answers *questionnaire.Answers) error {
	generated, err := questionnaire.Generate(answers, clock())
	if err != nil {
		return err
	}
	return printValue(w, f.asJSON, derivation{Answers: answers, Sources: generated.Sources},
		func(w io.Writer, d derivation) { printSources(w, d.Sources) })
}

func printQuestions(w io.Writer) error {
	printQuestion := func(prefix string, q questionnaire.Question) {
		fmt.Fprintf(w, "%s%s (%s): %s\n    %s\n", prefix, q.Key, q.Kind, q.Text, q.Help)
	}
	for _, q := range questionnaire.ContractQuestions() {
		printQuestion("", q.Question)
	}
	for _, q := range questionnaire.ServiceQuestions() {
		printQuestion("SERVICE.", q.Question)
	}
	return nil
}
