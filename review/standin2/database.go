package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Roles and states of a database.
const (
	rolePrimary = "primary"
	roleReplica = "replica"

	stateReady    = "ready"
	stateDraining = "draining"
)

const (
	// replicationInterval is the time between two copies of the log.
	replicationInterval = 20 * time.Millisecond
	// oldPrimaryTime is how long the old primary continues once it can reach the new
	// one.
	oldPrimaryTime = time.Second
	// heartbeatTimeout is how long a database waits for the acknowledgement.
	heartbeatTimeout = time.Second
	// drainLimit is the bound drainMs.
	drainLimit = 7 * time.Second
	// databaseQueue limits the statements that wait for a slot.
	databaseQueue = 48
)

// commit is one entry of the log of a group.
type commit struct {
	term int
	db   *database
	at   time.Time
	id   string
	item string
	data string
}

// promotion is a promotion that has taken effect.
type promotion struct {
	at   time.Time
	term int
	db   *database
}

// group is a service: one primary and its replicas. mu guards the fields of its
// databases too.
type group struct {
	r       *record
	name    string
	slots   int
	work    time.Duration
	maxConn int
	// promoteTime is the time from a call of promote to its effect.
	promoteTime time.Duration
	control     []string
	stopped     chan struct{}

	mu         sync.Mutex
	databases  []*database
	leader     *database
	term       int
	promotions []promotion
	// commits are all commits, those that were rolled back included.
	commits []*commit
	// promoting is the database whose promotion takes effect soon.
	promoting *database
	// lag is how late replicas get the log, beside replicationInterval.
	lag time.Duration
	// bare makes the databases answer statements that are neither reads, writes nor commits
	// without their position.
	bare bool
}

// database is one database of a group.
type database struct {
	group *group
	id    string
	zone  string
	addr  string
	born  int64

	running bool
	role    string
	state   string
	term    int
	held    int
	paused  bool
	log     []*commit
	conns   map[net.Conn]bool
	ln      net.Listener
	seq     int
	busy    int
	// drainAcked is when a voter acknowledged first that the database drains. lateReads are
	// the reads that reached it later than the limit after that.
	drainAcked time.Time
	lateReads  int
	slots      chan struct{}
	// wake sends a heartbeat at once.
	wake chan struct{}
}

func (g *group) add(id, zone, host, role string) (*database, error) {
	d := &database{
		group: g, id: id, zone: zone, addr: fmt.Sprintf("%s:%d", host, databasePort), born: time.Now().UnixMilli(),
		running: true, role: role, state: stateReady, term: g.term,
		slots: make(chan struct{}, g.slots), wake: make(chan struct{}, 1), conns: map[net.Conn]bool{},
	}
	if err := d.listen(); err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.databases = append(g.databases, d)
	if role == rolePrimary {
		g.leader = d
	}
	go func() {
		<-g.stopped
		g.mu.Lock()
		defer g.mu.Unlock()
		d.ln.Close()
	}()
	return d, nil
}

// listen makes the database reachable.
func (d *database) listen() error {
	ln, err := net.Listen("tcp", d.addr)
	if err != nil {
		return err
	}
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.ln = ln
	go d.accept(ln)
	return nil
}

// crash stops a replica and starts it again after a time, with its log. born is the
// millisecond of its new start by the clock of its host.
func (d *database) crash(outage time.Duration, born func() int64) error {
	d.group.mu.Lock()
	d.running = false
	d.ln.Close()
	for conn := range d.conns {
		conn.Close()
	}
	d.group.mu.Unlock()
	time.Sleep(outage)
	d.group.mu.Lock()
	d.running, d.born, d.seq, d.paused = true, born(), 0, false
	d.group.r.say("%s has crashed and starts again; born %d", d.id, d.born)
	d.group.mu.Unlock()
	return d.listen()
}

// announce lets databases send heartbeats, the first ones in turn, and starts the copies of
// the log.
func (g *group) announce(databases []*database) {
	const pause = 200 * time.Millisecond
	for i, d := range databases {
		go d.sendHeartbeats(time.Duration(i) * pause)
	}
	go g.replicate()
}

