package worker

import (
	"errors"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/commander"
	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/standin/judge"
)

const second = time.Second

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

var capacity = commander.Resources{MilliCores: 32_000, MemoryBytes: 125 << 30}

func at(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(second)))
}

func start(task string, run int32, cores int64, work time.Duration) commander.Start {
	return commander.Start{
		ID: commander.RunID{Task: task, Run: run}, Fence: 1, Lease: time.Minute,
		Resources: commander.Resources{MilliCores: cores * 1000}, Class: "batch", Work: work,
	}
}

func mustStart(t *testing.T, worker *Worker, now time.Time, start commander.Start) {
	t.Helper()
	if err := worker.Start(now, start); err != nil {
		t.Fatalf("start %v: %v", start.ID, err)
	}
}

func assertState(t *testing.T, worker *Worker, now time.Time, want commander.RunState) commander.Run {
	t.Helper()
	report, err := worker.Report(now, 1)
	if err != nil {
		t.Fatal(err)
	}
	if len(report.Runs) != 1 || report.Runs[0].State != want {
		t.Fatalf("runs %+v, want one that is %s", report.Runs, want)
	}
	return report.Runs[0]
}

func assertBreaches(t *testing.T, breaches []judge.Breach, want ...judge.Rule) {
	t.Helper()
	if len(breaches) != len(want) {
		t.Fatalf("breaches %v, want %v", breaches, want)
	}
	for i, breach := range breaches {
		if breach.Rule != want[i] {
			t.Fatalf("breach %v, want %v", breach, want[i])
		}
	}
}

func TestWorkerRuns(t *testing.T) {
	t.Run("a run finishes with a result", func(t *testing.T) {
		worker := New(Options{Name: "w", Capacity: capacity})
		mustStart(t, worker, at(0), start("a", 1, 4, 10*second))
		assertState(t, worker, at(9), commander.RunRunning)
		run := assertState(t, worker, at(11), commander.RunFinished)
		if string(run.Result) != `{"task":"a","run":1,"workMillis":10000}` {
			t.Fatalf("unexpected result %s", run.Result)
		}
	})
	t.Run("a run ends when its lease lapses", func(t *testing.T) {
		worker := New(Options{Name: "w", Capacity: capacity})
		mustStart(t, worker, at(0), start("a", 1, 4, 0))
		assertState(t, worker, at(61), commander.RunLapsed)
		records := worker.Records(at(70))
		if end := records[len(records)-1].At; !end.Equal(at(60)) {
			t.Fatalf("ended at %s, want the end of the lease", end)
		}
	})
	t.Run("a renewal extends the lease and returns unknown runs", func(t *testing.T) {
		worker := New(Options{Name: "w", Capacity: capacity})
		mustStart(t, worker, at(0), start("a", 1, 4, 0))
		ids := []commander.RunID{{Task: "a", Run: 1}, {Task: "b", Run: 1}}
		renewed, err := worker.Renew(at(50), commander.Renewal{Fence: 1, IDs: ids, Lease: time.Minute})
		if err != nil || len(renewed.Unknown) != 1 || renewed.Unknown[0].Task != "b" {
			t.Fatalf("renewal %v, error %v", renewed, err)
		}
		assertState(t, worker, at(109), commander.RunRunning)
	})
	t.Run("another worker resumes from a checkpoint", func(t *testing.T) {
		first, second := New(Options{Name: "w"}), New(Options{Name: "x"})
		mustStart(t, first, at(0), start("a", 1, 4, 10*time.Second))
		name, err := first.Checkpoint(at(6), 1, commander.RunID{Task: "a", Run: 1})
		if err != nil {
			t.Fatal(err)
		}
		resumed := start("a", 2, 4, 10*time.Second)
		resumed.Checkpoint = name
		mustStart(t, second, at(20), resumed)
		assertState(t, second, at(23), commander.RunRunning)
		assertState(t, second, at(25), commander.RunFinished)
	})
	t.Run("a start after its stop has no effect", func(t *testing.T) {
		worker := New(Options{Name: "w", Capacity: capacity})
		if err := worker.Stop(at(0), 1, commander.RunID{Task: "a", Run: 1}); err != nil {
			t.Fatal(err)
		}
		mustStart(t, worker, at(1), start("a", 1, 4, 0))
		assertState(t, worker, at(2), commander.RunStopped)
	})
	t.Run("a lower fencing token is refused", func(t *testing.T) {
		worker := New(Options{Name: "w", Capacity: capacity})
		if _, err := worker.Report(at(0), 7); err != nil {
			t.Fatal(err)
		}
		if err := worker.Start(at(1), start("a", 1, 4, 0)); !errors.Is(err, errs.ErrFenced) {
			t.Fatalf("error %v, want fenced", err)
		}
	})
}

