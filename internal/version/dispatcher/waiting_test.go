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
