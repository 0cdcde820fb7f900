package recorder

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	jsonlog "github.com/apex/log/handlers/json"

	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

var discardLogger = &log.Logger{Handler: discard.Default}

func countingClock() func() uint64 {
	var clock uint64
	return func() uint64 { clock++; return clock }
}

func TestRingSince(t *testing.T) {
	ring := NewRing("atl-a-1", 1<<20, countingClock(), discardLogger)
	for i := range 10 {
		ring.Record(time.Now(), Number(1000+i%2), Fields{"task": "proof/" + strconv.Itoa(i)})
	}
	t.Run("newest without a start", func(t *testing.T) { assertClocks(t, ring, 0, 3, "", 8, 9, 10) })
	t.Run("oldest after a start", func(t *testing.T) { assertClocks(t, ring, 4, 3, "", 5, 6, 7) })
	t.Run("one field", func(t *testing.T) { assertClocks(t, ring, 0, 0, "task=proof/6", 7) })
	t.Run("all terms have to match", func(t *testing.T) { assertClocks(t, ring, 0, 0, "number=1001 task=proof/6") })
	t.Run("missing field isn't empty", func(t *testing.T) { assertClocks(t, ring, 0, 0, "worker=") })
	t.Run("bad term", func(t *testing.T) {
		if _, err := ParseFilter("task"); err == nil {
			t.Error("a term without = was accepted")
		}
	})
}

func TestRingIsBounded(t *testing.T) {
	const limit = 64 << 10
	ring := NewRing("atl-a-1", limit, countingClock(), discardLogger)
	for range 5000 {
		ring.Record(time.Now(), 1000, Fields{"worker": "w-17"})
	}
	events, dropped := ring.Since(0, 5000, Filter{})
	if ring.bytes > limit {
		t.Errorf("the ring holds %d bytes, limit %d", ring.bytes, limit)
	}
	if dropped+int64(len(events)) != 5000 {
		t.Errorf("%d dropped and %d kept, want 5000 together", dropped, len(events))
	}
	if len(ring.events) > 2*len(events)+1 {
		t.Errorf("%d slots for %d events", len(ring.events), len(events))
	}
}

func TestRingStampsInOrder(t *testing.T) {
	ring := NewRing("atl-a-1", 1<<20, countingClock(), discardLogger)
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 100 {
				ring.Record(time.Now(), 1000, nil)
			}
		})
	}
	group.Wait()
	events, _ := ring.Since(0, 800, Filter{})
	for i, event := range events {
		if event.Clock != uint64(i+1) {
			t.Fatalf("event %d has clock %d", i, event.Clock)
		}
	}
}

func TestRingLogs(t *testing.T) {
	var out bytes.Buffer
	ring := NewRing("atl-a-1", 1<<20, countingClock(), &log.Logger{Handler: jsonlog.New(&out), Level: log.InfoLevel})
	ring.Record(time.Date(2026, 12, 4, 18, 0, 0, 0, time.UTC), 5998, Fields{"task": "proof/1"})
	var line struct {
		Message string         `json:"message"`
		Fields  map[string]any `json:"fields"`
	}
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatal(err)
	}
	for field, want := range map[string]any{
		"event": 5998.0, "task": "proof/1", "recordedBy": "atl-a-1", "at": "2026-12-04T18:00:00Z",
	} {
		if line.Fields[field] != want {
			t.Errorf("field %s = %v, want %v", field, line.Fields[field], want)
		}
	}
}

func assertClocks(t *testing.T, ring *Ring, since uint64, limit int, filter string, want ...uint64) {
	t.Helper()
	parsed, err := ParseFilter(filter)
	if err != nil {
		t.Fatal(err)
	}
	events, _ := ring.Since(since, limit, parsed)
	assertEventClocks(t, events, want)
}

func assertEventClocks(t *testing.T, events []*kumquatv1.Event, want []uint64) {
	t.Helper()
	if len(events) != len(want) {
		t.Fatalf("got %d events, want %d", len(events), len(want))
	}
	for i, event := range events {
		if event.Clock != want[i] {
			t.Errorf("event %d has clock %d, want %d", i, event.Clock, want[i])
		}
	}
}

func BenchmarkRingRecord(b *testing.B) {
	ring := NewRing("atl-a-1", 4<<20, countingClock(), &log.Logger{Handler: jsonlog.New(io.Discard), Level: log.InfoLevel})
	now := time.Date(2026, 12, 4, 18, 0, 0, 0, time.UTC)
	fields := Fields{"task": "night-casting/17", "intent": "night-casting", "worker": "atl-a-worker-3", "run": "2"}
	b.ReportAllocs()
	for b.Loop() {
		ring.Record(now, 2100, fields)
	}
}
