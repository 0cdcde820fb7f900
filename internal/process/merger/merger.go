// Package merger merges the recorded events of several daemons into one time
// line.
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
	// answerTimeout bounds the wait for one daemon.
	answerTimeout = 2 * time.Second
	// defaultLimit bounds a time line that was asked for without a limit.
	defaultLimit = 1000
)

// A Source is a daemon whose events are merged.
type Source struct {
	Daemon string
	// Events asks the daemon.
	Events func(ctx context.Context, req *kumquatv1.EventsRequest) (*kumquatv1.EventsResponse, error)
}

// Merge asks all sources at once and merges their events by clock. Daemons
// that don't answer are named as missing.
func Merge(ctx context.Context, sources []Source, req *kumquatv1.TimelineRequest) *kumquatv1.TimelineResponse {
	answers := make([]*kumquatv1.EventsResponse, len(sources))
	var group sync.WaitGroup
	for i, source := range sources {
		group.Go(func() { answers[i] = ask(ctx, source, req) })
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
	merged.Events = bound(merged.Events, req)
	return merged
}

// ask returns nil if the source doesn't answer in time.
func ask(ctx context.Context, source Source, req *kumquatv1.TimelineRequest) *kumquatv1.EventsResponse {
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

// compare orders events by clock, and equal clocks by daemon.
func compare(a, b *kumquatv1.Event) int {
	return cmp.Or(cmp.Compare(a.Clock, b.Clock), cmp.Compare(a.Daemon, b.Daemon))
}

// bound keeps the oldest events after a given clock, or the newest of all.
func bound(events []*kumquatv1.Event, req *kumquatv1.TimelineRequest) []*kumquatv1.Event {
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
