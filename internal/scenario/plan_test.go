package scenario

import (
	"context"
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/cicadacove/cicadacove/internal/cluster"
	"github.com/cicadacove/cicadacove/internal/standin"
)

// Limits of a random plan.
const (
	maxSessions = 6
	maxSteps    = 25
	maxFaults   = 6
	maxPauseMs  = 150
	maxLengthMs = 2500
	maxParts    = 3
	maxCopies   = 2
	// groupsUsed limits the requests and the faults to a few groups, so that
	// faults affect the requests.
	groupsUsed = 2
)

// plan is the requests and the faults of one run.
type plan struct {
	profile  string
	sessions [][]step
	faults   []fault
}

// step is one request of a session.
type step struct {
	pause       time.Duration
	entry       int
	group       int
	writes      bool
	parts       int
	transaction bool
	copies      int
}

// fault is a temporary fault.
type fault struct {
	pause  time.Duration
	length time.Duration
	kind   string
	target int
	other  int
}

// Kinds of faults.
const (
	faultIsolateDatabase  = "isolate database"
	faultIsolatePrimary   = "isolate primary"
	faultIsolateEntry     = "isolate entry instance"
	faultPartitionZones   = "partition zones"
	faultKillEntry        = "kill entry instance"
	faultDrainEntry       = "shut entry instance down"
	faultRestartDatabase  = "restart database"
	faultHangDatabase     = "hang database"
	faultSlowDatabase     = "slow database"
	faultBreakMidResponse = "close the connection mid-response"
	faultLag              = "lagging replica"
)

var faultKinds = []string{
	faultIsolateDatabase, faultIsolatePrimary, faultIsolatePrimary, faultIsolateEntry, faultPartitionZones,
	faultKillEntry, faultDrainEntry, faultRestartDatabase, faultHangDatabase, faultSlowDatabase,
	faultBreakMidResponse, faultBreakMidResponse, faultLag,
}

func drawPlan(t *rapid.T) plan {
	p := plan{profile: rapid.SampledFrom(cluster.Profiles()).Draw(t, "profile")}
	for range rapid.IntRange(2, maxSessions).Draw(t, "sessions") {
		p.sessions = append(p.sessions, rapid.SliceOfN(rapid.Custom(drawStep), 5, maxSteps).Draw(t, "steps"))
	}
	p.faults = rapid.SliceOfN(rapid.Custom(drawFault), 0, maxFaults).Draw(t, "faults")
	return p
}

func drawStep(t *rapid.T) step {
	return step{
		pause:       milliseconds(t, "pause", maxPauseMs),
		entry:       rapid.IntRange(0, cluster.Entries-1).Draw(t, "entry"),
		group:       rapid.IntRange(0, groupsUsed-1).Draw(t, "group"),
		writes:      rapid.Bool().Draw(t, "writes"),
		parts:       rapid.IntRange(1, maxParts).Draw(t, "parts"),
		transaction: rapid.Bool().Draw(t, "transaction"),
		copies:      rapid.IntRange(1, maxCopies).Draw(t, "copies"),
	}
}

func drawFault(t *rapid.T) fault {
	return fault{
		pause:  milliseconds(t, "pause", 2*maxPauseMs),
		length: milliseconds(t, "length", maxLengthMs),
		kind:   rapid.SampledFrom(faultKinds).Draw(t, "kind"),
		target: rapid.IntRange(0, 8).Draw(t, "target"),
		other:  rapid.IntRange(1, 2).Draw(t, "other"),
	}
}

func milliseconds(t *rapid.T, label string, limit int) time.Duration {
	return time.Duration(rapid.IntRange(0, limit).Draw(t, label)) * time.Millisecond
}

// runFaults starts the faults in order, each after its pause, and ends them after
// their lengths. Faults can overlap.
func (d *deployment) runFaults(ctx context.Context, faults []fault) {
	var latest time.Time
	type ending struct {
		endsAt time.Time
		end    func()
	}
	var endings []ending
	for _, f := range faults {
		time.Sleep(f.pause)
		endsAt := time.Now().Add(f.length)
		endings = append(endings, ending{endsAt, d.startFault(ctx, f)})
		if endsAt.After(latest) {
			latest = endsAt
		}
	}
	for _, e := range endings {
		time.Sleep(time.Until(e.endsAt))
		e.end()
	}
}

// startFault starts a fault and returns the function that ends it.
func (d *deployment) startFault(ctx context.Context, f fault) (end func()) {
	switch f.kind {
	case faultIsolateEntry, faultKillEntry, faultDrainEntry:
		return d.startEntryFault(ctx, f)
	case faultPartitionZones:
		a := cluster.Zones[f.target%len(cluster.Zones)]
		b := cluster.Zones[(f.target+f.other)%len(cluster.Zones)]
		d.cluster.Net.Partition(a, b)
		return func() { d.cluster.Net.Heal(a, b) }
	default:
		return d.startDatabaseFault(f)
	}
}

func (d *deployment) startEntryFault(ctx context.Context, f fault) (end func()) {
	e := d.cluster.Entry(f.target % cluster.Entries)
	if f.kind == faultIsolateEntry {
		d.cluster.Net.Isolate(string(e.ID))
		return func() { d.cluster.Net.Rejoin(string(e.ID)) }
	}
	if e.Node == nil {
		return func() {}
	}
	if f.kind == faultKillEntry {
		d.cluster.Kill(e)
	} else {
		ctx, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		if err := d.cluster.Shutdown(ctx, e); err != nil {
			fmt.Println("shutdown:", e.ID, err)
		}
	}
	return func() {
		if e.Node != nil {
			return
		}
		if err := d.cluster.Restart(e, true); err != nil {
			fmt.Println("restart:", e.ID, err)
		}
	}
}

func (d *deployment) startDatabaseFault(f fault) (end func()) {
	db := d.target(f)
	id := string(db.ID())
	switch f.kind {
	case faultIsolateDatabase, faultIsolatePrimary:
		d.cluster.Net.Isolate(id)
		return func() { d.cluster.Net.Rejoin(id) }
	case faultRestartDatabase:
		if err := db.Restart(f.length / 10); err != nil {
			fmt.Println("restart:", id, err)
		}
	case faultHangDatabase:
		db.Hang(true)
		return func() { db.Hang(false) }
	case faultSlowDatabase:
		db.SetDelay(f.length / 20)
		return func() { db.SetDelay(0) }
	case faultBreakMidResponse:
		db.BreakMidResponse(f.target)
	case faultLag:
		db.SetReplicationLag(f.length)
		return func() { db.SetReplicationLag(d.cluster.Profile.Lag) }
	}
	return func() {}
}

// target returns the database that a fault affects.
func (d *deployment) target(f fault) *standin.Database {
	groups := d.cluster.Profile.Groups()[:groupsUsed]
	g := groups[f.target%len(groups)]
	if f.kind == faultIsolatePrimary || f.kind == faultBreakMidResponse {
		if primary, ok := d.cluster.Primary(g); ok {
			return primary
		}
	}
	list := d.databasesOf(g)
	return list[(f.target+f.other)%len(list)]
}
