package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// Guards against a step that reserves processors and never runs, as the submission has a
// best-effort step, too, which no runner may take now.
func TestRoomIsKeptBesideABestEffortStepOfTheSameSubmission(t *testing.T) {
	labelled := bestEffort("batch", 1)
	labelled.RequiredLabel = "rare"
	disturbing := bestEffort("noisy", 1)
	disturbing.MilliCores = 4000
	step := submitter.Step{Count: 1, Resources: submitter.Resources{MilliCores: 12_000, MemoryMB: 1000}, Estimate: time.Second}
	for _, c := range []struct {
		name  string
		steps []submitter.Step
	}{
		{"alone", []submitter.Step{step}},
		{"before a best-effort step that disturbs all services", []submitter.Step{step, disturbing}},
		{"after a best-effort step that disturbs all services", []submitter.Step{disturbing, step}},
		{"after a best-effort step whose label no runner has", []submitter.Step{labelled, step}},
	} {
		t.Run(c.name, func(t *testing.T) {
			const runners = 4
			s := &stream{harness: newHarness(t, 0, runners), queue: "urgent", age: 3 * time.Second, memoryMB: 100, ends: 1, runners: runners}
			infos := s.table.Runners()
			for i := range infos {
				infos[i].Capacity = submitter.Resources{MilliCores: 16_000, MemoryMB: 64_000}
			}
			s.table.SetRunners(infos, s.now)
			s.pollAll(runners)
			for range 50 {
				s.table.interference.pressures.Learn("web", 0.9, map[string]float64{"noisy": 0.1})
			}
			service := serving("web")
			service.Count, service.MaxPerRunner = runners, 1
			s.add("service", "urgent", service)
			s.startApart(t, runners)
			for _, rows := range s.reported {
				rows[0].Percent, rows[0].Measure = 100, 17 // of 18 ms
			}
			s.pollAll(runners)
			s.feed(20 * runners)
			s.starts()
			s.table.Add(&submitter.Submission{ID: "mixed", Queue: "urgent", Spec: "mixed", Steps: c.steps, AcceptedAt: s.now}, nil, s.now)
			for since := s.now; s.now.Sub(since) < 2*waitBound; {
				s.advance(100 * time.Millisecond)
				for i := range runners {
					s.finishSmall(fmt.Sprint("r", i))
				}
				s.feed(runners)
				for _, o := range s.starts() {
					if o.Task.Submission != "mixed" {
						continue
					}
					if s.table.subs["mixed"].sub.Steps[o.Task.Step].Fills {
						t.Fatal("the best-effort step has started, want none of it")
					}
					return
				}
			}
			t.Errorf("the step of 12 cores has not started within %s", 2*waitBound)
		})
	}
}

// startApart starts what waits, and checks that each runner has one run.
func (h *harness) startApart(t *testing.T, runners int) {
	t.Helper()
	assertStarts(t, h.starts(), runners)
	for i := range runners {
		if n := len(h.reported[fmt.Sprint("r", i)]); n != 1 {
			t.Fatalf("r%d has %d runs, want 1", i, n)
		}
	}
}

// finishSmall ends the oldest run of the stream on a runner.
func (s *stream) finishSmall(runner string) {
	for _, row := range s.reported[runner] {
		if row.Task.Submission[:5] == "small" {
			s.drop(Order{Runner: runner, Task: row.Task, Run: row.Run})
			s.poll(runner, End{Task: row.Task, Run: row.Run, Kind: Done})
			return
		}
	}
	s.poll(runner)
}
