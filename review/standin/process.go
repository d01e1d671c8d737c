package main

import (
	"bufio"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// restartDelay is the time after which the platform starts a process again that
// has exited.
const restartDelay = 500 * time.Millisecond

// process is one instance of the project's program, which the platform keeps
// running.
type process struct {
	name     string
	run      *run
	settings func(first bool) string

	mu      sync.Mutex
	cmd     *exec.Cmd
	started bool
	stopped bool
	// exited is closed when the running process has ended.
	exited chan struct{}
	// ownExits counts the exits that no signal of the case caused.
	ownExits int
}

func (p *process) dataDir() string { return filepath.Join(p.run.dir, p.name+"-data") }

func (p *process) logPath() string { return filepath.Join(p.run.dir, p.name+".log") }

// start starts the process and keeps it running until stop.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return nil
	}
	path := filepath.Join(p.run.dir, p.name+".toml")
	if err := os.WriteFile(path, []byte(p.settings(!p.started)), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(p.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(p.run.program, "platform")
	cmd.Dir = p.run.dir
	cmd.Env = append(os.Environ(), "CICADACOVE_BOOT="+path)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.started = cmd, exited, true
	p.run.record.printf("process %s started", p.name)
	go p.watch(cmd, exited)
	return nil
}

// watch records the end of a process and starts it again.
func (p *process) watch(cmd *exec.Cmd, exited chan<- struct{}) {
	err := cmd.Wait()
	close(exited)
	p.mu.Lock()
	stopped := p.stopped
	if !stopped {
		p.ownExits++
	}
	p.mu.Unlock()
	if stopped {
		return
	}
	p.run.record.printf("process %s ended by itself: %v; its log: %s", p.name, err, p.lastError())
	time.Sleep(restartDelay)
	if err := p.start(); err != nil {
		p.run.record.printf("process %s can't be started: %v", p.name, err)
	}
}

// lastError returns the last line of the log that tells why the process ended.
func (p *process) lastError() string {
	f, err := os.Open(p.logPath())
	if err != nil {
		return err.Error()
	}
	defer f.Close()
	last := "nothing"
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "panic:") || strings.HasPrefix(lines.Text(), "fatal error:") {
			last = lines.Text()
		}
	}
	return last
}

// exits returns how often the process ended by itself.
func (p *process) exits() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ownExits
}

// stop kills the process for good and waits until it has ended.
func (p *process) stop() {
	p.mu.Lock()
	p.stopped = true
	cmd, exited := p.cmd, p.exited
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill() // it may have ended already
	<-exited
}

func (p *process) String() string { return "process " + p.name }
