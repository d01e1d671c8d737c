package scenario

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadacove/cicadacove/internal/cluster"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// cmdExpect implements the commands below. All but the first two wait for their
// condition.
//
//	expect idle DATABASE            the database executed no statement since its mark
//	expect work DATABASE            the database executed a statement since its mark
//	expect role DATABASE ROLE       the database reports the role
//	expect revision N [on=ENTRY]    the revision is active on every running instance
//	expect no-lease ENTRY GROUP     the instance may not write to the group
//	expect attempt GROUP            a failover of the group is in progress
func cmdExpect(s *script, a *arguments) {
	switch condition := a.positional(0, "condition"); condition {
	case "idle", "work":
		s.expectStatements(a, condition == "work")
	case "role":
		db, _ := s.cluster.Database(s.database(a.ts, a.positional(1, "database")))
		role := topo.Role(a.positional(2, "role"))
		eventually(a.ts, scriptTimeout, func() string {
			if got := db.Status().Role; got != role {
				return fmt.Sprintf("%s is a %s", db.ID(), got)
			}
			return ""
		})
	case "revision":
		s.expectRevision(a)
	case "attempt":
		s.expectFailover(a)
	case "no-lease":
		s.expectNoLease(a)
	default:
		a.ts.Fatalf("expect: unknown condition %q", condition)
	}
}

func (s *script) expectStatements(a *arguments, wantStatements bool) {
	db, _ := s.cluster.Database(s.database(a.ts, a.positional(1, "database")))
	mark, ok := s.marks[string(db.ID())]
	if !ok {
		a.ts.Fatalf("%s has no mark", db.ID())
	}
	if n := db.Statements() - mark; (n > 0) != wantStatements {
		a.ts.Fatalf("%s executed %d statements since its mark", db.ID(), n)
	}
}

// revisionTimeout is the time within which an accepted configuration must be
// active on all instances.
const revisionTimeout = 5 * time.Second

func (s *script) expectRevision(a *arguments) {
	only := a.text("on", "")
	a.checkUsed()
	var want uint64
	if _, err := fmt.Sscan(a.positional(1, "revision"), &want); err != nil {
		a.ts.Fatalf("revision %q: %v", a.list[1], err)
	}
	eventually(a.ts, revisionTimeout, func() string {
		for _, e := range s.cluster.Entries() {
			if e.Node == nil || only != "" && string(e.ID) != only {
				continue
			}
			if got := e.Node.Agent.Config().Revision; got != want {
				return fmt.Sprintf("%s has revision %d, want %d", e.ID, got, want)
			}
		}
		return ""
	})
}

// expectFailover waits until a failover is in progress: a running instance with a
// voter may not write to the group.
func (s *script) expectFailover(a *arguments) {
	g := topo.GroupID(a.positional(1, "group"))
	eventually(a.ts, scriptTimeout, func() string {
		for _, e := range s.cluster.Entries() {
			if e.Node == nil || e.Node.Voter == nil {
				continue
			}
			if _, writable := e.Node.Agent.Authority(g); !writable {
				return ""
			}
		}
		return "no failover of " + string(g) + " is in progress"
	})
}

func (s *script) expectNoLease(a *arguments) {
	e := s.cluster.Entry(s.entryNumber(a.ts, a.positional(1, "entry instance")))
	g := topo.GroupID(a.positional(2, "group"))
	eventually(a.ts, scriptTimeout, func() string {
		if _, ok := e.Node.Agent.Authority(g); ok {
			return fmt.Sprintf("%s holds a lease on %s", e.ID, g)
		}
		return ""
	})
}

// floodCounts counts the requests of a flood by outcome.
type floodCounts struct {
	done, notRun, other atomic.Int64
	// firstOther is the first request that ended otherwise.
	firstOther atomic.Pointer[string]
}

func (f *floodCounts) add(kind outcome.Kind, err error) {
	switch kind {
	case outcome.Done:
		f.done.Add(1)
	case outcome.NotRun:
		f.notRun.Add(1)
	default:
		f.other.Add(1)
		text := fmt.Sprintf("%s %s: %v", time.Now().Format("15:04:05.000000"), kind, err)
		f.firstOther.CompareAndSwap(nil, &text)
	}
}

// cmdFlood implements the command
//
//	flood [service=RANK] [to=GROUP] [max-age=DURATION] callers=N
//	for=DURATION [min-done=N] [min-notrun=N] [bg=NAME]
//
// It sends requests from many callers without pause. The outcome of every request
// must be done or not run.
func cmdFlood(s *script, a *arguments) {
	service := s.service(a, "low")
	ep := s.endpoint(a, "entry-1")
	maxAge := a.text("max-age", "")
	callers, length := a.number("callers", 40), a.duration(a.text("for", "2s"))
	minDone, minNotRun := a.number("min-done", 1), a.number("min-notrun", 0)
	job := a.text("bg", "")
	a.checkUsed()
	s.runOrBackground(a, job, func() string {
		counts := s.flood(service, maxAge, ep.group, callers, length)
		done, notRun, other := counts.done.Load(), counts.notRun.Load(), counts.other.Load()
		if done < int64(minDone) || notRun < int64(minNotRun) || other > 0 {
			problem := fmt.Sprintf("flood of %s: %d done, %d not run, %d otherwise", service, done, notRun, other)
			if first := counts.firstOther.Load(); first != nil {
				problem += "; the first of these: " + *first
			}
			return problem
		}
		return ""
	})
}

func (s *script) flood(service, maxAge string, g topo.GroupID, callers int, length time.Duration) *floodCounts {
	counts := &floodCounts{}
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			s.runFloodCaller(ctx, service, endpoint{entry: i % cluster.Entries, group: g}, floodIdentity(service, i, maxAge), counts)
		})
	}
	group.Wait()
	return counts
}

func floodIdentity(service string, caller int, maxAge string) identity {
	return identity{session: fmt.Sprintf("flood-%s-%d", service, caller), byID: true, maxAge: maxAge}
}

// runFloodCaller sends requests one after the other over one connection until ctx
// ends.
func (s *script) runFloodCaller(ctx context.Context, service string, ep endpoint, id identity, counts *floodCounts) {
	conn, err := s.connect(context.Background(), ep, service, id)
	if err != nil {
		counts.add(outcome.NotRun, err)
		return
	}
	defer closeCaller(conn)
	writes := service != s.cluster.Profile.Low
	for i := 0; ctx.Err() == nil; i++ {
		req := writeRequest{endpoint: ep, identity: id, requestID: fmt.Sprintf("%s-%d", id.session, i), parts: 1}
		if !writes {
			err := exec(context.Background(), conn, selectRows+" WHERE session = 'nobody'")
			counts.add(kindOf(err), err)
			continue
		}
		s.oracle.BeginWrite(tokenKey(req.session, req.group), req.requestID, req.parts, true)
		kind, err := send(context.Background(), conn, req)
		s.oracle.EndWrite(req.requestID, kind)
		counts.add(kind, err)
	}
}
