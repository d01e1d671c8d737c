package scenario

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/cicadacove/cicadacove/internal/cluster"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/questionnaire"
	"github.com/cicadacove/cicadacove/internal/core/revision"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/standin"
)

var commands = map[string]func(ts *testscript.TestScript, neg bool, args []string){
	"write":    command(cmdWrite),
	"read":     command(cmdRead),
	"join":     command(cmdJoin),
	"begin":    command(cmdBegin),
	"part":     command(cmdPart),
	"commit":   command(cmdCommit),
	"cut":      command(cmdCut),
	"isolate":  command(cmdIsolate),
	"heal":     command(cmdHeal),
	"crash":    command(cmdCrash),
	"restart":  command(cmdRestart),
	"drain":    command(cmdDrain),
	"pause":    command(cmdPause),
	"lag":      command(cmdLag),
	"slow":     command(cmdSlow),
	"hang":     command(cmdHang),
	"die":      command(cmdDie),
	"leave":    command(cmdLeave),
	"mark":     command(cmdMark),
	"flood":    command(cmdFlood),
	"amend":    command(cmdAmend),
	"expect":   command(cmdExpect),
	"settle":   command(cmdSettle),
	"ready":    command(cmdReady),
	"failover": command(cmdFailover),
}

// service returns the name of the profile's service for a rank, or the given
// name if it is not a rank.
func (s *script) service(a *arguments, fallback string) string {
	p := s.cluster.Profile
	switch name := a.text("service", fallback); name {
	case "urgent":
		return p.Urgent
	case "normal":
		return p.Normal
	case "low":
		return p.Low
	default:
		return name
	}
}

func (s *script) endpoint(a *arguments, entry string) endpoint {
	groups := s.cluster.Profile.Groups()
	g := topo.GroupID(a.text("to", string(groups[0])))
	if !slices.Contains(groups, g) {
		a.ts.Fatalf("no group %q", g)
	}
	return endpoint{entry: s.entryNumber(a.ts, entry), group: g}
}

func (s *script) identityOf(a *arguments) identity {
	return identity{session: a.positional(0, "session"), byID: a.text("by", "id") == "id"}
}

// cmdWrite implements the command
//
//	write SESSION via=ENTRY[,ENTRY] [to=GROUP] [request=ID] [parts=N]
//	[tx=yes] [service=RANK] [by=id|token] [want=OUTCOME|...] [bg=NAME]
func cmdWrite(s *script, a *arguments) {
	s.operations++
	entries := strings.Split(a.text("via", "entry-1"), ",")
	req := writeRequest{
		identity:    s.identityOf(a),
		requestID:   a.text("request", fmt.Sprintf("auto-%d", s.operations)),
		parts:       a.number("parts", 1),
		transaction: a.text("tx", "no") == "yes",
		service:     s.service(a, "urgent"),
	}
	want := a.text("want", "done")
	job := a.text("bg", "")
	var endpoints []endpoint
	for _, e := range entries {
		endpoints = append(endpoints, s.endpoint(a, e))
	}
	a.checkUsed()
	run := func() string { return s.writeAt(req, endpoints, want) }
	s.runOrBackground(a, job, run)
}

// writeAt sends a request to several endpoints concurrently and compares the
// outcomes with want.
func (s *script) writeAt(req writeRequest, endpoints []endpoint, want string) string {
	problems := make([]string, len(endpoints))
	var group sync.WaitGroup
	for i, ep := range endpoints {
		c := req
		c.endpoint = ep
		group.Go(func() {
			err := s.write(context.Background(), c)
			problems[i] = checkOutcome(err, want)
		})
	}
	group.Wait()
	return strings.Join(slices.DeleteFunc(problems, func(problem string) bool { return problem == "" }), "; ")
}

// checkOutcome describes an outcome that want does not allow. want is a list of
// outcome kinds and SQLSTATE codes, separated by "|".
func checkOutcome(err error, want string) string {
	kind, code := string(kindOf(err)), codeOf(err)
	for _, allowed := range strings.Split(want, "|") {
		if allowed == "any" || allowed == strings.ReplaceAll(kind, " ", "") || allowed == code {
			return ""
		}
	}
	return fmt.Sprintf("outcome %q, want %s: %v", kind, want, err)
}

