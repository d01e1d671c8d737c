package settings

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
	"github.com/samber/oops"
)

// FieldError is an error in one setting.
type FieldError struct {
	File string
	// Line is 0 if the file does not contain the setting.
	Line   int
	Field  string
	Reason string
}

// Error returns file, line, field and reason.
func (e FieldError) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s: %s", e.File, e.Field, e.Reason)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Reason)
}

// Errors lists all errors of a settings file.
type Errors []FieldError

// Error joins the errors, one per line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, f := range e {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Load reads and validates a settings file. If its content is invalid, the
// error is of type Errors.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, oops.In("settings").With("file", path).Wrapf(err, "settings")
	}
	return Parse(path, data)
}

// Parse parses and validates settings. Errors report file as the name of the
// file. Settings that data does not contain have their defaults.
func Parse(file string, data []byte) (Settings, error) {
	s := Default()
	dec := toml.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return Settings{}, decodeErrors(file, err)
	}
	errs := check(&s)
	if len(errs) == 0 {
		return s, nil
	}
	lines := indexLines(data)
	for i := range errs {
		errs[i].File = file
		errs[i].Line = lines.find(errs[i].Field)
	}
	return Settings{}, errs
}

// decodeErrors converts an error of the TOML decoder to Errors.
func decodeErrors(file string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var errs Errors
		for i := range strict.Errors {
			row, _ := strict.Errors[i].Position()
			errs = append(errs, FieldError{file, row, strings.Join(strict.Errors[i].Key(), "."), "unknown setting"})
		}
		return errs
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, _ := decode.Position()
		field := strings.Join(decode.Key(), ".")
		if field == "" {
			field = "syntax"
		}
		return Errors{{file, row, field, strings.TrimPrefix(decode.Error(), "toml: ")}}
	}
	return Errors{{File: file, Field: "syntax", Reason: err.Error()}}
}

// lineIndex maps dotted keys of a TOML document to their lines.
type lineIndex map[string]int

// find returns the line of the field, else the line of its table, else 0. It
// ignores an index such as "[2]" at the end of the field.
func (l lineIndex) find(field string) int {
	field, _, _ = strings.Cut(field, "[")
	if line, ok := l[field]; ok {
		return line
	}
	table, _, _ := strings.Cut(field, ".")
	return l[table]
}

// indexLines indexes a document that has been decoded without errors.
func indexLines(data []byte) lineIndex {
	index := lineIndex{}
	parser := unstable.Parser{}
	parser.Reset(data)
	table := ""
	for parser.NextExpression() {
		node := parser.Expression()
		key, line := dottedKey(&parser, node)
		switch node.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = key
			index[key] = line
		case unstable.KeyValue:
			if table != "" {
				key = table + "." + key
			}
			index[key] = line
		}
	}
	return index
}

// dottedKey returns the dotted key of an expression and its line.
func dottedKey(parser *unstable.Parser, node *unstable.Node) (key string, line int) {
	var parts []string
	for it := node.Key(); it.Next(); {
		part := it.Node()
		parts = append(parts, string(part.Data))
		if line == 0 {
			line = parser.Shape(part.Raw).Start.Line
		}
	}
	return strings.Join(parts, "."), line
}
