package cli

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/questionnaire"
)

var errInputEnded = errors.New("the input ended before all questions were answered")

// prompter asks the questions of the questionnaire on a terminal.
type prompter struct {
	in  *bufio.Scanner
	out io.Writer
	now func() time.Time
}

// run asks all questions. It repeats the questions with invalid answers until a
// contract can be derived.
func (p *prompter) run() (*questionnaire.Answers, error) {
	a := &questionnaire.Answers{}
	for _, q := range questionnaire.ContractQuestions() {
		err := p.ask(q.Question, func(value string) error { return questionnaire.AnswerContract(a, q, value) })
		if err != nil {
			return nil, err
		}
	}
	for more := true; more; {
		if err := p.askService(a); err != nil {
			return nil, err
		}
		reply, err := p.line("\nIs there another kind of work? [no] ")
		if err != nil {
			return nil, err
		}
		more = strings.HasPrefix(strings.ToLower(reply), "y")
	}
	return a, p.askUntilValid(a)
}

func (p *prompter) askService(a *questionnaire.Answers) error {
	fmt.Fprintf(p.out, "\nKind of work number %d\n", len(a.Services)+1)
	s := questionnaire.ServiceAnswers{}
	for _, q := range questionnaire.ServiceQuestions() {
		err := p.ask(q.Question, func(value string) error {
			if q.Key == "name" && hasService(a, value) {
				return fmt.Errorf("%q has been described already", value)
			}
			return questionnaire.AnswerService(&s, q, value)
		})
		if err != nil {
			return err
		}
	}
	a.Services = append(a.Services, s)
	return nil
}

func hasService(a *questionnaire.Answers, name string) bool {
	for i := range a.Services {
		if a.Services[i].Name == name {
			return true
		}
	}
	return false
}

// askUntilValid repeats the questions whose answers the derivation rejects.
func (p *prompter) askUntilValid(a *questionnaire.Answers) error {
	for {
		_, err := questionnaire.Generate(a, p.now())
		var fields contract.FieldErrors
		if !errors.As(err, &fields) {
			return err
		}
		fmt.Fprintln(p.out, "\nThese answers are not valid:")
		for _, f := range fields {
			fmt.Fprintf(p.out, "  %s\n", f)
		}
		if err := p.askNamed(a, invalidAnswers(a, fields)); err != nil {
			return err
		}
	}
}

// invalidAnswers returns the names of the answers to ask for again, without
// duplicates. An error in the sum of the shares names each share.
func invalidAnswers(a *questionnaire.Answers, fields contract.FieldErrors) []string {
	var names []string
	seen := map[string]bool{}
	addOnce := func(name string) {
		if !seen[name] {
			seen[name] = true
			names = append(names, name)
		}
	}
	for _, f := range fields {
		name, _, _ := strings.Cut(f.Field, "[")
		if name != "flood_share" {
			addOnce(name)
			continue
		}
		for i := range a.Services {
			addOnce(a.Services[i].Name + ".flood_share")
		}
	}
	return names
}

func (p *prompter) askNamed(a *questionnaire.Answers, names []string) error {
	for _, name := range names {
		q, answer, ok := questionnaire.Lookup(a, name)
		if !ok {
			return fmt.Errorf("the question %s cannot be repeated; write the answers to a file and use --answers", name)
		}
		fmt.Fprintf(p.out, "\n%s", name)
		if err := p.ask(q, answer); err != nil {
			return err
		}
	}
	return nil
}

// ask repeats one question until it gets a well-formed answer.
func (p *prompter) ask(q questionnaire.Question, answer func(value string) error) error {
	fmt.Fprintf(p.out, "\n%s\n  (%s)\n", q.Text, q.Help)
	prompt := "> "
	if q.Default != "" {
		prompt = "[" + q.Default + "] > "
	}
	for {
		reply, err := p.line(prompt)
		if err != nil {
			return err
		}
		err = answer(reply)
		if err == nil {
			return nil
		}
		fmt.Fprintf(p.out, "  %v\n", err)
	}
}

func (p *prompter) line(prompt string) (string, error) {
	fmt.Fprint(p.out, prompt)
	if p.in.Scan() {
		return strings.TrimSpace(p.in.Text()), nil
	}
	if err := p.in.Err(); err != nil {
		return "", err
	}
	return "", errInputEnded
}
