package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// gangs lets the members of gangs work together, and knows which steps save their
// progress. Steps are named ID.K.STEP.
type gangs struct {
	mu    sync.Mutex
	sizes map[string]int  // number of members, by step
	saves map[string]bool // steps whose tasks save their progress
	jobs  []*job          // members that run
}

func newGangs() *gangs { return &gangs{sizes: make(map[string]int), saves: make(map[string]bool)} }

// declare makes a step a gang whose members save their progress.
func (g *gangs) declare(step string, size int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sizes[step], g.saves[step] = size, true
}

// step returns the name of the step of a task.
func (j *job) step() string { return j.task[:strings.LastIndexByte(j.task, '.')] }

// begin lets a run work, at once or as soon as its whole gang is present.
func (g *gangs) begin(j *job) {
	g.mu.Lock()
	size := g.sizes[j.step()]
	if size == 0 {
		j.began = time.Now()
		g.mu.Unlock()
		if !j.plan.lasts {
			time.AfterFunc(j.plan.length, func() { j.w.finish(j, j.plan.how) })
		}
		return
	}
	g.jobs = append(g.jobs, j)
	var present []*job
	for _, member := range g.jobs {
		if member.step() == j.step() && member.number == j.number && member.checkpoint == j.checkpoint && member.began.IsZero() {
			present = append(present, member)
		}
	}
	if len(present) == size {
		for _, member := range present {
			member.began = time.Now()
			time.AfterFunc(member.plan.length-resumed(member.checkpoint), func() { member.w.finish(member, member.plan.how) })
		}
	}
	g.mu.Unlock()
	time.AfterFunc(gangWait, func() {
		g.mu.Lock()
		isAlone := j.began.IsZero()
		g.mu.Unlock()
		if isAlone {
			j.w.finish(j, "alone")
		}
	})
}

// ended breaks the runs of the other members of a gang, unless they end together.
func (g *gangs) ended(j *job, how string) {
	g.mu.Lock()
	var others []*job
	for i, member := range g.jobs {
		if member == j {
			g.jobs = append(g.jobs[:i:i], g.jobs[i+1:]...)
			break
		}
	}
	if how != "done" && how != "alone" && !j.began.IsZero() {
		for _, member := range g.jobs {
			if member.step() == j.step() && member.number == j.number {
				others = append(others, member)
			}
		}
	}
	g.mu.Unlock()
	for _, member := range others {
		member.w.finish(member, "broken")
	}
}

// resumed returns the work that a checkpoint holds.
func resumed(checkpoint string) time.Duration {
	var ms int64
	if len(checkpoint) < 8 {
		return 0
	}
	if _, err := fmt.Sscanf(checkpoint[:8], "%x", &ms); err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// saved returns the checkpoint of a run. The members of a gang that work have saved the
// same.
func (g *gangs) saved(j *job, now time.Time) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.saves[j.step()] || j.began.IsZero() {
		return j.checkpoint
	}
	work := now.Sub(j.began) / saveEvery * saveEvery
	if work == 0 {
		return j.checkpoint
	}
	return fmt.Sprintf("%08x%s", (resumed(j.checkpoint) + work).Milliseconds(), j.task[4:12])
}
