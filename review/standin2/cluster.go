package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program is the command of both roles in deploy/system.toml.
var program = []string{"target/cicadacove", "platform"}

// Ports of each machine. A machine has a loopback address of its own.
const (
	controlPort  = 8782
	cloudPort    = 8783
	frontPort    = 8784
	readyPort    = 8785
	databasePort = 8080
)

// Host parts of the addresses.
const (
	firstCoreHost     = 11
	firstFrontHost    = 31
	firstDatabaseHost = 61
	cloudHost         = 91
)

const (
	coreMachines     = 3
	coreMemoryMb     = 280
	heartbeat        = 1200 * time.Millisecond
	restartDelay     = 500 * time.Millisecond
	readyInterval    = time.Second
	readyMisses      = 2
	readyWait        = 20 * time.Second
	rssCheckInterval = 20 * time.Millisecond
	bytesPerMb       = 1 << 20
)

var zones = []string{"bole", "kirkos", "yeka"}

// machine is one machine of the deployment with its process.
type machine struct {
	cluster  *cluster
	name     string
	zone     string
	ip       string
	class    string
	memoryMb int

	mu sync.Mutex
	// bootstrap is true until the machine has started for the first time.
	bootstrap bool
	cmd       *exec.Cmd
	ended     chan struct{}
	// overLimit counts how often the process was killed for using more than its memory.
	overLimit int
	peakBytes int64
	inTurn    bool
}

// cluster is a small deployment of the project's processes.
type cluster struct {
	r       *record
	dir     string
	network string

	core, fronts []*machine
	stopped      chan struct{}
}

