package standin

import (
	"strings"
	"unicode"
)

// token is a piece of SQL text: a word, a quoted string, a comment, or a
// single other character.
type token struct {
	text  string
	word  bool
	space bool // white space or a comment
}

// scanSQL splits text into tokens. The concatenated tokens equal the input.
func scanSQL(text string) []token {
	var tokens []token
	for len(text) > 0 {
		n, word, space := nextToken(text)
		tokens = append(tokens, token{text: text[:n], word: word, space: space})
		text = text[n:]
	}
	return tokens
}

func nextToken(text string) (n int, word, space bool) {
	switch c := text[0]; {
	case strings.HasPrefix(text, "--"):
		return prefixLength(text, "\n", 2), false, true
	case strings.HasPrefix(text, "/*"):
		return prefixLength(text, "*/", 2), false, true
	case c == '\'' || c == '"':
		return prefixLength(text, string(c), 1), false, false
	case unicode.IsSpace(rune(c)):
		return 1, false, true
	case isWordByte(c):
		end := 1
		for end < len(text) && isWordByte(text[end]) {
			end++
		}
		return end, true, false
	default:
		return 1, false, false
	}
}

// prefixLength returns the length of the prefix that ends with the first occurrence
// of end at or after offset from.
func prefixLength(text, end string, from int) int {
	i := strings.Index(text[from:], end)
	if i < 0 {
		return len(text)
	}
	return from + i + len(end)
}

func isWordByte(c byte) bool {
	return c == '_' || c == '$' || c >= 0x80 ||
		'0' <= c && c <= '9' || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
}

// splitStatements splits text at semicolons and drops empty statements.
func splitStatements(text string) []string {
	var statements []string
	var b strings.Builder
	empty := true
	flush := func() {
		if !empty {
			statements = append(statements, strings.TrimSpace(b.String()))
		}
		b.Reset()
		empty = true
	}
	for _, t := range scanSQL(text) {
		if t.text == ";" {
			flush()
			continue
		}
		b.WriteString(t.text)
		empty = empty && t.space
	}
	flush()
	return statements
}

// words returns the words of a statement in upper case, without comments and
// quoted strings.
func words(sql string) []string {
	var sqlWords []string
	for _, t := range scanSQL(sql) {
		if t.word {
			sqlWords = append(sqlWords, strings.ToUpper(t.text))
		}
	}
	return sqlWords
}

// countParams returns the highest n of all parameters $n.
func countParams(sql string) int {
	highest := 0
	for _, t := range scanSQL(sql) {
		if !t.word || t.text[0] != '$' {
			continue
		}
		n := 0
		for _, c := range t.text[1:] {
			if c < '0' || c > '9' {
				n = 0
				break
			}
			n = n*10 + int(c-'0')
		}
		highest = max(highest, n)
	}
	return highest
}

// command is an SQL statement with the properties that the stand-in derives from
// its text.
type command struct {
	sql       string
	verb      string
	writes    bool
	returning bool
	params    int
	control   *controlCall
}

var readVerbs = map[string]bool{"SELECT": true, "VALUES": true, "EXPLAIN": true, "PRAGMA": true}

func parseCommand(sql string) command {
	sqlWords := words(sql)
	c := command{sql: sql, params: countParams(sql)}
	if len(sqlWords) == 0 {
		return c
	}
	c.verb = sqlWords[0]
	c.control = parseControl(sql)
	if c.verb == "WITH" {
		c.verb = verbAfterWith(sqlWords)
	}
	c.writes = !readVerbs[c.verb]
	for _, w := range sqlWords {
		if w == "RETURNING" {
			c.returning = true
		}
	}
	return c
}

// verbAfterWith returns the verb that follows the common table expressions of a
// statement.
func verbAfterWith(sqlWords []string) string {
	for _, w := range sqlWords {
		switch w {
		case "INSERT", "UPDATE", "DELETE":
			return w
		}
	}
	return "SELECT"
}

// returnsRows reports whether the statement returns rows.
func (c command) returnsRows() bool { return !c.writes || c.returning }

// countsRows reports whether the statement has a number of affected rows.
func (c command) countsRows() bool {
	switch c.verb {
	case "INSERT", "UPDATE", "DELETE", "REPLACE":
		return true
	}
	return false
}

// describeQuery returns a query that has the same columns as the statement and
// has no effect, whatever its parameters are.
func (c command) describeQuery() string {
	if !c.writes {
		return c.sql
	}
	tokens := scanSQL(c.sql)
	table := ""
	for i, t := range tokens {
		upper := strings.ToUpper(t.text)
		if table == "" && (upper == "INTO" || upper == "UPDATE" || upper == "FROM") {
			table = nextName(tokens[i+1:])
		}
		if upper == "RETURNING" {
			var columns strings.Builder
			for _, rest := range tokens[i+1:] {
				columns.WriteString(rest.text)
			}
			return "SELECT " + columns.String() + " FROM " + table + " LIMIT 1"
		}
	}
	return c.sql
}

func nextName(tokens []token) string {
	for _, t := range tokens {
		if !t.space {
			return t.text
		}
	}
	return ""
}
