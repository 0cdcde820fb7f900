package main

import (
	"errors"
	"fmt"
	"sync/atomic"
	"time"
)

func init() { cases["label"] = playLabel }

// playLabel hands in a task that only one worker may run, by its label. Its first run
// fails there, and the worker has room for the next one.
func playLabel(d *deployment) (broken string, err error) {
	const id = "5c0e7a21d94b36f8"
	task := id + ".0.0.0"
	var starts atomic.Int32
	work := func(t string, _ int64) plan {
		if t == task && starts.Add(1) == 1 && d.trouble {
			return plan{length: 500 * time.Millisecond, how: "failed"}
		}
		return plan{length: 500 * time.Millisecond, how: "done"}
	}
	var workers []*worker
	for i, labels := range [][]string{{"a", "r1-1"}, {"a", "r1-1"}, {"a", "r1-2"}, {"b", "r1-2"}} {
		workers = append(workers, newWorker(fmt.Sprintf("i-%d", i), 8, work, labels...))
	}
	if err = d.start(2, workers, route(prefix)); err != nil {
		return "", err
	}
	if !d.submit(d.daemons[0], id, "needs a worker of kind b", step{"Count": 1, "Cpu": 1000, "MemMb": 100, "EstimateMs": 500, "RequiredLabel": "b"}) {
		return "", errors.New("the submission was not accepted")
	}
	// Others of the same queue go on all the while.
	for n := range 3 {
		other := fmt.Sprintf("%016x", 0xabc0+n)
		d.submit(d.daemons[1], other, "any worker", step{"Count": 2, "Cpu": 1000, "MemMb": 100, "EstimateMs": 500})
	}
	ended := time.Now()
	complete := func() bool { return d.state(d.daemons[0], id) == "complete" }
	for time.Since(ended) < finish+idlePause+time.Second {
		if complete() {
			return "", nil
		}
		time.Sleep(time.Second)
	}
	if len(workers[3].startsOf(task)) > 1 {
		return "", nil // it runs again, if late
	}
	d.rec.note("worker i-3 was told to start %s %d times; MaxAttempts is 3", task, len(workers[3].startsOf(task)))
	return fmt.Sprintf("LOST: %.0f s after the end of the traffic %s has nothing running, though i-3 is sound, empty and has its label", time.Since(ended).Seconds(), id), nil
}
