package replog

import (
	"flag"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/cicadacove/cicadacove/internal/testseed"
)

// TestMain sets defaults for the rapid flags that the command line does not
// set.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.steps": "150", "rapid.nofailfile": "true"} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// pickNode draws a running node.
func (w *invariants) pickNode(t *rapid.T) *simNode {
	if len(w.nodes) == 0 {
		t.Skip("no running node")
	}
	return w.nodes[rapid.SampledFrom(slices.Sorted(maps.Keys(w.nodes))).Draw(t, "node")]
}

// keepsMajority reports whether a majority of the voters still has a disk after
// the one at addr is lost.
func (w *invariants) keepsMajority(members Membership, addr string) bool {
	voters := members.Voters()
	remaining := 0
	for _, id := range voters {
		for a, d := range w.disks {
			if d.id == id && a != addr {
				remaining++
			}
		}
	}
	return len(voters) == 0 || remaining > len(voters)/2
}

// memberships returns all memberships that are in a log or in flight.
func (w *invariants) memberships() []Membership {
	var all []Membership
	for _, n := range w.nodes {
		for _, at := range n.log.members {
			all = append(all, at.members)
		}
	}
	for _, m := range w.inFlight {
		for _, e := range m.Entries {
			all = append(all, e.Members)
		}
	}
	return all
}

// mayLoseDisk reports whether every membership keeps a majority after the disk
// at addr is lost. Without a majority a cluster stops, as it should.
func (w *invariants) mayLoseDisk(addr string) bool {
	for _, members := range w.memberships() {
		if !w.keepsMajority(members, addr) {
			return false
		}
	}
	return len(w.nodes) == len(w.addrs) && w.leader() != nil
}

// pickLeader draws a node in the leader role, or any node if there is none.
func (w *invariants) pickLeader(t *rapid.T) *simNode {
	var leaders []string
	for _, addr := range slices.Sorted(maps.Keys(w.nodes)) {
		if w.nodes[addr].role == Leader {
			leaders = append(leaders, addr)
		}
	}
	if len(leaders) == 0 {
		return w.pickNode(t)
	}
	return w.nodes[rapid.SampledFrom(leaders).Draw(t, "leader")]
}

// Names of the actions. rapid prefers names that sort first, so the actions that
// advance the log come first.
const (
	actRun                  = "a run"
	actPropose              = "b propose"
	actConfirm              = "c confirm"
	actRestart              = "d restart"
	actHeal                 = "e heal"
	actPartition            = "f partition"
	actPause                = "g pause"
	actDeliver              = "h deliver"
	actCrashWhileProcessing = "i crash at a step"
	actCrashOnDelivery      = "j crash on delivery"
	actCrash                = "k crash"
	actLoseDisk             = "l lose a disk"
	actRemove               = "m remove"
	actAdd                  = "n add"
	actTick                 = "o tick"
	actStall                = "p stall"
	actTransferLeadership   = "q hand over"
)

// actions returns the actions of the state machine test.
func (w *invariants) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		actRun:                  w.doRun,
		actPropose:              w.doPropose,
		actConfirm:              w.doConfirm,
		actRestart:              w.doRestart,
		actHeal:                 w.doHeal,
		actPartition:            w.doPartition,
		actPause:                func(t *rapid.T) { w.paused[w.pickLeader(t).addr] = true },
		actDeliver:              w.doDeliver,
		actCrashWhileProcessing: w.doCrashWhileProcessing,
		actCrashOnDelivery:      w.doCrashOnDelivery,
		actCrash:                func(t *rapid.T) { w.crash(w.pickNode(t).addr) },
		actLoseDisk:             w.doLoseDisk,
		actRemove:               w.doRemove,
		actAdd:                  w.doAdd,
		actTick:                 func(*rapid.T) { w.tick() },
		actStall:                func(*rapid.T) { w.now = w.now.Add(2 * simElection) },
		actTransferLeadership:   w.doTransferLeadership,
		"":                      func(*rapid.T) { w.checkLogs() },
	}
}

func (w *invariants) doHeal(*rapid.T) {
	w.partition = map[string]int{}
	w.paused = map[string]bool{}
}

func (w *invariants) doRun(t *rapid.T) {
	w.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "ticks")) * simStep)
}

func (w *invariants) doPartition(t *rapid.T) {
	addr := rapid.SampledFrom(w.addrs).Draw(t, "addr")
	w.partition[addr] = rapid.IntRange(0, 1).Draw(t, "side")
}

func (w *invariants) doDeliver(t *rapid.T) {
	for range rapid.IntRange(1, 30).Draw(t, "messages") {
		if len(w.inFlight) > 0 {
			w.deliver(0)
		}
	}
}