// runOrBackground runs a command now, or in the background if job names one.
func (s *script) runOrBackground(a *arguments, job string, run func() string) {
	if job == "" {
		if problem := run(); problem != "" {
			a.ts.Fatalf("%s", problem)
		}
		return
	}
	done := make(chan string, 1)
	s.jobs[job] = done
	go func() { done <- run() }()
}

// cmdJoin implements "join NAME": it waits for a command in the background.
func cmdJoin(s *script, a *arguments) {
	done, ok := s.jobs[a.positional(0, "name")]
	if !ok {
		a.ts.Fatalf("no command %q in the background", a.list[0])
	}
	if problem := <-done; problem != "" {
		a.ts.Fatalf("%s", problem)
	}
}

// cmdRead implements the command
//
//	read SESSION via=ENTRY [to=GROUP] [service=RANK] [by=id|token]
//	[rows=N] [times=N] [want=OUTCOME|...]
func cmdRead(s *script, a *arguments) {
	id := s.identityOf(a)
	ep := s.endpoint(a, a.text("via", "entry-1"))
	service, want, rows := s.service(a, "low"), a.text("want", "done"), a.number("rows", -1)
	times := a.number("times", 1)
	a.checkUsed()
	for range times {
		got, err := s.read(context.Background(), ep, id, service)
		if problem := checkOutcome(err, want); problem != "" {
			a.ts.Fatalf("%s", problem)
		}
		if rows >= 0 && len(got) != rows {
			a.ts.Fatalf("%d rows, want %d", len(got), rows)
		}
	}
}

// openTransaction is a transaction that a script executes step by step.
type openTransaction struct {
	writeRequest
	conn *pgx.Conn
	next int
}

// cmdBegin implements "begin NAME SESSION via=ENTRY [to=GROUP] [parts=N]": it
// opens a transaction that writes N parts, and retries while BEGIN is refused.
func cmdBegin(s *script, a *arguments) {
	name := a.positional(0, "name")
	req := writeRequest{
		endpoint:  s.endpoint(a, a.text("via", "entry-1")),
		identity:  identity{session: a.positional(1, "session"), byID: true},
		requestID: name,
		parts:     a.number("parts", 2),
		service:   s.service(a, "urgent"),
	}
	a.checkUsed()
	s.oracle.BeginWrite(tokenKey(req.session, req.group), req.requestID, req.parts, true)
	conn, err := s.connect(context.Background(), req.endpoint, req.service, req.identity)
	a.ts.Check(err)
	eventually(a.ts, scriptTimeout, func() string {
		err := exec(context.Background(), conn, fmt.Sprintf("BEGIN /*cicadacove.request_id='%s'*/", name))
		return checkOutcome(err, "done")
	})
	s.transactions[name] = &openTransaction{writeRequest: req, conn: conn}
}

func (s *script) transaction(a *arguments) *openTransaction {
	tx, ok := s.transactions[a.positional(0, "name")]
	if !ok {
		a.ts.Fatalf("no transaction %q", a.list[0])
	}
	return tx
}

// cmdPart implements "part NAME [want=...]": it writes the next part of a
// transaction.
func cmdPart(s *script, a *arguments) {
	tx, want := s.transaction(a), a.text("want", "done")
	a.checkUsed()
	err := exec(context.Background(), tx.conn, insertParts(tx.writeRequest, tx.next, tx.next+1))
	tx.next++
	if problem := checkOutcome(err, want); problem != "" {
		a.ts.Fatalf("%s", problem)
	}
}

// cmdCommit implements "commit NAME [want=...] [verb=ROLLBACK]": it commits a
// transaction, or rolls it back.
func cmdCommit(s *script, a *arguments) {
	tx, want, verb := s.transaction(a), a.text("want", "done"), a.text("verb", "COMMIT")
	a.checkUsed()
	defer closeCaller(tx.conn)
	err := exec(context.Background(), tx.conn, verb)
	kind := kindOf(err)
	if verb != "COMMIT" {
		kind = outcome.NotRun
	}
	s.oracle.EndWrite(tx.requestID, kind)
	if problem := checkOutcome(err, want); problem != "" {
		a.ts.Fatalf("%s", problem)
	}
}

