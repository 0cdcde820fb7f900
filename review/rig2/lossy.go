package rig2

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Delays of a write that is carried out late.
const (
	leastDelay = time.Second
	mostDelay  = 6 * time.Second
)

// A LossyStore stands before a store and loses writes: they are carried out later, and get
// no answer.
type LossyStore struct {
	record *Record

	mu    sync.Mutex
	share float64
	until time.Time
	// fates says of the next writes whether they are lost.
	fates []bool
}

// block is the number of writes in a row of which the share is lost, in random order.
const block = 20

// NewLossyStore returns a LossyStore that loses nothing yet.
func NewLossyStore(record *Record) *LossyStore { return &LossyStore{record: record} }

// Lose makes a share of the writes get lost until a time.
func (l *LossyStore) Lose(share float64, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.share, l.until = share, until
}

func (l *LossyStore) isLost(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !now.Before(l.until) {
		return false
	}
	if len(l.fates) == 0 {
		l.fates = make([]bool, block)
		for _, i := range rand.Perm(block)[:int(l.share*block)] {
			l.fates[i] = true
		}
	}
	isLost := l.fates[0]
	l.fates = l.fates[1:]
	return isLost
}

// Handler returns a handler that passes on what is not lost.
func (l *LossyStore) Handler(store http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/kumquatstack/kv-txn" || !l.isLost(time.Now()) {
			store.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		late := r.Clone(r.Context())
		late.Body = io.NopCloser(bytes.NewReader(body))
		delay := leastDelay + rand.N(mostDelay-leastDelay)
		time.AfterFunc(delay, func() { store.ServeHTTP(&discard{header: make(http.Header)}, late) })
		l.record.Printf("a write to the store is lost and carried out after %s", delay.Round(time.Millisecond))
		<-r.Context().Done()
	})
}

// A discard drops a response.
type discard struct{ header http.Header }

// Header implements http.ResponseWriter.
func (d *discard) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (d *discard) Write(data []byte) (int, error) { return len(data), nil }

// WriteHeader implements http.ResponseWriter.
func (d *discard) WriteHeader(int) {}
