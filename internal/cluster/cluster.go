// Package cluster runs a whole deployment on loopback in one process: entry
// instances with their control voters and groups of stand-in databases, placed
// in availability zones, with network delays and partitions between the zones.
// The demo, the load experiments and the scenarios use it.
package cluster

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"time"

	"github.com/cicadacove/cicadacove/internal/control"
	"github.com/cicadacove/cicadacove/internal/core/admission"
	"github.com/cicadacove/cicadacove/internal/core/revision"
	"github.com/cicadacove/cicadacove/internal/core/routing"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/ctlwire"
	"github.com/cicadacove/cicadacove/internal/entry"
	"github.com/cicadacove/cicadacove/internal/faultnet"
	"github.com/cicadacove/cicadacove/internal/node"
	"github.com/cicadacove/cicadacove/internal/standin"
	"github.com/cicadacove/cicadacove/internal/telemetry"
	"github.com/cicadacove/cicadacove/internal/timeline"
	"github.com/cicadacove/cicadacove/internal/upstream"
	"github.com/cicadacove/cicadacove/internal/voter"
)

const (
	// Entries is the number of entry instances. Voters is the number of entry
	// instances that run a control voter. Databases is the number of databases
	// in a group.
	Entries   = 4
	Voters    = 3
	Databases = 3
	// readyTimeout bounds the time until a deployment is ready.
	readyTimeout = 20 * time.Second
	readyPoll    = 10 * time.Millisecond
)

// Secrets of the deployment, which listens on loopback only. DatabaseUser and
// DatabasePassword authenticate direct connections to the databases.
const (
	peerSecret       = "cluster peer secret"
	tokenKey         = "cluster token key"
	DatabaseUser     = "cicadacove"
	DatabasePassword = "cluster database password"
)

// DefaultIP is the default of Options.IP.
const DefaultIP = "127.0.0.1"

// Options configures a Cluster.
type Options struct {
	// IP is the loopback address of all listeners; the default is DefaultIP.
	IP        string
	Profile   Profile
	Seed      uint64
	Timing    ctlwire.Timing
	Limits    entry.Limits
	Routing   routing.Policy
	Admission admission.Policy
	// Users holds the callers' credentials; nil trusts every caller. TLS holds
	// the callers' TLS configuration; nil refuses TLS.
	Users entry.Users
	TLS   *tls.Config
	// DisableEarlyRelease makes instances refuse to release a lease before it
	// expires.
	DisableEarlyRelease bool
	// Observer returns the observer that receives an instance's completed
	// requests. Events receives each step of a failover. Both may be nil.
	Observer func(topo.InstanceID) entry.Observer
	Events   func(control.Event)
}

// Cluster is a running deployment.
type Cluster struct {
	Net     *faultnet.Network
	Profile Profile

	opts      Options
	ctx       context.Context
	cancel    context.CancelFunc
	entries   []*Entry
	databases []*standin.Database
}

// Entry is one entry instance of the deployment. It keeps its addresses and
// its store when its process is killed or restarted.
type Entry struct {
	ID         topo.InstanceID
	Zone       topo.Zone
	Node       *node.Node
	store      voter.Store
	peerAddr   string
	adminAddr  string
	callerAddr string
}

// Start starts a deployment. It waits until every group has a primary and
// every instance has a lease and the configuration.
func Start(ctx context.Context, opts Options) (*Cluster, error) {
	if opts.IP == "" {
		opts.IP = DefaultIP
	}
	c := &Cluster{Net: faultnet.New(opts.Seed), Profile: opts.Profile, opts: opts}
	c.ctx, c.cancel = context.WithCancel(ctx)
	c.setDelays()
	if err := c.startAll(); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) setDelays() {
	for i, a := range Zones {
		c.Net.SetDelay(CallerZone, a, c.Profile.CallerDelay)
		for _, b := range Zones[i+1:] {
			c.Net.SetDelay(a, b, c.Profile.ZoneDelay)
		}
	}
}

