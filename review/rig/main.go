// Command rig plays the scripts of the review: it starts daemons as separate processes
// beside stand-ins of the store, the workers and the advice service, brings about one
// disruption, and checks a rule by what clients and workers have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitUnknown = 2 // the case could not run
)

// cases maps the name of a case to its play, which returns how the rule was broken.
var cases = make(map[string]func(d *deployment) (broken string, err error))

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		return exitUnknown
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitUnknown
	}
	defer rec.close()
	d := newDeployment(rec, os.Getenv("TROUBLE") != "0")
	defer d.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		d.close()
		os.Exit(exitUnknown)
	}()
	rec.note("case %s, disruption %t", os.Args[1], d.trouble)
	broken, err := cases[os.Args[1]](d)
	switch {
	case err != nil:
		rec.note("could not run: %v", err)
		return exitUnknown
	case broken != "":
		rec.note("BROKEN %s", broken)
		return exitBroken
	default:
		rec.note("held")
		return exitHeld
	}
}
