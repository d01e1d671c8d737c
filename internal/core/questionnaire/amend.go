package questionnaire

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/units"
)

// dateLayout is the layout of a date without a time of day, in UTC.
const dateLayout = time.DateOnly

// errUnanswered means that a question without a default was not answered.
var errUnanswered = errors.New("must be answered")

// Setting sets one answer to a new value. Answer is the key of a question; for
// the questions about a service it is preceded by the name of the service:
// "booking.wait".
type Setting struct {
	Answer string `json:"answer" msgpack:"a"`
	Value  string `json:"value" msgpack:"v"`
}

// ParseSetting parses "answer=value".
func ParseSetting(text string) (Setting, error) {
	answer, value, found := strings.Cut(text, "=")
	if !found || answer == "" {
		return Setting{}, fmt.Errorf("%q: want answer=value, such as booking.wait=300ms", text)
	}
	return Setting{Answer: strings.TrimSpace(answer), Value: strings.TrimSpace(value)}, nil
}

// Amend returns a copy of the answers with the settings applied in order. The
// error is a contract.FieldErrors that names the answers. The names of the
// contract, the team and the services cannot be amended.
func Amend(a *Answers, settings []Setting) (*Answers, error) {
	amended := a.Clone()
	var errs fieldErrors
	for _, s := range settings {
		applySetting(&errs, amended, s)
	}
	if err := errs.Err(); err != nil {
		return nil, err
	}
	return amended, nil
}

func applySetting(errs *fieldErrors, a *Answers, s Setting) {
	target, q, problem := findAnswer(a, s.Answer)
	if problem == nil && isName(s.Answer, q) {
		problem = &contract.FieldError{Field: s.Answer, Problem: contract.ProblemForbidden,
			Reason: "a name cannot be amended; apply answers under a new name"}
	}
	if problem != nil {
		*errs = append(*errs, *problem)
		return
	}
	err := assign(target, q, s.Value)
	switch {
	case errors.Is(err, errUnanswered):
		errs.Add(s.Answer, contract.ProblemMissing, err.Error())
	case err != nil:
		errs.Add(s.Answer, contract.ProblemMalformed, err.Error())
	}
}

// isName reports whether an answer identifies its contract, team or service.
func isName(answer string, q Question) bool {
	return answer == "contract" || answer == "team" || q.Key == "name"
}

// Lookup returns the question with the given name of an answer, and a function
// that assigns a new answer. Unlike Amend, it can also change names.
func Lookup(a *Answers, answer string) (q Question, assignValue func(value string) error, ok bool) {
	target, q, problem := findAnswer(a, answer)
	if problem != nil {
		return Question{}, nil, false
	}
	return q, func(value string) error { return assign(target, q, value) }, true
}

// findAnswer returns a pointer to the field of an answer, and its question.
func findAnswer(a *Answers, answer string) (any, Question, *contract.FieldError) {
	for _, q := range ContractQuestions() {
		if q.Key == answer {
			return q.target(a), q.Question, nil
		}
	}
	// Names of services may contain dots, keys of questions do not.
	dot := strings.LastIndexByte(answer, '.')
	if dot < 0 {
		return unknown(answer, "is not a question; answers of a service are written service.question")
	}
	service := a.service(answer[:dot])
	if service == nil {
		return unknown(answer, fmt.Sprintf("there is no service %q in the answers", answer[:dot]))
	}
	for _, q := range ServiceQuestions() {
		if q.Key == answer[dot+1:] {
			return q.target(service), q.Question, nil
		}
	}
	return unknown(answer, fmt.Sprintf("%q is not a question", answer[dot+1:]))
}

func unknown(answer, reason string) (any, Question, *contract.FieldError) {
	return nil, Question{}, &contract.FieldError{Field: answer, Problem: contract.ProblemUnknown, Reason: reason}
}

// AnswerContract answers a question about the set of databases.
func AnswerContract(a *Answers, q ContractQuestion, value string) error {
	return assign(q.target(a), q.Question, value)
}

// AnswerService answers a question about one kind of work.
func AnswerService(s *ServiceAnswers, q ServiceQuestion, value string) error {
	return assign(q.target(s), q.Question, value)
}

// assign parses value and stores it in target, a pointer to a field of Answers
// or ServiceAnswers. An empty value stands for the default of the question.
func assign(target any, q Question, value string) error {
	if value == "" {
		value = q.Default
	}
	if value == "" {
		return errUnanswered
	}
	var err error
	switch t := target.(type) {
	case *string:
		*t = value
	case *[]string:
		*t = splitNames(value)
	case *bool:
		*t, err = parseYesNo(value)
	case *int:
		*t, err = parseNumber(value)
	case *float64:
		*t, err = parsePercent(value)
	case *Harm:
		*t, err = parseHarm(value)
	case *units.Duration:
		err = t.UnmarshalText([]byte(value))
	case *time.Time:
		*t, err = parseDate(value)
	default:
		panic(fmt.Sprintf("questionnaire: unsupported type %T of an answer", target))
	}
	return err
}

func splitNames(value string) []string {
	var names []string
	for part := range strings.SplitSeq(value, ",") {
		if name := strings.TrimSpace(part); name != "" {
			names = append(names, name)
		}
	}
	return names
}

func parseYesNo(value string) (bool, error) {
	switch strings.ToLower(value) {
	case "yes", "y", "true":
		return true, nil
	case "no", "n", "false":
		return false, nil
	}
	return false, fmt.Errorf("%q is neither yes nor no", value)
}

func parseNumber(value string) (int, error) {
	n, err := strconv.Atoi(value)
	if err != nil {
		return 0, fmt.Errorf("%q is not a whole number", value)
	}
	return n, nil
}

func parsePercent(value string) (float64, error) {
	n, err := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(value, "%")), 64)
	if err != nil {
		return 0, fmt.Errorf("%q is not a share in per cent", value)
	}
	return n, nil
}

func parseHarm(value string) (Harm, error) {
	h := Harm(strings.ToLower(value))
	if !slices.Contains(harmOrder, h) {
		return "", fmt.Errorf("%q is none of none, slight, moderate, severe", value)
	}
	return h, nil
}

func parseDate(value string) (time.Time, error) {
	if t, err := time.Parse(time.RFC3339, value); err == nil {
		return t.UTC(), nil
	}
	t, err := time.Parse(dateLayout, value)
	if err != nil {
		return time.Time{}, fmt.Errorf("%q is not a date such as 2031-06-30 or 2031-06-30T12:00:00Z", value)
	}
	return t, nil
}
