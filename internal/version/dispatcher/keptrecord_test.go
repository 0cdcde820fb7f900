package dispatcher

import (
	"fmt"
	"testing"
	"time"
)

// newKeptLog returns a stream in which room is kept for a task that fills a runner, and the
// events about that.
func newKeptLog(t *testing.T) (s *stream, log *eventLog) {
	t.Helper()
	s = newStream(t, 2, stream{queue: "urgent", age: 3 * time.Second, memoryMB: 100})
	log = &eventLog{number: EventRoomKept}
	s.table.rec = log
	s.addAged("large", "urgent", waitBound, large(1))
	for range 10 {
		s.pass()
	}
	return s, log
}

func assertKept(t *testing.T, log *eventLog, want ...string) {
	t.Helper()
	if len(log.events) != len(want) {
		t.Fatalf("events %v, want %d", log.events, len(want))
	}
	for i, kept := range want {
		if event := log.events[i]; event["id"] != "large" || event["kept"] != kept || event["tasks"] != "1" || event["runners"] == "" {
			t.Errorf("event %v, want room for one task of large with kept=%s", event, kept)
		}
	}
}

func TestKeptRoomIsRecorded(t *testing.T) {
	t.Run("when it begins, not at each tick", func(t *testing.T) {
		_, log := newKeptLog(t)
		assertKept(t, log, "true")
	})
	t.Run("when the task has started", func(t *testing.T) {
		s, log := newKeptLog(t)
		s.ends = 1
		s.firstStart("large", waitBound)
		s.pass()
		assertKept(t, log, "true", "false")
		if event := log.events[1]; event["running"] != "1" {
			t.Errorf("event %v, want one running task", event)
		}
	})
	t.Run("when it is given up", func(t *testing.T) {
		s, log := newKeptLog(t)
		s.table.Cancel("large", s.now)
		s.pass()
		assertKept(t, log, "true", "false")
	})
	t.Run("for a long-running task that has never run", func(t *testing.T) {
		o := newTurnover(t, 4)
		log := &eventLog{number: EventRoomKept}
		o.table.rec = log
		o.add("large", "urgent", lasting(1, 8000))
		for range 150 {
			o.pass()
		}
		assertKept(t, log, "true", "false")
	})
	t.Run("for interrupted long-running tasks", func(t *testing.T) {
		h := newHarness(t, 0, 1)
		log := &eventLog{number: EventRoomKept}
		h.table.rec = log
		h.poll("r0")
		h.add("large", "urgent", lasting(1, 8000))
		orders := h.starts()
		assertStarts(t, orders, 1)
		h.drop(orders[0])
		h.add("small", "urgent", oneCore(8))
		h.poll("r0", End{Task: orders[0].Task, Run: orders[0].Run, Kind: Lapsed})
		h.table.subs["large"].occs[0].steps[0].blockedAt = h.now
		h.starts()
		for range 10 {
			h.advance(200 * time.Millisecond)
			h.poll("r0")
		}
		assertKept(t, log, "true")
	})
}

// Guards against lines at each tick for room that is kept now and then, or for many.
func TestRecordsOfKeptRoomAreBounded(t *testing.T) {
	const runners = 20 * 2 * maxKeptRecords
	h := newHarness(t, 0, runners)
	log := &eventLog{number: EventRoomKept}
	h.table.rec = log
	h.pollAll(runners)
	for i := range runners {
		h.addAged(fmt.Sprintf("late%03d", i), "urgent", waitBound, oneCore(1))
	}
	h.advance(100 * time.Millisecond)
	if n := len(log.events); n != maxKeptRecords {
		t.Errorf("%d events at a tick, want %d", n, maxKeptRecords)
	}
	t.Run("and for one that is kept now and then", func(t *testing.T) {
		s, log := newKeptLog(t)
		for n := range 50 {
			s.table.subs["large"].occs[0].ranAt = s.now.Add(-time.Duration(n%2) * waitBound)
			s.advance(100 * time.Millisecond)
		}
		if n := len(log.events); n > 3 {
			t.Errorf("%d events within 5 s, want at most 3", n)
		}
	})
}
