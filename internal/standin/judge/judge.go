// Package judge checks the promises about tasks on the records of all worker
// stand-ins.
package judge

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"
)

// A Kind tells whether a Record is of a start or an end.
type Kind string

// Kinds of records.
const (
	KindStart Kind = "start"
	KindEnd   Kind = "end"
)

// A Record is the start or the end of one run at one worker.
type Record struct {
	Kind       Kind      `json:"kind"`
	At         time.Time `json:"at"`
	Task       string    `json:"task"`
	Run        int32     `json:"run"`
	Class      string    `json:"class"`
	Worker     string    `json:"worker"`
	DataCentre string    `json:"dataCentre"`
	// State is the state in which a run ended.
	State string `json:"state,omitempty"`
	// Checkpoint is the one that a run started from, or the last that it saved.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// A Rule names a promise that was broken.
type Rule string

// Rules about tasks, workers and runners.
const (
	RuleOverCapacity     Rule = "overCapacity"
	RuleTwoPlaces        Rule = "twoPlaces"
	RuleStartedTwice     Rule = "startedTwice"
	RuleRunOrder         Rule = "runOrder"
	RuleStartAfterFinish Rule = "startAfterFinish"
	RuleLateStart        Rule = "lateStart"
	RuleNinthRequest     Rule = "ninthRequest"
	RuleConnection       Rule = "tooManyConnections"
	RuleTwiceExecuted    Rule = "twiceExecuted"
)

// A Breach is one broken promise.
type Breach struct {
	Rule    Rule      `json:"rule"`
	At      time.Time `json:"at"`
	Subject string    `json:"subject"`
	Detail  string    `json:"detail"`
}

// A Log collects records. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	records []Record
}

// Add appends a record.
func (l *Log) Add(record Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, record)
}

// Records returns a copy of all records.
func (l *Log) Records() []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.records)
}

// A span is the time of one run at one worker.
type span struct {
	start Record
	end   Record
	ended bool
}

// Check returns the breaches of the rules that need no more than the records:
// one place at once, one start of each run, runs in order, and no start after
// the task finished.
func Check(records []Record) []Breach {
	var breaches []Breach
	for _, spans := range byTask(records) {
		breaches = append(breaches, checkTask(spans)...)
	}
	slices.SortFunc(breaches, func(a, b Breach) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Subject, b.Subject), cmp.Compare(a.Rule, b.Rule))
	})
	return breaches
}

// LateStarts returns the starts in a data centre between from and until, which
// are the end of the grace time after it was taken out and its return. A zero
// until means that it has not returned.
func LateStarts(records []Record, dataCentre string, from, until time.Time) []Breach {
	var breaches []Breach
	for _, record := range records {
		out := record.At.After(from) && (until.IsZero() || record.At.Before(until))
		if record.Kind != KindStart || record.DataCentre != dataCentre || !out {
			continue
		}
		detail := fmt.Sprintf("run %d started at %s in %s, %s after the grace time", record.Run, record.Worker, dataCentre, record.At.Sub(from))
		breaches = append(breaches, Breach{Rule: RuleLateStart, At: record.At, Subject: record.Task, Detail: detail})
	}
	return breaches
}

// Finished returns the tasks that finished and how often.
func Finished(records []Record) map[string]int {
	finished := map[string]int{}
	for _, record := range records {
		if record.Kind == KindEnd && record.State == "finished" {
			finished[record.Task]++
		}
	}
	return finished
}

// checkTask checks the spans of one task in the order of their starts.
func checkTask(spans []span) []Breach {
	var breaches []Breach
	report := func(rule Rule, at span, format string, args ...any) {
		breaches = append(breaches, Breach{Rule: rule, At: at.start.At, Subject: at.start.Task, Detail: fmt.Sprintf(format, args...)})
	}
	for i, later := range spans {
		for _, earlier := range spans[:i] {
			switch {
			case !earlier.ended || earlier.end.At.After(later.start.At):
				report(RuleTwoPlaces, later, "run %d at %s overlaps run %d at %s", later.start.Run, later.start.Worker, earlier.start.Run, earlier.start.Worker)
			case earlier.end.State == "finished":
				report(RuleStartAfterFinish, later, "run %d started at %s after run %d finished at %s", later.start.Run, later.start.Worker, earlier.start.Run, earlier.start.Worker)
			}
			switch {
			case earlier.start.Run == later.start.Run:
				report(RuleStartedTwice, later, "run %d started at %s and at %s", later.start.Run, earlier.start.Worker, later.start.Worker)
			case earlier.start.Run > later.start.Run:
				report(RuleRunOrder, later, "run %d started after run %d", later.start.Run, earlier.start.Run)
			}
		}
	}
	return breaches
}

// byTask pairs starts with ends and groups them by task, by time of start.
func byTask(records []Record) map[string][]span {
	sorted := slices.Clone(records)
	slices.SortStableFunc(sorted, func(a, b Record) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(order(a), order(b)))
	})
	tasks := map[string][]span{}
	for _, record := range sorted {
		spans := tasks[record.Task]
		if record.Kind == KindStart {
			tasks[record.Task] = append(spans, span{start: record})
			continue
		}
		for i := range spans {
			same := spans[i].start.Run == record.Run && spans[i].start.Worker == record.Worker
			if same && !spans[i].ended {
				spans[i].end = record
				spans[i].ended = true
				break
			}
		}
	}
	return tasks
}

// order puts starts before ends of the same instant, so that a run that ends
// at once is paired with its own start.
func order(record Record) int {
	if record.Kind == KindStart {
		return 0
	}
	return 1
}
