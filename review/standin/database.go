package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	dbSlots = 5
	// workTime is the time for which a read, a write or a commit occupies a slot.
	workTime = 40 * time.Millisecond
	// replicaLag is how long after the primary a replica has a commit.
	replicaLag = 8 * time.Millisecond
	// promoteTime is the time between a call to promote and its effect.
	promoteTime = 600 * time.Millisecond
)

// Roles of a database.
const (
	rolePrimary = "primary"
	roleReplica = "replica"
)

// group is the databases of one service with their common log.
type group struct {
	run  *run
	name string

	mu        sync.Mutex
	databases []*database
	primary   *database
	term      int
	// commits holds the time of each commit; its index is the position minus one.
	commits []time.Time
	// reached holds the ids of the clients' requests that a database received.
	reached map[string]bool
}

func newGroup(r *run, name string) *group {
	return &group{run: r, name: name, term: 1, reached: map[string]bool{}}
}

// database is the stand-in of one database. group.mu guards its fields.
type database struct {
	group *group
	id    string
	zone  string
	addr  string
	born  int64
	ln    net.Listener
	slots chan struct{}
	seq   int
	fence int
	beat  chan struct{}
}

func (g *group) start(count int) error {
	for i := range count {
		db := &database{
			group: g, id: fmt.Sprintf("i-%08x", 0x5c0e7a21+i), zone: zones[i%len(zones)],
			addr: hostPort(g.run.ip(kindDatabase, i), portDatabase), born: time.Now().UnixMilli(),
			slots: make(chan struct{}, dbSlots), beat: make(chan struct{}, 1),
		}
		ln, err := net.Listen("tcp", db.addr)
		if err != nil {
			return err
		}
		db.ln = ln
		g.databases = append(g.databases, db)
		if g.primary == nil {
			g.primary = db
		}
		go db.serve()
		go db.sendHeartbeats()
	}
	return nil
}

func (g *group) stop() {
	for _, db := range g.databases {
		_ = db.ln.Close() // nothing is left to save
	}
}

// hasReached reports whether a database received the request of a client.
func (g *group) hasReached(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reached[id]
}

func (g *group) handlePromote(w http.ResponseWriter, r *http.Request) {
	var body struct{ Service, ID string }
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g.run.record.printf("platform: promote %s, holder %s, token %s", body.ID, r.Header.Get("X-Duty-Holder"), r.Header.Get("X-Fencing-Token"))
	for _, db := range g.databases {
		if db.id == body.ID {
			time.AfterFunc(promoteTime, func() { g.promote(db) })
			w.WriteHeader(http.StatusOK)
			return
		}
	}
	w.WriteHeader(http.StatusConflict)
}

func (g *group) promote(db *database) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.primary == db {
		return
	}
	g.primary = db
	g.term++
	g.run.record.printf("%s leads term %d", db.id, g.term)
	select {
	case db.beat <- struct{}{}:
	default:
	}
}

// role returns the role of a database. The caller holds g.mu.
func (g *group) role(db *database) string {
	if g.primary == db {
		return rolePrimary
	}
	return roleReplica
}

// position returns the end of a database's log. The caller holds g.mu.
func (g *group) position(db *database) int {
	if g.primary == db {
		return len(g.commits)
	}
	n := len(g.commits)
	for n > 0 && time.Since(g.commits[n-1]) < replicaLag {
		n--
	}
	return n
}

// sendHeartbeats reports the database to the control voters in turn.
func (db *database) sendHeartbeats() {
	client := &http.Client{Timeout: time.Second}
	for next := 0; ; {
		if !db.sendHeartbeat(client, db.group.run.controlAddrs()[next%voterCount]) {
			next++
			time.Sleep(100 * time.Millisecond)
			continue
		}
		select {
		case <-db.group.run.done:
			return
		case <-db.beat:
		case <-time.After(heartbeatInterval):
		}
	}
}

