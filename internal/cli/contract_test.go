package cli

import (
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/cicadacove/cicadacove/examples"
	"github.com/cicadacove/cicadacove/internal/admin"
	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/revision"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// memoryBackend implements the backends of the admin server. It keeps the
// configuration in memory.
type memoryBackend struct{ section *revision.Section }

func (m *memoryBackend) Propose(_ context.Context, cmd revision.Command) (revision.Result, error) {
	return revision.DecodeResult(m.section.Apply(0, cmd.Encode()))
}

func (m *memoryBackend) Preview(_ context.Context, cmd revision.Command) (revision.Result, error) {
	return m.section.Preview(cmd), nil
}

func (m *memoryBackend) View(context.Context) (revision.View, error) { return m.section.View(), nil }

func (m *memoryBackend) History(_ context.Context, q revision.HistoryQuery) (revision.History, error) {
	return m.section.History(q), nil
}

func (m *memoryBackend) Announce(context.Context, topo.Announcement) error { return nil }
func (m *memoryBackend) Status() admin.Status {
	return admin.Status{Instance: "entry-1", LeaseValid: true, Groups: []topo.Group{{ID: "ledger-1", Term: 4, Primary: "ledger-1/b"}}}
}
func (m *memoryBackend) Upstreams() []admin.Upstream {
	return []admin.Upstream{{Announcement: topo.Announcement{ID: "ledger-1/b", Group: "ledger-1", Point: topo.Point{Term: 4, Position: 9}}, State: "serving"}}
}
func (m *memoryBackend) Voters() []admin.Voter    { return nil }
func (m *memoryBackend) Ready() error             { return nil }
func (m *memoryBackend) Config() *contract.Config { return &contract.Config{} }

// TestScripts runs the scripts in testdata, each with a separate server.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			backend := &memoryBackend{section: revision.NewSection()}
			server := httptest.NewServer(admin.New(admin.Backends{Config: backend, Announcer: backend, Status: backend}, admin.Options{Now: func() time.Time { return scriptTime }}).Handler())
			env.Defer(server.Close)
			env.Setenv(envAdmin, server.URL)
			return writeExamples(env.WorkDir)
		},
	})
}

func writeExamples(dir string) error {
	for _, profile := range examples.Profiles() {
		data, err := examples.Answers(profile)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(dir, profile+".toml"), data, 0o600); err != nil {
			return err
		}
	}
	data, err := examples.Settings()
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "entry-1.toml"), data, 0o600)
}
