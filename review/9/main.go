// Command 9 cancels submissions whose hand-in got no answer because the platform's store
// has lost it, and looks whether they run all the same.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/kumquatstack/kumquatstack/review/rig2"
)

const (
	prefix, service = "/cast/", "casting"
	runners         = 16
	// submissions are handed in, one each interval, from lead after the loss has begun.
	submissions = 60
	interval    = 65 * time.Millisecond
	lead        = 300 * time.Millisecond
	// length is how long a task takes.
	length = 20 * time.Second
	// lossShare of the writes to the store get no answer for lossFor, and are carried out
	// later (platform_lost, late).
	lossShare = 0.35
	lossFor   = 4500 * time.Millisecond
	// patience is the time from the end of the loss to the check.
	patience = 16 * time.Second
)

// Bounds of the rule.
const (
	contact     = 3 * time.Second
	cancelBound = 3 * time.Second
	stopTimeout = 200 * time.Millisecond
)

// An attempt is a submission of a client and its cancellation.
type attempt struct {
	id      string
	posted  int // status of the hand-in, or zero without an answer
	ackedAt time.Time
	acked   int // status of the cancellation's ack, or zero without a cancellation
}

func main() { rig2.Run(play) }

func play(d *rig2.Deployment, program string, trouble bool) (violations int, err error) {
	d.Configure(1, []rig2.Route{{Name: "cast", Prefix: prefix, Service: service, MaxAttempts: 3}})
	work := func(string, int64) (time.Duration, bool) { return length, false }
	for i := range runners {
		if _, err = d.AddRunner(fmt.Sprintf("i-%d", i), service, work); err != nil {
			return 0, err
		}
	}
	gate := rig2.NewLossyStore(d.Record)
	if err = d.Start(program, 3, rig2.Bounds{CPUShare: 0.16}, gate.Handler); err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)
	until := time.Now().Add(lossFor)
	if trouble {
		d.Record.Printf("a share of %.2f of the writes to the store get no answer for %s and are carried out late", lossShare, lossFor)
		gate.Lose(lossShare, until)
	}
	time.Sleep(lead)
	attempts := handIn(d, trouble)
	time.Sleep(time.Until(until))
	d.Record.Printf("the loss ends")
	time.Sleep(patience)
	now := time.Now()
	for _, a := range attempts {
		if a.acked == 0 {
			continue
		}
		for _, run := range d.Ledger.Runs(a.id + ".0.0.0") {
			if isViolation(run.Started, run.Ended, a.ackedAt, until, now) {
				violations++
				d.Record.Printf("submission %s: hand-in %d, cancellation %d at %.3f s, and run %d begins at %.3f s",
					a.id, a.posted, a.acked, d.Record.Since(a.ackedAt), run.Number, d.Record.Since(run.Started))
			}
		}
	}
	for _, a := range attempts {
		d.Record.PrintRuns(d, []string{a.id + ".0.0.0"})
	}
	return violations, nil
}

// handIn hands the submissions in, and cancels those without an answer of success; without
// trouble, each third. It returns once all calls are over.
func handIn(d *rig2.Deployment, trouble bool) []attempt {
	attempts := make([]attempt, submissions)
	var clients sync.WaitGroup
	for n := range attempts {
		clients.Go(func() {
			a := &attempts[n]
			a.id = fmt.Sprintf("%016x", 0x8000+n)
			a.posted = d.Submit(d.Daemons[n%len(d.Daemons)], prefix+a.id, rig2.Submission{
				Spec: "cast", Steps: []rig2.Step{{Count: 1, CPU: 1000, MemMB: 100, EstimateMs: 20000}},
			})
			// A submission that was rejected never runs, and needs no cancellation.
			if a.posted == 0 || a.posted == http.StatusGatewayTimeout || (!trouble && n%3 == 0) {
				a.cancel(d, n+1)
			}
		})
		time.Sleep(interval)
	}
	clients.Wait()
	return attempts
}

// cancel cancels a submission at one daemon after the other, until that is acknowledged.
func (a *attempt) cancel(d *rig2.Deployment, first int) {
	for n := first; n < first+20; n++ {
		daemon := d.Daemons[n%len(d.Daemons)]
		status, _ := d.Call(daemon, http.MethodDelete, prefix+a.id, nil)
		d.Record.Printf("DELETE %s to %s: %d", prefix+a.id, daemon.Name, status)
		if status/100 == 2 || status == http.StatusGone {
			a.acked, a.ackedAt = status, time.Now()
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// isViolation reports whether a run of a submission, whose cancellation was acknowledged,
// began too late, with the store stable again, or goes on after the time in which it has to
// be stopped with no impairment near.
func isViolation(started, ended, ackedAt, lossUntil, now time.Time) bool {
	stableAt := lossUntil.Add(contact)
	if started.After(ackedAt.Add(cancelBound)) && started.After(stableAt) {
		return true
	}
	goneBy := stableAt
	if ackedAt.After(goneBy) {
		goneBy = ackedAt
	}
	goneBy = goneBy.Add(cancelBound + stopTimeout)
	if ended.IsZero() {
		ended = now
	}
	return started.Before(goneBy) && ended.After(goneBy)
}
