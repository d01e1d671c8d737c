package questionnaire

// Kind is the type of an answer.
type Kind string

// Kinds of answers.
const (
	KindText     Kind = "text"
	KindNames    Kind = "names"
	KindYesNo    Kind = "yes/no"
	KindNumber   Kind = "number"
	KindPercent  Kind = "percent"
	KindDuration Kind = "duration"
	KindDate     Kind = "date"
	KindHarm     Kind = "harm"
)

// Question is one question of the questionnaire.
type Question struct {
	// Key is the name of the answer in the file and in amendments.
	Key string `json:"key"`
	// Text is the question in the team's terms, Help explains the effect of the
	// answer.
	Text string `json:"text"`
	Help string `json:"help"`
	Kind Kind   `json:"kind"`
	// Default is used if no answer is given. If it is empty, the question must
	// be answered.
	Default string `json:"default,omitempty"`
}

// ContractQuestion is asked once for a set of databases.
type ContractQuestion struct {
	Question
	target func(*Answers) any
}

// ServiceQuestion is asked for each kind of work.
type ServiceQuestion struct {
	Question
	target func(*ServiceAnswers) any
}

// ContractQuestions returns the questions about a set of databases in the order
// in which they are asked.
func ContractQuestions() []ContractQuestion {
	return []ContractQuestion{
		{Question{Key: "contract", Kind: KindText,
			Text: "What is the name of this contract?",
			Help: "A short name such as hire-ledger. It stays the same when answers are amended."},
			func(a *Answers) any { return &a.Contract }},
		{Question{Key: "team", Kind: KindText,
			Text: "Which team owns it?",
			Help: "Only this team's tokens may read or change the contract."},
			func(a *Answers) any { return &a.Team }},
		{Question{Key: "databases", Kind: KindNames,
			Text: "Which database groups does it cover?",
			Help: "Names separated by commas, as callers give them when they connect. A group belongs to one running contract."},
			func(a *Answers) any { return &a.Databases }},
		{Question{Key: "support_ends", Kind: KindDate,
			Text: "When does support of these databases end?",
			Help: "A date such as 2031-06-30 or a time such as 2031-06-30T12:00:00Z. No new work starts from then on; running work is completed. Warnings are sent 30, 7 and 1 days before."},
			func(a *Answers) any { return &a.SupportEnds }},
	}
}

// ServiceQuestions returns the questions about one kind of work in the order
// in which they are asked.
func ServiceQuestions() []ServiceQuestion {
	return []ServiceQuestion{
		{Question{Key: "name", Kind: KindText,
			Text: "What do you call this kind of work?",
			Help: "Callers name it as their service, for example booking."},
			func(s *ServiceAnswers) any { return &s.Name }},
		{Question{Key: "work", Kind: KindText,
			Text: "What is done in it, in one sentence?",
			Help: "For people who read the contract later."},
			func(s *ServiceAnswers) any { return &s.Work }},
		{Question{Key: "harmed", Kind: KindText,
			Text: "Who is harmed when it goes wrong, and how?",
			Help: "For people who read the contract later; the following answers rate the harm."},
			func(s *ServiceAnswers) any { return &s.Harmed }},
		{Question{Key: "priority", Kind: KindNumber,
			Text: "What is its priority when not all work can be served: 1, 2 or 3?",
			Help: "1 is served first. Work whose delay does more harm must not come after work whose delay does less."},
			func(s *ServiceAnswers) any { return &s.Priority }},
		{Question{Key: "changes_data", Kind: KindYesNo,
			Text: "Does it change data?",
			Help: "Work that changes data goes to the primary; other work may be served by replicas."},
			func(s *ServiceAnswers) any { return &s.ChangesData }},
		{Question{Key: "harm_late", Kind: KindHarm,
			Text: "How much harm does it do when it comes late?",
			Help: "none, slight, moderate or severe. Checked against the priorities."},
			func(s *ServiceAnswers) any { return &s.HarmLate }},
		{Question{Key: "harm_lost", Kind: KindHarm, Default: string(HarmNone),
			Text: "How much harm does it do when a confirmed change is lost?",
			Help: "none or slight: one database confirms. moderate or severe: a second database must hold the change before it is confirmed."},
			func(s *ServiceAnswers) any { return &s.HarmLost }},
		{Question{Key: "harm_doubled", Kind: KindHarm, Default: string(HarmNone),
			Text: "How much harm does it do when the same request takes effect twice?",
			Help: "none: a request may be repeated after a fault. Otherwise it runs at most once."},
			func(s *ServiceAnswers) any { return &s.HarmDoubled }},
		{Question{Key: "data_age", Kind: KindDuration, Default: "0s",
			Text: "How old may the data be that it reads?",
			Help: "0s means always the latest. Otherwise replicas within this age serve it. A session always sees its own writes."},
			func(s *ServiceAnswers) any { return &s.DataAge }},
		{Question{Key: "wait", Kind: KindDuration,
			Text: "How long may a customer wait for one request?",
			Help: "The target latency of a request from its arrival. A request that cannot end in time is refused immediately as not run."},
			func(s *ServiceAnswers) any { return &s.Wait }},
		{Question{Key: "flood_share", Kind: KindPercent, Default: "0",
			Text: "What share of a database must stay reserved for it when more urgent work overloads the database, in per cent?",
			Help: "The floor of the service. The sum of all shares is at most 100."},
			func(s *ServiceAnswers) any { return &s.FloodShare }},
	}
}
