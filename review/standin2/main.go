// Command standin2 plays the scripted cases of the second review. It starts the
// project's own program as separate processes on loopback addresses, with stand-ins
// for the databases, the platform, the operator and the clients.
//
//	standin2 -case late-promote -record review/6/record.txt
//
// The exit code is 1 if the rule of the case was broken, 0 if it held and 2 if the
// case couldn't be played. With TROUBLE=0 in the environment the disruption is left
// out.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// errBroken means that the rule of a case was broken. The record has the details.
var errBroken = errors.New("the rule was broken")

// cases are the cases by name.
var cases = map[string]func(r *record, trouble bool) error{
	"late-promote": playLatePromote,
	"long-shapes":  playLongShapes,
	"old-clock":    playOldClock,
	"old-reads":    playOldReads,
	"long-ids":     playLongIDs,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "the case to play")
	path := flag.String("record", "record.txt", "the file to which the record is written")
	flag.Parse()
	play, known := cases[*name]
	if !known {
		fmt.Fprintf(os.Stderr, "standin2: unknown case %q\n", *name)
		return exitFailed
	}
	r, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin2:", err)
		return exitFailed
	}
	defer r.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.say("case %s, with the disruption: %v", *name, trouble)
	err = play(r, trouble)
	switch {
	case errors.Is(err, errBroken):
		r.say("result: %v", err)
		return exitBroken
	case err != nil:
		r.say("result: the case couldn't be played: %v", err)
		return exitFailed
	}
	r.say("result: the rule held")
	return exitHeld
}
