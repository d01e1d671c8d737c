package revision

import (
	"errors"
	"fmt"

	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/questionnaire"
)

// decide returns the result of a command on the current state and, if it is
// accepted, the new record, which is nil if the contract is removed.
func (s *State) decide(cmd Command) (Result, *Record) {
	if errs := checkCommand(cmd); len(errs) > 0 {
		return refused(s.revision, errs), nil
	}
	if cmd.BaseRevision != s.revision {
		return s.conflict(cmd), nil
	}
	id := cmd.Change.Target()
	before, found := s.Record(id)
	if found && !mayChange(cmd.Team, before.Contract.Team) {
		return refusedField(s.revision, "team", contract.ProblemForbidden,
			fmt.Sprintf("contract %q belongs to another team", id)), nil
	}
	if cmd.Change.Kind == RemoveContract {
		return s.decideRemove(cmd, before, found), nil
	}
	after, errs := s.nextRecord(cmd, before, found)
	if len(errs) > 0 {
		return refused(s.revision, errs), nil
	}
	var old *contract.Contract
	if found {
		old = &before.Contract
	}
	return s.accepted(contract.Diff(old, &after.Contract)), after
}

func (s *State) accepted(diff []contract.Change) Result {
	diff, complete := truncateDiff(diff)
	return Result{Kind: Accepted, Revision: s.revision + 1, Diff: diff, DiffComplete: complete}
}

// truncateDiff limits a diff to MaxDiff changes and reports whether it is
// complete.
func truncateDiff(diff []contract.Change) (bounded []contract.Change, whole bool) {
	if len(diff) > MaxDiff {
		return diff[:MaxDiff], false
	}
	return diff, true
}

// mayChange reports whether an actor of a team may change the owner's contracts.
func mayChange(team, owner string) bool { return team == AnyTeam || team == owner }

func checkCommand(cmd Command) contract.FieldErrors {
	var errs contract.FieldErrors
	if cmd.Rules != RulesVersion {
		errs.Add("rules", contract.ProblemUnknown, fmt.Sprintf("version %d of the rules is unknown", cmd.Rules))
		return errs
	}
	checkText(&errs, "request_id", cmd.RequestID, MaxRequestIDBytes)
	checkText(&errs, "actor", cmd.Actor, MaxActorBytes)
	checkText(&errs, "team", cmd.Team, contract.MaxNameBytes)
	checkChange(&errs, cmd.Change)
	return errs
}

func checkText(errs *contract.FieldErrors, field, text string, limit int) {
	if text == "" {
		errs.Add(field, contract.ProblemMissing, "must not be empty")
	}
	if len(text) > limit {
		errs.Add(field, contract.ProblemOutOfRange, fmt.Sprintf("has %d bytes, at most %d are allowed", len(text), limit))
	}
}

func checkChange(errs *contract.FieldErrors, c Change) {
	missing := func(field string) { errs.Add(field, contract.ProblemMissing, "must be given") }
	switch c.Kind {
	case PutContract:
		if c.Contract == nil {
			missing("contract")
		}
	case PutAnswers:
		if c.Answers == nil {
			missing("answers")
		}
	case AmendAnswers:
		if c.ContractID == "" {
			missing("contract_id")
		}
		if len(c.Set) == 0 {
			missing("set")
		}
	case RemoveContract:
		if c.ContractID == "" {
			missing("contract_id")
		}
	default:
		errs.Add("kind", contract.ProblemUnknown, fmt.Sprintf("%q is not a kind of change", c.Kind))
	}
}

// decideRemove decides a removal. Only a contract that has ended can be removed.
func (s *State) decideRemove(cmd Command, before Record, found bool) Result {
	if !found {
		return refusedField(s.revision, "contract_id", contract.ProblemUnknown, fmt.Sprintf("there is no contract %q", cmd.Change.ContractID))
	}
	if !before.Contract.Ended(cmd.At) {
		return refusedField(s.revision, "contract_id", contract.ProblemRunning,
			"the contract has not ended; amend support_ends first, so that its services stop by a date")
	}
	return s.accepted(contract.Diff(&before.Contract, nil))
}

