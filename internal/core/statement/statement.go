// Package statement extracts from a SQL text what the proxy needs: the leading
// keywords, SET of the proxy's own parameters, and attributes in sqlcommenter
// comments. It does not parse SQL.
//
// The package does no I/O.
package statement

import "strings"

// Kind classifies a statement for the proxy.
type Kind int

// Kinds of statement.
const (
	// Other is any statement that the proxy does not handle specially.
	Other Kind = iota
	// Empty is a text without a statement.
	Empty
	// Begin opens a transaction.
	Begin
	// Commit commits a transaction.
	Commit
	// Rollback rolls back a transaction.
	Rollback
	// Set changes a parameter of the session.
	Set
	// SetLocal changes a parameter until the transaction ends.
	SetLocal
	// Show reads a parameter.
	Show
	// Refused depends on connection state that the proxy cannot preserve.
	Refused
)

// Statement is the result of Classify.
type Statement struct {
	Kind Kind
	// Name and Value are the parameter of Set and Show, the name in lower case.
	Name, Value string
	// Feature is the refused feature.
	Feature string
}

// refusedKeywords maps a leading keyword to the refused feature that it uses.
var refusedKeywords = map[string]string{
	"COPY":       "COPY",
	"LISTEN":     "LISTEN",
	"UNLISTEN":   "LISTEN",
	"PREPARE":    "PREPARE in SQL; use the extended protocol",
	"EXECUTE":    "EXECUTE in SQL; use the extended protocol",
	"DEALLOCATE": "DEALLOCATE in SQL; use the extended protocol",
	"LOAD":       "LOAD",
	"VACUUM":     "VACUUM",
}

// Classify classifies sql by its leading keywords.
func Classify(sql string) Statement {
	rest := skipSpace(sql)
	if rest == "" {
		return Statement{Kind: Empty}
	}
	word, rest := keyword(rest)
	switch word {
	case "BEGIN", "START":
		return Statement{Kind: Begin}
	case "COMMIT", "END":
		return classifyEnd(rest, Commit)
	case "ROLLBACK", "ABORT":
		return classifyEnd(rest, Rollback)
	case "SET":
		return classifySet(rest)
	case "RESET", "DISCARD":
		return Statement{Kind: Set, Name: "reset", Value: word}
	case "SHOW":
		return Statement{Kind: Show, Name: strings.ToLower(trimEnd(rest))}
	case "CREATE":
		return classifyCreate(rest)
	}
	if feature, ok := refusedKeywords[word]; ok {
		return Statement{Kind: Refused, Feature: feature}
	}
	if usesSessionLock(sql) {
		return Statement{Kind: Refused, Feature: "session advisory locks; use pg_advisory_xact_lock"}
	}
	return Statement{Kind: Other}
}

// classifyEnd distinguishes COMMIT and ROLLBACK from their two-phase and
// savepoint forms.
func classifyEnd(rest string, kind Kind) Statement {
	word, rest := keyword(rest)
	if word == "PREPARED" {
		return Statement{Kind: Refused, Feature: "two-phase commit"}
	}
	if word == "TO" {
		return Statement{Kind: Other}
	}
	if word == "TRANSACTION" || word == "WORK" {
		if next, _ := keyword(rest); next == "TO" {
			return Statement{Kind: Other}
		}
	}
	return Statement{Kind: kind}
}

func classifySet(rest string) Statement {
	word, after := keyword(rest)
	if word == "LOCAL" || word == "TRANSACTION" || word == "CONSTRAINTS" {
		return Statement{Kind: SetLocal}
	}
	if word == "SESSION" {
		rest = after
	}
	name, value, found := cutAssignment(trimEnd(rest))
	if !found {
		return Statement{Kind: Refused, Feature: "this form of SET"}
	}
	return Statement{Kind: Set, Name: strings.ToLower(name), Value: value}
}

func cutAssignment(s string) (name, value string, found bool) {
	if name, value, found = strings.Cut(s, "="); !found {
		lower := strings.ToLower(s)
		at := strings.Index(lower, " to ")
		if at < 0 {
			return "", "", false
		}
		name, value = s[:at], s[at+len(" to "):]
	}
	name, value = strings.TrimSpace(name), strings.TrimSpace(value)
	if strings.ContainsAny(name, " \t\n") || name == "" {
		return "", "", false
	}
	return strings.Trim(name, `"`), unquote(value), true
}

func classifyCreate(rest string) Statement {
	word, rest := keyword(rest)
	if word == "LOCAL" || word == "GLOBAL" {
		word, _ = keyword(rest)
	}
	if word == "TEMP" || word == "TEMPORARY" {
		return Statement{Kind: Refused, Feature: "temporary tables"}
	}
	return Statement{Kind: Other}
}

func usesSessionLock(sql string) bool {
	lower := strings.ToLower(sql)
	return strings.Contains(lower, "pg_advisory_lock") || strings.Contains(lower, "pg_try_advisory_lock")
}

// ContainsTransactionControl reports whether sql contains a statement after a
// semicolon that opens or ends a transaction. A simple query may contain several
// statements. Quoted text can be mistaken for a statement; the proxy then refuses
// a query that it could have run.
func ContainsTransactionControl(sql string) bool {
	for _, part := range strings.Split(sql, ";")[1:] {
		switch Classify(part).Kind {
		case Begin, Commit, Rollback:
			return true
		}
	}
	return false
}

// skipSpace removes leading white space, semicolons and comments.
func skipSpace(s string) string {
	for {
		s = strings.TrimLeft(s, " \t\r\n;")
		switch {
		case strings.HasPrefix(s, "--"):
			_, s, _ = strings.Cut(s, "\n")
		case strings.HasPrefix(s, "/*"):
			_, rest, found := strings.Cut(s[2:], "*/")
			if !found {
				return ""
			}
			s = rest
		default:
			return s
		}
	}
}

// keyword returns the first word in upper case and the rest after it.
func keyword(s string) (word, rest string) {
	s = skipSpace(s)
	end := 0
	for end < len(s) && isLetter(s[end]) {
		end++
	}
	return strings.ToUpper(s[:end]), s[end:]
}

func isLetter(b byte) bool {
	return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b == '_'
}

// trimEnd removes a trailing comment, semicolons and space.
func trimEnd(s string) string {
	if at := strings.Index(s, "/*"); at >= 0 {
		s = s[:at]
	}
	return strings.Trim(s, " \t\r\n;")
}

func unquote(s string) string {
	if len(s) >= 2 && s[0] == '\'' && s[len(s)-1] == '\'' {
		return strings.ReplaceAll(s[1:len(s)-1], "''", "'")
	}
	return s
}
