package contract

import "strings"

// Problem classifies an error of a field.
type Problem string

// Problems of a field.
const (
	ProblemMissing       Problem = "missing"
	ProblemMalformed     Problem = "malformed"
	ProblemOutOfRange    Problem = "out of range"
	ProblemDuplicate     Problem = "duplicate"
	ProblemOverlap       Problem = "overlap"
	ProblemPast          Problem = "in the past"
	ProblemUnknown       Problem = "unknown"
	ProblemContradiction Problem = "contradiction"
	ProblemRunning       Problem = "still running"
	ProblemForbidden     Problem = "forbidden"
)

// FieldError describes an error of one field.
type FieldError struct {
	Field   string  `json:"field" msgpack:"f"`
	Problem Problem `json:"problem" msgpack:"p"`
	// Reason is a short sentence for the operator.
	Reason string `json:"reason" msgpack:"r"`
}

// Error returns "field: reason".
func (e FieldError) Error() string { return e.Field + ": " + e.Reason }

// FieldErrors lists all errors of a value, in the order of its fields.
type FieldErrors []FieldError

// Error joins the errors of all fields.
func (e FieldErrors) Error() string {
	parts := make([]string, len(e))
	for i, f := range e {
		parts[i] = f.Error()
	}
	return strings.Join(parts, "; ")
}

// Add appends an error of one field.
func (e *FieldErrors) Add(field string, problem Problem, reason string) {
	*e = append(*e, FieldError{Field: field, Problem: problem, Reason: reason})
}

// Err returns e as an error, or nil if the list is empty.
func (e FieldErrors) Err() error {
	if len(e) == 0 {
		return nil
	}
	return e
}