func (w *invariants) doPropose(t *rapid.T) {
	n := w.pickLeader(t)
	for range rapid.IntRange(1, 5).Draw(t, "entries") {
		n.Propose([]byte{byte('a' + len(w.committed)%26)})
	}
	w.process(n, 0)
}

func (w *invariants) doConfirm(t *rapid.T) {
	n := w.pickLeader(t)
	w.lastRequest++
	w.termAtConfirm[w.lastRequest] = w.maxCommittedTerm
	w.acceptedAtConfirm[w.lastRequest] = w.lastAccepted()
	if w.skipConfirmRound && n.role == Leader {
		w.checkConfirmed(n, Confirmation{w.lastRequest, n.log.commit})
		return
	}
	n.Confirm(w.lastRequest)
	w.process(n, 0)
}

// doCrashWhileProcessing crashes a node at one of the steps of its work.
func (w *invariants) doCrashWhileProcessing(t *rapid.T) {
	n := w.pickNode(t)
	n.Propose([]byte("!"))
	n.Tick(w.now)
	w.process(n, rapid.IntRange(1, 4).Draw(t, "step"))
}

// doCrashOnDelivery crashes the receiver of a message at one of the steps of
// its work and restarts it.
func (w *invariants) doCrashOnDelivery(t *rapid.T) {
	step := rapid.IntRange(1, 3).Draw(t, "step")
	if lead := w.leader(); lead != nil {
		lead.Propose([]byte("?"))
		w.process(lead, 0)
	}
	if len(w.inFlight) > 0 {
		w.deliver(step)
	}
	for _, addr := range w.addrs {
		if w.nodes[addr] == nil {
			w.start(addr, w.addrs)
		}
	}
}

func (w *invariants) doTransferLeadership(t *rapid.T) {
	n := w.pickLeader(t)
	n.TransferLeadership()
	w.process(n, 0)
}

func (w *invariants) doRestart(t *rapid.T) {
	for _, addr := range w.addrs {
		if w.nodes[addr] == nil {
			w.start(addr, w.addrs)
			return
		}
	}
	t.Skip("all nodes are running")
}

func (w *invariants) doLoseDisk(t *rapid.T) {
	addr := rapid.SampledFrom(w.addrs).Draw(t, "addr")
	if !w.mayLoseDisk(addr) {
		return
	}
	w.loseDisk(addr)
	w.start(addr, w.addrs)
}

func (w *invariants) doRemove(t *rapid.T) {
	n := w.pickNode(t)
	voters := n.log.membership().Voters()
	if n.role != Leader || len(voters) < len(w.addrs) {
		return
	}
	id := rapid.SampledFrom(voters).Draw(t, "voter")
	if !w.keepsMajority(n.log.membership().Without(id), "") {
		return
	}
	if _, _, err := n.Remove(id); err == nil {
		w.process(n, 0)
	}
}

// doAdd adds a removed node to the cluster again.
func (w *invariants) doAdd(t *rapid.T) {
	n := w.pickNode(t)
	for _, addr := range w.addrs {
		if _, _, err := n.AddLearner(Member{ID: w.disks[addr].id, Addr: addr, PromoteWhenCaughtUp: true}); err == nil {
			w.process(n, 0)
			return
		}
	}
}

// runMachine runs the state machine test once.
func runMachine(t *rapid.T, configure func(*sim), addrs ...string) *invariants {
	s := newSim(t, rapid.Uint64().Draw(t, "seed"), addrs...)
	configure(s)
	w := newInvariants(s)
	s.run(3 * time.Second)
	s.lossy = true
	t.Repeat(w.actions())
	w.checkEnd()
	return w
}

// testMachine runs the state machine test repeatedly and logs totals over all
// runs.
func testMachine(t *testing.T, configure func(*sim), addrs ...string) {
	var total struct{ leaders, accepted, confirms, installs, identities int }
	defer func() { t.Logf("%+v", total) }()
	rapid.Check(t, func(t *rapid.T) {
		w := runMachine(t, configure, addrs...)
		total.leaders += len(w.leaders)
		total.accepted += len(w.accepted)
		total.confirms += w.confirms
		total.installs += w.snapshotInstalls
		total.identities += w.lastID
	})
}

func TestMachine3(t *testing.T) {
	testMachine(t, func(s *sim) { s.compactAt = 7 }, "a", "b", "c")
}

func TestMachine5(t *testing.T) {
	testMachine(t, func(*sim) {}, "a", "b", "c", "d", "e")
}