func TestWorkerInterference(t *testing.T) {
	model := Model{Pairs: []Pair{{Class: "service", Neighbour: "batch", SlowdownPercent: 100}}, LatencyMicros: map[string]int64{"service": 1000}}
	service := start("s", 1, 4, 0)
	service.Class = "service"
	latency := func(t *testing.T, worker *Worker, now time.Time) int64 {
		t.Helper()
		for _, usage := range worker.Usage(now) {
			if usage.ID.Task == "s" {
				return usage.LatencyMicros
			}
		}
		t.Fatal("no usage of the service")
		return 0
	}
	worker := New(Options{Name: "w", Capacity: capacity, Lag: 5 * second})
	worker.SetModel(at(0), model)
	mustStart(t, worker, at(0), service)
	mustStart(t, worker, at(10), start("b", 1, 16, 0))
	if err := worker.Throttle(at(20), 1, commander.RunID{Task: "b", Run: 1}, 50); err != nil {
		t.Fatal(err)
	}
	steps := []struct {
		now  float64
		want int64
	}{{21, 1500}, {24, 1500}, {26, 1250}}
	for _, step := range steps {
		if got := latency(t, worker, at(step.now)); got != step.want {
			t.Errorf("latency %d µs at %v s, want %d", got, step.now, step.want)
		}
	}
}

func TestWorkerBreaches(t *testing.T) {
	t.Run("over capacity", func(t *testing.T) {
		worker := New(Options{Name: "w", Capacity: capacity})
		mustStart(t, worker, at(0), start("a", 1, 32, 0))
		assertBreaches(t, worker.Breaches())
		mustStart(t, worker, at(1), start("b", 1, 1, 0))
		assertBreaches(t, worker.Breaches(), judge.RuleOverCapacity)
	})
	t.Run("start after the data centre was taken out", func(t *testing.T) {
		worker := New(Options{Name: "w", Capacity: capacity})
		worker.SetLatestStart(at(3))
		mustStart(t, worker, at(2), start("a", 1, 1, 0))
		assertBreaches(t, worker.Breaches())
		mustStart(t, worker, at(4), start("b", 1, 1, 0))
		assertBreaches(t, worker.Breaches(), judge.RuleLateStart)
	})
	t.Run("one run started at two workers", func(t *testing.T) {
		fleet := NewFleet()
		for _, address := range []string{"1", "2"} {
			fake := fleet.Add(address, Options{Name: address, Capacity: capacity})
			if err := fake.Start(t.Context(), start("a", 1, 1, 0)); err != nil {
				t.Fatal(err)
			}
		}
		breaches := fleet.Breaches()
		assertBreaches(t, breaches, judge.RuleStartedTwice, judge.RuleTwoPlaces)
	})
}

func TestFakeFaults(t *testing.T) {
	t.Run("a command with a lost response takes effect", func(t *testing.T) {
		fake := NewFake(Options{Name: "w", Capacity: capacity})
		fake.SetFaults(Faults{LoseAnswers: 1})
		if err := fake.Start(t.Context(), start("a", 1, 1, 0)); !errors.Is(err, ErrResponseLost) {
			t.Fatalf("error %v, want a lost response", err)
		}
		assertState(t, fake.Worker, fake.Now(), commander.RunRunning)
	})
	t.Run("every run fails after its start", func(t *testing.T) {
		fake := NewFake(Options{Name: "w", Capacity: capacity})
		fake.SetFaults(Faults{FailAll: true})
		if err := fake.Start(t.Context(), start("a", 1, 1, 0)); err != nil {
			t.Fatal(err)
		}
		assertState(t, fake.Worker, fake.Now(), commander.RunFailed)
	})
}
