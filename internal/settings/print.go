package settings

import (
	"fmt"
	"io"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Entry describes one setting.
type Entry struct {
	// Key is the dotted key, such as "lease.duration".
	Key     string `json:"key"`
	Value   string `json:"value"`
	Default string `json:"default"`
	Unit    string `json:"unit,omitempty"`
	Doc     string `json:"doc"`
	// Required means that the setting has no default and must be given.
	Required bool `json:"required"`
}

// Entries lists all settings in file order. Values and defaults are in TOML
// syntax.
func Entries(s Settings) []Entry {
	var entries []Entry
	defaults := reflect.ValueOf(Default())
	eachSection(s, func(i int, section reflect.StructField, value reflect.Value) {
		for j := range value.NumField() {
			field := section.Type.Field(j)
			defaultValue := tomlValue(defaults.Field(i).Field(j).Interface())
			entries = append(entries, Entry{
				Key:      section.Tag.Get("toml") + "." + field.Tag.Get("toml"),
				Value:    tomlValue(value.Field(j).Interface()),
				Default:  defaultValue,
				Unit:     field.Tag.Get("unit"),
				Doc:      field.Tag.Get("doc"),
				Required: isRequired(field, defaults.Field(i).Field(j)),
			})
		}
	})
	return entries
}

// Print writes all settings as TOML, with their unit, default and description
// as comments. Parse can read the output.
func Print(w io.Writer, s Settings) error {
	entries := Entries(s)
	var out strings.Builder
	next := 0
	eachSection(s, func(i int, section reflect.StructField, value reflect.Value) {
		if i > 0 {
			out.WriteString("\n")
		}
		fmt.Fprintf(&out, "# %s\n[%s]\n", section.Tag.Get("doc"), section.Tag.Get("toml"))
		for range value.NumField() {
			printEntry(&out, entries[next])
			next++
		}
	})
	_, err := io.WriteString(w, out.String())
	return err
}

func printEntry(out *strings.Builder, e Entry) {
	notes := make([]string, 0, 2)
	if e.Unit != "" {
		notes = append(notes, "unit: "+e.Unit)
	}
	if e.Required {
		notes = append(notes, "required")
	} else {
		notes = append(notes, "default: "+e.Default)
	}
	_, key, _ := strings.Cut(e.Key, ".")
	fmt.Fprintf(out, "# %s (%s)\n%s = %s\n", e.Doc, strings.Join(notes, ", "), key, e.Value)
}

func eachSection(s Settings, visit func(i int, section reflect.StructField, value reflect.Value)) {
	v := reflect.ValueOf(s)
	for i := range v.NumField() {
		visit(i, v.Type().Field(i), v.Field(i))
	}
}

// isRequired reports whether every settings file must contain the field.
func isRequired(f reflect.StructField, defaultValue reflect.Value) bool {
	rule := f.Tag.Get("validate")
	always := rule == "required" || strings.HasPrefix(rule, "required,") || strings.HasPrefix(rule, "min=1,max=7")
	return always && defaultValue.IsZero()
}

// tomlValue formats a single value in TOML syntax.
func tomlValue(v any) string {
	if r := reflect.ValueOf(v); r.Kind() == reflect.Slice && r.Len() == 0 {
		return "[]"
	}
	data, err := toml.Marshal(map[string]any{"v": v})
	if err != nil {
		panic("settings: " + err.Error())
	}
	return strings.TrimSpace(strings.TrimPrefix(string(data), "v = "))
}
