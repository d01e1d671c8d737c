package control

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/clock"
	"github.com/cicadacove/cicadacove/internal/core/ctlstate"
	"github.com/cicadacove/cicadacove/internal/core/membership"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/dbapi"
)

// databaseKey identifies a database of a group.
type databaseKey struct {
	group topo.GroupID
	id    topo.UpstreamID
}

// followCommand is the last follow command that a database carried out; busy is
// set while a command is in flight.
type followCommand struct {
	term        topo.Term
	incarnation uint64
	primaryAddr string
	busy        bool
}

// reconcileDatabases accepts databases that have announced themselves, makes
// them follow the primary of their group and removes those that have shut down.
func (l *leadership) reconcileDatabases(ctx context.Context) {
	l.mu.Lock()
	l.registry.Prune(clock.Now(), forgetAfter)
	all := l.registry.All()
	l.mu.Unlock()
	for _, k := range all {
		l.acceptDatabase(ctx, k)
	}
	for _, id := range l.c.opts.State.Groups() {
		l.ensureFollowing(ctx, id)
		l.removeEndedDatabases(ctx, id)
	}
}

func (l *leadership) acceptDatabase(ctx context.Context, k membership.KnownUpstream) {
	if k.Leaving || l.registry.Expired(k, clock.Now()) {
		return
	}
	add := &ctlstate.AddDatabase{
		Group:    k.Group,
		Database: ctlstate.Database{ID: k.ID, Addr: k.Addr, Zone: k.Zone, Slots: k.Slots},
	}
	record, known := l.c.opts.State.Group(k.Group)
	if !known {
		if k.Role != topo.RolePrimary {
			return
		}
		term, err := l.initialTerm(ctx, k)
		if err != nil {
			klog.V(1).Infof("control: failed to read the term of primary %s of %s: %v", k.ID, k.Group, err)
			return
		}
		add.CreateGroup, add.Term = true, term
	}
	old, _ := record.Database(k.ID)
	add.Database.Retiring = old.Retiring
	if old == add.Database {
		return
	}
	l.commit(ctx, ctlstate.Command{AddDatabase: add})
	l.publish(ctx, k.Group)
}

// initialTerm returns the term under which a primary creates its group. Where
// announcements do not contain the term, it queries the database.
func (l *leadership) initialTerm(ctx context.Context, k membership.KnownUpstream) (topo.Term, error) {
	announced := max(k.Point.Term, k.FencedTerm)
	if announced > 0 || !l.c.opts.Upstreams.AutoFollow {
		return max(announced, 1), nil
	}
	ctx, cancel := context.WithTimeout(ctx, l.c.timing.Call)
	defer cancel()
	s, err := l.c.db.Status(ctx, dbapi.Location{Group: k.Group, ID: k.ID, Addr: k.Addr})
	return max(s.Term, s.FencedTerm, 1), err
}

// ensureFollowing sends each database except the primary a command to follow the
// primary, once per term, primary address and incarnation of the database.
func (l *leadership) ensureFollowing(ctx context.Context, id topo.GroupID) {
	record, ok := l.c.opts.State.Group(id)
	if !ok || record.Attempt != nil {
		return
	}
	for _, d := range record.Databases {
		if d.ID == record.Primary {
			continue
		}
		if command, due := l.nextFollowCommand(record, d); due {
			go l.sendFollow(ctx, record, d, command)
		}
	}
}

func (l *leadership) nextFollowCommand(record ctlstate.GroupRecord, d ctlstate.Database) (followCommand, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k, announced := l.registry.Get(record.ID, d.ID)
	if !announced || l.registry.Expired(k, clock.Now()) {
		return followCommand{}, false
	}
	command := followCommand{term: record.Term, incarnation: k.Incarnation, primaryAddr: record.PrimaryAddr()}
	key := databaseKey{record.ID, d.ID}
	last := l.followCommands[key]
	if l.c.opts.Upstreams.AutoFollow && k.Role == topo.RoleReplica {
		return followCommand{}, false
	}
	if last.busy || (last == command && k.Role == topo.RoleReplica) {
		return followCommand{}, false
	}
	l.followCommands[key] = followCommand{busy: true}
	return command, true
}

func (l *leadership) sendFollow(ctx context.Context, record ctlstate.GroupRecord, d ctlstate.Database, command followCommand) {
	ctx, cancel := context.WithTimeout(ctx, l.c.timing.Call)
	defer cancel()
	err := l.follow(ctx, record, d, command.primaryAddr)
	if err != nil {
		klog.V(1).Infof("control: failed to make %s follow %s: %v", d.ID, record.Primary, err)
		command = followCommand{}
		clock.Sleep(ctx, databaseRetryDelay)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.followCommands[databaseKey{record.ID, d.ID}] = command
}

func (l *leadership) follow(ctx context.Context, record ctlstate.GroupRecord, d ctlstate.Database, primaryAddr string) error {
	permit, err := l.permit(ctx, record.ID, func(current ctlstate.GroupRecord) bool {
		return current.Attempt == nil && current.Term == record.Term
	})
	if err != nil {
		return err
	}
	_, err = l.c.db.Follow(ctx, permit, locationOf(record.ID, d), record.Term, primaryAddr)
	return err
}

// databaseRetryDelay is the delay before a failed follow command, removal or
// switchover is retried.
const databaseRetryDelay = 200 * time.Millisecond
