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
	// outcomeLate is a whole answer after the deadline.
	outcomeLate
	// outcomeFailed is a failure of the runner that was passed on.
	outcomeFailed
	outcomeNotRun
	outcomeUnknown
	// outcomeNone is no whole answer.
	outcomeNone
	outcomes
)

// outcomeNames are the columns of the report.
var outcomeNames = [outcomes]string{"answered", "late", "failed", "not run", "unknown", "none"}

// A sample is one request as its caller saw it.
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

// A window is a part of a trace, by the time at which requests are due.
type window struct{ from, to time.Duration }

// A tally sums the requests of one way in one window.
type tally struct {
	latencies *hdrhistogram.Histogram // of whole answers, in microseconds
	counts    [outcomes]int
}

func newTally() *tally {
	const digits = 3
	return &tally{latencies: hdrhistogram.New(1, time.Minute.Microseconds(), digits)}
}

// add takes in the samples of a window.
func (t *tally) add(samples []sample, within window) {
	for _, s := range samples {
		if s.due < within.from || s.due >= within.to {
			continue
		}
		t.counts[s.outcome]++
		if s.outcome <= outcomeLate {
			// Calls end long before the histogram does.
			_ = t.latencies.RecordValue(s.latency.Microseconds())
		}
	}
}

// quantile returns a quantile of the latency of whole answers.
func (t *tally) quantile(percent float64) time.Duration {
	return time.Duration(t.latencies.ValueAtQuantile(percent)) * time.Microsecond
}

// ratio returns how much larger a quantile is than that of the bound.
func (t *tally) ratio(bound *tally, percent float64) float64 {
	return t.quantile(percent).Seconds() / bound.quantile(percent).Seconds()
}
