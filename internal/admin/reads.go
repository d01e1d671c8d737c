package admin

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/questionnaire"
	"github.com/cicadacove/cicadacove/internal/core/revision"
)

// defaultHistoryLimit is the maximum number of revisions in a response when the
// request sets no limit.
const defaultHistoryLimit = 50

// ContractView is a contract as the API returns it.
type ContractView struct {
	contract.Contract
	Phase contract.Phase `json:"phase"`
	// Revision is the revision of the whole configuration.
	Revision   uint64 `json:"revision"`
	HasAnswers bool   `json:"has_answers"`
}

// ContractList is the response to GET /v1/contracts.
type ContractList struct {
	Revision  uint64         `json:"revision"`
	Contracts []ContractView `json:"contracts"`
}

// AnswersView is the response to GET /v1/contracts/{id}/answers.
type AnswersView struct {
	Revision uint64                 `json:"revision"`
	Answers  *questionnaire.Answers `json:"answers"`
}

// Explanation is the response to GET /v1/contracts/{id}/explain.
type Explanation struct {
	Revision uint64                 `json:"revision"`
	Contract string                 `json:"contract"`
	Sources  []questionnaire.Source `json:"sources"`
}

// AuditRecord describes one change and the identity that made it.
type AuditRecord struct {
	Revision  uint64              `json:"revision"`
	At        time.Time           `json:"at"`
	Actor     string              `json:"actor"`
	Team      string              `json:"team"`
	RequestID string              `json:"request_id"`
	Kind      revision.ChangeKind `json:"kind"`
	Contract  string              `json:"contract"`
	Changes   int                 `json:"changes"`
}

// Audit is the response to GET /v1/audit, with the latest record first.
type Audit struct {
	Revision uint64        `json:"revision"`
	Records  []AuditRecord `json:"records"`
}

// Questions is the response to GET /v1/questionnaire.
type Questions struct {
	Contract []questionnaire.Question `json:"contract"`
	Service  []questionnaire.Question `json:"service"`
}

func (s *Server) listContracts(w http.ResponseWriter, r *http.Request, id Identity) error {
	view, err := s.backends.Config.View(r.Context())
	if err != nil {
		return err
	}
	list := ContractList{Revision: view.Revision, Contracts: []ContractView{}}
	for _, record := range view.Records {
		if id.CanView(record.Contract.Team) {
			list.Contracts = append(list.Contracts, s.contractView(view, record))
		}
	}
	writeJSON(w, http.StatusOK, list)
	return nil
}

func (s *Server) contractView(view revision.View, record revision.Record) ContractView {
	return ContractView{
		Contract:   record.Contract,
		Phase:      record.Contract.PhaseAt(s.options.Now()),
		Revision:   view.Revision,
		HasAnswers: record.Answers != nil,
	}
}

// record returns the contract that the path names. It reports a contract of
// another team as not found.
func (s *Server) record(r *http.Request, id Identity) (revision.View, revision.Record, error) {
	view, err := s.backends.Config.View(r.Context())
	if err != nil {
		return revision.View{}, revision.Record{}, err
	}
	contractID := r.PathValue("id")
	record, found := view.Record(contractID)
	if !found || !id.CanView(record.Contract.Team) {
		return view, record, newError(CodeNotFound, "there is no contract %q of your team", contractID)
	}
	return view, record, nil
}

func (s *Server) getContract(w http.ResponseWriter, r *http.Request, id Identity) error {
	view, record, err := s.record(r, id)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, s.contractView(view, record))
	return nil
}

func (s *Server) getAnswers(w http.ResponseWriter, r *http.Request, id Identity) error {
	view, record, err := s.recordWithAnswers(r, id)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, AnswersView{Revision: view.Revision, Answers: record.Answers})
	return nil
}

func (s *Server) recordWithAnswers(r *http.Request, id Identity) (revision.View, revision.Record, error) {
	view, record, err := s.record(r, id)
	if err == nil && record.Answers == nil {
		err = newError(CodeNotFound, "contract %q was put without answers", record.Contract.ID)
	}
	return view, record, err
}

func (s *Server) getExplain(w http.ResponseWriter, r *http.Request, id Identity) error {
	view, record, err := s.recordWithAnswers(r, id)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, Explanation{
		Revision: view.Revision, Contract: record.Contract.ID,
		Sources: questionnaire.Explain(record.Answers, &record.Contract),
	})
	return nil
}

func (s *Server) getHistory(w http.ResponseWriter, r *http.Request, id Identity) error {
	history, err := s.history(r, id)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, history)
	return nil
}

// history returns the revisions that the sender may view, filtered by the query
// parameters contract and limit.
func (s *Server) history(r *http.Request, id Identity) (revision.History, error) {
	q := revision.HistoryQuery{Team: id.Team, Contract: r.URL.Query().Get("contract"), Limit: defaultHistoryLimit}
	if text := r.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > revision.MaxHistory {
			return revision.History{}, badField("limit", contract.ProblemOutOfRange, fmt.Sprintf("%q is not a number from 1 to %d", text, revision.MaxHistory))
		}
		q.Limit = n
	}
	return s.backends.Config.History(r.Context(), q)
}

func (s *Server) getAudit(w http.ResponseWriter, r *http.Request, id Identity) error {
	history, err := s.history(r, id)
	if err != nil {
		return err
	}
	audit := Audit{Revision: history.Revision, Records: []AuditRecord{}}
	for _, e := range history.Entries {
		audit.Records = append(audit.Records, AuditRecord{
			Revision: e.Revision, At: e.At, Actor: e.Actor, Team: e.Team, RequestID: e.RequestID,
			Kind: e.Kind, Contract: e.ContractID, Changes: len(e.Changes),
		})
	}
	writeJSON(w, http.StatusOK, audit)
	return nil
}

func (s *Server) getQuestionnaire(w http.ResponseWriter, _ *http.Request, _ Identity) error {
	var q Questions
	for _, c := range questionnaire.ContractQuestions() {
		q.Contract = append(q.Contract, c.Question)
	}
	for _, c := range questionnaire.ServiceQuestions() {
		q.Service = append(q.Service, c.Question)
	}
	writeJSON(w, http.StatusOK, q)
	return nil
}
