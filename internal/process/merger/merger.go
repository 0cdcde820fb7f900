// Package merger merges the recorded events of several daemons into one timeline.
package merger

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

const (
	// answerTimeout is the timeout of the call to one daemon.
	answerTimeout = 2 * time.Second
	// defaultLimit is the maximum number of events in a timeline if the request sets none.
	defaultLimit = 1000
)

// A Source is a daemon whose events are merged.
type Source struct {
	Daemon string
	// Events calls the daemon for its events.
	Events func(ctx context.Context, req *kumquatv1.EventsRequest) (*kumquatv1.EventsResponse, error)
}

// Merge fetches the events of all sources concurrently and orders them by the reading of the hybrid
// logical clock in each event. Daemons that don't answer are listed as missing.
func Merge(ctx context.Context, sources []Source, req *kumquatv1.TimelineRequest) *kumquatv1.TimelineResponse {
	answers := make([]*kumquatv1.EventsResponse, len(sources))
	var group sync.WaitGroup
	for i, source := range sources {
		group.Go(func() { answers[i] = fetchEvents(ctx, source, req) })
	}
	group.Wait()

	merged := &kumquatv1.TimelineResponse{}
	for i, answer := range answers {
		if answer == nil {
			merged.Missing = append(merged.Missing, sources[i].Daemon)
			continue
		}
		merged.Events = append(merged.Events, answer.Events...)
	}
	slices.Sort(merged.Missing)
	slices.SortStableFunc(merged.Events, compare)
	merged.Events = truncate(merged.Events, req)
	return merged
}

// fetchEvents returns the events of a source, or nil if it fails or doesn't answer in time.
func fetchEvents(ctx context.Context, source Source, req *kumquatv1.TimelineRequest) *kumquatv1.EventsResponse {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	answer, err := source.Events(ctx, &kumquatv1.EventsRequest{
		SinceClock: req.SinceClock,
		Limit:      req.Limit,
		Filter:     req.Filter,
	})
	if err != nil {
		return nil
	}
	return answer
}

// compare orders events by clock, and events of equal clocks by daemon.
func compare(a, b *kumquatv1.Event) int {
	return cmp.Or(cmp.Compare(a.Clock, b.Clock), cmp.Compare(a.Daemon, b.Daemon))
}

// truncate cuts the events down to the requested limit. It keeps the oldest events if the request
// gives the clock reading to start from (SinceClock), else the newest.
func truncate(events []*kumquatv1.Event, req *kumquatv1.TimelineRequest) []*kumquatv1.Event {
	limit := int(req.Limit)
	if limit <= 0 {
		limit = defaultLimit
	}
	if len(events) <= limit {
		return events
	}
	if req.SinceClock > 0 {
		return events[:limit]
	}
	return events[len(events)-limit:]
}
