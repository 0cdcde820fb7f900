package router

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/claimkeeper"
	"github.com/kumquatstack/kumquatstack/internal/request/answerer"
)

func withKey(key string) []string {
	return []string{answerer.HeaderIdempotencyKey, key, answerer.HeaderDeadline, "2000"}
}

func TestKeyRunsOnce(t *testing.T) {
	slow := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(30 * time.Millisecond)
		echo(w, r)
	}
	runner := newFakeRunner(t, "charm-1", slow)
	c := newCluster(t, []string{"atl-a-1", "atl-a-2"}, runner)

	t.Run("concurrently through both daemons", func(t *testing.T) {
		before := runner.served.Load()
		var callers sync.WaitGroup
		replies := make([]reply, 8)
		for i := range replies {
			callers.Go(func() {
				replies[i] = call(t, c.daemons[i%2], http.MethodPost, "/charms/keyed/1", "print", withKey("concurrent")...)
			})
		}
		callers.Wait()
		for _, got := range replies {
			assertReply(t, got, http.StatusOK, answerer.OutcomeAnswered)
			if got.body != replies[0].body {
				t.Errorf("bodies differ: %q, %q", got.body, replies[0].body)
			}
		}
		if served := runner.served.Load() - before; served != 1 {
			t.Errorf("ran %d times, want 1", served)
		}
	})
	t.Run("with another body is refused", func(t *testing.T) {
		got := call(t, c.daemons[1], http.MethodPost, "/charms/keyed/1", "other", withKey("concurrent")...)
		assertReply(t, got, http.StatusUnprocessableEntity, answerer.OutcomeNotRun)
	})
	t.Run("returns the result after the first caller disconnected", func(t *testing.T) {
		before := runner.served.Load()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.daemons[0].callers.URL+"/charms/keyed/2", strings.NewReader("print"))
		if err != nil {
			t.Fatal(err)
		}
		if got := send(req, withKey("gone")...); got.err == nil {
			t.Fatalf("the caller got a response before it gave up: %+v", got)
		}
		got := call(t, c.daemons[1], http.MethodPost, "/charms/keyed/2", "print", withKey("gone")...)
		assertReply(t, got, http.StatusOK, answerer.OutcomeAnswered)
		if served := runner.served.Load() - before; served > 1 {
			t.Errorf("ran %d times, want at most 1", served)
		}
	})
}

func TestKeyReportsTheOutcome(t *testing.T) {
	t.Run("after a broken exchange", func(t *testing.T) {
		runner := newFakeRunner(t, "charm-1", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		c := newCluster(t, []string{"atl-a-1", "atl-a-2"}, runner)
		got := call(t, c.daemons[0], http.MethodPost, "/charms/keyed/1", "print", withKey("broken")...)
		assertReply(t, got, http.StatusBadGateway, answerer.OutcomeUnknown)
		got = call(t, c.daemons[1], http.MethodPost, "/charms/keyed/1", "print", withKey("broken")...)
		assertReply(t, got, http.StatusConflict, answerer.OutcomeUnknown)
		if served := runner.served.Load(); served != 1 {
			t.Errorf("ran %d times, want 1", served)
		}
	})
	t.Run("when claims can't be made durable", func(t *testing.T) {
		runner := newFakeRunner(t, "charm-1", echo)
		c := newCluster(t, []string{"atl-a-1"}, runner)
		c.daemons[0].journal.broken.Store(true)
		got := call(t, c.daemons[0], http.MethodPost, "/charms/keyed/1", "print", withKey("store is out")...)
		if got.status != http.StatusBadRequest {
			t.Errorf("key with a space: %+v, want status 400", got)
		}
		got = call(t, c.daemons[0], http.MethodPost, "/charms/keyed/1", "print", withKey("store-out")...)
		assertReply(t, got, http.StatusServiceUnavailable, answerer.OutcomeNotRun)
		c.daemons[0].journal.broken.Store(false)
		got = call(t, c.daemons[0], http.MethodPost, "/charms/keyed/1", "print", withKey("store-out")...)
		assertReply(t, got, http.StatusOK, answerer.OutcomeAnswered)
		if served := runner.served.Load(); served != 1 {
			t.Errorf("ran %d times, want 1", served)
		}
	})
	t.Run("when the result is too large to be stored", func(t *testing.T) {
		body := strings.Repeat("p", claimkeeper.MaxResultBytes+1)
		runner := newFakeRunner(t, "charm-1", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) })
		c := newCluster(t, []string{"atl-a-1"}, runner)
		got := call(t, c.daemons[0], http.MethodPost, "/charms/keyed/1", "print", withKey("large")...)
		assertReply(t, got, http.StatusOK, answerer.OutcomeAnswered)
		got = call(t, c.daemons[0], http.MethodPost, "/charms/keyed/1", "print", withKey("large")...)
		assertReply(t, got, http.StatusConflict, answerer.OutcomeAnswered)
		if served := runner.served.Load(); served != 1 {
			t.Errorf("ran %d times, want 1", served)
		}
	})
	t.Run("a request that was not run frees its key", func(t *testing.T) {
		runner := newFakeRunner(t, "charm-1", echo)
		c := newCluster(t, []string{"atl-a-1"}, runner)
		c.ownership.give("nobody", "runners:atl-a:0", "runners:atl-a:1", "runners:atl-a:2", "runners:atl-a:3",
			"runners:atl-a:4", "runners:atl-a:5", "runners:atl-a:6", "runners:atl-a:7")
		got := call(t, c.daemons[0], http.MethodPost, "/charms/keyed/1", "print",
			answerer.HeaderIdempotencyKey, "freed", answerer.HeaderDeadline, "200")
		assertReply(t, got, http.StatusGatewayTimeout, answerer.OutcomeNotRun)
		c.ownership.give("atl-a-1", "runners:atl-a:0", "runners:atl-a:1", "runners:atl-a:2", "runners:atl-a:3",
			"runners:atl-a:4", "runners:atl-a:5", "runners:atl-a:6", "runners:atl-a:7")
		got = call(t, c.daemons[0], http.MethodPost, "/charms/keyed/1", "print", withKey("freed")...)
		assertReply(t, got, http.StatusOK, answerer.OutcomeAnswered)
	})
}
