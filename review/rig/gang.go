package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { cases["gang"] = playGang }

// playGang runs a gang that saves its progress, and lets the worker of one member crash
// after the others have saved more than that worker has told.
func playGang(d *deployment) (broken string, err error) {
	const id = "5c0e7a21d94b36f8"
	gang := id + ".0.0"
	d.gangs.declare(gang, 3)
	var workers []*worker
	for i := range 8 {
		workers = append(workers, newWorker(fmt.Sprintf("i-%d", i), 4, succeeds(8*time.Second), "a", "r1-1"))
	}
	if err = d.start(2, workers, route(prefix)); err != nil {
		return "", err
	}
	if !d.submit(d.daemons[0], id, "gang", step{"Count": 3, "Cpu": 3000, "MemMb": 100, "EstimateMs": 8000, "Gang": true, "Checkpointing": true}) {
		return "", errors.New("the submission was not accepted")
	}
	member := func() *worker {
		for _, w := range workers {
			if len(w.startsOf(gang+".1")) > 0 {
				return w
			}
		}
		return nil
	}
	if !await(5*time.Second, func() bool { return member() != nil }) {
		return "", errors.New("the gang did not start")
	}
	time.Sleep(saveEvery + 50*time.Millisecond)
	if d.trouble {
		d.crash(member())
	}
	crashed := time.Now()
	for time.Since(crashed) < 45*time.Second {
		if d.state(d.daemons[0], id) == "complete" {
			return "", nil
		}
		time.Sleep(time.Second)
	}
	return d.judgeGang(gang, crashed), nil
}

// judgeGang counts the runs that ended alone long after the crash, when nothing was
// disturbed any more.
func (d *deployment) judgeGang(gang string, crashed time.Time) (broken string) {
	n, carried := 0, make(map[string]bool)
	calm := crashed.Add(15 * time.Second)
	for _, w := range d.workers {
		for i := range 3 {
			for _, s := range w.startsOf(fmt.Sprintf("%s.%d", gang, i)) {
				if s.at.After(calm) {
					carried[s.checkpoint] = true
				}
			}
		}
		w.mu.Lock()
		for _, at := range w.alone {
			if at.After(calm) {
				n++
			}
		}
		w.mu.Unlock()
	}
	if n == 0 {
		return ""
	}
	return fmt.Sprintf("GANG: %d runs ended alone later than 15 s after the crash; their starts carried %d values of Checkpoint, and the gang never worked again", n, len(carried))
}