// newCluster chooses free loopback addresses and a temporary folder.
func newCluster(r *record, fronts, frontMemoryMb int) (*cluster, error) {
	if _, err := os.Stat(program[0]); err != nil {
		return nil, fmt.Errorf("the program isn't built: %w", err)
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	c := &cluster{r: r, dir: dir, stopped: make(chan struct{})}
	if c.network, err = freeNetwork(); err != nil {
		return nil, err
	}
	for i := range coreMachines {
		c.core = append(c.core, c.newMachine("core", i, firstCoreHost, coreMemoryMb))
	}
	for i := range fronts {
		c.fronts = append(c.fronts, c.newMachine("front", i, firstFrontHost, frontMemoryMb))
	}
	return c, nil
}

// freeNetwork returns the first three parts of loopback addresses that nobody uses.
func freeNetwork() (string, error) {
	const tries = 50
	for range tries {
		network := fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		ln, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", network, firstCoreHost, controlPort))
		if err != nil {
			continue
		}
		ln.Close()
		return network, nil
	}
	return "", fmt.Errorf("no free loopback addresses")
}

func (c *cluster) newMachine(class string, i, firstHost, memoryMb int) *machine {
	zone := zones[i%len(zones)]
	return &machine{
		cluster: c, name: fmt.Sprintf("%s-%s-%d", class, zone, i/len(zones)+1), zone: zone,
		ip: c.address(firstHost + i), class: class, memoryMb: memoryMb, bootstrap: true,
	}
}

func (c *cluster) address(host int) string { return fmt.Sprintf("%s%d", c.network, host) }

func (c *cluster) cloudAddr() string {
	return fmt.Sprintf("%s:%d", c.address(cloudHost), cloudPort)
}

// controlAddrs returns the addresses of the control API.
func (c *cluster) controlAddrs() []string {
	var addrs []string
	for _, m := range c.core {
		addrs = append(addrs, fmt.Sprintf("%s:%d", m.ip, controlPort))
	}
	return addrs
}

// start starts all machines and waits until all fronts have been ready once. The
// operator's configuration must be on its way.
func (c *cluster) start() error {
	for _, m := range append(append([]*machine{}, c.core...), c.fronts...) {
		if err := m.start(); err != nil {
			return err
		}
		go m.supervise()
	}
	for _, m := range c.fronts {
		go m.probe()
	}
	return nil
}

// awaitReady waits until all fronts are in rotation.
func (c *cluster) awaitReady() error {
	limit := time.Now().Add(readyWait)
	for time.Now().Before(limit) {
		ready := 0
		for _, m := range c.fronts {
			if m.isInTurn() {
				ready++
			}
		}
		if ready == len(c.fronts) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the fronts aren't ready after %v", readyWait)
}

// stop ends all processes that the cluster has started.
func (c *cluster) stop() {
	close(c.stopped)
	for _, m := range append(append([]*machine{}, c.core...), c.fronts...) {
		m.mu.Lock()
		cmd, ended := m.cmd, m.ended
		m.mu.Unlock()
		if cmd == nil {
			continue
		}
		_ = cmd.Process.Kill() // fails if the process has ended
		<-ended
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(c.dir)
	}
}

func (c *cluster) isStopped() bool {
	select {
	case <-c.stopped:
		return true
	default:
		return false
	}
}

// settings returns the settings file of the machine, with the fields of DEPLOY.md.
func (m *machine) settings() string {
	c := m.cluster
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	serves, role := "front", "entry"
	if m.class == "core" {
		serves, role = "control", "control"
	}
	line("nodeId = %q", m.name)
	line("role = %q", role)
	line("machineClass = %q", m.class)
	line("serves = [%q]", serves)
	line("ip = %q", m.ip)
	line("zone = %q", m.zone)
	line("region = \"addis\"")
	line("portRange = [7440,7455]")
	line("seeds = [\"%s\"]", strings.Join(c.controlAddrs(), "\",\""))
	line("bootstrap = %v", m.bootstrap)
	line("countsAsLoss = %v", m.class == "core")
	if m.class == "core" {
		line("dataDir = %q", filepath.Join(c.dir, m.name))
	}
	line("discovery = \"registry\"")
	line("entry = \"vip\"")
	line("heartbeatMs = %d", heartbeat.Milliseconds())
	line("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sql\"]")
	line("config_mode = \"highest\"")
	line("[zones]")
	for _, z := range zones {
		line("%s = \"addis\"", z)
	}
	line("[listen]")
	if m.class == "core" {
		line("control = \"%s:%d\"", m.ip, controlPort)
	} else {
		line("front = \"%s:%d\"", m.ip, frontPort)
		line("readiness = \"%s:%d\"", m.ip, readyPort)
	}
	line("[limits]")
	line("cpuShare = 0.8\ncores = 1\nmemoryMb = %d\nmaxFds = 8400\nlinkMbps = 2000.0\ndiskMb = 128", m.memoryMb)
	line("[faultTolerance]\nmachines = 1\nzones = 1\nregions = 0")
	line("[bounds]")
	line("seedLagS = 3\nreuseDelayS = 2\ncontactMs = 4000\nackMs = 5000\ncatchUpS = 4\ndrainMs = 7000\ngraceS = 6")
	line("lossSlackMs = 200\nconfigApplyMs = 3000\nrevertSlackMs = 250\nmaxSkewMs = 12000\nrecoveryS = 12\nfencing = false\nthawMs = 300")
	line("quotaWindowS = 5\nquotaOverrun = 0.1\nquotaSlack = 20")
	line("[cloud]\naddress = %q\nratePerS = 50.0\nduties = [\"promotion\"]\ndutyPerS = 50.0", c.cloudAddr())
	return b.String()
}

// start writes the settings file and starts the process.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	path := filepath.Join(m.cluster.dir, m.name+".toml")
	if err := os.WriteFile(path, []byte(m.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.cluster.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(program[0], program[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "CICADACOVE_BOOT=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		log.Close()
		return err
	}
	ended := make(chan struct{})
	m.cmd, m.ended, m.bootstrap = cmd, ended, false
	go func() {
		defer close(ended)
		defer log.Close()
		_ = cmd.Wait() // the exit status is in the record
	}()
	return nil
}

// supervise does what the platform does with a process: it kills one that uses more
// memory than its machine has, and starts one that has ended again after a delay.
func (m *machine) supervise() {
	for {
		m.mu.Lock()
		cmd, ended := m.cmd, m.ended
		m.mu.Unlock()
		m.watch(cmd, ended)
		if m.cluster.isStopped() {
			return
		}
		m.cluster.r.say("%s ended: %s", m.name, cmd.ProcessState)
		time.Sleep(restartDelay)
		if m.cluster.isStopped() {
			return
		}
		if err := m.start(); err != nil {
			m.cluster.r.say("%s doesn't start: %v", m.name, err)
			return
		}
	}
}

// watch returns when the process has ended.
func (m *machine) watch(cmd *exec.Cmd, ended chan struct{}) {
	ticker := time.NewTicker(rssCheckInterval)
	defer ticker.Stop()
	killed := false
	for {
		select {
		case <-ended:
			return
		case <-ticker.C:
		}
		used := residentBytes(cmd.Process.Pid)
		m.mu.Lock()
		m.peakBytes = max(m.peakBytes, used)
		over := used > int64(m.memoryMb)*bytesPerMb && !killed
		if over {
			m.overLimit++
		}
		m.mu.Unlock()
		if over {
			killed = true
			m.cluster.r.say("%s uses %d MB of %d: the platform kills it", m.name, used/bytesPerMb, m.memoryMb)
			_ = cmd.Process.Kill() // fails if the process has ended
		}
	}
}

// residentBytes returns the resident memory of a process, zero if it has ended.
func residentBytes(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, resident int64
	if _, err := fmt.Sscan(string(text), &size, &resident); err != nil {
		return 0
	}
	return resident * int64(os.Getpagesize())
}

// probe asks the readiness address once a second, as the balancer does.
func (m *machine) probe() {
	client := &http.Client{Timeout: readyInterval}
	misses := readyMisses
	for !m.cluster.isStopped() {
		resp, err := client.Get(fmt.Sprintf("http://%s:%d/ready", m.ip, readyPort))
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			resp.Body.Close()
		}
		if ok {
			misses = 0
		} else {
			misses++
		}
		m.mu.Lock()
		m.inTurn = misses < readyMisses
		m.mu.Unlock()
		time.Sleep(readyInterval)
	}
}

func (m *machine) isInTurn() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inTurn
}

func (m *machine) memory() (overLimit int, peakMb int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.overLimit, m.peakBytes / bytesPerMb
}