// replicate copies the log of the leading database until the group is stopped.
func (g *group) replicate() {
	for g.sleep(replicationInterval) {
		g.mu.Lock()
		for _, d := range g.databases {
			if d != g.leader && d.running && d.role == roleReplica && !d.paused {
				d.copyLog(g.leader, time.Now().Add(-g.lag))
			}
		}
		g.mu.Unlock()
	}
}

// copyLog makes the log that of the leader up to a time. The caller holds the lock.
func (d *database) copyLog(leader *database, until time.Time) {
	common := commonLength(d.log, leader.log)
	end := common
	for end < len(leader.log) && leader.log[end].at.Before(until) {
		end++
	}
	d.log = append(d.log[:common:common], leader.log[common:end]...)
	d.term = leader.term
}

func commonLength(a, b []*commit) int {
	n := min(len(a), len(b))
	for n > 0 && a[n-1] != b[n-1] {
		n--
	}
	return n
}

func (g *group) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-g.stopped:
		return false
	}
}

// errNotRunning is the answer to a promote that names no running database.
var errNotRunning = errors.New("this database is not running")

// promote makes a database the primary of the next term after the promotion time.
func (g *group) promote(id string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	var next *database
	for _, d := range g.databases {
		if d.id == id && d.running {
			next = d
		}
	}
	switch {
	case next == nil:
		return errNotRunning
	case next == g.leader && next.role == rolePrimary, next == g.promoting:
		return nil
	}
	g.promoting = next
	time.AfterFunc(g.promoteTime, func() { g.lead(next) })
	return nil
}

// lead is the effect of a promotion.
func (g *group) lead(next *database) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.promoting == next {
		g.promoting = nil
	}
	old := g.leader
	g.term++
	g.leader, next.role, next.term = next, rolePrimary, g.term
	for _, d := range g.databases {
		d.paused = false
	}
	g.promotions = append(g.promotions, promotion{time.Now(), g.term, next})
	g.r.say("%s leads term %d from %d entries on", next.id, g.term, len(next.log))
	next.report()
	if old == next || old.role != rolePrimary {
		return
	}
	time.AfterFunc(oldPrimaryTime, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.leader != old && old.role == rolePrimary {
			old.role = roleReplica
			g.r.say("%s has reached the new primary and follows it", old.id)
			old.report()
		}
	})
}

// report sends a heartbeat at once. The caller holds the lock.
func (d *database) report() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// leave announces that the database drains.
func (d *database) leave() {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.state = stateDraining
	d.group.r.say("%s announces that it drains", d.id)
	d.report()
}

// sendHeartbeats sends heartbeats until the group is stopped. The first one is delayed by
// offset, so that the order of the databases is the same in each run.
func (d *database) sendHeartbeats(offset time.Duration) {
	if !d.group.sleep(offset) {
		return
	}
	client := &http.Client{Timeout: heartbeatTimeout}
	next := rand.IntN(len(d.group.control))
	for {
		for range d.group.control {
			if d.sendHeartbeat(client, d.group.control[next]) {
				break
			}
			next = (next + 1) % len(d.group.control)
		}
		select {
		case <-time.After(heartbeat):
		case <-d.wake:
		case <-d.group.stopped:
			return
		}
	}
}

func (d *database) sendHeartbeat(client *http.Client, addr string) (acknowledged bool) {
	d.group.mu.Lock()
	d.seq++
	body := map[string]any{
		"service": d.group.name, "address": d.addr, "zone": d.zone, "version": "v1", "slots": d.group.slots,
		"state": d.state, "coldLeftMs": 0, "dbRole": d.role, "seqNo": d.seq, "born": d.born,
	}
	running, drains := d.running, d.state == stateDraining
	d.group.mu.Unlock()
	if !running {
		return true
	}
	status := send(client, http.MethodPut, "http://"+addr+"/instances/"+d.id, body)
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	if drains && status == http.StatusOK && d.drainAcked.IsZero() {
		d.drainAcked = time.Now()
		d.group.r.say("%s: its heartbeat that says that it drains is acknowledged", d.id)
	}
	return status == http.StatusOK
}

