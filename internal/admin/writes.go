package admin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"reflect"
	"strings"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/questionnaire"
	"github.com/cicadacove/cicadacove/internal/core/revision"
	"github.com/cicadacove/cicadacove/internal/units"
)

// WriteRequest is the body of every write. Each route expects one of Contract,
// Answers and Set; a removal expects none of them.
type WriteRequest struct {
	// BaseRevision is the revision on which the sender based the change.
	BaseRevision *uint64 `json:"base_revision"`
	// RequestID identifies the write. A write that is sent again with the same
	// id returns the result of the first.
	RequestID string                  `json:"request_id"`
	Contract  *contract.Contract      `json:"contract,omitempty"`
	Answers   *questionnaire.Answers  `json:"answers,omitempty"`
	Set       []questionnaire.Setting `json:"set,omitempty"`
}

func (s *Server) putContract(w http.ResponseWriter, r *http.Request, id Identity) error {
	return s.write(w, r, id, func(contractID string, body WriteRequest) (revision.Change, error) {
		if body.Contract == nil {
			return revision.Change{}, badField("contract", contract.ProblemMissing, "must be given")
		}
		if body.Contract.ID != contractID {
			return revision.Change{}, badField("contract.id", contract.ProblemContradiction, "differs from the path")
		}
		return revision.Change{Kind: revision.PutContract, Contract: body.Contract}, nil
	})
}

func (s *Server) putAnswers(w http.ResponseWriter, r *http.Request, id Identity) error {
	return s.write(w, r, id, func(contractID string, body WriteRequest) (revision.Change, error) {
		if body.Answers == nil {
			return revision.Change{}, badField("answers", contract.ProblemMissing, "must be given")
		}
		if body.Answers.Contract != contractID {
			return revision.Change{}, badField("answers.contract", contract.ProblemContradiction, "differs from the path")
		}
		return revision.Change{Kind: revision.PutAnswers, Answers: body.Answers}, nil
	})
}

func (s *Server) amendAnswers(w http.ResponseWriter, r *http.Request, id Identity) error {
	return s.write(w, r, id, func(contractID string, body WriteRequest) (revision.Change, error) {
		if len(body.Set) == 0 {
			return revision.Change{}, badField("set", contract.ProblemMissing, "must hold at least one answer")
		}
		return revision.Change{Kind: revision.AmendAnswers, ContractID: contractID, Set: body.Set}, nil
	})
}

func (s *Server) removeContract(w http.ResponseWriter, r *http.Request, id Identity) error {
	return s.write(w, r, id, func(contractID string, _ WriteRequest) (revision.Change, error) {
		return revision.Change{Kind: revision.RemoveContract, ContractID: contractID}, nil
	})
}

// write decodes the body, builds the change from it and proposes the change. It
// only previews the change when the query has dry_run=true.
func (s *Server) write(w http.ResponseWriter, r *http.Request, id Identity, buildChange func(contractID string, body WriteRequest) (revision.Change, error)) error {
	var body WriteRequest
	if err := decodeBody(w, r, maxBodyBytes, &body); err != nil {
		return err
	}
	if err := checkWrite(&body); err != nil {
		return err
	}
	change, err := buildChange(r.PathValue("id"), body)
	if err != nil {
		return err
	}
	cmd := revision.Command{
		Rules: revision.RulesVersion, RequestID: body.RequestID, BaseRevision: *body.BaseRevision,
		Actor: id.Name, Team: id.Team, At: s.options.Now(), Change: change,
	}
	execute := s.backends.Config.Propose
	if r.URL.Query().Get("dry_run") == "true" {
		execute = s.backends.Config.Preview
	}
	result, err := execute(r.Context(), cmd)
	if err != nil {
		return err
	}
	return writeResult(w, result)
}

func checkWrite(body *WriteRequest) error {
	if body.BaseRevision == nil {
		return badField("base_revision", contract.ProblemMissing, "must be the revision on which the change is based")
	}
	if body.RequestID == "" {
		return badField("request_id", contract.ProblemMissing, "must identify this change, so that it can be sent again")
	}
	return nil
}

func writeResult(w http.ResponseWriter, result revision.Result) error {
	switch result.Kind {
	case revision.Accepted:
		writeJSON(w, http.StatusOK, result)
		return nil
	case revision.Conflict:
		e := newError(CodeConflict, "the configuration has changed: the current revision is %d", result.Revision)
		e.Result = &result
		return e
	}
	e := newError(CodeRefused, "the change is refused")
	if isForbidden(result.Errors) {
		e = newError(CodeForbidden, "the change is refused")
	}
	e.Fields = result.Errors
	e.Result = &result
	return e
}

// isForbidden reports whether the change concerns another team.
func isForbidden(fields contract.FieldErrors) bool {
	return len(fields) > 0 && fields[0].Field == "team" && fields[0].Problem == contract.ProblemForbidden
}

// decodeBody decodes one JSON object into target and rejects unknown fields.
func decodeBody(w http.ResponseWriter, r *http.Request, limit int64, target any) error {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	dec.DisallowUnknownFields()
	if err := dec.Decode(target); err != nil {
		return asDecodeError(err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return badField("body", contract.ProblemMalformed, "holds more than one JSON object")
	}
	return nil
}

// unknownFieldPrefix is the start of the decoder's error message for an unknown
// field. Package json has no error type for it.
const unknownFieldPrefix = "json: unknown field "

// timeFields names the only time fields of a request. The decoder does not
// report which of them is malformed.
const timeFields = "contract.ends_at or answers.support_ends"

// asDecodeError converts a decoding error to an error response that names the
// invalid field. It returns http.MaxBytesError unchanged.
func asDecodeError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return err
	}
	var wrongType *json.UnmarshalTypeError
	var wrongTime *time.ParseError
	if errors.As(err, &wrongTime) {
		return badField(timeFields, contract.ProblemMalformed, wrongTime.Error())
	}
	if errors.As(err, &wrongType) && wrongType.Type == reflect.TypeFor[units.Duration]() {
		return badField(wrongType.Field, contract.ProblemMalformed, wrongType.Value+" is not a duration with a unit, such as \"500ms\"")
	}
	if errors.As(err, &wrongType) && wrongType.Field != "" {
		return badField(wrongType.Field, contract.ProblemMalformed, "is a "+wrongType.Value+", not a "+wrongType.Type.String())
	}
	if field, found := strings.CutPrefix(err.Error(), unknownFieldPrefix); found {
		return badField(strings.Trim(field, `"`), contract.ProblemUnknown, "there is no such field")
	}
	return badField("body", contract.ProblemMalformed, err.Error())
}
