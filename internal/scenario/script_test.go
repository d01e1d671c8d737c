package scenario

import (
	"context"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/cicadacove/cicadacove/internal/cluster"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

const (
	scenariosDir  = "../../testdata/scenarios"
	scriptValue   = "script"
	profilePrefix = "# profile: "
	// scriptTimeout limits how long a command waits for its condition.
	scriptTimeout = 30 * time.Second
)

// TestScenarios runs every script in testdata/scenarios, each with a separate
// deployment. The README.md in that directory describes the commands.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   scenariosDir,
		Setup: setupScript,
		Cmds:  commands,
	})
}

// setupScript starts the deployment of one script.
func setupScript(env *testscript.Env) error {
	name := strings.TrimPrefix(filepath.Base(env.WorkDir), "script-")
	profileName, err := profileOf(filepath.Join(scenariosDir, name+".txtar"))
	if err != nil {
		return err
	}
	profile, err := cluster.NewProfile(profileName)
	if err != nil {
		return err
	}
	d, err := newDeployment(context.Background(), cluster.Options{Profile: profile, Seed: 1})
	if err != nil {
		return err
	}
	s := newScript(d)
	env.Values[scriptValue] = s
	env.Defer(s.close)
	return nil
}

// profileOf returns the profile that the first line of a script names.
func profileOf(path string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	first, _, _ := strings.Cut(string(text), "\n")
	name, found := strings.CutPrefix(first, profilePrefix)
	if !found {
		return "", fmt.Errorf("%s: the first line must be %q followed by a name", path, profilePrefix)
	}
	return name, nil
}

// script is the state of one running script.
type script struct {
	*deployment
	jobs         map[string]chan string // results of the commands with bg=, empty on success
	transactions map[string]*openTransaction
	marks        map[string]uint64 // number of statements of each database at its mark
	monitor      *revisionMonitor
	operations   int
}

func newScript(d *deployment) *script {
	s := &script{
		deployment:   d,
		jobs:         make(map[string]chan string),
		transactions: make(map[string]*openTransaction),
		marks:        make(map[string]uint64),
		monitor:      newRevisionMonitor(d.cluster),
	}
	return s
}

func (s *script) close() {
	s.monitor.stop()
	s.cluster.Close()
}

// revisionMonitor detects instances that return to an earlier revision of the
// configuration.
type revisionMonitor struct {
	cluster    *cluster.Cluster
	done       chan struct{}
	goroutines sync.WaitGroup
	mu         sync.Mutex
	highest    map[topo.InstanceID]uint64
	reversions []string
}

func newRevisionMonitor(c *cluster.Cluster) *revisionMonitor {
	m := &revisionMonitor{cluster: c, done: make(chan struct{}), highest: make(map[topo.InstanceID]uint64)}
	m.goroutines.Go(m.run)
	return m
}

func (m *revisionMonitor) run() {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-m.done:
			return
		case <-ticker.C:
			m.sample()
		}
	}
}

func (m *revisionMonitor) sample() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range m.cluster.Entries() {
		if e.Node == nil {
			continue
		}
		revision := e.Node.Agent.Config().Revision
		if revision != 0 && revision < m.highest[e.ID] {
			m.reversions = append(m.reversions, fmt.Sprintf("%s went from revision %d to %d", e.ID, m.highest[e.ID], revision))
		}
		m.highest[e.ID] = max(m.highest[e.ID], revision)
	}
}

// pause stops the monitor from reading instances while f changes them.
func (m *revisionMonitor) pause(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
}

func (m *revisionMonitor) stop() {
	close(m.done)
	m.goroutines.Wait()
}

// arguments holds the positional arguments and the key=value pairs of one
// command.
type arguments struct {
	ts     *testscript.TestScript
	list   []string
	values map[string]string
	used   map[string]bool
}

func parseArguments(ts *testscript.TestScript, args []string) *arguments {
	a := &arguments{ts: ts, values: make(map[string]string), used: make(map[string]bool)}
	for _, arg := range args {
		if key, value, found := strings.Cut(arg, "="); found {
			a.values[key] = value
		} else {
			a.list = append(a.list, arg)
		}
	}
	return a
}

func (a *arguments) positional(i int, name string) string {
	if i >= len(a.list) {
		a.ts.Fatalf("argument %s is missing", name)
	}
	return a.list[i]
}

func (a *arguments) text(key, fallback string) string {
	a.used[key] = true
	if value, ok := a.values[key]; ok {
		return value
	}
	return fallback
}

func (a *arguments) number(key string, fallback int) int {
	text := a.text(key, strconv.Itoa(fallback))
	n, err := strconv.Atoi(text)
	if err != nil {
		a.ts.Fatalf("%s=%s: not a number", key, text)
	}
	return n
}

func (a *arguments) duration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	a.ts.Check(err)
	return d
}

// checkUsed fails the script if the command does not support a given key.
func (a *arguments) checkUsed() {
	for _, key := range slices.Sorted(maps.Keys(a.values)) {
		if !a.used[key] {
			a.ts.Fatalf("unknown key %s=", key)
		}
	}
}

// commandFunc implements a script command.
type commandFunc func(s *script, a *arguments)

// command adapts a commandFunc to testscript.
func command(f commandFunc) func(ts *testscript.TestScript, neg bool, args []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg {
			ts.Fatalf("the command cannot be negated")
		}
		f(ts.Value(scriptValue).(*script), parseArguments(ts, args))
	}
}

// entryNumber returns the index of an entry instance, given its name. The name
// "leader" means the one whose voter is the leader, and "running" the first that
// runs.
func (s *script) entryNumber(ts *testscript.TestScript, name string) int {
	for i, e := range s.cluster.Entries() {
		running := e.Node != nil
		leads := running && e.Node.Voter != nil && e.Node.Voter.Status().IsLeader()
		if string(e.ID) == name || name == "running" && running || name == "leader" && leads {
			return i
		}
	}
	ts.Fatalf("no entry instance %q", name)
	return 0
}

// database returns the id of a database. The name is that id, or "primary:GROUP"
// for the primary of a group.
func (s *script) database(ts *testscript.TestScript, name string) topo.UpstreamID {
	group, isPrimary := strings.CutPrefix(name, "primary:")
	if !isPrimary {
		if _, ok := s.cluster.Database(topo.UpstreamID(name)); !ok {
			ts.Fatalf("no database %q", name)
		}
		return topo.UpstreamID(name)
	}
	db, ok := s.cluster.Primary(topo.GroupID(group))
	if !ok {
		ts.Fatalf("group %q has no primary", group)
	}
	return db.ID()
}

// eventually waits until problem returns an empty string. It fails the script
// with the last text if that takes longer than limit.
func eventually(ts *testscript.TestScript, limit time.Duration, problem func() string) {
	deadline := time.Now().Add(limit)
	for {
		text := problem()
		if text == "" {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("condition not met within %v: %s", limit, text)
		}
		time.Sleep(pollInterval)
	}
}
