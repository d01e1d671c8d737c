// Package revision implements the replicated state machine of the
// configuration.
//
// Each accepted command creates one revision. A command names the revision it
// is based on, so that of two commands with the same base one is accepted and
// the other gets a conflict. It also carries a request id, so that a resend
// gets the result of the first execution.
//
// The package is deterministic and does no I/O; time is part of the command.
package revision

import (
	"time"

	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/questionnaire"
)

// RulesVersion is the version of the rules for checking commands and deriving
// contracts. All voters must decide a command identically, so a release that
// changes the rules keeps the former ones under their version, and proposes
// commands under the new version once every voter supports it.
const RulesVersion = 1

// AnyTeam is the team of an actor that may change the contracts of all teams.
const AnyTeam = "*"

// Limits of a command and of the stored state.
const (
	MaxRequestIDBytes = 128
	MaxActorBytes     = 128
	// MaxRequests is the maximum number of request ids that are kept with
	// their results. Above it, the latest KeptRequests are kept, or fewer if
	// their results exceed MaxRequestBytes. A later resend still cannot take
	// effect again: its base revision is no longer the current one, so it gets
	// a conflict.
	MaxRequests     = 1024
	KeptRequests    = 768
	MaxRequestBytes = 4 << 20
	// MaxHistory and MaxHistoryBytes bound the history, which keeps the latest
	// revisions.
	MaxHistory      = 512
	MaxHistoryBytes = 4 << 20
	// MaxContracts and MaxConfigBytes bound the configuration with its
	// answers.
	MaxContracts   = 1000
	MaxConfigBytes = 4 << 20
	// MaxDiff bounds the number of changes in a result and in a history entry.
	MaxDiff = 50
)

// ChangeKind is the kind of change that a command makes.
type ChangeKind string

// Kinds of change.
const (
	// PutContract puts a contract as given, without answers.
	PutContract ChangeKind = "put contract"
	// PutAnswers puts the contract that is derived from answers.
	PutAnswers ChangeKind = "put answers"
	// AmendAnswers changes single answers and derives the contract again.
	AmendAnswers ChangeKind = "amend answers"
	// RemoveContract removes a contract that has ended.
	RemoveContract ChangeKind = "remove contract"
)

// Change is the change of one contract. Kind determines which other fields are
// set: Contract, Answers, ContractID with Set, or ContractID alone.
type Change struct {
	Kind       ChangeKind              `json:"kind" msgpack:"k"`
	Contract   *contract.Contract      `json:"contract,omitempty" msgpack:"c,omitempty"`
	Answers    *questionnaire.Answers  `json:"answers,omitempty" msgpack:"a,omitempty"`
	ContractID string                  `json:"contract_id,omitempty" msgpack:"id,omitempty"`
	Set        []questionnaire.Setting `json:"set,omitempty" msgpack:"s,omitempty"`
}

// Target returns the ID of the contract that is changed.
func (c Change) Target() string {
	switch {
	case c.Kind == PutContract && c.Contract != nil:
		return c.Contract.ID
	case c.Kind == PutAnswers && c.Answers != nil:
		return c.Answers.Contract
	}
	return c.ContractID
}

// Command requests one change of the configuration.
type Command struct {
	Rules        int    `json:"rules" msgpack:"v"`
	RequestID    string `json:"request_id" msgpack:"r"`
	BaseRevision uint64 `json:"base_revision" msgpack:"b"`
	// Actor is the requester, Team the team it acts for (AnyTeam for all).
	Actor string `json:"actor" msgpack:"u"`
	Team  string `json:"team" msgpack:"t"`
	// At is the time on the proposer's clock.
	At     time.Time `json:"at" msgpack:"at"`
	Change Change    `json:"change" msgpack:"c"`
}

// ResultKind classifies the result of a command.
type ResultKind string

// Kinds of result.
const (
	// Accepted: the change is revision Result.Revision.
	Accepted ResultKind = "accepted"
	// Conflict: the base is not the current revision, Result.Revision.
	Conflict ResultKind = "conflict"
	// Refused: the command is invalid, see Result.Errors.
	Refused ResultKind = "refused"
)

// Result is the result of a command.
type Result struct {
	Kind ResultKind `json:"kind" msgpack:"k"`
	// Revision is the new revision if accepted, else the current one.
	Revision uint64 `json:"revision" msgpack:"r"`
	// Diff lists the changes of an accepted command. In a conflict it lists the
	// changes between the base and the current revision.
	Diff []contract.Change `json:"diff,omitempty" msgpack:"d,omitempty"`
	// DiffComplete reports whether Diff holds all changes. It is false if there
	// are more than MaxDiff or the history no longer reaches back to the base.
	DiffComplete bool                 `json:"diff_complete" msgpack:"dc"`
	Errors       contract.FieldErrors `json:"errors,omitempty" msgpack:"e,omitempty"`
}

func refused(current uint64, errs contract.FieldErrors) Result {
	return Result{Kind: Refused, Revision: current, DiffComplete: true, Errors: errs}
}

func refusedField(current uint64, field string, problem contract.Problem, reason string) Result {
	return refused(current, contract.FieldErrors{{Field: field, Problem: problem, Reason: reason}})
}
