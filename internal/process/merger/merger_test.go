package merger

import (
	"context"
	"errors"
	"slices"
	"testing"

	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

func source(daemon string, clocks ...uint64) Source {
	return Source{Daemon: daemon, Events: func(context.Context, *kumquatv1.EventsRequest) (*kumquatv1.EventsResponse, error) {
		answer := &kumquatv1.EventsResponse{}
		for _, clock := range clocks {
			answer.Events = append(answer.Events, &kumquatv1.Event{Clock: clock, Daemon: daemon})
		}
		return answer, nil
	}}
}

func TestMerge(t *testing.T) {
	unreachable := Source{Daemon: "sav-a-1", Events: func(context.Context, *kumquatv1.EventsRequest) (*kumquatv1.EventsResponse, error) {
		return nil, errors.New("connection refused")
	}}
	sources := []Source{source("atl-a-2", 1, 4, 5), unreachable, source("atl-a-1", 2, 4)}

	t.Run("ordered by clock, then daemon", func(t *testing.T) {
		assertTimeline(t, sources, &kumquatv1.TimelineRequest{}, 1, 2, 4, 4, 5)
	})
	t.Run("newest without a start", func(t *testing.T) {
		assertTimeline(t, sources, &kumquatv1.TimelineRequest{Limit: 2}, 4, 5)
	})
	t.Run("oldest after a start", func(t *testing.T) {
		assertTimeline(t, sources, &kumquatv1.TimelineRequest{Limit: 2, SinceClock: 1}, 1, 2)
	})
	t.Run("missing daemons are named", func(t *testing.T) {
		merged := Merge(context.Background(), sources, &kumquatv1.TimelineRequest{})
		if !slices.Equal(merged.Missing, []string{"sav-a-1"}) {
			t.Errorf("missing %v", merged.Missing)
		}
	})
}

func assertTimeline(t *testing.T, sources []Source, req *kumquatv1.TimelineRequest, want ...uint64) {
	t.Helper()
	var got []uint64
	for _, event := range Merge(context.Background(), sources, req).Events {
		got = append(got, event.Clock)
	}
	if !slices.Equal(got, want) {
		t.Errorf("clocks %v, want %v", got, want)
	}
}
