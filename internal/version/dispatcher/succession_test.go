package dispatcher

import (
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// A succession is a change of owner with late submissions "ran", which is due first and of which
// a task has just ended, and "idle", of which nothing has ever run. One task of them fits.
type succession struct {
	*harness
	subs  []*submitter.Submission
	saved map[string][]byte // by submission
}

func newSuccession(t *testing.T, step submitter.Step) *succession {
	t.Helper()
	s := &succession{harness: newHarness(t, 0, 1), saved: make(map[string][]byte)}
	s.poll("r0")
	step.Count, step.Resources = 2, testCapacity
	for i, id := range []string{"ran", "idle"} {
		acceptedAt := s.now.Add(time.Duration(i) * time.Second)
		s.subs = append(s.subs, &submitter.Submission{ID: id, Queue: "night", Spec: id, Steps: []submitter.Step{step}, AcceptedAt: acceptedAt})
	}
	s.table.Add(s.subs[0], nil, s.now)
	s.advance(15 * time.Second)
	s.poll("r0")
	orders := s.starts()
	assertStarts(t, orders, 1)
	s.drop(orders[0])
	s.poll("r0", End{Task: orders[0].Task, Run: orders[0].Run, Kind: Done})
	s.table.Add(s.subs[1], nil, s.now)
	s.save()
	return s
}

// save stores what the owner has to store.
func (s *succession) save() {
	records := s.table.Unsaved(10)
	for _, rec := range records {
		data, err := rec.Progress.Encode()
		if err != nil {
			s.t.Fatal(err)
		}
		s.saved[rec.ID] = data
	}
	s.table.Saved(records)
}

// takeOver replaces the owner by one whose clock is ahead of the former one's by some time.
func (s *succession) takeOver(ahead time.Duration) {
	s.harness = newHarness(s.t, 1, 1)
	s.now = epoch.Add(15*time.Second + ahead)
	s.table.ownedSince, s.table.ownerConfirmedAt = s.now, s.now
	for _, sub := range s.subs {
		var progress *submitter.Progress
		if data, ok := s.saved[sub.ID]; ok {
			var err error
			if progress, err = submitter.DecodeProgress(data); err != nil {
				s.t.Fatal(err)
			}
		}
		s.table.Add(sub, progress, s.now)
	}
	s.poll("r0")
	s.advance(2 * time.Second)
	s.poll("r0")
}

// Guards against a change of owner after which late submissions take turns by their due times,
// so that those that have just run go first again.
func TestTurnsGoOnAfterAChangeOfOwner(t *testing.T) {
	for _, kind := range []struct {
		name string
		step submitter.Step
	}{{"tasks that reserve processors", oneCore(1)}, {"best-effort tasks", bestEffort("batch", 1)}} {
		t.Run(kind.name, func(t *testing.T) {
			for _, c := range []struct {
				name  string
				ahead time.Duration
			}{{"clocks agree", 0}, {"new owner's clock is ahead", 10 * time.Second}, {"new owner's clock is behind", -3 * time.Second}} {
				t.Run(c.name, func(t *testing.T) {
					s := newSuccession(t, kind.step)
					s.takeOver(c.ahead)
					assertFirst(t, s.starts(), "idle")
				})
			}
			t.Run("due times count without a stored time", func(t *testing.T) {
				s := newSuccession(t, kind.step)
				s.saved["ran"] = []byte(`{"steps":[{"step":0,"done":"AQ=="}]}`)
				s.takeOver(0)
				assertFirst(t, s.starts(), "ran")
			})
			t.Run("a run counts whose end the former owner has not stored", func(t *testing.T) {
				s := newSuccession(t, kind.step)
				delete(s.saved, "ran")
				s.takeOver(0)
				s.poll("r0", End{Task: submitter.TaskID{Submission: "ran"}, Run: 1, Kind: Done})
				s.advance(time.Second)
				s.poll("r0")
				assertFirst(t, s.starts(), "idle")
			})
			t.Run("a stored time far ahead counts as the time of the change", func(t *testing.T) {
				s := newSuccession(t, kind.step)
				s.saved["ran"] = []byte(`{"steps":[{"step":0,"done":"AQ==","ranUnixMillis":33000000000000}]}`)
				s.takeOver(0)
				assertIdleSince(t, s.table.subs["ran"].occs[0], epoch.Add(15*time.Second))
			})
		})
	}
}

// Guards against writes for the time of the last run alone.
func TestStopsAreNotStored(t *testing.T) {
	s := newSuccession(t, oneCore(1))
	s.advance(time.Second)
	s.poll("r0")
	orders := s.starts()
	assertStarts(t, orders, 1)
	s.drop(orders[0])
	s.poll("r0", End{Task: orders[0].Task, Run: orders[0].Run, Kind: Stopped})
	if s.table.IsDirty() {
		t.Error("a stopped run makes a submission dirty, want no write")
	}
}

func assertIdleSince(t *testing.T, occ *occurrence, want time.Time) {
	t.Helper()
	if got := occ.idleSince(); !got.Equal(want) {
		t.Errorf("idle since %s, want %s", got, want)
	}
}
