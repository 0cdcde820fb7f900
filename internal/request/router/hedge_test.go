package router

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/request/answerer"
)

// Guards against requests that wait for a hung runner: after both runners have
// responded quickly for a while, one of the two hangs. Only idempotent requests
// without a key may then be sent to the other runner as well.
func TestRouterHedges(t *testing.T) {
	var hangs atomic.Bool
	healthy := newFakeRunner(t, "charm-1", echo)
	faulty := newFakeRunner(t, "charm-2", func(w http.ResponseWriter, r *http.Request) {
		echo(w, r)
		if hangs.Load() {
			<-r.Context().Done()
		}
	})
	d := newCluster(t, []string{"atl-a-1"}, healthy, faulty).daemons[0]
	served := func() int64 { return healthy.served.Load() + faulty.served.Load() }
	send := func(times int, path string, fields ...string) (complete int) {
		for number := range times {
			if len(fields) > 2 {
				fields[3] = strconv.Itoa(number)
			}
			if got := call(t, d, http.MethodPost, path, "print", fields...); got.err == nil && got.status == http.StatusOK {
				complete++
			}
		}
		return complete
	}
	if complete := send(200, "/charms/proofs"); complete != 200 {
		t.Fatalf("%d of 200 requests got a complete response", complete)
	}
	hangs.Store(true)
	soon := []string{answerer.HeaderDeadline, "300"}
	never := map[string][]string{
		"/charms":        soon,
		"/charms/proofs": append(soon, answerer.HeaderIdempotencyKey, ""),
	}
	for path, fields := range never {
		before := served()
		send(2, path, fields...)
		if got := served() - before; got != 2 {
			t.Errorf("2 requests to %s with %v were sent %d times", path, fields, got)
		}
	}
	if complete := send(6, "/charms/proofs"); complete != 6 {
		t.Errorf("%d of 6 idempotent requests got a complete response", complete)
	}
	if d.router.Counters()["retried"] == 0 {
		t.Error("no second attempt was made")
	}
	for range 500 {
		if faulty.inFlight.Load() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("%d requests are still in flight at the hung runner", faulty.inFlight.Load())
}
