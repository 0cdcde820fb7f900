package router

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/request/answerer"
)

// TestRouterHedges makes one runner of two hang after both were quick.
func TestRouterHedges(t *testing.T) {
	var hangs atomic.Bool
	healthy := newFakeRunner(t, "charm-1", echo)
	sick := newFakeRunner(t, "charm-2", func(w http.ResponseWriter, r *http.Request) {
		echo(w, r)
		if hangs.Load() {
			<-r.Context().Done()
		}
	})
	d := newCluster(t, []string{"atl-a-1"}, healthy, sick).daemons[0]
	served := func() int64 { return healthy.served.Load() + sick.served.Load() }
	send := func(times int, path string, fields ...string) (whole int) {
		for number := range times {
			if len(fields) > 2 {
				fields[3] = strconv.Itoa(number)
			}
			if got := call(t, d, http.MethodPost, path, "print", fields...); got.err == nil && got.status == http.StatusOK {
				whole++
			}
		}
		return whole
	}
	if whole := send(200, "/charms/proofs"); whole != 200 {
		t.Fatalf("%d of 200 whole", whole)
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
	if whole := send(6, "/charms/proofs"); whole != 6 {
		t.Errorf("%d of 6 idempotent requests whole", whole)
	}
	if d.router.Counters()["retried"] == 0 {
		t.Error("no second attempt was made")
	}
	for range 500 {
		if sick.now.Load() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("%d requests are still at the sick runner", sick.now.Load())
}
