package tails

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/harness"
)

const (
	// stallExcess is how much longer than in the perfect queue a request has to
	// take to count as stalled.
	stallExcess = 500 * time.Millisecond
	// stallGap is the time without a stalled request after which a further
	// stalled request begins a new stall.
	stallGap = time.Second
	// maxStallEvents is the largest number of log events that are printed for one
	// stall.
	maxStallEvents = 80
)

// A stall is a group of adjacent requests that were answered much later than in the
// perfect queue, or were answered only there.
type stall struct {
	from, to time.Time
	requests int
}

// findStalls returns the stalls of a strategy by comparing its samples of one
// trace with those of the perfect queue.
func findStalls(samples, bound []sample) (stalls []stall) {
	for n, s := range samples {
		isLost := s.outcome > outcomeLate && bound[n].outcome <= outcomeLate
		if !isLost && s.latency < bound[n].latency+stallExcess {
			continue
		}
		if len(stalls) == 0 || s.sentAt.Sub(stalls[len(stalls)-1].to) > stallGap {
			stalls = append(stalls, stall{from: s.sentAt})
		}
		last := &stalls[len(stalls)-1]
		last.requests++
		last.to = s.sentAt.Add(s.latency)
	}
	return stalls
}

// An event is a line of a daemon's log.
type event struct {
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
	at      time.Time
}

// printStall prints a stall and the events that the daemons logged around it.
func printStall(out io.Writer, s stall, cluster []*harness.Daemon) error {
	_, err := fmt.Fprintf(out, "stall of %d requests from %s to %s\n", s.requests, s.from.Format(time.StampMilli), s.to.Format(time.StampMilli))
	if err != nil {
		return err
	}
	var events []event
	for _, daemon := range cluster {
		events = append(events, eventsBetween(daemon.Log(), s.from.Add(-2*stallGap), s.to)...)
	}
	slices.SortFunc(events, func(a, b event) int { return a.at.Compare(b.at) })
	for _, e := range events[:min(len(events), maxStallEvents)] {
		if _, err := fmt.Fprintf(out, "  %s %s %v\n", e.at.Format(time.StampMilli), e.Message, e.Fields); err != nil {
			return err
		}
	}
	return nil
}

// isRequestEvent reports whether the event concerns a single request.
func (e event) isRequestEvent() bool {
	_, hasRequest := e.Fields["request"]
	return hasRequest || strings.HasPrefix(e.Message, "router.")
}

// eventsBetween returns the events of a log between two instants, without those
// that concern a single request.
func eventsBetween(log []byte, from, to time.Time) (events []event) {
	for line := range bytes.Lines(log) {
		var e event
		if json.Unmarshal(line, &e) != nil || e.isRequestEvent() {
			continue
		}
		at, _ := e.Fields["at"].(string)
		var err error
		if e.at, err = time.Parse(time.RFC3339Nano, at); err != nil || e.at.Before(from) || e.at.After(to) {
			continue
		}
		for _, key := range []string{"at", "event", "recordedBy"} {
			delete(e.Fields, key)
		}
		events = append(events, e)
	}
	return events
}
