package runner

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/standin/judge"
)

// serve starts a runner that listens on loopback.
func serve(t *testing.T, options Options) (*Runner, string) {
	t.Helper()
	runner := New(options)
	server := httptest.NewUnstartedServer(runner)
	runner.Prepare(server.Config)
	server.Start()
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return runner, server.URL
}

// send sends one request on a connection of its own and returns the body and status of the
// response.
func send(ctx context.Context, url, id, body string, service time.Duration) (string, int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return "", 0, err
	}
	request.Close = true
	request.Header.Set(HeaderRequest, id)
	request.Header.Set(HeaderServiceMicros, strconv.FormatInt(service.Microseconds(), 10))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", 0, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return string(content), response.StatusCode, err
}

func assertRules(t *testing.T, runner *Runner, want ...judge.Rule) {
	t.Helper()
	breaches := runner.Breaches()
	if len(breaches) != len(want) {
		t.Fatalf("breaches %v, want %v", breaches, want)
	}
	for i, breach := range breaches {
		if breach.Rule != want[i] {
			t.Fatalf("breach %v, want %v", breach, want[i])
		}
	}
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("not seen in time: %s", what)
}

// occupy sends requests that run until the returned function is called.
func occupy(t *testing.T, runner *Runner, url string, requests int) (release func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	for range requests {
		group.Go(func() { _, _, _ = send(ctx, url, "", "x", time.Hour) })
	}
	eventually(t, "all requests are in flight", func() bool { return runner.Counts().InFlight == requests })
	return func() {
		cancel()
		group.Wait()
	}
}

func TestRunnerCapacity(t *testing.T) {
	t.Run("the ninth request in eight slots is a breach", func(t *testing.T) {
		runner, url := serve(t, Options{Name: "r", Slots: 8, Connections: 64})
		release := occupy(t, runner, url, 8)
		assertRules(t, runner)
		_, _, err := send(t.Context(), url, "ninth", "x", 0)
		if err != nil {
			t.Fatal(err)
		}
		assertRules(t, runner, judge.RuleSlotsExceeded)
		release()
	})
	t.Run("a connection beyond the limit is a breach", func(t *testing.T) {
		runner, url := serve(t, Options{Name: "r", Slots: 8, Connections: 2})
		release := occupy(t, runner, url, 3)
		assertRules(t, runner, judge.RuleTooManyConnections)
		release()
	})
	t.Run("a request is cancelled when its connection closes", func(t *testing.T) {
		runner, url := serve(t, Options{Name: "r", Slots: 8, Connections: 64})
		occupy(t, runner, url, 3)()
		eventually(t, "all slots are free", func() bool { return runner.Counts().InFlight == 0 })
		if counts := runner.Counts(); counts.Cancelled != 3 || counts.Executed != 0 {
			t.Fatalf("counts %+v, want 3 cancelled and none executed", counts)
		}
	})
}

func TestRunnerAnswers(t *testing.T) {
	cases := []struct {
		name   string
		faults Faults
		body   string
		status int
		fails  bool
		runs   int
	}{
		{"echoes the body", Faults{}, "hello", http.StatusOK, false, 1},
		{"echoes an empty body", Faults{}, "", http.StatusOK, false, 1},
		{"fails at once", Faults{FailPercent: 100}, "hello", http.StatusServiceUnavailable, false, 0},
		{"closes the connection after running", Faults{ClosePercent: 100}, "hello", 0, true, 1},
		{"cuts off the response half-way", Faults{TruncatePercent: 100}, "hello", http.StatusOK, true, 1},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			runner, url := serve(t, Options{Name: "r", Slots: 8, Connections: 64})
			runner.SetFaults(each.faults)
			body, status, err := send(t.Context(), url, "id", each.body, 0)
			if (err != nil) != each.fails || status != each.status {
				t.Fatalf("status %d, error %v", status, err)
			}
			if status == http.StatusOK && !each.fails && body != each.body {
				t.Fatalf("body %q, want that of the request", body)
			}
			if runs := runner.Executions()["id"]; runs != each.runs {
				t.Fatalf("ran %d times, want %d", runs, each.runs)
			}
		})
	}
}

func TestRunnerServiceTime(t *testing.T) {
	runner := New(Options{Mean: 50 * time.Millisecond, Sigma: 0.8, Seed: 7})
	const draws = 100_000
	var sum time.Duration
	for range draws {
		sum += runner.serviceTime()
	}
	if mean := sum / draws; mean < 48*time.Millisecond || mean > 52*time.Millisecond {
		t.Fatalf("mean %s, want about 50 ms", mean)
	}
}
