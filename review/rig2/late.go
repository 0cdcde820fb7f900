package rig2

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Delays of an order that is carried out late.
const (
	leastOrderDelay = 2 * time.Second
	mostOrderDelay  = 12 * time.Second
)

// LateOrders make runners leave orders unanswered and carry them out late.
type LateOrders struct {
	mu    sync.Mutex
	share float64
	until time.Time
}

// Begin makes a share of the orders late until a time.
func (l *LateOrders) Begin(share float64, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.share, l.until = share, until
}

func (l *LateOrders) isLate(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.until) && rand.Float64() < l.share
}

// handler returns the handler of a runner's API, which answers nothing while the runner is
// cut off, and delays orders. A late order has reached the runner before, and is carried out
// by whatever life of it is there then.
func (l *LateOrders) handler(r *Runner) http.Handler {
	runner := limitEnds(r.Runner, r.isCutOff)
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if r.isCutOff() {
			<-req.Context().Done()
			return
		}
		isOrder := strings.HasPrefix(req.URL.Path, "/kumquatstack/run-") || strings.HasSuffix(req.URL.Path, "/pace")
		if !isOrder || !l.isLate(time.Now()) {
			runner.ServeHTTP(w, req)
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		late := req.Clone(req.Context())
		late.Body = io.NopCloser(bytes.NewReader(body))
		time.AfterFunc(leastOrderDelay+rand.N(mostOrderDelay-leastOrderDelay), func() {
			if up, _ := r.isUp(); up {
				r.ServeHTTP(&discard{header: make(http.Header)}, late)
			}
		})
		<-req.Context().Done()
	})
}