// cmdCut implements "cut ZONE ZONE": it partitions two zones from each other.
func cmdCut(s *script, a *arguments) {
	s.cluster.Net.Partition(topo.Zone(a.positional(0, "zone")), topo.Zone(a.positional(1, "zone")))
}

// cmdIsolate implements "isolate ENTRY|DATABASE": it partitions an entry instance
// or a database from all others.
func cmdIsolate(s *script, a *arguments) {
	s.cluster.Net.Isolate(s.nodeName(a))
}

func (s *script) nodeName(a *arguments) string {
	name := a.positional(0, "entry instance or database")
	if strings.HasPrefix(name, "entry-") {
		return string(s.cluster.Entry(s.entryNumber(a.ts, name)).ID)
	}
	return string(s.database(a.ts, name))
}

// cmdHeal implements "heal": it ends all partitions.
func cmdHeal(s *script, _ *arguments) { s.cluster.Net.HealAll() }

// cmdCrash implements "crash ENTRY...": it stops entry instances as a crash does.
func cmdCrash(s *script, a *arguments) {
	for _, name := range a.list {
		e := s.cluster.Entry(s.entryNumber(a.ts, name))
		s.monitor.pause(func() { s.cluster.Kill(e) })
	}
}

// cmdRestart implements "restart ENTRY... [disk=lost]": it starts entry instances
// again. The name "crashed" means all that are not running.
func cmdRestart(s *script, a *arguments) {
	keepDisk := a.text("disk", "kept") == "kept"
	a.checkUsed()
	for _, e := range s.restarted(a) {
		s.monitor.pause(func() { a.ts.Check(s.cluster.Restart(e, keepDisk)) })
	}
}

func (s *script) restarted(a *arguments) []*cluster.Entry {
	var list []*cluster.Entry
	if a.positional(0, "entry instance") == "crashed" {
		for _, e := range s.cluster.Entries() {
			if e.Node == nil {
				list = append(list, e)
			}
		}
		return list
	}
	for _, name := range a.list {
		list = append(list, s.cluster.Entry(s.entryNumber(a.ts, name)))
	}
	return list
}

// cmdDrain implements "drain ENTRY": it shuts an entry instance down gracefully.
func cmdDrain(s *script, a *arguments) {
	e := s.cluster.Entry(s.entryNumber(a.ts, a.positional(0, "entry instance")))
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	s.monitor.pause(func() { a.ts.Check(s.cluster.Shutdown(ctx, e)) })
}

// cmdPause implements "pause DURATION".
func cmdPause(_ *script, a *arguments) { time.Sleep(a.duration(a.positional(0, "duration"))) }

func (s *script) standin(a *arguments) *standin.Database {
	db, _ := s.cluster.Database(s.database(a.ts, a.positional(0, "database")))
	return db
}

// cmdLag implements "lag DATABASE DURATION": it sets the replication lag.
func cmdLag(s *script, a *arguments) {
	s.standin(a).SetReplicationLag(a.duration(a.positional(1, "duration")))
}

// cmdSlow implements "slow DATABASE DURATION": it delays each statement.
func cmdSlow(s *script, a *arguments) { s.standin(a).SetDelay(a.duration(a.positional(1, "duration"))) }

// cmdHang implements "hang DATABASE on|off": it stops or resumes all work of a
// database.
func cmdHang(s *script, a *arguments) { s.standin(a).Hang(a.positional(1, "on or off") == "on") }

// cmdDie implements "die DATABASE [after=N]": it lets N statements complete and
// closes the connection of the next one in the middle of its response.
func cmdDie(s *script, a *arguments) {
	db, after := s.standin(a), a.number("after", 0)
	a.checkUsed()
	db.BreakMidResponse(after)
}

// cmdLeave implements "leave DATABASE": the database announces that it leaves.
func cmdLeave(s *script, a *arguments) { s.standin(a).Leave() }

// cmdMark implements "mark DATABASE": it stores the number of statements that
// the database has executed.
func cmdMark(s *script, a *arguments) {
	db := s.standin(a)
	s.marks[string(db.ID())] = db.Statements()
}

