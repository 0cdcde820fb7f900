package worker

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/commander"
)

// TestRenewBySet renews changing sets of runs over HTTP and checks after each call which runs are
// still running after their previous lease. It guards against renewing the wrong runs when the
// worker doesn't know the set that a request is based on, or when a response is lost.
func TestRenewBySet(t *testing.T) {
	const lease = time.Minute
	const pause = lease * 45 / 100
	epoch := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	var elapsed atomic.Int64 // nanoseconds
	fake := NewFake(Options{Name: "w", Capacity: commander.Resources{MilliCores: 32000, MemoryBytes: 1 << 36}})
	fake.SetClock(func() time.Time { return epoch.Add(time.Duration(elapsed.Load())) })
	var handler atomic.Pointer[http.Handler]
	restart := func() {
		next := NewHandler(fake)
		handler.Store(&next)
	}
	restart()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		(*handler.Load()).ServeHTTP(w, r)
	}))
	defer server.Close()
	client := commander.NewClient(commander.Options{})
	defer func() { _ = client.Close() }()
	agent := client.Agent(server.Listener.Addr().String())
	for _, task := range []string{"a", "b", "c"} {
		if err := agent.Start(t.Context(), commander.Start{ID: runOf(task), Fence: 1, Lease: lease}); err != nil {
			t.Fatal(err)
		}
	}
	for _, step := range []struct {
		name   string
		renew  []string
		before func()
		want   []string
	}{
		{"whole set", []string{"a", "b", "c"}, nil, []string{"a", "b", "c"}},
		{"unchanged set", []string{"a", "b", "c"}, nil, []string{"a", "b", "c"}},
		{"one dropped", []string{"a", "b"}, nil, []string{"a", "b"}},
		{"worker lost the set in a restart", []string{"a", "b"}, restart, []string{"a", "b"}},
		{"response lost", []string{"a", "b"}, func() { fake.SetFaults(Faults{LoseAnswers: 1}) }, []string{"a", "b"}},
		{"added run has lapsed", []string{"a", "b", "c"}, nil, []string{"a", "b"}},
	} {
		t.Run(step.name, func(t *testing.T) {
			if step.before != nil {
				step.before()
			}
			var ids []commander.RunID
			for _, task := range step.renew {
				ids = append(ids, runOf(task))
			}
			elapsed.Add(int64(pause))
			// With a lost response the call fails although the renewal has taken effect.
			_, _ = agent.Renew(t.Context(), commander.Renewal{Fence: 1, IDs: ids, Lease: lease})
			elapsed.Add(int64(pause))
			assertRunning(t, fake, step.want)
		})
	}
}

func runOf(task string) commander.RunID { return commander.RunID{Task: task, Run: 1} }

func assertRunning(t *testing.T, fake *Fake, want []string) {
	t.Helper()
	report, err := fake.Report(t.Context(), 1)
	if err != nil {
		t.Fatal(err)
	}
	var running []string
	for _, run := range report.Runs {
		if run.State == commander.RunRunning {
			running = append(running, run.ID.Task)
		}
	}
	slices.Sort(running)
	if !slices.Equal(running, want) {
		t.Errorf("running %v, want %v", running, want)
	}
}
