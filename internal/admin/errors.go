package admin

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/revision"
)

// Code classifies an error response of the API.
type Code string

// Codes of error responses.
const (
	CodeBadRequest   Code = "bad_request"
	CodeUnauthorized Code = "unauthorized"
	CodeForbidden    Code = "forbidden"
	CodeNotFound     Code = "not_found"
	CodeConflict     Code = "conflict"
	CodeRefused      Code = "refused"
	CodeTooLarge     Code = "too_large"
	CodeUnavailable  Code = "unavailable"
	CodeUnknown      Code = "unknown_result"
	CodeInternal     Code = "internal"
)

// statusOf maps each code to its HTTP status code.
var statusOf = map[Code]int{
	CodeBadRequest:   http.StatusBadRequest,
	CodeUnauthorized: http.StatusUnauthorized,
	CodeForbidden:    http.StatusForbidden,
	CodeNotFound:     http.StatusNotFound,
	CodeConflict:     http.StatusConflict,
	CodeRefused:      http.StatusUnprocessableEntity,
	CodeTooLarge:     http.StatusRequestEntityTooLarge,
	CodeUnavailable:  http.StatusServiceUnavailable,
	CodeUnknown:      http.StatusGatewayTimeout,
	CodeInternal:     http.StatusInternalServerError,
}

// retryAfterSeconds is the value of the Retry-After header of responses with
// CodeUnavailable or CodeUnknown.
const retryAfterSeconds = "1"

// Error is an error response of the API.
type Error struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Fields lists the invalid fields of the request.
	Fields contract.FieldErrors `json:"fields,omitempty"`
	// Result is set for CodeConflict and CodeRefused.
	Result *revision.Result `json:"result,omitempty"`
}

// Error returns the message followed by the invalid fields.
func (e *Error) Error() string {
	if len(e.Fields) == 0 {
		return e.Message
	}
	return e.Message + ": " + e.Fields.Error()
}

func newError(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

func badField(field string, problem contract.Problem, reason string) *Error {
	return &Error{
		Code: CodeBadRequest, Message: "the request is invalid",
		Fields: contract.FieldErrors{{Field: field, Problem: problem, Reason: reason}},
	}
}

// asAPIError converts an error to an error response. It logs an unexpected
// error and does not send its text to the client.
func asAPIError(err error) *Error {
	var e *Error
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &e):
		return e
	case errors.As(err, &tooLarge):
		return newError(CodeTooLarge, "the body is longer than %d bytes", tooLarge.Limit)
	case errors.Is(err, ErrUnavailable):
		return newError(CodeUnavailable, "no leader of the control voters can be reached; nothing was changed")
	case errors.Is(err, ErrUnknown):
		return newError(CodeUnknown, "the change may or may not have been made; send it again with the same request_id")
	}
	klog.Errorf("admin: %v", err)
	return newError(CodeInternal, "internal error; see the log of this entry instance")
}

func writeError(w http.ResponseWriter, err error) {
	e := asAPIError(err)
	if e.Code == CodeUnavailable || e.Code == CodeUnknown {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	if e.Code == CodeUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	writeJSON(w, statusOf[e.Code], e)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		klog.V(2).Infof("admin: could not send the response: %v", err)
	}
}

// handler is an HTTP handler for an authenticated request. The server sends the
// error that it returns as the response.
type handler func(w http.ResponseWriter, r *http.Request, id Identity) error

// requireRole wraps a handler and rejects requests whose token lacks the
// required role.
func (s *Server) requireRole(required Role, h handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id, err := s.identify(r)
		if err == nil && !id.Role.Allows(required) {
			err = newError(CodeForbidden, "the token has the role %s; the role %s is required", id.Role, required)
		}
		if err == nil {
			err = h(w, r, id)
		}
		if err != nil {
			writeError(w, err)
		}
	})
}

func (s *Server) identify(r *http.Request) (Identity, error) {
	if s.options.Tokens == nil {
		return Identity{Name: "local", Team: revision.AnyTeam, Role: RoleAdmin}, nil
	}
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return Identity{}, newError(CodeUnauthorized, "the header Authorization: Bearer TOKEN is missing")
	}
	id, ok := s.options.Tokens.Identify(strings.TrimSpace(token))
	if !ok {
		return Identity{}, newError(CodeUnauthorized, "the token is unknown")
	}
	return id, nil
}
