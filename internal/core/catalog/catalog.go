// Package catalog defines the database names that callers may connect to, and
// how requests to each of them are served.
//
// The package does no I/O.
package catalog

import (
	"fmt"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// Consistency is the set of commits that a read must see.
type Consistency string

// Levels of consistency, the strictest first.
const (
	// Primary: every acknowledged commit.
	Primary Consistency = "primary"
	// OwnWrites: the session's own commits, and those of others as of
	// Service.MaxAge ago, which is MinMaxAge at least.
	OwnWrites Consistency = "own writes"
	// Bounded: commits as of Service.MaxAge ago, which is MinMaxAge at least.
	Bounded Consistency = "bounded"
)

// Route defines how requests to one database name are served.
type Route struct {
	// Database is the name that callers connect to.
	Database string
	// Group is the database group that serves the requests.
	Group       topo.GroupID
	Consistency Consistency
	// Service holds the rank, the target latency of a whole operation, and the
	// maximum age of data.
	Service contract.Service
	// StatementTimeout bounds one statement.
	StatementTimeout time.Duration
	// Public means that callers need no key.
	Public bool
}

// Group defines how the databases of a group may be used.
type Group struct {
	ID topo.GroupID
	// Connections is the maximum number of connections from all instances to
	// one database.
	Connections int
	// Durability is the number of databases that hold a write before the
	// primary acknowledges it.
	Durability int
}

// Catalog is the configuration at one version. It is immutable once it is in
// use.
type Catalog struct {
	Version uint64
	// Routes is keyed by database name.
	Routes map[string]Route
	Groups map[topo.GroupID]Group
	// IdleTransaction is the longest pause of a caller inside a transaction.
	IdleTransaction time.Duration
	// RequiresKeys means that callers need a key of an organisation, except on public
	// routes.
	RequiresKeys bool
	// Limited is the number of routes, groups and organisations with a value beyond its
	// limit.
	Limited int
	// names are the names of the routes' services.
	names map[string]bool
	// targets holds the lowest target of the services for each group and rank.
	targets map[topo.GroupID][contract.Ranks + 1]time.Duration
	// organisations is keyed by name; byKey holds the name of the organisation of each key.
	organisations map[string]Organisation
	byKey         map[KeyDigest]string
}

// UrgentTarget returns the lowest target among the group's services that are
// more urgent than the rank, zero if there are none.
func (c *Catalog) UrgentTarget(g topo.GroupID, rank int) time.Duration {
	var lowest time.Duration
	for r, target := range c.targets[g] {
		if r < rank && target > 0 && (lowest == 0 || target < lowest) {
			lowest = target
		}
	}
	return lowest
}

func (c *Catalog) recordTarget(r Route) {
	targets, rank := c.targets[r.Group], r.Service.Rank
	if t := r.Service.Target; targets[rank] == 0 || t < targets[rank] {
		targets[rank] = t
	}
	c.targets[r.Group] = targets
}

// FieldError reports a field that makes a catalog invalid.
type FieldError struct {
	Field  string
	Reason string
}

// Error returns a message with the field and the reason.
func (e *FieldError) Error() string { return fmt.Sprintf("configuration: %s: %s", e.Field, e.Reason) }

// Build validates the parts of a catalog, brings their values within the limits and
// builds it. The error is a *FieldError.
func Build(version uint64, routes []Route, groups []Group, idleTransaction time.Duration) (*Catalog, error) {
	c := &Catalog{
		Version: version, Routes: make(map[string]Route, len(routes)),
		Groups:          make(map[topo.GroupID]Group, len(groups)),
		IdleTransaction: clamp(idleTransaction, MinTimeout, MaxDuration),
		names:           map[string]bool{},
		targets:         map[topo.GroupID][contract.Ranks + 1]time.Duration{},
	}
	for _, g := range groups {
		if g.ID == "" {
			return nil, &FieldError{"service", "has no name"}
		}
		if _, duplicate := c.Groups[g.ID]; duplicate {
			return nil, &FieldError{"service " + string(g.ID), "is given twice"}
		}
		c.Groups[g.ID] = g.limited()
		c.countLimited(c.Groups[g.ID] != g)
	}
	for _, r := range routes {
		if err := c.add(r); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *Catalog) add(r Route) error {
	field := "route " + r.Service.Name
	_, known := c.Groups[r.Group]
	_, taken := c.Routes[r.Database]
	switch {
	case r.Database == "":
		return &FieldError{field, "has no database name"}
	case taken:
		return &FieldError{field, "serves the database name of another route"}
	case !known:
		return &FieldError{field, fmt.Sprintf("names the unknown service %q", r.Group)}
	case r.StatementTimeout == 0:
		return &FieldError{field, "has no timeout"}
	case r.Consistency != Primary && r.Consistency != OwnWrites && r.Consistency != Bounded:
		return &FieldError{field, fmt.Sprintf("has the unknown consistency %q", r.Consistency)}
	}
	r.Service.Name = c.uniqueName(r)
	c.names[r.Service.Name] = true
	c.Routes[r.Database] = r.limited()
	c.countLimited(c.Routes[r.Database] != r)
	c.recordTarget(c.Routes[r.Database])
	return nil
}

// uniqueName returns the name of the route's service, under which admission control
// keeps its state. It adds the database name to a name that is empty or taken.
func (c *Catalog) uniqueName(r Route) string {
	name := r.Service.Name
	for name == "" || c.names[name] {
		name += "(" + r.Database + ")"
	}
	return name
}

func (c *Catalog) countLimited(limited bool) {
	if limited {
		c.Limited++
	}
}