// send sends a JSON body and returns the status, zero without an answer.
func send(client *http.Client, method, url string, body any) int {
	content, err := json.Marshal(body)
	if err != nil {
		return 0
	}
	req, err := http.NewRequest(method, url, bytes.NewReader(content))
	if err != nil {
		return 0
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body) // lets the connection be used again
	return resp.StatusCode
}

func (d *database) accept(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go d.serve(conn)
	}
}

// databaseConn is one connection to a database.
type databaseConn struct {
	db *database
	// tx is 'I', 'T' or 'E'; plain is set in a transaction that may write.
	tx      byte
	plain   bool
	pending []*commit
	// prepared holds for each prepared statement whether it writes.
	prepared map[nameDigest]bool
}

// nameDigest stands for the name of a prepared statement, which may be long.
type nameDigest [sha256.Size]byte

func digest(name string) nameDigest { return sha256.Sum256([]byte(name)) }

func (d *database) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	line, err := in.ReadString('\n')
	if err != nil {
		return
	}
	if code := d.open(conn, strings.Fields(line)); code != "" {
		fmt.Fprintf(conn, "ERROR %s %s\r\n", code, d.id)
		return
	}
	defer d.closed(conn)
	c := &databaseConn{db: d, tx: 'I', prepared: map[nameDigest]bool{}}
	fmt.Fprintf(conn, "READY I %s\r\n", d.position())
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		fields := strings.SplitN(strings.TrimRight(line, "\r\n"), " ", 3)
		if len(fields) != 3 || fields[0] != "QUERY" {
			return
		}
		answer := c.run(fields[1], fields[2])
		position := d.position()
		if verb, _, _ := strings.Cut(fields[2], " "); d.group.bare && bareVerbs[verb] {
			position = "-"
		}
		if _, err := fmt.Fprintf(conn, "%sREADY %c %s\r\n", answer, c.tx, position); err != nil {
			return
		}
	}
}

// bareVerbs are the statements that a database may answer without its position.
var bareVerbs = map[string]bool{"SET": true, "RESET": true, "PREPARE": true, "DEALLOC": true}

// open returns the code that refuses a connection, empty if it is accepted.
func (d *database) open(conn net.Conn, startup []string) string {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	switch {
	case len(startup) < 3 || startup[0] != "STARTUP" || startup[1] != d.group.name, len(startup) > 3 && startup[3] != d.id:
		return "MISROUTED"
	case len(d.conns) >= d.group.maxConn:
		return "TOOMANY"
	}
	d.conns[conn] = true
	return ""
}

func (d *database) closed(conn net.Conn) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	delete(d.conns, conn)
}

func (d *database) position() string {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	return d.positionLocked()
}

func (d *database) positionLocked() string { return fmt.Sprintf("%d.%d", d.term, len(d.log)) }

func (c *databaseConn) fail(code string) string {
	if c.tx == 'T' {
		c.tx = 'E'
	}
	return "ERROR " + code + " " + c.db.id + "\r\n"
}

const completed = "COMPLETE -\r\n"

// run runs one statement and returns the answer without READY.
func (c *databaseConn) run(id, text string) string {
	d := c.db
	after := ""
	if rest, found := strings.CutPrefix(text, "AFTER "); found {
		after, text, _ = strings.Cut(rest, " ")
	}
	verb, rest, _ := strings.Cut(text, " ")
	if verb == "READ" || verb == "WRITE" || verb == "EXECUTE" || verb == "COMMIT" {
		release, ok := d.takeSlot()
		if !ok {
			return c.fail("BUSY")
		}
		defer release()
		time.Sleep(d.group.work)
	}
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	switch {
	case after != "" && !d.covers(after):
		return c.fail("LAGGING")
	case c.tx == 'E' && verb != "ROLLBACK" && verb != "COMMIT":
		return c.fail("MALFORMED")
	case c.plain && d.role != rolePrimary && verb != "ROLLBACK" && (verb != "COMMIT" || len(c.pending) > 0):
		return c.fail("READONLY")
	}
	switch verb {
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return d.control(verb, rest)
	case "SET", "DEALLOC":
		return completed
	case "RESET":
		clear(c.prepared)
		return completed
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		c.prepared[digest(name)] = strings.HasPrefix(shape, "WRITE ")
		return completed
	case "BEGIN":
		if rest == "" && d.role != rolePrimary {
			return c.fail("READONLY")
		}
		c.tx, c.plain, c.pending = 'T', rest == "", nil
		return completed
	case "ROLLBACK":
		c.tx, c.plain, c.pending = 'I', false, nil
		return completed
	case "COMMIT":
		return c.commit()
	}
	return c.data(id, verb, rest)
}

