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

// followKey names a database of a group.
type followKey struct {
	group topo.GroupID
	id    topo.UpstreamID
}

// followed is the order that a database has carried out last.
type followed struct {
	term        topo.Term
	incarnation uint64
	primaryAddr string
	busy        bool
}

// tickDatabases accepts databases that have announced themselves, and keeps
// them following the primary of their group.
func (r *reign) tickDatabases(ctx context.Context) {
	r.mu.Lock()
	r.registry.Prune(clock.Now(), forgetAfter)
	all := r.registry.All()
	r.mu.Unlock()
	for _, k := range all {
		r.acceptDatabase(ctx, k)
	}
	for _, id := range r.c.opts.State.Groups() {
		r.keepFollowing(ctx, id)
		r.removeGone(ctx, id)
	}
}

func (r *reign) acceptDatabase(ctx context.Context, k membership.Known) {
	if k.Leaving || r.registry.Expired(k, clock.Now()) {
		return
	}
	add := &ctlstate.AddDatabase{
		Group:    k.Group,
		Database: ctlstate.Database{ID: k.ID, Addr: k.Addr, Zone: k.Zone, Slots: k.Slots},
	}
	record, known := r.c.opts.State.Group(k.Group)
	if !known {
		if k.Role != topo.RolePrimary {
			return
		}
		term, err := r.foundingTerm(ctx, k)
		if err != nil {
			klog.V(1).Infof("control: primary %s of %s does not tell its term: %v", k.ID, k.Group, err)
			return
		}
		add.Found, add.Term = true, term
	}
	old, _ := record.Database(k.ID)
	add.Database.Retiring = old.Retiring
	if old == add.Database {
		return
	}
	r.commit(ctx, ctlstate.Command{AddDatabase: add})
	r.publish(ctx, k.Group)
}

// foundingTerm is the term under which a primary founds its group. It is asked
// for where announcements don't tell it.
func (r *reign) foundingTerm(ctx context.Context, k membership.Known) (topo.Term, error) {
	announced := max(k.Point.Term, k.FencedTerm)
	if announced > 0 || !r.c.opts.Upstreams.FollowUnasked {
		return max(announced, 1), nil
	}
	ctx, cancel := context.WithTimeout(ctx, r.c.timing.Call)
	defer cancel()
	s, err := r.c.db.Status(ctx, dbapi.Location{Group: k.Group, ID: k.ID, Addr: k.Addr})
	return max(s.Point.Term, s.FencedTerm, 1), err
}

// keepFollowing orders each database but the primary to follow it, once for
// each term, address of the primary and run of the database.
func (r *reign) keepFollowing(ctx context.Context, id topo.GroupID) {
	record, ok := r.c.opts.State.Group(id)
	if !ok || record.Attempt != nil {
		return
	}
	for _, d := range record.Databases {
		if d.ID == record.Primary {
			continue
		}
		if order, due := r.orderDue(record, d); due {
			go r.orderFollow(ctx, record, d, order)
		}
	}
}

func (r *reign) orderDue(record ctlstate.GroupRecord, d ctlstate.Database) (followed, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k, heard := r.registry.Get(record.ID, d.ID)
	if !heard || r.registry.Expired(k, clock.Now()) {
		return followed{}, false
	}
	order := followed{term: record.Term, incarnation: k.Incarnation, primaryAddr: record.PrimaryAddr()}
	key := followKey{record.ID, d.ID}
	last := r.followers[key]
	if r.c.opts.Upstreams.FollowUnasked && k.Role == topo.RoleReplica {
		return followed{}, false
	}
	if last.busy || (last == order && k.Role == topo.RoleReplica) {
		return followed{}, false
	}
	r.followers[key] = followed{busy: true}
	return order, true
}

func (r *reign) orderFollow(ctx context.Context, record ctlstate.GroupRecord, d ctlstate.Database, order followed) {
	ctx, cancel := context.WithTimeout(ctx, r.c.timing.Call)
	defer cancel()
	_, err := r.c.db.Follow(ctx, locationOf(record.ID, d), record.Term, order.primaryAddr)
	if err != nil {
		klog.V(1).Infof("control: %s not told to follow %s: %v", d.ID, record.Primary, err)
		order = followed{}
		clock.Sleep(ctx, followRetry)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.followers[followKey{record.ID, d.ID}] = order
}

// followRetry is the pause before a database that could not be told to follow
// is told again.
const followRetry = 200 * time.Millisecond
