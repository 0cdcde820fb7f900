package rig2

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
)

// valueBytes is the largest value that the store takes, and endsListed the largest number
// of ends that a runner returns at a time.
const (
	valueBytes = 1 << 20
	endsListed = 500
)

// A ValueLimit stands before a store and refuses transactions with values that are too
// large.
type ValueLimit struct {
	record  *Record
	refused atomic.Int64
}

// NewValueLimit returns a ValueLimit.
func NewValueLimit(record *Record) *ValueLimit { return &ValueLimit{record: record} }

// Refused returns the number of transactions that were refused.
func (l *ValueLimit) Refused() int64 { return l.refused.Load() }

// Handler returns a handler that passes on what is not refused.
func (l *ValueLimit) Handler(store http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/kumquatstack/kv-txn" {
			store.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		var txn struct {
			Writes []struct {
				Key   string
				Value []byte
			}
		}
		if err != nil || json.Unmarshal(body, &txn) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		for _, write := range txn.Writes {
			if len(write.Value) > valueBytes {
				l.refused.Add(1)
				l.record.Printf("the store refuses a transaction of %d writes: the value of %s has %d bytes", len(txn.Writes), write.Key, len(write.Value))
				w.WriteHeader(http.StatusBadRequest)
				return
			}
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		store.ServeHTTP(w, r)
	})
}

// limitEnds returns a handler that shortens the list of ends in the answers of a runner. It
// gives no answer if the runner has been cut off meanwhile.
func limitEnds(runner http.Handler, isCutOff func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasSuffix(r.URL.Path, "/hold") {
			runner.ServeHTTP(w, r)
			return
		}
		answer := httptest.NewRecorder()
		runner.ServeHTTP(answer, r)
		if isCutOff() {
			<-r.Context().Done()
			return
		}
		var body map[string]json.RawMessage
		var ended []json.RawMessage
		if json.Unmarshal(answer.Body.Bytes(), &body) == nil && json.Unmarshal(body["Ended"], &ended) == nil && len(ended) > endsListed {
			if short, err := json.Marshal(ended[:endsListed]); err == nil {
				body["Ended"] = short
			}
			if short, err := json.Marshal(body); err == nil {
				answer.Body = bytes.NewBuffer(short)
			}
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(answer.Code)
		_, _ = w.Write(answer.Body.Bytes()) // fails only if the caller has closed the channel
	})
}
