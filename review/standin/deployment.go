package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Ports of the services; each instance has its own loopback address.
const (
	portCallers   = 7401
	portReadiness = 7402
	portControl   = 7403
	portDatabase  = 7404
	portPlatform  = 7405
	portPeers     = 7410
	lastPort      = 7425
)

// Sizes and bounds of the deployment, as in the site file bwl-orders.
const (
	voterCount        = 3
	entryCount        = 4
	databaseCount     = 3
	heartbeatInterval = 1200 * time.Millisecond
	configApply       = 3 * time.Second
)

var zones = []string{"bern-a", "bern-b", "bern-c"}

// Kinds of loopback addresses: the third number of the address.
const (
	kindVoter = iota + 1
	kindEntry
	kindDatabase
	kindPlatform
)

// run is one run of a case with its processes and stand-ins.
type run struct {
	program string
	trouble bool
	record  *record
	dir     string
	// network is the second number of the run's loopback addresses.
	network int

	voters   []*process
	entries  []*process
	group    *group
	platform *http.Server
	operator *operator
	done     chan struct{}
	closing  sync.Once
}

func newRun(program, recordPath string, trouble bool) (*run, error) {
	path, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(path); err != nil {
		return nil, err
	}
	rec, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	r := &run{program: path, trouble: trouble, record: rec, dir: dir, done: make(chan struct{})}
	rec.printf("trouble: %t", trouble)
	return r, r.pickNetwork()
}

// pickNetwork chooses loopback addresses whose ports are free.
func (r *run) pickNetwork() error {
	for range 50 {
		r.network = 20 + rand.IntN(200)
		ln, err := net.Listen("tcp", hostPort(r.ip(kindPlatform, 0), portPlatform))
		if err != nil {
			continue
		}
		return ln.Close()
	}
	return errors.New("no free loopback addresses")
}

// ip returns the address of the nth instance of a kind.
func (r *run) ip(kind, n int) string { return fmt.Sprintf("127.%d.%d.%d", r.network, kind, n+1) }

func hostPort(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

func (r *run) controlAddrs() []string {
	var addrs []string
	for i := range voterCount {
		addrs = append(addrs, hostPort(r.ip(kindVoter, i), portControl))
	}
	return addrs
}

// close ends all processes of the run and removes its files.
func (r *run) close() { r.closing.Do(r.closeAll) }

func (r *run) closeAll() {
	close(r.done)
	for _, p := range append(r.entries, r.voters...) {
		p.stop()
	}
	if r.platform != nil {
		_ = r.platform.Close() // nothing is left to save
	}
	if r.group != nil {
		r.group.stop()
	}
	if err := r.record.close(); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
	}
	if err := os.RemoveAll(r.dir); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
	}
}

// startAll starts the stand-ins and the processes of a small deployment.
func (r *run) startAll() error {
	r.group = newGroup(r, "orders")
	if err := r.servePlatform(); err != nil {
		return err
	}
	for i := range voterCount {
		r.voters = append(r.voters, r.newProcess("core-"+strconv.Itoa(i+1), kindVoter, i))
	}
	for i := range entryCount {
		r.entries = append(r.entries, r.newProcess("front-"+strconv.Itoa(i+1), kindEntry, i))
	}
	for _, p := range append(append([]*process{}, r.voters...), r.entries...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	r.operator = &operator{run: r, addrs: r.controlAddrs()}
	return r.group.start(databaseCount)
}

// newProcess returns a process, not yet started, with the settings that the
// platform writes for it.
func (r *run) newProcess(name string, kind, n int) *process {
	p := &process{name: name, run: r}
	ip := r.ip(kind, n)
	p.settings = func(first bool) string {
		serves, class, listen, dataDir := "front", "front", "", ""
		if kind == kindVoter {
			serves, class = "control", "core"
			listen = fmt.Sprintf("control = %q\n", hostPort(ip, portControl))
			dataDir = fmt.Sprintf("dataDir = %q\n", p.dataDir())
		} else {
			listen = fmt.Sprintf("front = %q\nreadiness = %q\n", hostPort(ip, portCallers), hostPort(ip, portReadiness))
		}
		return fmt.Sprintf(settingsTemplate, name, class, serves, ip, zones[n%len(zones)], portPeers, lastPort,
			quoted(r.controlAddrs()), first, heartbeatInterval.Milliseconds(), dataDir, listen, hostPort(r.ip(kindPlatform, 0), portPlatform))
	}
	return p
}

func quoted(words []string) string {
	var list []string
	for _, w := range words {
		list = append(list, strconv.Quote(w))
	}
	return strings.Join(list, ", ")
}

// settingsTemplate is the settings file of a process with the bounds of a small
// deployment.
const settingsTemplate = `nodeId = %q
machineClass = %q
serves = [%q]
ip = %q
zone = %q
region = "ch-mitte"
portRange = [%d, %d]
seeds = [%s]
bootstrap = %t
countsAsLoss = false
discovery = "registry"
entry = "vip"
heartbeatMs = %d
contracts = ["base", "drain", "config", "cost", "recover", "sql"]
config_mode = "highest"
%s[zones]
bern-a = "ch-mitte"
bern-b = "ch-mitte"
bern-c = "ch-mitte"
[listen]
%s[limits]
cpuShare = 0.6
cores = 1
memoryMb = 414
maxFds = 6300
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseDelayS = 2
contactMs = 4000
ackMs = 5000
catchUpS = 4
drainMs = 7000
graceS = 6
lossSlackMs = 200
configApplyMs = 3000
revertSlackMs = 250
maxSkewMs = 12000
recoveryS = 12
fencing = false
thawMs = 300
[cloud]
address = %q
ratePerS = 50.0
duties = ["promotion"]
dutyPerS = 50.0
`

// servePlatform serves the promotions of databases.
func (r *run) servePlatform() error {
	ln, err := net.Listen("tcp", hostPort(r.ip(kindPlatform, 0), portPlatform))
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", r.group.handlePromote)
	r.platform = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() {
		if err := r.platform.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			r.record.printf("platform: %v", err)
		}
	}()
	return nil
}

// awaitReady waits until all entry instances answer the readiness probe with
// 200.
func (r *run) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(limit)
	for i := range entryCount {
		for !isReady(client, "http://"+hostPort(r.ip(kindEntry, i), portReadiness)+"/ready") {
			if time.Now().After(deadline) {
				return fmt.Errorf("front-%d is not ready", i+1)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

func isReady(client *http.Client, url string) bool {
	resp, err := client.Get(url)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