// nextRecord returns the record after a put or an amendment.
func (s *State) nextRecord(cmd Command, before Record, found bool) (*Record, contract.FieldErrors) {
	after, err := derive(cmd, before, found)
	if err != nil {
		return nil, fieldsOf(err)
	}
	var errs contract.FieldErrors
	if !mayChange(cmd.Team, after.Contract.Team) {
		errs.Add("team", contract.ProblemForbidden, fmt.Sprintf("team %q may not put a contract of team %q", cmd.Team, after.Contract.Team))
	}
	s.checkCapacity(&errs, before, *after, found)
	if err := contract.Validate(&after.Contract, s.config.Contracts, cmd.At); err != nil {
		if after.Answers != nil {
			err = questionnaire.AnswerErrors(err)
		}
		errs = append(errs, fieldsOf(err)...)
	}
	return after, errs
}

// checkCapacity refuses a record that would make the configuration exceed
// MaxContracts or MaxConfigBytes.
func (s *State) checkCapacity(errs *contract.FieldErrors, before, after Record, found bool) {
	if !found && len(s.records) >= MaxContracts {
		errs.Add("contract", contract.ProblemOutOfRange, fmt.Sprintf("there are %d contracts already", len(s.records)))
	}
	bytes := s.recordBytes + sizeOf(after)
	if found {
		bytes -= sizeOf(before)
	}
	if bytes > MaxConfigBytes {
		errs.Add("contract", contract.ProblemOutOfRange, fmt.Sprintf("the configuration would have %d bytes, at most %d are allowed", bytes, MaxConfigBytes))
	}
}

// derive builds the record of a put or an amendment.
func derive(cmd Command, before Record, found bool) (*Record, error) {
	if cmd.Change.Kind == PutContract {
		return &Record{Contract: cmd.Change.Contract.Clone()}, nil
	}
	answers := cmd.Change.Answers
	if cmd.Change.Kind == AmendAnswers {
		amended, err := amend(cmd, before, found)
		if err != nil {
			return nil, err
		}
		answers = amended
	}
	generated, err := questionnaire.Generate(answers, cmd.At)
	if err != nil {
		return nil, err
	}
	return &Record{Contract: generated.Contract, Answers: answers.Clone()}, nil
}

func amend(cmd Command, before Record, found bool) (*questionnaire.Answers, error) {
	var errs contract.FieldErrors
	switch {
	case !found:
		errs.Add("contract_id", contract.ProblemUnknown, fmt.Sprintf("there is no contract %q", cmd.Change.ContractID))
	case before.Answers == nil:
		errs.Add("contract_id", contract.ProblemMissing, "the contract was put without answers; apply answers first")
	}
	if err := errs.Err(); err != nil {
		return nil, err
	}
	return questionnaire.Amend(before.Answers, cmd.Change.Set)
}

func fieldsOf(err error) contract.FieldErrors {
	var fields contract.FieldErrors
	if !errors.As(err, &fields) {
		panic("revision: an error without fields: " + err.Error())
	}
	return fields
}

// conflict returns a conflict with the changes since the base of the command.
// Changes of other teams' contracts are omitted.
func (s *State) conflict(cmd Command) Result {
	result := Result{Kind: Conflict, Revision: s.revision}
	if cmd.BaseRevision > s.revision {
		return result
	}
	changes, complete := s.changesSince(cmd.BaseRevision, cmd.Team)
	diff, whole := truncateDiff(changes)
	result.Diff, result.DiffComplete = diff, complete && whole
	return result
}

// changesSince returns the net changes after a revision, as far as the team may see
// them. complete is false if the history does not hold all of them.
func (s *State) changesSince(base uint64, team string) (net []contract.Change, complete bool) {
	entries := s.history.items
	complete = len(entries) > 0 && entries[0].Revision <= base+1
	var all []contract.Change
	for _, e := range entries {
		if e.Revision > base && mayChange(team, e.Owner) {
			all = append(all, e.Changes...)
			complete = complete && e.ChangesComplete
		}
	}
	return contract.Merge(all), complete
}
