package ctlmodel

import (
	"fmt"
	"slices"
	"time"

	"github.com/cicadacove/cicadacove/internal/charts"
	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/failover"
	"github.com/cicadacove/cicadacove/internal/core/lease"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/statechart"
)

const (
	group       = topo.GroupID("ledger-1")
	controllers = 3
	instances   = 3
	databases   = 3
	// removeAfter is how long a member without a lease stays registered.
	removeAfter = 2 * time.Second
)

var (
	epoch = time.Unix(1_000_000, 0)
	// leaseTerms tolerate clocks that run at 0.98 to 1.02 of true time.
	leaseTerms = lease.Timing{Duration: 1500 * time.Millisecond, Margin: 50 * time.Millisecond, DriftPPM: 42_000}
)

// chooser makes the random choices of a run.
type chooser interface{ intn(n int, label string) int }

// disabledMechanisms selects the safety mechanisms that a run disables, to show
// that the checks detect their absence.
type disabledMechanisms struct {
	noDrain, noConfirm, noRelease, alwaysInherited, smallQuorum, leaseBeforeDelta, noEpochWait bool
}

// simulation is the state of a run; now is true time.
type simulation struct {
	pick       chooser
	disabled   disabledMechanisms
	now        time.Duration
	log        []ctlstate.Command
	leader     int
	elections  int
	ctls       []*controller
	entries    []*entry
	dbs        []*database
	messages   []message
	chart      *statechart.Chart
	violations []string
	// weights are the relative frequencies of the kinds of steps in this run.
	weights []int

	acked    []ackedWrite
	promoted map[topo.Term]topo.UpstreamID
	nextID   int
	// failovers and acks count events, so that a test can check that the runs
	// exercised them.
	failovers, acks int
}

// message is a step that runs at a node on arrival. A local message stays
// within its process and is neither lost nor duplicated.
type message struct {
	to    *node
	local bool
	run   func()
}

// node is a process with its own clock.
type node struct {
	rate   float64
	paused bool
	// isolated is set while the node and the controllers cannot communicate.
	isolated bool
}

func (n *node) clock(s *simulation) time.Time {
	return epoch.Add(time.Duration(float64(s.now) * n.rate))
}

type ackedWrite struct {
	id      int
	durable bool
}

func newSimulation(pick chooser, disabled disabledMechanisms) *simulation {
	s := &simulation{
		pick: pick, disabled: disabled, leader: -1,
		chart:    failover.LoadChart(charts.Read("failover.toml")),
		promoted: map[topo.Term]topo.UpstreamID{},
	}
	for i := range databases {
		s.dbs = append(s.dbs, newDatabase(i))
	}
	for i := range controllers {
		s.ctls = append(s.ctls, &controller{id: i, node: s.newNode(), machine: ctlstate.NewMachine(nil)})
	}
	for i := range instances {
		e := &entry{id: topo.InstanceID(fmt.Sprintf("e%d", i)), node: s.newNode()}
		s.entries = append(s.entries, e)
		e.start(s)
	}
	s.chooseWeights()
	s.elect(0)
	s.createGroup()
	return s
}

func (s *simulation) newNode() *node {
	return &node{rate: 0.98 + 0.01*float64(s.pick.intn(5, "clock rate"))}
}

// createGroup adds the group and its databases to the log.
func (s *simulation) createGroup() {
	for i, db := range s.dbs {
		s.commit(s.ctls[0], ctlstate.Command{AddDatabase: &ctlstate.AddDatabase{
			Group: group, Database: ctlstate.Database{ID: db.id, Addr: string(db.id)}, CreateGroup: i == 0, Term: 1,
		}})
	}
}

func (s *simulation) send(to *node, run func()) {
	s.messages = append(s.messages, message{to: to, run: run})
}

func (s *simulation) sendLocal(to *node, run func()) {
	s.messages = append(s.messages, message{to: to, local: true, run: run})
}

func (s *simulation) addViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf("at %v: ", s.now)+fmt.Sprintf(format, args...))
}

// commit appends a log entry if c is the latest leader.
func (s *simulation) commit(c *controller, cmd ctlstate.Command) (refused string, ok bool) {
	if s.leader != c.id {
		return "", false
	}
	s.log = append(s.log, cmd)
	refused = c.catchUp(s)
	if refused == "" && cmd.Complete != nil {
		s.failovers++
		s.checkDurable(c)
	}
	return refused, true
}

// elect makes a controller the leader. The former leader is not notified.
func (s *simulation) elect(i int) {
	s.leader = i
	s.elections++
	s.ctls[i].becomeLeader(s)
}

