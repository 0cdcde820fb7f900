package daemon

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
)

// TestLeavingDaemonClosesConnectionsAfterResponse guards against a leaving daemon that closes idle
// connections, which would cut off requests that are just arriving.
func TestLeavingDaemonClosesConnectionsAfterResponse(t *testing.T) {
	var leaving atomic.Bool
	server := httptest.NewServer(closeWhenLeaving(&leaving, http.NotFoundHandler()))
	defer server.Close()
	for _, isLeaving := range []bool{false, true} {
		leaving.Store(isLeaving)
		resp, err := http.Get(server.URL)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.Close != isLeaving {
			t.Errorf("leaving %t: connection ends %t", isLeaving, resp.Close)
		}
	}
}
