package rig2

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// Run runs a case with the daemon at a path, and exits. The function returns how often the
// rule was broken. The variable TROUBLE leaves the disruption out if it is 0.
func Run(play func(d *Deployment, program string, trouble bool) (violations int, err error)) {
	os.Exit(run(play))
}

func run(play func(d *Deployment, program string, trouble bool) (violations int, err error)) (code int) {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: case DAEMON RECORD")
		return notRun
	}
	record, err := NewRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer func() { _ = record.Close() }()
	d, err := New(record)
	if err != nil {
		record.Printf("the case could not run: %v", err)
		return notRun
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		d.endDaemons()
		_ = os.RemoveAll(d.dir)
		os.Exit(notRun)
	}()
	violations, err := play(d, os.Args[1], os.Getenv("TROUBLE") != "0")
	if closeErr := d.Close(); err == nil {
		err = closeErr
	}
	switch {
	case err != nil:
		record.Printf("the case could not run: %v", err)
		return notRun
	case violations > 0:
		record.Printf("the rule was broken %d times", violations)
		return broken
	default:
		record.Printf("the rule held")
		return held
	}
}