// steps lists the kinds of steps.
func (s *simulation) steps() []func() {
	return []func(){
		func() { s.deliver(s.pick.intn(max(1, len(s.messages)), "message"), false) },
		func() { s.deliverInOrder(8) },
		func() { s.deliver(s.pick.intn(max(1, len(s.messages)), "message"), true) },
		func() { s.lose(s.pick.intn(max(1, len(s.messages)), "message")) },
		func() { s.now += time.Duration(5+s.pick.intn(100, "milliseconds")) * time.Millisecond },
		func() { s.now += time.Duration(100+s.pick.intn(1500, "milliseconds")) * time.Millisecond },
		func() { s.entries[s.pick.intn(instances, "instance")].renew(s) },
		func() { s.entries[s.pick.intn(instances, "instance")].write(s, s.pick.intn(2, "durable") == 0) },
		func() { s.replicate(s.pick.intn(databases, "database")) },
		func() { s.ctls[s.pick.intn(controllers, "controller")].tick(s) },
		func() { s.ctls[s.pick.intn(controllers, "controller")].suspect(s) },
		func() { s.elect(s.pick.intn(controllers, "controller")) },
		func() { s.togglePause(s.entries[s.pick.intn(instances, "instance")].node) },
		func() { s.togglePause(s.ctls[s.pick.intn(controllers, "controller")].node) },
		func() { s.entries[s.pick.intn(instances, "instance")].start(s) },
		func() { s.ctls[s.pick.intn(controllers, "controller")].abandonAttempt() },
		func() { s.crash(s.dbs[s.pick.intn(databases, "database")]) },
		func() { s.isolate(s.entries[s.pick.intn(instances, "instance")].node) },
		func() { s.isolate(s.dbs[s.pick.intn(databases, "database")].node) },
	}
}

// baseWeights are the weights of the kinds of steps, in the order of steps, before
// chooseWeights scales them.
var baseWeights = []int{40, 60, 3, 2, 12, 1, 15, 25, 10, 10, 2, 1, 2, 2, 1, 4, 1, 2, 2}

// chooseWeights makes some kinds of steps more frequent and disables others, so
// that runs differ from each other.
func (s *simulation) chooseWeights() {
	for i, base := range baseWeights {
		factor := []int{1, 1, 2, 6}[s.pick.intn(4, "weight")]
		if i > 1 && s.pick.intn(6, "rare") == 0 {
			factor = 0
		}
		s.weights = append(s.weights, base*factor)
	}
}

// step executes one random step and checks the epochs in use.
func (s *simulation) step() {
	sum := 0
	for _, weight := range s.weights {
		sum += weight
	}
	n := s.pick.intn(sum, "step")
	for i, weight := range s.weights {
		if n < weight {
			s.steps()[i]()
			break
		}
		n -= weight
	}
	s.checkEpochs()
}

// togglePause resumes a paused node, and pauses a running one with probability
// 1/4.
func (s *simulation) togglePause(n *node) {
	n.paused = !n.paused && s.pick.intn(4, "pause") == 0
}

// isolate separates a node from the controllers or heals all partitions. An
// isolated node can still communicate with the other nodes.
func (s *simulation) isolate(n *node) {
	if s.pick.intn(3, "heal") == 0 {
		s.healPartitions()
		return
	}
	n.isolated = true
}

func (s *simulation) healPartitions() {
	for _, e := range s.entries {
		e.node.isolated = false
	}
	for _, db := range s.dbs {
		db.node.isolated = false
	}
}

// sendControl sends a message between a controller and another node. It is lost
// if that node is isolated.
func (s *simulation) sendControl(to, other *node, run func()) {
	s.send(to, func() {
		if !other.isolated {
			run()
		}
	})
}

// crash stops a database, or restarts the one that is down. At most one is
// down.
func (s *simulation) crash(db *database) {
	for _, other := range s.dbs {
		if other.down {
			other.down = false
			return
		}
	}
	db.down = true
}

// deliver runs a message. If it is duplicated, a copy stays in the queue.
func (s *simulation) deliver(i int, duplicate bool) {
	if i >= len(s.messages) || (s.messages[i].to != nil && s.messages[i].to.paused) {
		return
	}
	m := s.messages[i]
	if !duplicate || m.local {
		s.messages = slices.Delete(s.messages, i, i+1)
	}
	m.run()
}

func (s *simulation) lose(i int) {
	if i < len(s.messages) && !s.messages[i].local {
		s.messages = slices.Delete(s.messages, i, i+1)
	}
}

func (s *simulation) deliverInOrder(n int) {
	for range n {
		s.deliver(0, false)
	}
}

// settle runs all processes without faults, so that the run ends in a state
// whose durability can be checked.
func (s *simulation) settle() {
	for _, db := range s.dbs {
		db.down = false
	}
	for _, c := range s.ctls {
		c.node.paused = false
	}
	for _, e := range s.entries {
		e.node.paused = false
	}
	s.healPartitions()
	for range 60 {
		s.now += 100 * time.Millisecond
		for _, e := range s.entries {
			e.leader = s.leader
			e.renew(s)
		}
		for i := range s.dbs {
			s.replicate(i)
		}
		s.ctls[s.leader].tick(s)
		for len(s.messages) > 0 && len(s.violations) == 0 {
			s.deliver(0, false)
			s.checkEpochs()
		}
	}
}
