package dispatcher

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// Guards against new long-running tasks that never start, as room is kept for tasks that may
// run on no runner, or on no further one.
func TestNoRoomIsOwedToTasksThatNoRunnerTakes(t *testing.T) {
	apart := lasting(40, 1000)
	apart.MaxPerRunner = 1
	labelled := lasting(40, 1000)
	labelled.RequiredLabel = "none"
	for _, c := range []struct {
		name string
		step submitter.Step
		runs int
	}{
		{"limit per runner", apart, 2},
		{"label that no runner has", labelled, 0},
		{"larger than any runner", lasting(40, 9000), 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 1, 2)
			h.add("old", "urgent", c.step) // accepted by a former owner
			for range 2 {
				h.pollAll(2)
				h.advance(2 * reserveAfter)
			}
			h.pollAll(2)
			assertStarts(t, h.starts(), c.runs)
			for range 3 {
				h.advance(reserveAfter)
				h.pollAll(2)
			}
			sub := &submitter.Submission{ID: "new", Queue: "urgent", Steps: []submitter.Step{lasting(3, 1000)}, Owner: testFence}
			h.table.Add(sub, nil, h.now)
			assertStarts(t, h.starts(), 3)
		})
	}
}

// newOwedHarness returns a harness with 8 runners, of which r6 and r7 have the label "b". A
// step had a long-running task on two of them that took up each entirely. One of the two is
// lost, so that its task waits; the others are empty.
func newOwedHarness(t *testing.T, queue string, step submitter.Step) *harness {
	t.Helper()
	const runners = 8
	h := newHarness(t, 0, 0)
	permitted := testQueues[0]
	permitted.Name, permitted.NeedsPermits = "permitted", true
	h.configure(nil, append(slices.Clone(testQueues), permitted)...)
	infos := make([]RunnerInfo, runners)
	for i := range infos {
		infos[i] = RunnerInfo{ID: fmt.Sprintf("r%d", i), Service: "s", DataCentre: "z", Capacity: testCapacity, Lifetime: 1}
		if i >= 6 {
			infos[i].Labels = []string{"b"}
		}
	}
	h.table.SetRunners(infos, h.now)
	h.pollAll(runners)
	step.Count, step.LongRunning, step.MilliCores = 2, true, testCapacity.MilliCores
	h.add("old", queue, step)
	started := h.starts()
	for len(started) < 2 {
		h.permit("r6", "r7")
		started = append(started, h.starts()...)
	}
	lost := started[1].Runner
	h.reported[lost] = nil
	for until := h.now.Add(2 * testLimits.MaxLease); h.now.Before(until); h.advance(500 * time.Millisecond) {
		for _, info := range infos {
			if info.ID != lost {
				h.poll(info.ID)
			}
		}
		assertStarts(t, h.starts(), 0)
		h.permit("r6", "r7")
	}
	return h
}

// permit answers requests for permits, which are granted for some runners.
func (h *harness) permit(runners ...string) {
	for _, request := range h.table.PermitRequests() {
		var permits []Permit
		for _, id := range request.Runners {
			if slices.Contains(runners, id) {
				permits = append(permits, Permit{Runner: id, Ticket: "x"})
			}
		}
		h.table.ApplyPermits(request, permits, 3*time.Second, h.now)
	}
}

// Guards against new long-running tasks that start nowhere while an interrupted one waits
// for a runner that it may run on: room was kept for it on runners that it may not use.
// (review/4)
func TestRoomIsOwedOnlyWhereItCanBeUsed(t *testing.T) {
	for _, c := range []struct {
		name, queue string
		step        submitter.Step
	}{
		{"label", "urgent", submitter.Step{RequiredLabel: "b"}},
		{"permits", "permitted", submitter.Step{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newOwedHarness(t, c.queue, c.step)
			h.add("new", "urgent", lasting(6, 6000))
			assertStarts(t, h.starts(), 6)
		})
	}
}
