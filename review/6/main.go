// Command 6 hands in a submission that repeats each second, as it is some hours after its
// first occurrence, and looks whether other submissions still run.
package main

import (
	"fmt"
	"time"

	"github.com/kumquatstack/kumquatstack/review/rig2"
)

const (
	prefix, service = "/cast/", "casting"
	runners         = 8
	cores           = 24 // of a runner
	length          = 20 * time.Millisecond
	// repeatingID is the submission that repeats, occurrences times each repeatEvery.
	repeatingID = "000000000000a000"
	occurrences = 86_400
	repeatEvery = time.Second
	// overdue is how long before the start of the case its first occurrence is due.
	overdue = 7 * time.Hour
	// Other submissions of several tasks are handed in, one each interval: the longer one
	// until catchUp after the start of the case, or until the store has refused a value, and
	// then the shorter one for traffic.
	tasks         = 32
	longInterval  = 1000 * time.Millisecond
	shortInterval = 100 * time.Millisecond
	catchUp       = 60 * time.Second
	traffic       = 20 * time.Second
	// finish is the time from the end of the traffic to the check (finish_s), and idle how
	// long nothing of a submission may run then.
	finish = 14 * time.Second
	idle   = 3 * time.Second
)

func main() { rig2.Run(play) }

func play(d *rig2.Deployment, program string, trouble bool) (violations int, err error) {
	d.Configure(1, []rig2.Route{{Name: "cast", Prefix: prefix, Service: service, MaxAttempts: 3}})
	work := func(string, int64) (time.Duration, bool) { return length, false }
	for i := range runners {
		r, err := d.AddRunner(fmt.Sprintf("i-%d", i), service, work)
		if err != nil {
			return 0, err
		}
		d.Resize(r, cores)
	}
	limits := rig2.NewValueLimit(d.Record)
	if err = d.Start(program, 3, rig2.Bounds{CPUShare: 0.4}, limits.Handler); err != nil {
		return 0, err
	}
	startAt := time.Now()
	if trouble {
		startAt = startAt.Add(-overdue)
	}
	d.Submit(d.Daemons[0], prefix+repeatingID, rig2.Submission{
		Spec: "repeat", Steps: []rig2.Step{{Count: 1, CPU: 1000, MemMB: 100, EstimateMs: 20}},
		RepeatCount: occurrences, StartAtMs: startAt.UnixMilli(), IntervalMs: repeatEvery.Milliseconds(),
	})
	accepted := submit(d, limits)
	d.Record.Printf("the traffic ends; %d submissions were accepted", len(accepted))
	time.Sleep(finish)
	began := time.Now()
	time.Sleep(idle)
	for _, id := range accepted {
		if isStuck(d, id, began) {
			violations++
		}
	}
	for _, r := range d.Runners {
		d.Record.Printf("runner %s has %d runs now, for a capacity of %d", r.ID, d.Ledger.RunsNow(r.ID), cores)
	}
	return violations, nil
}

// submit hands other submissions in at all daemons in turn, and returns the IDs of those
// that were accepted.
func submit(d *rig2.Deployment, limits *rig2.ValueLimit) (accepted []string) {
	interval, until := longInterval, time.Now().Add(catchUp)
	for n := 0; ; n++ {
		next := time.Now().Add(interval)
		if isOver := !time.Now().Before(until); interval == longInterval && (isOver || limits.Refused() > 0) {
			interval, until = shortInterval, time.Now().Add(traffic)
		} else if isOver {
			return accepted
		}
		id := fmt.Sprintf("%016x", 0xb000+n)
		status := d.Submit(d.Daemons[n%len(d.Daemons)], prefix+id, rig2.Submission{
			Spec: "other", Steps: []rig2.Step{{Count: tasks, CPU: 1000, MemMB: 100, EstimateMs: 20}},
		})
		if status == 200 {
			accepted = append(accepted, id)
		}
		time.Sleep(time.Until(next))
	}
}

// isStuck reports whether tasks of a submission have not run and none of it has run since a
// time.
func isStuck(d *rig2.Deployment, id string, since time.Time) bool {
	waiting := 0
	for index := range tasks {
		runs := d.Ledger.Runs(fmt.Sprintf("%s.0.0.%d", id, index))
		if len(runs) == 0 {
			waiting++
			continue
		}
		if last := runs[len(runs)-1]; last.Ended.IsZero() || last.Ended.After(since) {
			return false
		}
	}
	state := d.State(d.Daemons[0], prefix+id)
	if waiting == 0 {
		if state != "complete" {
			d.Record.Printf("submission %s is %s, although all its tasks have run", id, state)
		}
		return false
	}
	d.Record.Printf("submission %s is %s, %d of its %d tasks have not run, and none runs", id, state, waiting, tasks)
	return true
}
