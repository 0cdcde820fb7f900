package rig3

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/kumquatstack/kumquatstack/platform/standin"
)

// commitPath is the path of the store's transactions.
const commitPath = "/kumquatstack/kv-txn"

// valueBytes is the largest size of a value (ValueBytes).
const valueBytes = 1 << 20

// LateWrites is how answers of the store are lost: a share of the transactions is carried out
// late and not answered.
type LateWrites struct {
	Share             float64
	Shortest, Longest time.Duration // from the arrival of a call until it is carried out
}

// A Store is the project's stand-in of the platform's store, some of whose answers may be lost.
type Store struct {
	*standin.Store

	record *Record
	mu     sync.Mutex
	random *rand.Rand
	late   *LateWrites // nil while all calls are answered
}

// NewStore returns an empty store.
func NewStore(record *Record, seed uint64) *Store {
	return &Store{Store: standin.NewStore(), record: record, random: rand.New(rand.NewPCG(seed, seed))}
}

// SetLateWrites begins the loss of answers, or ends it if late is nil.
func (s *Store) SetLateWrites(late *LateWrites) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late = late
}

// delay returns after which time a transaction is to be carried out, without an answer.
func (s *Store) delay() (delay time.Duration, isLost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.late == nil || s.random.Float64() >= s.late.Share {
		return 0, false
	}
	return s.late.Shortest + time.Duration(s.random.Int64N(int64(s.late.Longest-s.late.Shortest)+1)), true
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != commitPath {
		s.Store.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if key, size := tooLarge(body); size > 0 {
		s.record.Note("store: refuses a transaction, the value of %s has %d bytes", key, size)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	delay, isLost := s.delay()
	if !isLost {
		s.Store.ServeHTTP(w, r)
		return
	}
	what := keysOf(body)
	s.record.Note("store: call %s gets no answer and is carried out %.1f s later", what, delay.Seconds())
	time.AfterFunc(delay, func() { s.carryOut(body, what) })
	<-r.Context().Done()
}

// tooLarge returns the key and the size of a value in a transaction that is larger than the store
// takes, or zero.
func tooLarge(body []byte) (key string, size int) {
	var transaction struct {
		Writes []struct {
			Key   string
			Value []byte
		}
	}
	if json.Unmarshal(body, &transaction) != nil {
		return "", 0 // the store refuses it
	}
	for _, write := range transaction.Writes {
		if len(write.Value) > valueBytes {
			return write.Key, len(write.Value)
		}
	}
	return "", 0
}

// carryOut carries out a transaction whose caller has given up.
func (s *Store) carryOut(body []byte, what string) {
	request, err := http.NewRequest(http.MethodPost, commitPath, bytes.NewReader(body))
	if err != nil {
		s.record.Note("store: late call %s is lost: %v", what, err)
		return
	}
	answer := &statusWriter{header: make(http.Header), status: http.StatusOK}
	s.Store.ServeHTTP(answer, request)
	s.record.Note("store: late call %s is carried out with status %d", what, answer.status)
}

// keysOf names the kind of key that a transaction is about, as far as the record needs it.
func keysOf(body []byte) string {
	const work = "kumquat/work/"
	i := bytes.Index(body, []byte(work))
	if i < 0 {
		return "(other)"
	}
	key, _, _ := strings.Cut(string(body[i:]), `"`)
	return key
}

// A statusWriter keeps the status of a response and drops its body.
type statusWriter struct {
	header http.Header
	status int
}

// Header implements http.ResponseWriter.
func (w *statusWriter) Header() http.Header { return w.header }

// Write implements http.ResponseWriter.
func (w *statusWriter) Write(data []byte) (int, error) { return len(data), nil }

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) { w.status = status }
