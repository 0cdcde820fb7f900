package tails

import (
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/kumquatstack/kumquatstack/internal/harness"
)

// An outcome is how a request ended for its caller.
type outcome int

const (
	outcomeAnswered outcome = iota
	// outcomeLate is a complete answer after the deadline.
	outcomeLate
	// outcomeFailed is a failure of the runner that was passed on to the caller.
	outcomeFailed
	// outcomeNotRun and outcomeUnknown are the outcomes that a daemon states.
	outcomeNotRun
	outcomeUnknown
	// outcomeNone is a call without a complete answer.
	outcomeNone
	outcomeCount
)

// outcomeNames are the headings of the report's columns for the outcomes.
var outcomeNames = [outcomeCount]string{"answered", "late", "failed", "not run", "unknown", "none"}

// A sample is the latency and outcome of one request at its caller.
type sample struct {
	arrival
	sentAt  time.Time
	latency time.Duration
	outcome outcome
}

// outcomeOf returns the outcome of an answer.
func outcomeOf(answer harness.Answer, latency time.Duration) outcome {
	switch {
	case answer.Err != nil:
		return outcomeNone
	case answer.Status == http.StatusOK && latency <= deadline:
		return outcomeAnswered
	case answer.Status == http.StatusOK:
		return outcomeLate
	case answer.Outcome == harness.OutcomeNotRun:
		return outcomeNotRun
	case answer.Outcome == harness.OutcomeUnknown:
		return outcomeUnknown
	default:
		return outcomeFailed
	}
}

// A window is a part of a trace: the requests that are due at or after from and
// before to.
type window struct{ from, to time.Duration }

// A tally counts the outcomes and latencies of one strategy in one window.
type tally struct {
	latencies *hdrhistogram.Histogram // of complete answers, in microseconds
	counts    [outcomeCount]int
}

func newTally() *tally {
	const digits = 3
	return &tally{latencies: hdrhistogram.New(1, time.Minute.Microseconds(), digits)}
}

// add adds those samples that are due within a window.
func (t *tally) add(samples []sample, within window) {
	for _, s := range samples {
		if s.due < within.from || s.due >= within.to {
			continue
		}
		t.counts[s.outcome]++
		if s.outcome <= outcomeLate {
			// Calls end long before the largest value of the histogram.
			_ = t.latencies.RecordValue(s.latency.Microseconds())
		}
	}
}

// quantile returns a quantile of the latency of complete answers.
func (t *tally) quantile(percent float64) time.Duration {
	return time.Duration(t.latencies.ValueAtQuantile(percent)) * time.Microsecond
}

// ratio returns the ratio of a latency quantile to the same quantile of the bound,
// which is the tally of the perfect queue.
func (t *tally) ratio(bound *tally, percent float64) float64 {
	return t.quantile(percent).Seconds() / bound.quantile(percent).Seconds()
}
