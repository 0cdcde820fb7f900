package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// fullGang returns a step of a gang whose members fill some runners.
func fullGang(members int) submitter.Step {
	step := large(members)
	step.Gang = true
	return step
}

// Guards against gangs that could run on empty runners and never do, as room is kept for
// smaller ones alone.
func TestLateGangOfMostOfTheRoomRuns(t *testing.T) {
	for _, c := range []struct {
		name             string
		runners, members int
	}{
		{"five of eight runners", 8, 5},
		{"all of eight runners", 8, 8},
		{"all of two runners", 2, 2},
	} {
		for _, age := range []time.Duration{0, 3 * time.Second} {
			t.Run(fmt.Sprintf("%s, beside work that is %s old", c.name, age), func(t *testing.T) {
				s := newStream(t, c.runners, stream{queue: "urgent", age: age, memoryMB: 100, ends: 1})
				s.add("gang", "urgent", fullGang(c.members))
				s.assertStartsWithin(t, "gang", c.members)
			})
		}
	}
	t.Run("and so does each of several", func(t *testing.T) {
		s := newStream(t, 4, stream{queue: "urgent", age: 3 * time.Second, memoryMB: 100, ends: 1})
		for i := range 3 {
			s.addAged(fmt.Sprint("gang", i), "urgent", waitBound, fullGang(3))
		}
		started := make(map[string]bool)
		for range 300 {
			for _, o := range s.pass() {
				started[o.Task.Submission] = true
			}
		}
		for i := range 3 {
			if id := fmt.Sprint("gang", i); !started[id] {
				t.Errorf("%s has not started within %s", id, waitBound)
			}
		}
	})
}

// Guards against tasks that are passed over for good where more wait than room is kept for:
// they start in the order in which they have become idle.
func TestAllLateTasksOfManyCoresRun(t *testing.T) {
	const late = 12
	s := newStream(t, 4, stream{queue: "urgent", age: 3 * time.Second, memoryMB: 100, ends: 1})
	for i := range late {
		s.addAged(fmt.Sprintf("large%02d", i), "urgent", waitBound-time.Duration(i)*time.Second, large(1))
	}
	var started []string
	for range 600 {
		for _, o := range s.pass() {
			if s.table.subs[o.Task.Submission].sub.Steps[0].MilliCores > 1000 {
				started = append(started, o.Task.Submission)
			}
		}
	}
	for i := range late {
		if want := fmt.Sprintf("large%02d", i); i >= len(started) || started[i] != want {
			t.Fatalf("started %v, want all in order", started)
		}
	}
}

// Guards against runners that stay empty for a gang while what runs on one of them goes on.
func TestOtherWorkGoesOnWhileALargeGangCannotStart(t *testing.T) {
	const ending = 3 // runners on which tasks end
	s := newStream(t, ending+1, stream{queue: "urgent", age: 3 * time.Second, memoryMB: 100, ends: 1})
	s.addAged("gang", "urgent", waitBound, fullGang(ending+1))
	s.runners = ending
	small := 0
	for range 600 {
		s.poll(fmt.Sprint("r", ending))
		small += len(s.pass())
	}
	if most := 600 * ending; small < most/3 {
		t.Errorf("%d small tasks have started in a minute, want at least a third of %d", small, most)
	}
}

// Guards against a gang that never starts as what runs takes longer than its turn.
func TestLateGangOfMostOfTheRoomRunsAfterLongTasks(t *testing.T) {
	const members, bound = 4, 2 * time.Minute
	s := newStream(t, members, stream{queue: "urgent", age: 3 * time.Second, memoryMB: 100})
	s.feed(1000)
	s.addAged("gang", "urgent", waitBound, fullGang(members))
	started := 0
	for n := range int(bound / (100 * time.Millisecond)) {
		// Each runner needs 9.6 s to become empty.
		s.ends = 0
		if n%6 == 0 {
			s.ends = 1
		}
		for _, o := range s.pass() {
			if o.Task.Submission == "gang" {
				started++
			}
		}
	}
	if started < members {
		t.Errorf("%d members have started within %s, want %d", started, bound, members)
	}
}
