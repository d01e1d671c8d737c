package engine

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	_ "github.com/cicadacove/cicadacove/internal/testseed"
)

// randomSession is a session with what its caller was told.
type randomSession struct {
	*client
	values map[string]string
	last   topo.Position
	// pending are the writes of the open transaction.
	pending []string
	inTx    bool
}

// machine runs random sessions over upstreams that fail at random.
type machine struct {
	w        *world
	sessions []*randomSession
	writes   int
	// fate has for each write what its caller was told.
	fate map[string]outcome.Kind
}

// TestRandomSessions checks the promises to callers: a write is committed at
// most once, and exactly as told where it is told; a session reads its own
// commits; statements run with the session's values, inside its transaction.
func TestRandomSessions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		e := newEngine(w)
		m := &machine{w: w, fate: map[string]outcome.Kind{}}
		for range 3 {
			m.sessions = append(m.sessions, &randomSession{client: open(t, e, "own"), values: map[string]string{}})
		}
		w.fail = func(topo.UpstreamID, Statement) failure {
			return rapid.SampledFrom([]failure{none, none, none, none, none, busy, lostBefore, lostAfter, failing}).Draw(t, "failure")
		}
		steps := rapid.IntRange(1, 40).Draw(t, "steps")
		for range steps {
			m.step(t)
		}
		for _, s := range m.sessions {
			s.s.Close()
		}
		m.check(t)
	})
}

func (m *machine) step(t *rapid.T) {
	s := rapid.SampledFrom(m.sessions).Draw(t, "session")
	switch rapid.SampledFrom([]string{"read", "write", "set", "begin", "commit", "rollback", "replicate"}).Draw(t, "step") {
	case "read":
		m.read(t, s)
	case "write":
		m.write(t, s)
	case "set":
		value := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "value"))
		if s.do(Statement{Verb: Set, Name: "tz", Value: value}).Outcome.Kind == outcome.Done {
			s.values = map[string]string{"tz": value}
		}
	case "begin":
		if r := s.begin(false); r.Outcome.Kind == outcome.Done {
			s.inTx, s.pending = true, nil
		}
	case "commit":
		m.commit(s)
	case "rollback":
		s.rollback()
		m.abandon(s)
	case "replicate":
		m.w.catchUp(rapid.SampledFrom([]topo.UpstreamID{"b", "c"}).Draw(t, "replica"))
	}
}

func (m *machine) read(t *rapid.T, s *randomSession) {
	item := fmt.Sprint("r", len(m.w.runs))
	r := s.read(item)
	if r.Outcome.Kind == outcome.Done {
		ran := m.w.lastRun("READ " + item)
		require.Equal(t, s.values, ran.values)
		require.Equal(t, s.inTx, ran.inTx)
		require.GreaterOrEqual(t, ran.point.Position, s.last)
	}
	m.failed(s, r)
}

func (m *machine) write(t *rapid.T, s *randomSession) {
	m.writes++
	text := fmt.Sprintf("WRITE w%d.", m.writes)
	r := s.do(Statement{Verb: Write, Text: text})
	if s.inTx && r.Outcome.Kind == outcome.Done {
		require.True(t, m.w.lastRun(text).inTx)
		s.pending = append(s.pending, text)
		return
	}
	m.fate[text] = r.Outcome.Kind
	if s.inTx {
		m.fate[text] = outcome.NotRun
	}
	if r.Outcome.Kind == outcome.Done {
		s.last = m.w.position
	}
	m.failed(s, r)
}

// failed notes that a statement has ended its transaction.
func (m *machine) failed(s *randomSession, r Reply) {
	if s.inTx && r.State == TxFailed {
		m.abandon(s)
	}
}

func (m *machine) abandon(s *randomSession) {
	for _, text := range s.pending {
		m.fate[text] = outcome.NotRun
	}
	s.inTx, s.pending = false, nil
}

func (m *machine) commit(s *randomSession) {
	r := s.commit()
	if !s.inTx {
		return
	}
	for _, text := range s.pending {
		m.fate[text] = r.Outcome.Kind
	}
	if r.Outcome.Kind == outcome.Done && len(s.pending) > 0 {
		s.last = m.w.position
	}
	s.inTx, s.pending = false, nil
}

func (m *machine) check(t *rapid.T) {
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	for text, n := range m.w.committed {
		require.Equal(t, 1, n, "%s took effect more than once", text)
	}
	for text, told := range m.fate {
		switch told {
		case outcome.Done:
			require.Equal(t, 1, m.w.committed[text], "%s was acknowledged", text)
		case outcome.NotRun, outcome.Failed:
			require.Zero(t, m.w.committed[text], "%s was told as %s", text, told)
		}
	}
}
