package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["pending"] = playPending }

// playPending fills all workers but one, which refuses what it is told to start, and asks
// how many submissions wait.
func playPending(d *deployment) (broken string, err error) {
	const waiting, sickFor = 12, 6500 * time.Millisecond
	var workers []*worker
	for i := range 12 {
		workers = append(workers, newWorker(fmt.Sprintf("i-%d", i), 32, func(task string, _ int64) plan {
			return plan{length: 500 * time.Millisecond, how: "done", lasts: task[:4] == "aaaa"}
		}, "a", "r1-1"))
	}
	if err = d.start(2, workers, route(prefix)); err != nil {
		return "", err
	}
	if !d.submit(d.daemons[0], "aaaa000000000001", "monitors", step{"Count": 44, "Cpu": 8000, "MemMb": 1000, "EstimateMs": 500, "LongRunning": true}) {
		return "", errors.New("the monitors were not accepted")
	}
	time.Sleep(4 * time.Second)
	sick := d.emptyWorker()
	if sick == nil {
		return "", errors.New("no worker is left free")
	}
	began := time.Now()
	if d.trouble {
		sick.busy.Store(true)
		d.rec.note("worker %s is unhealthy for %s", sick.id, sickFor)
		time.AfterFunc(sickFor, func() { sick.busy.Store(false) })
	}
	for n := range waiting {
		d.submit(d.daemons[n%2], fmt.Sprintf("bbbb%012x", n), "short", step{"Count": 1, "Cpu": 2000, "MemMb": 1000, "EstimateMs": 500})
	}
	accepted := time.Now()
	time.Sleep(time.Until(accepted.Add(5200 * time.Millisecond))) // visible_ms and 2 s
	status, answer := d.call(d.daemons[1], http.MethodGet, prefix, nil)
	d.rec.note("client: GET %s answered %d %s, %.1f s after the last ack", prefix, status, answer, time.Since(accepted).Seconds())
	if time.Since(began) > sickFor {
		return "", errors.New("the machine is too slow for this case")
	}
	var body struct{ Pending int }
	if status != http.StatusOK || json.Unmarshal([]byte(answer), &body) != nil {
		return "", fmt.Errorf("GET %s answered %d", prefix, status)
	}
	left := 0
	for n := range waiting {
		if !d.hasBegun(fmt.Sprintf("bbbb%012x.0.0.0", n)) {
			left++
		}
	}
	d.rec.note("%d of the %d submissions have not begun", left, waiting)
	if 2*body.Pending < left {
		return fmt.Sprintf("MIXED: Pending is %d, but %d submissions accepted over 5 s ago have not begun", body.Pending, left), nil
	}
	return "", nil
}

// emptyWorker returns a worker on which nothing was started yet.
func (d *deployment) emptyWorker() *worker {
	for _, w := range d.workers {
		w.mu.Lock()
		n := len(w.starts)
		w.mu.Unlock()
		if n == 0 {
			return w
		}
	}
	return nil
}

// hasBegun reports whether any worker has started a task.
func (d *deployment) hasBegun(task string) bool {
	for _, w := range d.workers {
		if len(w.startsOf(task)) > 0 {
			return true
		}
	}
	return false
}
