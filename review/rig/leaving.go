package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { cases["leaving"] = playLeaving }

// playLeaving lets a worker drain, and cuts it off while it still runs a task.
func playLeaving(d *deployment) (broken string, err error) {
	const id = "5c0e7a21d94b36f8"
	task := id + ".0.0.0"
	var workers []*worker
	for i := range 16 {
		workers = append(workers, newWorker(fmt.Sprintf("i-%d", i), 8, succeeds(12*time.Second), "a", "r1-1"))
	}
	if err = d.start(2, workers, route(prefix)); err != nil {
		return "", err
	}
	if !d.submit(d.daemons[0], id, "casting", step{"Count": 1, "Cpu": 1000, "MemMb": 100, "EstimateMs": 12000}) {
		return "", errors.New("the submission was not accepted")
	}
	first := d.runnerOf(task)
	if first == nil {
		return "", errors.New("the task did not start")
	}
	first.leaving.Store(true)
	d.rec.note("worker %s drains", first.id)
	drained := time.Now()
	time.Sleep(2500 * time.Millisecond) // DrainMs
	if d.trouble {
		last := first.beatAt.Load()
		await(2*heartbeat, func() bool { return first.beatAt.Load() != last })
		time.Sleep(time.Until(first.beatAt.Load().Add(heartbeat - 150*time.Millisecond)))
		d.cutOff(first)
	}
	for time.Since(drained) < 25*time.Second {
		for _, w := range workers {
			if w != first && w.runsNow(task) && first.runsNow(task) {
				return fmt.Sprintf("TWICE: %s runs on %s and on %s at the same time", task, first.id, w.id), nil
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return "", nil
}

// isRunning reports whether a task runs on any worker.
func (d *deployment) isRunning(task string) bool {
	for _, w := range d.workers {
		if w.runsNow(task) {
			return true
		}
	}
	return false
}

// runnerOf waits for a task to start and returns the worker that runs it.
func (d *deployment) runnerOf(task string) (runner *worker) {
	await(5*time.Second, func() bool {
		for _, w := range d.workers {
			if w.runsNow(task) {
				runner = w
			}
		}
		return runner != nil
	})
	return runner
}
