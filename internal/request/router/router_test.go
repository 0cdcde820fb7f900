package router

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/process/slotter"
	"github.com/kumquatstack/kumquatstack/internal/request/answerer"
)

var inTime = []string{answerer.HeaderDeadline, "2000"}

func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	_, _ = io.WriteString(w, r.Method+" "+r.URL.Path+" "+string(body))
}

func TestRouterAnswers(t *testing.T) {
	runner := newFakeRunner(t, "charm-1", echo)
	c := newCluster(t, []string{"atl-a-1", "atl-a-2"}, runner)
	for _, d := range c.daemons {
		t.Run("through "+d.name, func(t *testing.T) {
			got := call(t, d, http.MethodPost, "/charms/7", "print", inTime...)
			assertReply(t, got, http.StatusOK, answerer.OutcomeAnswered)
			if want := "POST /charms/7 print"; got.body != want {
				t.Errorf("body = %q, want %q", got.body, want)
			}
		})
		t.Run("long body through "+d.name, func(t *testing.T) {
			body := strings.Repeat("p", 200<<10)
			got := call(t, d, http.MethodPost, "/charms/7", body, inTime...)
			assertReply(t, got, http.StatusOK, answerer.OutcomeAnswered)
			if len(got.body) != len(body)+len("POST /charms/7 ") {
				t.Errorf("answer of %d bytes, want the whole body", len(got.body))
			}
		})
	}
}

func assertReply(t *testing.T, got reply, status int, outcome answerer.Outcome) {
	t.Helper()
	if got.err != nil {
		t.Fatalf("response could not be read: %v", got.err)
	}
	if got.status != status || got.outcome() != outcome {
		t.Errorf("answer = %d, %q, %s; want %d, %q", got.status, got.outcome(), got.body, status, outcome)
	}
}

func TestRouterRefusesBadInput(t *testing.T) {
	runner := newFakeRunner(t, "charm-1", echo)
	c := newCluster(t, []string{"atl-a-1"}, runner)
	long := strings.Repeat("x", 300<<10)
	for name, test := range map[string]struct {
		method, path, body string
		fields             []string
		status             int
		event              recorder.Number
	}{
		"unknown route":      {"GET", "/trays", "", inTime, 404, EventUnknownRoute},
		"missing deadline":   {"POST", "/charms/1", "", nil, 400, EventDeadlineMissing},
		"malformed deadline": {"POST", "/charms/1", "", []string{answerer.HeaderDeadline, "soon"}, 400, EventDeadlineMalformed},
		"endless deadline":   {"POST", "/charms/1", "", []string{answerer.HeaderDeadline, "600001"}, 400, EventDeadlineMalformed},
		"two deadlines":      {"POST", "/charms/1", "", append(inTime[:2:2], inTime...), 400, EventDeadlineMalformed},
		"missing key":        {"POST", "/charms/keyed", "", nil, 400, EventKeyMissing},
		"empty key":          {"POST", "/charms/keyed", "", []string{answerer.HeaderIdempotencyKey, ""}, 400, EventKeyMalformed},
		"long key":           {"POST", "/charms/keyed", "", []string{answerer.HeaderIdempotencyKey, long[:256]}, 400, EventKeyMalformed},
		"oversized header":   {"POST", "/charms/1", "", append(inTime[:2:2], "X-Long", long[:40<<10]), 431, EventHeaderTooLarge},
		"oversized body":     {"POST", "/charms/1", long, inTime, 413, EventBodyTooLarge},
		"protocol upgrade":   {"GET", "/charms/1", "", append(inTime[:2:2], "Connection", "Upgrade", "Upgrade", "websocket"), 501, EventMethodUnsupported},
	} {
		t.Run(name, func(t *testing.T) {
			got := call(t, c.daemons[0], test.method, test.path, test.body, test.fields...)
			assertReply(t, got, test.status, answerer.OutcomeNotRun)
			if event := got.header.Get(answerer.HeaderEvent); event != strconv.Itoa(int(test.event)) {
				t.Errorf("event = %s, want %d", event, test.event)
			}
		})
	}
	if served := runner.served.Load(); served != 0 {
		t.Errorf("%d bad requests were sent to the runner", served)
	}
}

func TestRouterWithoutDeclarations(t *testing.T) {
	runner := newFakeRunner(t, "charm-1", echo)
	c := newCluster(t, []string{"atl-a-1"}, runner)
	c.version = nil
	got := call(t, c.daemons[0], http.MethodPost, "/charms/7", "print", inTime...)
	assertReply(t, got, http.StatusServiceUnavailable, answerer.OutcomeNotRun)
}

func TestRouterNeverExceedsSlots(t *testing.T) {
	slow := func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(5 * time.Millisecond)
		_, _ = io.WriteString(w, "done")
	}
	runners := []*fakeRunner{newFakeRunner(t, "charm-1", slow), newFakeRunner(t, "charm-2", slow)}
	c := newCluster(t, []string{"atl-a-1", "atl-a-2"}, runners...)
	var answered atomic.Int64
	var callers sync.WaitGroup
	for i := range 60 {
		callers.Go(func() {
			got := call(t, c.daemons[i%2], http.MethodPost, "/charms/7", "print", inTime...)
			if got.status == http.StatusOK {
				answered.Add(1)
			}
		})
	}
	callers.Wait()
	var served int64
	for _, runner := range runners {
		served += runner.served.Load()
		if most := runner.maxInFlight.Load(); most > testSlots {
			t.Errorf("%s held %d requests, has %d slots", runner.name, most, testSlots)
		}
	}
	if answered.Load() != 60 || served != 60 {
		t.Errorf("%d of 60 requests answered, %d sent to runners", answered.Load(), served)
	}
}

