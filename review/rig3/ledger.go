package rig3

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// A Run is one run of a task, as its runner has seen it.
type Run struct {
	Runner  string
	Life    int // number of the runner's process, from 1
	Task    string
	Number  int64
	Token   int64
	Started time.Time
	Ended   time.Time // zero while it runs
	How     string    // how it ended; "lost" with a crash of its runner
}

// A Ledger records the runs on all runners. It is safe for concurrent use.
type Ledger struct {
	record *Record

	mu   sync.Mutex
	runs []*Run
	// counted is the start of the names of the tasks whose runs, and the calls for which, are not
	// recorded one by one; started, ended, and calls are the numbers of these, calls by status.
	counted        string
	started, ended int
	calls          map[int]int
}

// Count makes the record hold only the numbers of the runs of tasks whose names have a prefix, and of
// the calls for them, once a second until the function that it returns is called.
func (l *Ledger) Count(prefix string) (stop func()) {
	l.mu.Lock()
	l.counted, l.calls = prefix, make(map[int]int)
	l.mu.Unlock()
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
			}
			l.mu.Lock()
			l.record.Note("%s*: calls by status %v; %d runs have started, %d have ended", prefix, l.calls, l.started, l.ended)
			l.mu.Unlock()
		}
	}()
	return func() { close(done) }
}

// countCall reports whether a call for a submission is not recorded by itself, and counts it then.
func (l *Ledger) countCall(id string, status int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isCounted(id) {
		return false
	}
	l.calls[status]++
	return true
}

// isCounted reports whether the runs of a task are not recorded one by one. The caller holds the
// lock.
func (l *Ledger) isCounted(task string) bool {
	return l.counted != "" && strings.HasPrefix(task, l.counted)
}

// NewLedger returns an empty ledger.
func NewLedger(record *Record) *Ledger { return &Ledger{record: record} }

func (l *Ledger) start(run Run) *Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, &run)
	if l.isCounted(run.Task) {
		l.started++
		return &run
	}
	l.record.Note("runner %s (life %d): starts %s run %d, token %d", run.Runner, run.Life, run.Task, run.Number, run.Token)
	return &run
}

func (l *Ledger) end(run *Run, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run.Ended, run.How = time.Now(), how
	if l.isCounted(run.Task) {
		l.ended++
		return
	}
	l.record.Note("runner %s (life %d): %s run %d ends: %s", run.Runner, run.Life, run.Task, run.Number, how)
}

// Runs returns the runs of all tasks whose names a condition selects, oldest first.
func (l *Ledger) Runs(selects func(task string) bool) (runs []Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, run := range l.runs {
		if selects(run.Task) {
			runs = append(runs, *run)
		}
	}
	slices.SortStableFunc(runs, func(a, b Run) int { return a.Started.Compare(b.Started) })
	return runs
}
