package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["advice"] = playAdvice }

// An adviser is a stand-in for the advice service: its policy allows some workers.
type adviser struct {
	rec  *record
	good map[string]bool
}

func ticketOf(step, worker string) string { return step[:4] + "-" + worker }

// ServeHTTP implements http.Handler.
func (a *adviser) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	var body struct {
		Step    string
		Workers []string
	}
	if err := json.NewDecoder(req.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(20*time.Millisecond + time.Duration(len(body.Workers))*time.Millisecond)
	good := [][2]string{}
	for _, id := range body.Workers {
		if a.good[id] {
			good = append(good, [2]string{id, ticketOf(body.Step, id)})
		}
	}
	a.rec.note("advice: asked for %s on %s, good are %v", body.Step, strings.Join(body.Workers, " "), good)
	w.Header().Set("Content-Type", "application/json")
	// A write fails only if the caller has closed the channel.
	_ = json.NewEncoder(w).Encode(map[string]any{"Good": good, "ValidityMs": 3000})
}

// playAdvice runs a task that lasts on one of two workers that the policy of its queue
// allows, and lets that one crash for good.
func playAdvice(d *deployment) (broken string, err error) {
	const id = "5c0e7a21d94b36f8"
	task := id + ".0.0.0"
	if d.advice, err = d.serve(&adviser{rec: d.rec, good: map[string]bool{"i-0": true, "i-7": true}}); err != nil {
		return "", err
	}
	var workers []*worker
	for i := range 8 {
		w := newWorker(fmt.Sprintf("i-%d", i), 8, func(string, int64) plan { return plan{lasts: true} }, "a", fmt.Sprintf("r1-%d", i/4))
		w.ticket = func(task string) string { return ticketOf(task, w.id) }
		workers = append(workers, w)
	}
	advised := route(prefix)
	advised["Advice"] = map[string]any{"DecisionMs": 20, "PeriodMs": 1, "ValidityMs": 3000}
	if err = d.start(2, workers, advised); err != nil {
		return "", err
	}
	if !d.submit(d.daemons[0], id, "monitor", step{"Count": 1, "Cpu": 1000, "MemMb": 100, "EstimateMs": 500, "LongRunning": true}) {
		return "", errors.New("the submission was not accepted")
	}
	if !await(5*time.Second, func() bool { return len(workers[0].startsOf(task)) > 0 }) {
		return "", errors.New("the task did not start on i-0")
	}
	time.Sleep(3 * time.Second)
	lost := time.Now()
	if d.trouble {
		d.crash(workers[0])
	}
	// The rule allows lastPause and idlePause; the rest is for the end of the lease.
	for time.Since(lost) < 2*(lastPause+idlePause)+12*time.Second {
		time.Sleep(100 * time.Millisecond)
		if time.Since(lost) > lastPause+idlePause && d.isRunning(task) {
			return "", nil
		}
	}
	return fmt.Sprintf("LOST: %s lasts and has had no run for %.0f s, though i-7 is sound, empty and allowed", task, time.Since(lost).Seconds()), nil
}
