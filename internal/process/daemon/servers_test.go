package daemon

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
)

func TestLeavingEndsConnectionsWithAnAnswer(t *testing.T) {
	var leaving atomic.Bool
	server := httptest.NewServer(endConnections(&leaving, http.NotFoundHandler()))
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