func (c *Cluster) startAll() error {
	listeners := make([]entryListeners, Entries)
	for i := range Entries {
		e := &Entry{ID: topo.InstanceID(fmt.Sprintf("entry-%d", i+1)), Zone: Zones[i%len(Zones)]}
		l, err := c.listen(e)
		if err != nil {
			return err
		}
		listeners[i] = l
		e.callerAddr, e.peerAddr, e.adminAddr = l.callers.Addr().String(), l.peers.Addr().String(), l.admin.Addr().String()
		if i < Voters {
			e.store = voter.NewMemoryStore()
		}
		c.entries = append(c.entries, e)
	}
	for i, e := range c.entries {
		if err := c.startEntry(e, listeners[i]); err != nil {
			return err
		}
	}
	if err := c.startDatabases(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.ctx, readyTimeout)
	defer cancel()
	if err := c.putContract(ctx); err != nil {
		return err
	}
	return c.WaitReady(ctx)
}

type entryListeners struct{ callers, peers, admin net.Listener }

// listen opens the listeners of an instance, at its previous addresses if it
// had any.
func (c *Cluster) listen(e *Entry) (l entryListeners, err error) {
	open := c.Net.Listen(e.Zone, string(e.ID))
	if l.callers, err = open(c.addrOrAnyPort(e.callerAddr)); err != nil {
		return l, err
	}
	if l.peers, err = open(c.addrOrAnyPort(e.peerAddr)); err != nil {
		return l, err
	}
	l.admin, err = open(c.addrOrAnyPort(e.adminAddr))
	return l, err
}

func (c *Cluster) addrOrAnyPort(addr string) string {
	if addr == "" {
		return net.JoinHostPort(c.opts.IP, "0")
	}
	return addr
}

func (c *Cluster) startEntry(e *Entry, l entryListeners) error {
	var observer entry.Observer
	if c.opts.Observer != nil {
		observer = c.opts.Observer(e.ID)
	}
	var peers []string
	for _, other := range c.entries[:Voters] {
		peers = append(peers, other.peerAddr)
	}
	metrics, err := telemetry.New()
	if err != nil {
		return err
	}
	recorder, err := timeline.New(string(e.ID), timeline.Options{})
	if err != nil {
		return err
	}
	n, err := node.Start(c.ctx, node.Options{
		Telemetry: metrics, Recorder: recorder,
		ID: e.ID, Zone: e.Zone, Version: "cluster",
		Callers: l.callers, Peers: l.peers, Admin: l.admin,
		Voters: peers, Store: e.store, Dial: c.Net.Dialer(e.Zone, string(e.ID)),
		PeerSecret: []byte(peerSecret), TokenKey: []byte(tokenKey),
		UpstreamUser: DatabaseUser, UpstreamPassword: DatabasePassword,
		Timing: c.opts.Timing, Limits: c.opts.Limits, Routing: c.opts.Routing, Admission: c.opts.Admission,
		Users: c.opts.Users, TLS: c.opts.TLS, Observer: observer, ControlEvents: c.opts.Events, DisableEarlyRelease: c.opts.DisableEarlyRelease,
	})
	e.Node = n
	return err
}

func (c *Cluster) startDatabases() error {
	for _, g := range c.Profile.Groups() {
		primary := ""
		for i := range Databases {
			db, err := c.startDatabase(g, i, primary)
			if err != nil {
				return err
			}
			if i == 0 {
				primary = db.Addr()
			}
			c.databases = append(c.databases, db)
		}
	}
	return nil
}

func (c *Cluster) startDatabase(g topo.GroupID, i int, primary string) (*standin.Database, error) {
	zone := Zones[i%len(Zones)]
	id := topo.UpstreamID(fmt.Sprintf("%s/%c", g, 'a'+i))
	role := topo.RoleReplica
	if i == 0 {
		role = topo.RolePrimary
	}
	var announceTo []string
	for _, e := range c.entries {
		if e.Zone == zone {
			announceTo = append(announceTo, "http://"+e.adminAddr)
		}
	}
	return standin.Start(c.ctx, standin.Options{
		ID: id, Group: g, Zone: zone, Listen: c.addrOrAnyPort(""), Role: role, Term: 1, Primary: primary,
		Slots: c.Profile.Slots, Connections: c.Profile.Connections, ConnectDelay: c.Profile.ConnectDelay,
		ServiceTime: c.Profile.ServiceTime, ReplicationLag: c.Profile.Lag,
		AnnounceTo: announceTo, User: DatabaseUser, Password: DatabasePassword,
		Dial: c.Net.Dialer(zone, string(id)), Listener: c.Net.Listen(zone, string(id)),
	})
}

