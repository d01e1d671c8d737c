// Package questionnaire defines the questions that a team answers about its
// work, and derives a contract from the answers.
//
// The questions are data: the interactive mode, the TOML file and amendments of
// single answers use the same list. The derivation is deterministic and records,
// for each value of the contract, the answer that it comes from.
//
// The package does no I/O; time is an argument.
package questionnaire

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/units"
)

// Harm is the severity of the damage that a fault of the service causes.
type Harm string

// Levels of harm, the lowest first.
const (
	HarmNone     Harm = "none"
	HarmSlight   Harm = "slight"
	HarmModerate Harm = "moderate"
	HarmSevere   Harm = "severe"
)

// harmOrder lists the levels of harm, the lowest first.
var harmOrder = []Harm{HarmNone, HarmSlight, HarmModerate, HarmSevere}

// Level returns the index of h in the order of the levels, -1 if h is unknown.
func (h Harm) Level() int { return slices.Index(harmOrder, h) }

// Answers holds a team's answers about one set of databases.
type Answers struct {
	Contract    string           `json:"contract" msgpack:"c" toml:"contract"`
	Team        string           `json:"team" msgpack:"t" toml:"team"`
	Databases   []string         `json:"databases" msgpack:"d" toml:"databases"`
	SupportEnds time.Time        `json:"support_ends" msgpack:"e" toml:"support_ends"`
	Services    []ServiceAnswers `json:"service" msgpack:"s" toml:"service"`
}

// ServiceAnswers holds a team's answers about one kind of work.
type ServiceAnswers struct {
	Name        string         `json:"name" msgpack:"n" toml:"name"`
	Work        string         `json:"work" msgpack:"w" toml:"work"`
	Harmed      string         `json:"harmed" msgpack:"h" toml:"harmed"`
	Priority    int            `json:"priority" msgpack:"p" toml:"priority"`
	ChangesData bool           `json:"changes_data" msgpack:"cd" toml:"changes_data"`
	HarmLate    Harm           `json:"harm_late" msgpack:"hl" toml:"harm_late"`
	HarmLost    Harm           `json:"harm_lost" msgpack:"ho" toml:"harm_lost"`
	HarmDoubled Harm           `json:"harm_doubled" msgpack:"hd" toml:"harm_doubled"`
	DataAge     units.Duration `json:"data_age" msgpack:"a" toml:"data_age"`
	Wait        units.Duration `json:"wait" msgpack:"wt" toml:"wait"`
	FloodShare  float64        `json:"flood_share" msgpack:"f" toml:"flood_share"`
}

// Clone returns a copy that shares no memory with a.
func (a *Answers) Clone() *Answers {
	copied := *a
	copied.Databases = slices.Clone(a.Databases)
	copied.Services = slices.Clone(a.Services)
	return &copied
}

// service returns the answers about the named service, nil if there are none.
func (a *Answers) service(name string) *ServiceAnswers {
	for i := range a.Services {
		if a.Services[i].Name == name {
			return &a.Services[i]
		}
	}
	return nil
}

// Parse decodes answers from TOML. For unknown keys and values of a wrong type
// it returns a *ParseError. A missing answer takes the default of its question;
// if there is no default, Generate reports the answer as missing.
func Parse(data []byte) (*Answers, error) {
	given, err := givenKeys(data)
	if err != nil {
		return nil, err
	}
	a := &Answers{}
	dec := toml.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(a); err != nil {
		return nil, toParseError(err)
	}
	a.SupportEnds = a.SupportEnds.UTC()
	for i := range a.Services {
		fillDefaults(&a.Services[i], given[i])
	}
	return a, nil
}

// Format encodes answers as TOML that Parse accepts.
func Format(a *Answers) ([]byte, error) {
	var buf bytes.Buffer
	enc := toml.NewEncoder(&buf)
	err := enc.Encode(a)
	return buf.Bytes(), err
}

// givenKeys returns the keys and values that the file contains for each service.
func givenKeys(data []byte) ([]map[string]any, error) {
	var raw struct {
		Service []map[string]any `toml:"service"`
	}
	if err := toml.Unmarshal(data, &raw); err != nil {
		return nil, toParseError(err)
	}
	return raw.Service, nil
}

func fillDefaults(s *ServiceAnswers, given map[string]any) {
	for _, q := range ServiceQuestions() {
		if _, ok := given[q.Key]; ok || q.Default == "" {
			continue
		}
		if err := assign(q.target(s), q.Question, q.Default); err != nil {
			panic(fmt.Sprintf("questionnaire: default of %s: %v", q.Key, err))
		}
	}
}

// ParseError is an error in an answers file.
type ParseError struct {
	Line   int
	Key    string
	Reason string
}

// Error returns a message with the line and the key.
func (e *ParseError) Error() string {
	return fmt.Sprintf("answers: line %d: %s: %s", e.Line, e.Key, e.Reason)
}

// toParseError converts a decoding error to a ParseError if its line is known.
func toParseError(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		first := strict.Errors[0]
		row, _ := first.Position()
		return &ParseError{Line: row, Key: joinKey(first.Key()), Reason: "is not a question"}
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, _ := decode.Position()
		return &ParseError{Line: row, Key: joinKey(decode.Key()), Reason: decode.Error()}
	}
	return fmt.Errorf("answers: %w", err)
}

func joinKey(key toml.Key) string {
	joined := ""
	for i, k := range key {
		if i > 0 {
			joined += "."
		}
		joined += k
	}
	return joined
}

// fieldErrors lists the errors in answers. Its fields are names of answers.
type fieldErrors = contract.FieldErrors
