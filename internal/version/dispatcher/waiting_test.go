package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// An eventLog keeps the fields of the events with one number.
type eventLog struct {
	number recorder.Number
	events []recorder.Fields
}

// Record implements recorder.Recorder.
func (l *eventLog) Record(_ time.Time, number recorder.Number, fields recorder.Fields) {
	if number == l.number {
		l.events = append(l.events, fields)
	}
}

func TestWaitingLongRunningTasksAreRecorded(t *testing.T) {
	h := newHarness(t, 0, 2)
	log := &eventLog{number: EventWaiting}
	h.table.rec = log
	h.pollAll(2)
	h.add("a", "urgent", submitter.Step{Count: 3, Resources: submitter.Resources{MilliCores: 8000}, LongRunning: true})
	assertStarts(t, h.starts(), 2)
	for range 40 {
		h.advance(200 * time.Millisecond)
		h.pollAll(2)
	}
	if len(log.events) != 1 {
		t.Fatalf("events %v, want one within 8 s", log.events)
	}
	event := log.events[0]
	if event["id"] != "a" || event["waiting"] != "1" || event["full"] != "2" || event["allRunsKnown"] != "true" {
		t.Errorf("event %v, want one task that waits as both runners are full", event)
	}
}

func TestWaitingBestEffortStepsAreRecorded(t *testing.T) {
	h := newHarness(t, 0, 1)
	log := &eventLog{number: EventWaiting}
	h.table.rec = log
	h.poll("r0")
	h.add("a", "urgent", submitter.Step{Count: 1, Resources: submitter.Resources{MilliCores: 8000}})
	h.add("b", "night", bestEffort("batch", 2))
	assertStarts(t, h.starts(), 1)
	for range 40 {
		h.advance(200 * time.Millisecond)
		h.poll("r0")
		h.starts()
	}
	if len(log.events) != 1 {
		t.Fatalf("events %v, want one within 8 s", log.events)
	}
	event := log.events[0]
	if event["id"] != "b" || event["notSpare"] != "1" || event["failedAttempts"] == "0" || event["startsMeanwhile"] != "0" {
		t.Errorf("event %v, want a step that was tried, and that the other task leaves no processors", event)
	}
}

// Guards against a log that names the obstacles of a start at full speed for a task that is due
// to start in the background, which others keep from the runner.
func TestWaitingStepsAreRecordedAsTheirTurnFindsRunners(t *testing.T) {
	h := newHarness(t, 0, 1)
	log := &eventLog{number: EventWaiting}
	h.table.rec = log
	h.poll("r0")
	h.add("short", "urgent", submitter.Step{Count: 1, Resources: submitter.Resources{MilliCores: 7000}})
	first, second := bestEffort("batch", 1), bestEffort("batch", 1)
	first.Resources = submitter.Resources{MilliCores: 8000, MemoryMB: 40_000}
	second.Resources = submitter.Resources{MilliCores: 8000, MemoryMB: 20_000}
	h.add("first", "night", first)
	runFor := func(d time.Duration) {
		for until := h.now.Add(d); h.now.Before(until); h.advance(200 * time.Millisecond) {
			h.pollAll(1)
			h.starts()
			h.work()
		}
	}
	runFor(12 * time.Second)
	h.add("second", "night", second)
	runFor(12 * time.Second)
	if len(log.events) == 0 {
		t.Fatal("no event, want one about the second best-effort submission, which waits")
	}
	event := log.events[len(log.events)-1]
	if event["id"] != "second" || event["inBackground"] != "true" || event["memoryFull"] != "1" || event["idleMs"] == "0" {
		t.Errorf("event %v, want no memory for a start in the background", event)
	}
}

// Guards against waits that nobody can tell, since the log of a burst has no line of some starts.
func TestStartsAfterLongWaitsAreRecorded(t *testing.T) {
	for _, c := range []struct {
		name string
		wait time.Duration
		want int
	}{{"shorter", resumedAfter / 2, 0}, {"long", resumedAfter, 1}} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 0, 1)
			log := &eventLog{number: EventResumed}
			h.table.rec = log
			h.add("a", "urgent", oneCore(2))
			h.advance(c.wait)
			h.poll("r0")
			assertStarts(t, h.starts(), 2)
			if len(log.events) != c.want {
				t.Errorf("events %v, want %d, of the first of two tasks", log.events, c.want)
			}
		})
	}
}

// Guards against ticks that take longer the more steps wait.
func TestRecordedStepsAreBoundedPerTick(t *testing.T) {
	h := newHarness(t, 0, 1)
	log := &eventLog{number: EventWaiting}
	h.table.rec = log
	h.poll("r0")
	const waiting = 3 * otherWarnings
	for n := range waiting {
		h.add(fmt.Sprint("large", n), "urgent", submitter.Step{Count: 1, Resources: submitter.Resources{MilliCores: 9000}})
	}
	h.advance(time.Millisecond)
	for recorded := 0; recorded < waiting; recorded = len(log.events) {
		h.advance(warnAfter)
		if n := len(log.events) - recorded; n != otherWarnings {
			t.Fatalf("%d steps recorded at a tick, want %d", n, otherWarnings)
		}
	}
}