// putContract proposes the profile's answers as the first revision.
func (c *Cluster) putContract(ctx context.Context) error {
	cmd := revision.Command{
		RequestID: "cluster-contract", Actor: "cluster", Team: revision.AnyTeam, At: time.Now(),
		Change: revision.Change{Kind: revision.PutAnswers, Answers: c.Profile.Answers},
	}
	for {
		r, err := c.entries[0].Node.Configurator().Propose(ctx, cmd)
		if err == nil && r.Kind != revision.Accepted {
			return fmt.Errorf("cluster: contract %s: %v", r.Kind, r.Errors)
		}
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return fmt.Errorf("cluster: contract not accepted: %w", err)
		}
		time.Sleep(readyPoll)
	}
}

// WaitReady waits until every running instance has the configuration, a lease
// on every group and all upstreams of the groups.
func (c *Cluster) WaitReady(ctx context.Context) error {
	for {
		reason := c.unreadyReason()
		if reason == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("cluster: not ready: %s", reason)
		case <-time.After(readyPoll):
		}
	}
}

func (c *Cluster) unreadyReason() string {
	for _, e := range c.entries {
		if e.Node == nil {
			continue
		}
		if e.Node.Agent.Config().Revision == 0 {
			return string(e.ID) + " has no configuration"
		}
		if _, ok := e.Node.Agent.View(); !ok {
			return string(e.ID) + " has no active view"
		}
		for _, g := range c.Profile.Groups() {
			if _, ok := e.Node.Agent.Authority(g); !ok {
				return fmt.Sprintf("%s has no lease on %s", e.ID, g)
			}
			if len(e.Node.Agent.Upstreams(g)) < Databases {
				return fmt.Sprintf("%s has not discovered all upstreams of %s", e.ID, g)
			}
		}
	}
	return ""
}

// Entries returns the entry instances.
func (c *Cluster) Entries() []*Entry { return c.entries }

// Entry returns an entry instance by its number, from 0.
func (c *Cluster) Entry(i int) *Entry { return c.entries[i] }

// Addr returns the address that callers connect to.
func (e *Entry) Addr() string { return e.callerAddr }

// AdminAddr returns the address of the HTTP server.
func (e *Entry) AdminAddr() string { return e.adminAddr }

// Databases returns all stand-in databases.
func (c *Cluster) Databases() []*standin.Database { return c.databases }

// Database returns a database by its id.
func (c *Cluster) Database(id topo.UpstreamID) (*standin.Database, bool) {
	for _, db := range c.databases {
		if db.ID() == id {
			return db, true
		}
	}
	return nil, false
}

// Primary returns the primary of the group in the latest term that any running
// entry instance has received.
func (c *Cluster) Primary(g topo.GroupID) (*standin.Database, bool) {
	var latest topo.Group
	for _, e := range c.entries {
		if e.Node == nil {
			continue
		}
		if state, ok := e.Node.Agent.Group(g); ok && state.Term > latest.Term {
			latest = state
		}
	}
	return c.Database(latest.Primary)
}

// CallerDial returns the dial function of callers.
func (c *Cluster) CallerDial() upstream.DialFunc { return c.Net.Dialer(CallerZone, "caller") }

// Kill ends an entry instance like a crash. Its disk is kept.
func (c *Cluster) Kill(e *Entry) {
	if e.Node != nil {
		e.Node.Kill()
		e.Node = nil
	}
}

// Restart starts an entry instance that was killed or shut down. A voter
// without its disk gets a new identity.
func (c *Cluster) Restart(e *Entry, keepDisk bool) error {
	if e.store != nil && !keepDisk {
		e.store = voter.NewMemoryStore()
	}
	l, err := c.listen(e)
	if err != nil {
		return err
	}
	return c.startEntry(e, l)
}

// Shutdown ends an entry instance gracefully.
func (c *Cluster) Shutdown(ctx context.Context, e *Entry) error {
	n := e.Node
	e.Node = nil
	return n.Shutdown(ctx)
}

// Close ends the deployment.
func (c *Cluster) Close() {
	c.Net.HealAll()
	for _, e := range c.entries {
		c.Kill(e)
	}
	for _, db := range c.databases {
		db.Close()
	}
	c.cancel()
}
