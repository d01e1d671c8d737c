// Package examples embeds the questionnaire answers of two teams and the settings
// of an entry instance.
package examples

import (
	"embed"
	"fmt"
	"strings"
)

//go:embed selam.toml baumwachs.toml entry-1.toml
var files embed.FS

// profiles lists the teams whose answers are embedded.
var profiles = []string{"selam", "baumwachs"}

// Profiles returns the names that Answers accepts.
func Profiles() []string { return append([]string(nil), profiles...) }

// Answers returns the contents of the answers file of a profile.
func Answers(profile string) ([]byte, error) {
	for _, p := range profiles {
		if p == profile {
			return files.ReadFile(p + ".toml")
		}
	}
	return nil, fmt.Errorf("unknown profile %q, want one of %s", profile, strings.Join(profiles, ", "))
}

// Settings returns the contents of the settings file of the first entry instance
// of a deployment.
func Settings() ([]byte, error) { return files.ReadFile("entry-1.toml") }
