package statement

import (
	"fmt"
	"net/url"
	"strings"
	"time"
)

// Prefix is the prefix of the proxy's own parameters.
const Prefix = "cicadacove."

// Names of the attributes, without the prefix.
const (
	AttrService   = "service"
	AttrSessionID = "session_id"
	AttrToken     = "session_token"
	AttrRequestID = "request_id"
	AttrMaxAge    = "max_age"
)

// MaxAttributeBytes bounds the length of an attribute's value in bytes.
const MaxAttributeBytes = 512

// Attributes are the parameters that a caller sets for its session or for one
// request.
type Attributes struct {
	Service   string
	SessionID string
	Token     string
	RequestID string
	// MaxAge is valid if HasMaxAge is set. It can only lower the service's MaxAge.
	MaxAge    time.Duration
	HasMaxAge bool
}

// AttributeError reports an invalid attribute.
type AttributeError struct {
	Name   string
	Reason string
}

// Error returns the name of the attribute and the reason.
func (e *AttributeError) Error() string { return Prefix + e.Name + ": " + e.Reason }

// Set stores the value of the attribute with the given name, without prefix.
func (a *Attributes) Set(name, value string) error {
	if len(value) > MaxAttributeBytes {
		return &AttributeError{name, fmt.Sprintf("longer than %d bytes", MaxAttributeBytes)}
	}
	if strings.ContainsAny(value, "\x00\r\n") {
		return &AttributeError{name, "contains a control character"}
	}
	switch name {
	case AttrService:
		a.Service = value
	case AttrSessionID:
		a.SessionID = value
	case AttrToken:
		a.Token = value
	case AttrRequestID:
		a.RequestID = value
	case AttrMaxAge:
		return a.setMaxAge(value)
	default:
		return &AttributeError{name, "unknown attribute"}
	}
	return nil
}

func (a *Attributes) setMaxAge(value string) error {
	age, err := time.ParseDuration(value)
	if err != nil || age < 0 {
		return &AttributeError{AttrMaxAge, fmt.Sprintf("%q is not a duration such as 500ms", value)}
	}
	a.MaxAge, a.HasMaxAge = age, true
	return nil
}

// ReadComments stores the attributes of the sqlcommenter comments in sql,
// such as /*cicadacove.service='stock',cicadacove.max_age='2s'*/. Keys
// without the prefix are ignored. A comment inside a quoted text is part of that
// text.
func (a *Attributes) ReadComments(sql string) error {
	if !strings.Contains(sql, Prefix) {
		return nil
	}
	for _, c := range comments(sql) {
		if err := a.readComment(c); err != nil {
			return err
		}
	}
	return nil
}

func (a *Attributes) readComment(comment string) error {
	for _, pair := range strings.Split(comment, ",") {
		key, value, found := strings.Cut(strings.TrimSpace(pair), "=")
		name, ours := strings.CutPrefix(strings.TrimSpace(key), Prefix)
		if !ours {
			continue
		}
		if !found {
			return &AttributeError{name, "has no value"}
		}
		text, err := url.PathUnescape(unquote(strings.TrimSpace(value)))
		if err != nil {
			return &AttributeError{name, "is not URL-encoded"}
		}
		if err := a.Set(name, text); err != nil {
			return err
		}
	}
	return nil
}

// comments returns the inner texts of the block comments outside of quotes.
func comments(sql string) []string {
	var out []string
	for _, p := range split(sql) {
		if p.comment {
			out = append(out, p.text)
		}
	}
	return out
}

// StripComments returns sql without its block comments.
func StripComments(sql string) string {
	var b strings.Builder
	for _, p := range split(sql) {
		if !p.comment {
			b.WriteString(p.text)
		}
	}
	return strings.TrimSpace(b.String())
}

// part is a part of a SQL text: the inner text of a block comment, or the text
// between comments.
type part struct {
	text    string
	comment bool
}

// split splits sql at its block comments outside of quotes. An unterminated quote
// or comment becomes part of the last part unchanged.
func split(sql string) []part {
	var out []part
	start := 0
	for i := 0; i < len(sql); {
		switch {
		case sql[i] == '\'' || sql[i] == '"':
			end := strings.IndexByte(sql[i+1:], sql[i])
			if end < 0 {
				return append(out, part{text: sql[start:]})
			}
			i += end + 2
		case strings.HasPrefix(sql[i:], "/*"):
			end := strings.Index(sql[i+2:], "*/")
			if end < 0 {
				return append(out, part{text: sql[start:]})
			}
			out = append(out, part{text: sql[start:i]}, part{text: sql[i+2 : i+2+end], comment: true})
			i += end + 4
			start = i
		default:
			i++
		}
	}
	return append(out, part{text: sql[start:]})
}
