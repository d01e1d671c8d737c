package questionnaire

import (
	"errors"
	"fmt"
	"strings"

	"github.com/cicadacove/cicadacove/internal/core/contract"
)

// checkAnswers checks the answers that the validation of the contract does not
// cover: it refuses missing descriptions and unknown levels of harm.
func checkAnswers(errs *fieldErrors, a *Answers) {
	if len(a.Services) == 0 {
		errs.Add("service", contract.ProblemMissing, "answer the questions for at least one kind of work")
	}
	for i := range a.Services {
		s := &a.Services[i]
		name := answerPrefix(s, i)
		checkText(errs, name+"name", s.Name)
		checkText(errs, name+"work", s.Work)
		checkText(errs, name+"harmed", s.Harmed)
		checkHarm(errs, name+"harm_late", s.HarmLate)
		checkHarm(errs, name+"harm_lost", s.HarmLost)
		checkHarm(errs, name+"harm_doubled", s.HarmDoubled)
	}
}

// answerPrefix returns the prefix of a service's answers. It contains the name
// of the service, or its index in the file if it has none.
func answerPrefix(s *ServiceAnswers, index int) string {
	if s.Name == "" {
		return fmt.Sprintf("service[%d].", index)
	}
	return s.Name + "."
}

func checkText(errs *fieldErrors, answer, text string) {
	if strings.TrimSpace(text) == "" {
		errs.Add(answer, contract.ProblemMissing, "must be answered")
	}
}

func checkHarm(errs *fieldErrors, answer string, h Harm) {
	switch {
	case h == "":
		errs.Add(answer, contract.ProblemMissing, "must be answered")
	case h.Level() < 0:
		errs.Add(answer, contract.ProblemUnknown, fmt.Sprintf("%q is none of none, slight, moderate, severe", h))
	}
}

// checkContradictions refuses answers that contradict each other although each
// is in its range. The validation of the contract checks that services that
// change data have the age 0.
func checkContradictions(errs *fieldErrors, a *Answers) {
	for i := range a.Services {
		s := &a.Services[i]
		checkReadOnly(errs, answerPrefix(s, i), s)
		checkFloodShare(errs, answerPrefix(s, i), s)
	}
	checkPriorities(errs, a)
}

func checkReadOnly(errs *fieldErrors, prefix string, s *ServiceAnswers) {
	if s.ChangesData {
		return
	}
	if s.HarmLost.Level() > 0 {
		errs.Add(prefix+"harm_lost", contract.ProblemContradiction,
			"work that changes no data has no change to lose, so the harm must be none (see changes_data)")
	}
	if s.HarmDoubled.Level() > 0 {
		errs.Add(prefix+"harm_doubled", contract.ProblemContradiction,
			"work that changes no data can be repeated, so the harm must be none (see changes_data)")
	}
}

// checkFloodShare refuses work whose delay does severe harm but that more urgent
// work can starve.
func checkFloodShare(errs *fieldErrors, prefix string, s *ServiceAnswers) {
	if s.HarmLate == HarmSevere && s.Priority > contract.RankUrgent && s.FloodShare == 0 {
		errs.Add(prefix+"flood_share", contract.ProblemContradiction,
			"delay does severe harm, so work behind the first rank must keep a share (see harm_late, priority)")
	}
}

// checkPriorities refuses work with a higher priority than other work whose
// delay does more harm.
func checkPriorities(errs *fieldErrors, a *Answers) {
	for i := range a.Services {
		for j := range a.Services {
			first, second := &a.Services[i], &a.Services[j]
			if first.Priority < second.Priority && first.HarmLate.Level() < second.HarmLate.Level() {
				errs.Add(answerPrefix(first, i)+"priority", contract.ProblemContradiction,
					fmt.Sprintf("stands before %s, whose delay does more harm (see %s.harm_late)", second.Name, second.Name))
			}
		}
	}
}

// answerKeys maps each field of a service to the answer that it comes from.
var answerKeys = map[string]string{
	"name": "name", "rank": "priority", "writes": "changes_data", "repeatable": "harm_doubled",
	"max_age": "data_age", "target": "wait", "floor_percent": "flood_share", "durability": "harm_lost",
}

// AnswerErrors replaces the fields of a contract.FieldErrors with the answers
// that they come from. It returns other errors unchanged.
func AnswerErrors(err error) error {
	var fields contract.FieldErrors
	if !errors.As(err, &fields) {
		return err
	}
	renamed := make(contract.FieldErrors, len(fields))
	for i, f := range fields {
		f.Field = answerName(f.Field)
		renamed[i] = f
	}
	return renamed
}

func answerName(field string) string {
	switch {
	case field == "id":
		return "contract"
	case field == "ends_at":
		return "support_ends"
	case field == "services":
		return "service"
	case field == "services.floor_percent":
		return "flood_share"
	case strings.HasPrefix(field, "groups"):
		return "databases" + strings.TrimPrefix(field, "groups")
	}
	rest, found := strings.CutPrefix(field, "services.")
	dot := strings.LastIndexByte(rest, '.')
	if !found || dot < 0 {
		return field
	}
	if key, ok := answerKeys[rest[dot+1:]]; ok {
		return rest[:dot+1] + key
	}
	return field
}
