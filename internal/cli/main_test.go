package cli

import (
	"os"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// scriptTime is the current time in scripts.
var scriptTime = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// TestMain registers the cicadacove command for the scripts.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"cicadacove": func() {
			clock = func() time.Time { return scriptTime }
			os.Exit(Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
		},
	})
}