func (db *database) sendHeartbeat(client *http.Client, addr string) bool {
	db.group.mu.Lock()
	db.seq++
	body, err := json.Marshal(map[string]any{
		"service": db.group.name, "address": db.addr, "zone": db.zone, "version": "v1", "slots": dbSlots, "state": "ready",
		"coldLeftMs": 0, "seqNo": db.seq, "dbRole": db.group.role(db), "born": db.born,
	})
	db.group.mu.Unlock()
	if err != nil {
		return false
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+addr+"/instances/"+db.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode/100 == 2
}

func (db *database) serve() {
	for {
		conn, err := db.ln.Accept()
		if err != nil {
			return
		}
		go (&dbConn{db: db, conn: conn, prepared: map[string]string{}, state: "I"}).serve()
	}
}

// dbConn is one connection to a database.
type dbConn struct {
	db       *database
	conn     net.Conn
	prepared map[string]string
	state    string
	readOnly bool
	wrote    bool
}

func (c *dbConn) serve() {
	defer c.conn.Close()
	in := bufio.NewReader(c.conn)
	line, err := readMessage(in)
	if err != nil {
		return
	}
	fields := strings.Fields(line)
	if len(fields) < 3 || fields[0] != "STARTUP" || fields[1] != c.db.group.name || len(fields) > 3 && fields[3] != c.db.id {
		fmt.Fprintf(c.conn, "ERROR MISROUTED %s\r\n", c.db.id)
		return
	}
	if !c.reply("") {
		return
	}
	for {
		line, err := readMessage(in)
		if err != nil {
			return
		}
		kind, rest, _ := strings.Cut(line, " ")
		id, text, _ := strings.Cut(rest, " ")
		if kind != "QUERY" || !c.reply(c.execute(id, text)) {
			return
		}
	}
}

func readMessage(in *bufio.Reader) (string, error) {
	line, err := in.ReadString('\n')
	return strings.TrimRight(line, "\r\n"), err
}

// reply sends the messages and READY. It returns false if the connection is
// broken.
func (c *dbConn) reply(messages string) bool {
	g := c.db.group
	g.mu.Lock()
	ready := fmt.Sprintf("READY %s %d.%d\r\n", c.state, g.term, g.position(c.db))
	g.mu.Unlock()
	_, err := c.conn.Write([]byte(messages + ready))
	return err == nil
}

const complete = "COMPLETE -\r\n"

// execute runs one statement and returns the messages before READY.
func (c *dbConn) execute(id, text string) string {
	g := c.db.group
	if id != "-" {
		g.mu.Lock()
		g.reached[id] = true
		g.mu.Unlock()
	}
	if rest, found := strings.CutPrefix(text, "AFTER "); found {
		required, after, _ := strings.Cut(rest, " ")
		if !c.covers(required) {
			return "ERROR LAGGING " + c.db.id + "\r\n"
		}
		text = after
	}
	verb, rest, _ := strings.Cut(text, " ")
	switch verb {
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return c.control(verb, rest)
	case "RESET":
		clear(c.prepared)
		return complete
	case "SET", "DEALLOC":
		return complete
	case "PREPARE":
		name, definition, _ := strings.Cut(rest, " ")
		c.prepared[name] = definition
		return complete
	case "BEGIN":
		c.state, c.readOnly, c.wrote = "T", rest == "READ", false
		return complete
	case "ROLLBACK":
		c.state = "I"
		return complete
	case "EXECUTE":
		name, _, _ := strings.Cut(rest, " ")
		definition, known := c.prepared[name]
		if !known {
			return "ERROR NOSTMT " + name + "\r\n"
		}
		verb, _, _ = strings.Cut(definition, " ")
	}
	return c.work(id, verb)
}

// work runs a read, a write or a commit in a slot.
func (c *dbConn) work(id, verb string) string {
	g := c.db.group
	c.db.slots <- struct{}{}
	time.Sleep(workTime)
	<-c.db.slots
	g.mu.Lock()
	defer g.mu.Unlock()
	if verb == "WRITE" && g.primary != c.db {
		return "ERROR READONLY " + c.db.id + "\r\n"
	}
	if verb == "WRITE" {
		c.wrote = true
	}
	if verb == "COMMIT" || verb == "WRITE" && c.state == "I" {
		if c.wrote {
			g.commits = append(g.commits, time.Now())
		}
		c.state, c.wrote = "I", false
	}
	g.run.record.printf("%s ran %s %s", c.db.id, id, verb)
	row := ""
	if verb == "READ" {
		row = "ROW qhzkwmtrbelo\r\n"
	}
	return row + "COMPLETE " + c.db.id + "." + id + "\r\n"
}

func (c *dbConn) covers(required string) bool {
	_, number, _ := strings.Cut(required, ".")
	n, err := strconv.Atoi(number)
	c.db.group.mu.Lock()
	defer c.db.group.mu.Unlock()
	return err == nil && c.db.group.position(c.db) >= n
}

// control executes a control statement and returns the status row.
func (c *dbConn) control(verb, argument string) string {
	g := c.db.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if verb != "STATUS" {
		g.run.record.printf("%s received %s %s", c.db.id, verb, argument)
	}
	if term, err := strconv.Atoi(argument); err == nil {
		c.db.fence = max(c.db.fence, term)
	}
	return fmt.Sprintf("ROW %s %d %d.%d %d 8 0 1\r\n%s", g.role(c.db), g.term, g.term, g.position(c.db), max(c.db.fence, g.term), complete)
}
