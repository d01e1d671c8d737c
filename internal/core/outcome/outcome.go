// Package outcome defines the outcomes of a request. An outcome is a value
// rather than an error, so that the users of the core packages can act on it.
package outcome

import "time"

// Kind classifies the known effect of a request.
type Kind string

// Kinds of outcome.
const (
	// Done means that the request ran and its answer is complete.
	Done Kind = "done"
	// NotRun means that no part of the request took or can take effect.
	NotRun Kind = "not run"
	// Unknown means that the request may have taken effect.
	Unknown Kind = "unknown"
	// Failed means that the upstream ran the request and returned an error of
	// its own, so that the transaction has no effect.
	Failed Kind = "failed"
)

// SQLSTATEs sent to callers. The class "CC" is not used by PostgreSQL.
const (
	// CodeOverloaded: admission refused the request, not run; retry after the
	// hint.
	CodeOverloaded = "CC001"
	// CodeNoPrimary: no primary can acknowledge a write at present, not run.
	CodeNoPrimary = "CC002"
	// CodeNoUpstream: no upstream can serve the read, not run.
	CodeNoUpstream = "CC003"
	// CodeContractEnded: the contract of the database has ended, not run.
	CodeContractEnded = "CC004"
	// CodeUnknownService: the caller did not name a service of the contract,
	// not run.
	CodeUnknownService = "CC005"
	// CodeBadToken: the session token is malformed or forged, not run.
	CodeBadToken = "CC006"
	// CodeWriteLost: the session's write was lost in a failover; the session
	// must start again without its token, not run.
	CodeWriteLost = "CC007"
	// CodeShuttingDown: the entry instance is shutting down, not run.
	CodeShuttingDown = "57P01"
	// CodeDuplicate: the request with this id has already run and its answer
	// cannot be sent again.
	CodeDuplicate = "CC008"
	// CodeUnsupported: the statement uses a feature that the proxy does not
	// support, not run.
	CodeUnsupported = "0A000"
	// CodeProtocol: the caller violated the protocol.
	CodeProtocol = "08P01"
	// CodeUnknownResult: the outcome of the transaction is unknown.
	CodeUnknownResult = "08007"
	// CodeLagging: no upstream holds the writes that the read must see, not run.
	CodeLagging = "CC009"
	// CodeReadOnly: the upstream does not accept writes, not run.
	CodeReadOnly = "25006"
	// CodeRolledBack: the transaction was rolled back and has no effect.
	CodeRolledBack = "40000"
	// CodeNoDatabase: callers cannot connect to this database name, not run.
	CodeNoDatabase = "3D000"
	// CodeUnauthenticated: the caller's key is unknown or has been withdrawn, not run.
	CodeUnauthenticated = "28000"
	// CodeRateLimited: the organisation has reached its rate limit, not run; retry
	// after the hint.
	CodeRateLimited = "CC010"
	// CodeConfigUnconfirmed: the instance can't tell whether its configuration is the
	// latest, not run; another instance may serve the request.
	CodeConfigUnconfirmed = "CC011"
	// CodeNoStatement: no prepared statement has this name, not run.
	CodeNoStatement = "26000"
	// CodeUpstreamFailed: the upstream returned an error of its own.
	CodeUpstreamFailed = "XX000"
	// CodeTimeout: the request timed out and did not take effect.
	CodeTimeout = "57014"
)

// Outcome is the outcome of one request.
type Outcome struct {
	Kind Kind
	// Code is the SQLSTATE sent to the caller, empty for Done.
	Code string
	// Reason is a short sentence for the caller and the timeline.
	Reason string
	// RetryAfter is a hint for the caller, zero if there is none.
	RetryAfter time.Duration
}

// Refused returns a NotRun outcome.
func Refused(code, reason string) Outcome {
	return Outcome{Kind: NotRun, Code: code, Reason: reason}
}

// RefusedWithRetry returns a NotRun outcome with a retry hint.
func RefusedWithRetry(code, reason string, retryAfter time.Duration) Outcome {
	return Outcome{Kind: NotRun, Code: code, Reason: reason, RetryAfter: retryAfter}
}

// configRetryHint is when a caller may return to an instance that can't confirm its
// configuration.
const configRetryHint = 500 * time.Millisecond

// ConfigUnconfirmed returns the outcome of a request whose instance can't tell whether its
// configuration is the latest.
func ConfigUnconfirmed() Outcome {
	return RefusedWithRetry(CodeConfigUnconfirmed, "this entry instance can't tell whether its configuration is the latest", configRetryHint)
}

// UnknownResult returns an Unknown outcome.
func UnknownResult(reason string) Outcome {
	return Outcome{Kind: Unknown, Code: CodeUnknownResult, Reason: reason}
}