// takeSlot waits for a slot. ok is false if too many statements wait.
func (d *database) takeSlot() (release func(), ok bool) {
	d.group.mu.Lock()
	full := d.busy >= databaseQueue
	if !full {
		d.busy++
	}
	d.group.mu.Unlock()
	if full {
		return nil, false
	}
	d.slots <- struct{}{}
	return func() {
		<-d.slots
		d.group.mu.Lock()
		defer d.group.mu.Unlock()
		d.busy--
	}, true
}

// covers reports whether the log has the position. The caller holds the lock.
func (d *database) covers(position string) bool {
	termText, numberText, _ := strings.Cut(position, ".")
	term, err := strconv.Atoi(termText)
	number, err2 := strconv.Atoi(numberText)
	if err != nil || err2 != nil || term > d.term || number > len(d.log) {
		return false
	}
	return number == 0 || d.log[number-1].term <= term
}

// control runs a control statement. The caller holds the lock.
func (d *database) control(verb, rest string) string {
	term, _ := strconv.Atoi(rest)
	switch {
	case verb == "PAUSE" && d.role == roleReplica && term > d.term:
		d.paused, d.held = true, max(d.held, term)
	case verb == "RESUME":
		d.paused = false
	case verb == "STEPDOWN" && d.role == rolePrimary && term > d.term:
		d.role, d.held = roleReplica, max(d.held, term)
		d.group.r.say("%s steps down for term %d", d.id, term)
		d.report()
	}
	return fmt.Sprintf("ROW %s %d %s %d 0 %d %d\r\n%s", d.role, d.term, d.positionLocked(), d.held, d.busy, len(d.conns), completed)
}

func (c *databaseConn) commit() string {
	pending, failed := c.pending, c.tx != 'T'
	c.tx, c.plain, c.pending = 'I', false, nil
	if failed {
		return "ERROR ABORTED " + c.db.id + "\r\n"
	}
	for _, e := range pending {
		c.db.append(e)
	}
	return "COMPLETE " + c.db.signature() + "\r\n"
}

// data runs a READ, WRITE or EXECUTE.
func (c *databaseConn) data(id, verb, rest string) string {
	d := c.db
	writes := verb == "WRITE"
	if verb == "EXECUTE" {
		name, args, _ := strings.Cut(rest, " ")
		prepared, found := c.prepared[digest(name)]
		if !found {
			return c.fail("NOSTMT")
		}
		writes, rest = prepared, args
	}
	item, data, _ := strings.Cut(rest, " ")
	if late := time.Since(d.drainAcked) - drainLimit; !d.drainAcked.IsZero() && late > 0 && c.tx == 'I' {
		d.lateReads++
		d.group.r.note("%s reaches %s %v after the limit", id, d.id, late)
	}
	if !writes {
		return d.rows(item) + "COMPLETE " + d.signature() + "\r\n"
	}
	if d.role != rolePrimary {
		return c.fail("READONLY")
	}
	e := &commit{db: d, id: id, item: item, data: data}
	if c.tx == 'T' {
		c.pending = append(c.pending, e)
	} else {
		d.append(e)
	}
	return "COMPLETE " + d.signature() + "\r\n"
}

// append appends a commit to the log of a primary. The caller holds the lock.
func (d *database) append(e *commit) {
	e.term, e.at = d.term, time.Now()
	d.log = append(d.log[:len(d.log):len(d.log)], e)
	d.group.commits = append(d.group.commits, e)
	d.group.r.note("%s commits %s as %s", d.id, e.id, d.positionLocked())
}

func (d *database) rows(item string) string {
	for i := len(d.log) - 1; i >= 0; i-- {
		if d.log[i].item == item {
			return "ROW " + d.log[i].data + "\r\n"
		}
	}
	return ""
}

func (d *database) signature() string { return fmt.Sprintf("%s.%x", d.id, rand.Uint64()) }