// cmdReady implements "ready": it waits until every running instance may write to
// every group.
func cmdReady(s *script, a *arguments) {
	ctx, cancel := context.WithTimeout(context.Background(), recoveryTimeout)
	defer cancel()
	a.ts.Check(s.cluster.WaitReady(ctx))
}

// cmdFailover implements "failover GROUP from=DATABASE": it waits until another
// database is the primary.
func cmdFailover(s *script, a *arguments) {
	g := topo.GroupID(a.positional(0, "group"))
	from := topo.UpstreamID(a.text("from", ""))
	a.checkUsed()
	eventually(a.ts, scriptTimeout, func() string {
		db, ok := s.cluster.Primary(g)
		if !ok || db.ID() == from || db.Status().Role != topo.RolePrimary {
			return "no new primary of " + string(g)
		}
		return ""
	})
}

// cmdSettle implements "settle": it ends all faults, waits for the recovery and
// has the oracle check the final contents. It fails if a guarantee was violated
// or if an instance returned to an earlier revision.
func cmdSettle(s *script, a *arguments) {
	s.monitor.pause(func() { a.ts.Check(s.recover(context.Background())) })
	a.ts.Check(s.checkContents())
	for _, v := range s.oracle.Violations() {
		a.ts.Logf("%s", v)
	}
	if n := len(s.oracle.Violations()); n > 0 {
		a.ts.Fatalf("%d guarantees violated", n)
	}
	s.monitor.pause(func() {
		if len(s.monitor.reversions) > 0 {
			a.ts.Fatalf("the configuration reverted: %v", s.monitor.reversions)
		}
	})
}

// cmdAmend implements the command
//
//	amend ANSWER VALUE [base=N|current] [id=ID] [via=ENTRY]
//	[want=accepted|conflict|refused] [times=N]
func cmdAmend(s *script, a *arguments) {
	answer, value := a.positional(0, "answer"), a.positional(1, "value")
	want, id := a.text("want", string(revision.Accepted)), a.text("id", "")
	base, times := a.text("base", "current"), a.number("times", 1)
	e := s.cluster.Entry(s.entryNumber(a.ts, a.text("via", "entry-1")))
	a.checkUsed()
	for range times {
		s.operations++
		cmd := revision.Command{
			RequestID: id, Actor: "scenario", Team: revision.AnyTeam, At: time.Unix(0, 0).UTC(),
			BaseRevision: s.baseRevision(a, e, base),
			Change: revision.Change{
				Kind: revision.AmendAnswers, ContractID: s.cluster.Profile.Answers.Contract,
				Set: []questionnaire.Setting{{Answer: answer, Value: value}},
			},
		}
		if id == "" {
			cmd.RequestID = fmt.Sprintf("amend-%d", s.operations)
		}
		if times > 1 {
			cmd.Change.Set[0].Value = fmt.Sprintf("%s%d", value, s.operations)
		}
		got := s.propose(a, e, cmd)
		if !slices.Contains(strings.Split(want, "|"), string(got.Kind)) {
			a.ts.Fatalf("%s at revision %d, want %s: %v", got.Kind, got.Revision, want, got.Errors)
		}
	}
}

func (s *script) baseRevision(a *arguments, e *cluster.Entry, base string) uint64 {
	if base != "current" {
		return uint64(a.number("base", 0))
	}
	ctx, cancel := context.WithTimeout(context.Background(), scriptTimeout)
	defer cancel()
	for {
		view, err := e.Node.Configurator().View(ctx)
		if err == nil {
			return view.Revision
		}
		if ctx.Err() != nil {
			a.ts.Fatalf("cannot read the current revision: %v", err)
		}
		time.Sleep(pollInterval)
	}
}

// propose sends a command until it gets a result, as an operator does after a
// lost response.
func (s *script) propose(a *arguments, e *cluster.Entry, cmd revision.Command) revision.Result {
	ctx, cancel := context.WithTimeout(context.Background(), scriptTimeout)
	defer cancel()
	for {
		result, err := e.Node.Configurator().Propose(ctx, cmd)
		if err == nil {
			return result
		}
		if ctx.Err() != nil {
			a.ts.Fatalf("no result for the amendment: %v", err)
		}
		time.Sleep(pollInterval)
	}
}
