// Command standin runs one case of the review: it starts the programs of the
// project as separate processes on loopback addresses, together with stand-ins
// for the databases, the platform, the operator and the clients, and checks one
// rule from what these stand-ins see.
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could
// not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxRun limits a whole run.
const maxRun = 110 * time.Second

// errUsage means that the command line is wrong.
var errUsage = errors.New("usage: standin -case NAME -program PATH -record FILE [-trouble=false]")

// cases maps the name of each case to the function that runs it.
var cases = map[string]func(*run) (broken bool, err error){
	"priority": runPriority,
}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "", "path of the project's program")
	recordPath := flag.String("record", "", "file that receives what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "cause the disruption")
	flag.Parse()
	os.Exit(runCase(*name, *program, *recordPath, *trouble))
}

func runCase(name, program, recordPath string, trouble bool) int {
	execute, known := cases[name]
	if !known || program == "" || recordPath == "" {
		fmt.Fprintln(os.Stderr, errUsage)
		return exitFailed
	}
	r, err := newRun(program, recordPath, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitFailed
	}
	defer r.close()
	watchdog := time.AfterFunc(maxRun, func() {
		r.record.printf("the run took longer than %s", maxRun)
		r.close()
		os.Exit(exitFailed)
	})
	defer watchdog.Stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		r.record.printf("interrupted: %s", <-interrupted)
		r.close()
		os.Exit(exitFailed)
	}()
	broken, err := execute(r)
	switch {
	case err != nil:
		r.record.printf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitFailed
	case broken:
		r.record.printf("result: the rule was broken")
		return exitBroken
	}
	r.record.printf("result: the rule held")
	return exitHeld
}
