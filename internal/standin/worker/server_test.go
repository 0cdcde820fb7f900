package worker

import (
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/commander"
	"github.com/kumquatstack/kumquatstack/internal/errs"
)

// newAgent returns an agent that calls a fake worker over loopback HTTP.
func newAgent(t *testing.T) (commander.Agent, *Fake) {
	t.Helper()
	fake := NewFake(Options{Name: "w", Capacity: capacity})
	server := httptest.NewServer(NewHandler(fake))
	client := commander.NewClient(commander.Options{CallTimeout: 500 * time.Millisecond})
	t.Cleanup(func() {
		_ = client.Close()
		server.CloseClientConnections()
		server.Close()
	})
	return client.Agent(strings.TrimPrefix(server.URL, "http://")), fake
}

func assertOK(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func TestAgentOverHTTP(t *testing.T) {
	agent, fake := newAgent(t)
	id := commander.RunID{Task: "a", Run: 1}
	assertOK(t, agent.Start(t.Context(), start("a", 1, 4, time.Hour)))
	assertState(t, fake.Worker, fake.Now(), commander.RunRunning)
	renewed, err := agent.Renew(t.Context(), commander.Renewal{Fence: 1, IDs: []commander.RunID{id, {Task: "b", Run: 2}}, Lease: time.Minute})
	assertOK(t, err)
	if len(renewed.Unknown) != 1 || renewed.Unknown[0].Task != "b" {
		t.Fatalf("renewal %+v, want only the run of b as unknown", renewed)
	}
	assertOK(t, agent.Throttle(t.Context(), 1, id, 50))
	usages, err := agent.Usage(t.Context())
	assertOK(t, err)
	if len(usages) != 1 || usages[0].SpeedPercent != 50 {
		t.Fatalf("usages %+v, want one with half the speed", usages)
	}
	checkpoint, err := agent.Checkpoint(t.Context(), 1, id)
	assertOK(t, err)
	assertOK(t, agent.Stop(t.Context(), 2, id))
	report, err := agent.Report(t.Context(), 2)
	assertOK(t, err)
	if len(report.Runs) != 1 || report.Runs[0].Checkpoint != checkpoint || report.Runs[0].State != commander.RunStopped {
		t.Fatalf("report %+v, want the stopped run with its checkpoint", report)
	}
	renewed, err = agent.Renew(t.Context(), commander.Renewal{Fence: 2, IDs: []commander.RunID{id}, Lease: time.Minute})
	assertOK(t, err)
	if len(renewed.Ended) != 1 || renewed.Ended[0].ID != id || renewed.Ended[0].State != commander.RunStopped {
		t.Fatalf("renewal %+v, want the stopped run", renewed)
	}
	_, err = agent.Renew(t.Context(), commander.Renewal{Fence: 2, Lease: time.Minute, Forget: []commander.RunID{id}})
	assertOK(t, err)
	if report, err = agent.Report(t.Context(), 2); err != nil || len(report.Runs) != 0 {
		t.Fatalf("report %+v, %v, want no run", report, err)
	}
	t.Run("a lower fencing token is refused", func(t *testing.T) {
		if err := agent.Stop(t.Context(), 1, id); !errors.Is(err, errs.ErrFenced) {
			t.Fatalf("error %v, want fenced", err)
		}
	})
	t.Run("an unknown run is not found", func(t *testing.T) {
		if _, err := agent.Checkpoint(t.Context(), 2, id); !errors.Is(err, errs.ErrNotFound) {
			t.Fatalf("error %v, want not found", err)
		}
	})
}

func TestAgentFaultsOverHTTP(t *testing.T) {
	cases := []struct {
		name    string
		faults  Faults
		started int
	}{
		{"lost response", Faults{LoseAnswers: 1}, 1},
		{"unreachable", Faults{Unreachable: true}, 0},
		{"hanging", Faults{Unreachable: true, Hang: true}, 0},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			agent, fake := newAgent(t)
			fake.SetFaults(each.faults)
			err := agent.Start(t.Context(), start("a", 1, 4, 0))
			if err == nil || errors.Is(err, errs.ErrFenced) {
				t.Fatalf("error %v, want a failure", err)
			}
			if records := fake.Records(fake.Now()); len(records) != each.started {
				t.Fatalf("records %v, want %d", records, each.started)
			}
		})
	}
}