// Guards against truncated responses that look complete to the caller: the runner
// closes its connection in the middle of a response body.
func TestRouterAbortsTruncatedResponses(t *testing.T) {
	const longBytes = 1 << 20
	for _, answer := range []struct {
		name, length string
		body         string
	}{
		{"short", "100", "half"},
		{"long in chunks", "", strings.Repeat("x", longBytes)},
	} {
		runner := newFakeRunner(t, "charm-1", func(w http.ResponseWriter, _ *http.Request) {
			if answer.length != "" {
				w.Header().Set("Content-Length", answer.length)
			}
			_, _ = io.WriteString(w, answer.body)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		})
		c := newCluster(t, []string{"atl-a-1", "atl-a-2"}, runner)
		for _, d := range c.daemons {
			t.Run(answer.name+" through "+d.name, func(t *testing.T) {
				got := call(t, d, http.MethodPost, "/charms/7", "print", inTime...)
				if got.err == nil && got.outcome() != answerer.OutcomeUnknown {
					t.Errorf("truncated response looks complete: %d, %d bytes", got.status, len(got.body))
				}
			})
		}
	}
}

func TestRouterTellsTheOutcome(t *testing.T) {
	t.Run("unknown if the runner closes the connection", func(t *testing.T) {
		runner := newFakeRunner(t, "charm-1", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		c := newCluster(t, []string{"atl-a-1", "atl-a-2"}, runner)
		for i, d := range c.daemons {
			got := call(t, d, http.MethodPost, "/charms/7", "print", inTime...)
			assertReply(t, got, http.StatusBadGateway, answerer.OutcomeUnknown)
			if served := runner.served.Load(); served != int64(i+1) {
				t.Errorf("sent %d times after %d requests, want once each", served, i+1)
			}
		}
	})
	t.Run("not run if no runner can be reached", func(t *testing.T) {
		runner := newFakeRunner(t, "charm-1", echo)
		runner.Close()
		c := newCluster(t, []string{"atl-a-1"}, runner)
		got := call(t, c.daemons[0], http.MethodPost, "/charms/7", "print", answerer.HeaderDeadline, "300")
		if got.outcome() != answerer.OutcomeNotRun || got.header.Get("Retry-After") == "" {
			t.Errorf("answer = %+v, want outcome notRun and Retry-After", got)
		}
	})
	t.Run("not run if the deadline passes in the queue", func(t *testing.T) {
		release := make(chan struct{})
		runner := newFakeRunner(t, "charm-1", func(http.ResponseWriter, *http.Request) { <-release })
		c := newCluster(t, []string{"atl-a-1"}, runner)
		var callers sync.WaitGroup
		for range testSlots {
			callers.Go(func() { call(t, c.daemons[0], http.MethodPost, "/charms/7", "print", inTime...) })
		}
		for runner.inFlight.Load() < testSlots {
			time.Sleep(time.Millisecond)
		}
		got := call(t, c.daemons[0], http.MethodPost, "/charms/7", "print", answerer.HeaderDeadline, "100")
		if got.outcome() != answerer.OutcomeNotRun || runner.served.Load() != testSlots {
			t.Errorf("answer = %+v after %d requests were sent to the runner, want outcome notRun", got, runner.served.Load())
		}
		close(release)
		callers.Wait()
	})
}

func TestRouterRetriesIdempotentRequests(t *testing.T) {
	broken := newFakeRunner(t, "charm-1", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	sound := newFakeRunner(t, "charm-2", echo)
	c := newCluster(t, []string{"atl-a-1"}, broken, sound)
	d := c.daemons[0]
	for range 10 * maxAttempts {
		d.router.budgets.Earn("charms", 10)
	}
	for range 4 {
		got := call(t, d, http.MethodPost, "/charms/proofs/1", "proof")
		assertReply(t, got, http.StatusOK, answerer.OutcomeAnswered)
	}
	if d.router.counters.retried.Load() == 0 {
		t.Error("nothing was retried")
	}
}

func TestRouterCancelsAtTheRunner(t *testing.T) {
	cancelled := make(chan struct{})
	runner := newFakeRunner(t, "charm-1", func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(cancelled)
	})
	c := newCluster(t, []string{"atl-a-1", "atl-a-2"}, runner)
	call(t, c.daemons[1], http.MethodPost, "/charms/7", "", answerer.HeaderDeadline, "50")
	select {
	case <-cancelled:
	case <-time.After(5 * time.Second):
		t.Error("the request was not cancelled at the runner")
	}
}

// Guards against requests that are lost in a former owner's queue: a request waits
// there for a slot when the runner's partition moves to another daemon.
func TestRouterServesQueuedRequestsAfterATakeover(t *testing.T) {
	release := make(chan struct{})
	runner := newFakeRunner(t, "charm-1", func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Hold") != "" {
			<-release
		}
		_, _ = io.WriteString(w, "done")
	})
	c := newCluster(t, []string{"atl-a-1", "atl-a-2"}, runner)
	former, newOwner := c.daemons[0], c.daemons[1]
	var callers sync.WaitGroup
	for range testSlots {
		callers.Go(func() { call(t, former, http.MethodPost, "/charms/7", "", append(inTime, "Hold", "yes")...) })
	}
	for runner.inFlight.Load() < testSlots {
		time.Sleep(time.Millisecond)
	}
	callers.Go(func() {
		got := call(t, former, http.MethodPost, "/charms/7", "print", inTime...)
		assertReply(t, got, http.StatusOK, answerer.OutcomeAnswered)
	})
	for former.slots.Load("charms", time.Now()).Queued == 0 {
		time.Sleep(time.Millisecond)
	}
	c.ownership.give(newOwner.name, slotter.PartitionOf(runner.host()))
	close(release)
	c.introduce()
	callers.Wait()
}
