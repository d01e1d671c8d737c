package standin

import "github.com/jackc/pgx/v5/pgproto3"

// SQLSTATE codes that the stand-in returns.
const (
	codeTermRefused        = "CT001"
	codePointNotInLog      = "CT002"
	codeUnsupported        = "0A000"
	codeProtocol           = "08P01"
	codeReadOnly           = "25006"
	codeFailedTransaction  = "25P02"
	codeNotNull            = "23502"
	codeForeignKey         = "23503"
	codeUnique             = "23505"
	codeCheck              = "23514"
	codeNoStatement        = "26000"
	codeBadPassword        = "28P01"
	codeNoPortal           = "34000"
	codeSerialization      = "40001"
	codeSyntax             = "42601"
	codeNoColumn           = "42703"
	codeNoFunction         = "42883"
	codeNoTable            = "42P01"
	codeTableExists        = "42P07"
	codeTooManyConnections = "53300"
	codeCanceled           = "57014"
	codeInvalidParameter   = "22023"
	codeInternal           = "XX000"
)

// pgError is an error that the session sends to the caller as an ErrorResponse.
type pgError struct {
	Code    string
	Message string
}

// Error returns the message followed by the SQLSTATE.
func (e *pgError) Error() string { return e.Message + " (SQLSTATE " + e.Code + ")" }

func (e *pgError) response(severity string) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                e.Code,
		Message:             e.Message,
	}
}
