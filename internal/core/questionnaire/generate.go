package questionnaire

import (
	"fmt"
	"strconv"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// Source identifies the answer that a value of the contract comes from.
type Source struct {
	// Field and Value are a field of the contract as listed by contract.Values.
	Field string `json:"field"`
	Value string `json:"value"`
	// Answer and Given are the name and the value of the answer. Rule explains
	// how the value of the field is derived from it.
	Answer string `json:"answer"`
	Given  string `json:"given"`
	Rule   string `json:"rule"`
}

// Generated is a contract with the source of each of its values.
type Generated struct {
	Contract contract.Contract
	Sources  []Source
}

// Generate derives the contract from the answers. Equal answers yield equal
// contracts. If answers are missing, out of range or contradictory, the error is
// a contract.FieldErrors that names them. The end of support must be after now.
func Generate(a *Answers, now time.Time) (*Generated, error) {
	var errs fieldErrors
	checkAnswers(&errs, a)
	if err := errs.Err(); err != nil {
		return nil, err
	}
	c := derive(a)
	if err := contract.Validate(&c, nil, now); err != nil {
		return nil, AnswerErrors(err)
	}
	checkContradictions(&errs, a)
	if err := errs.Err(); err != nil {
		return nil, err
	}
	return &Generated{Contract: c, Sources: Explain(a, &c)}, nil
}

func derive(a *Answers) contract.Contract {
	c := contract.Contract{ID: a.Contract, Team: a.Team, EndsAt: a.SupportEnds}
	for _, d := range a.Databases {
		c.Groups = append(c.Groups, topo.GroupID(d))
	}
	for i := range a.Services {
		c.Services = append(c.Services, deriveService(&a.Services[i]))
	}
	return c
}

func deriveService(s *ServiceAnswers) contract.Service {
	return contract.Service{
		Name:         s.Name,
		Rank:         s.Priority,
		Writes:       s.ChangesData,
		Repeatable:   s.HarmDoubled == HarmNone,
		MaxAge:       s.DataAge.Std(),
		Target:       s.Wait.Std(),
		FloorPercent: s.FloodShare,
		Durability:   durability(s.HarmLost),
	}
}

// durability returns the number of databases that must hold a change.
func durability(lost Harm) int {
	if lost.Level() >= HarmModerate.Level() {
		return contract.MaxDurability
	}
	return contract.MinDurability
}

// Explain returns the source of each field of a contract that was derived
// from the answers, in the order of contract.Values.
func Explain(a *Answers, c *contract.Contract) []Source {
	origins := originsOf(a)
	values := contract.Values(c)
	sources := make([]Source, 0, len(values))
	for _, v := range values {
		o, ok := origins[v.Field]
		if !ok {
			panic("questionnaire: no answer is recorded for " + v.Field)
		}
		sources = append(sources, Source{Field: v.Field, Value: v.Text, Answer: o.answer, Given: o.given, Rule: o.rule})
	}
	return sources
}

// origin is the answer from which one field of the contract is derived.
type origin struct{ answer, given, rule string }

func originsOf(a *Answers) map[string]origin {
	origins := map[string]origin{
		"team":    {"team", a.Team, "the owner of the contract"},
		"groups":  {"databases", fmt.Sprint(a.Databases), "the groups covered, as answered"},
		"ends_at": {"support_ends", a.SupportEnds.Format(time.RFC3339), "no new work starts from this time on"},
	}
	for i := range a.Services {
		addServiceOrigins(origins, &a.Services[i])
	}
	return origins
}

func addServiceOrigins(origins map[string]origin, s *ServiceAnswers) {
	add := func(field, answer, given, rule string) {
		origins["services."+s.Name+"."+field] = origin{s.Name + "." + answer, given, rule}
	}
	add("rank", "priority", strconv.Itoa(s.Priority), "the rank, as answered")
	add("writes", "changes_data", yesNo(s.ChangesData), writesRule(s.ChangesData))
	add("repeatable", "harm_doubled", string(s.HarmDoubled), repeatableRule(s.HarmDoubled))
	add("max_age", "data_age", s.DataAge.String(), maxAgeRule(s))
	add("target", "wait", s.Wait.String(), "a request should end before the customer has waited that long")
	add("floor_percent", "flood_share", fmt.Sprintf("%g", s.FloodShare), "the share of slots that stays reserved when more urgent work overloads the database")
	add("durability", "harm_lost", string(s.HarmLost), durabilityRule(s.HarmLost))
}

func writesRule(changes bool) string {
	if changes {
		return "work that changes data goes to the primary"
	}
	return "work that changes no data may go to replicas"
}

func repeatableRule(doubled Harm) string {
	if doubled == HarmNone {
		return "doubling does no harm, so a request may be repeated after a fault"
	}
	return "doubling does " + string(doubled) + " harm, so a request runs at most once"
}

func maxAgeRule(s *ServiceAnswers) string {
	if s.DataAge == 0 {
		return "only the latest data may be read"
	}
	return "replicas within this age may serve it"
}

func durabilityRule(lost Harm) string {
	if durability(lost) == contract.MaxDurability {
		return "a lost change does " + string(lost) + " harm, so a second database holds it before it is acknowledged"
	}
	if lost == HarmNone {
		return "a lost change does no harm, so the primary alone acknowledges it"
	}
	return "a lost change does " + string(lost) + " harm, so the primary alone acknowledges it"
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
