// Package judge checks the records of all worker stand-ins for violations of the system's
// guarantees about tasks.
package judge

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"
)

// A Kind is the kind of a Record: a start or an end.
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
	// Checkpoint is the checkpoint that a run started from, or the last one that it saved.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// A Rule is the name of a guarantee that a Breach violates.
type Rule string

// Rules about tasks, workers and runners. Each comment says what the rule forbids.
const (
	// RuleOverCapacity: the runs of a worker have more resources than the worker has.
	RuleOverCapacity Rule = "overCapacity"
	// RuleTwoPlaces: two runs of a task overlap in time.
	RuleTwoPlaces Rule = "twoPlaces"
	// RuleStartedTwice: the same run of a task starts more than once.
	RuleStartedTwice Rule = "startedTwice"
	// RuleRunOrder: a run starts after a run of the same task with a higher number.
	RuleRunOrder Rule = "runOrder"
	// RuleStartAfterFinish: a run starts after an earlier run finished the task.
	RuleStartAfterFinish Rule = "startAfterFinish"
	// RuleLateStart: a run starts in a data centre that has been out of service for longer than the
	// grace time.
	RuleLateStart Rule = "lateStart"
	// RuleSlotsExceeded: a runner has more requests in flight than slots.
	RuleSlotsExceeded Rule = "ninthRequest"
	// RuleTooManyConnections: a runner has more connections open than allowed.
	RuleTooManyConnections Rule = "tooManyConnections"
	// RuleTwiceExecuted: a request runs twice although it may run only once.
	RuleTwiceExecuted Rule = "twiceExecuted"
)

// A Breach is one violation of a guarantee.
type Breach struct {
	Rule Rule      `json:"rule"`
	At   time.Time `json:"at"`
	// Subject names the task or the runner that the breach concerns.
	Subject string `json:"subject"`
	Detail  string `json:"detail"`
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

// A span is one run at one worker, from its start to its end.
type span struct {
	start Record
	// end is the zero Record unless ended is true.
	end   Record
	ended bool
}

// Check returns the breaches that the records alone show: two runs of a task at the same time, a
// run that started twice, runs out of order, and a start after the task finished.
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

// LateStarts returns a breach for each start in a data centre between from, the end of the grace
// time after the data centre was taken out of service, and until, when the data centre returned to
// service. A zero until means that the data centre hasn't returned.
func LateStarts(records []Record, dataCentre string, from, until time.Time) []Breach {
	var breaches []Breach
	for _, record := range records {
		isOutOfService := record.At.After(from) && (until.IsZero() || record.At.Before(until))
		if record.Kind != KindStart || record.DataCentre != dataCentre || !isOutOfService {
			continue
		}
		detail := fmt.Sprintf("run %d started at %s in %s, %s after the end of the grace time", record.Run, record.Worker, dataCentre, record.At.Sub(from))
		breaches = append(breaches, Breach{Rule: RuleLateStart, At: record.At, Subject: record.Task, Detail: detail})
	}
	return breaches
}

// Finished returns how often each task finished.
func Finished(records []Record) map[string]int {
	finished := map[string]int{}
	for _, record := range records {
		if record.Kind == KindEnd && record.State == "finished" {
			finished[record.Task]++
		}
	}
	return finished
}

// checkTask returns the breaches of one task, whose spans are in the order of their starts.
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

// byTask pairs each start with its end and returns the spans by task, in the order of their starts.
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

// order sorts starts before ends at the same instant, so that the end of a run that ends
// immediately is paired with its own start.
func order(record Record) int {
	if record.Kind == KindStart {
		return 0
	}
	return 1
}
