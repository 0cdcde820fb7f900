package dispatcher

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

var (
	epoch      = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	testLimits = Limits{
		LeaseDuration: 4500 * time.Millisecond, MaxLease: 6 * time.Second, StopTimeout: 400 * time.Millisecond,
		HarmAfter: 4 * time.Second, CrossRackSlowdown: 1.5,
	}
	testCapacity = submitter.Resources{MilliCores: 8000, MemoryMB: 64_000}
)

const testFence = 100

var testQueues = []submitter.Queue{
	{Name: "urgent", Service: "s", MaxAttempts: 2, Stretch: 1.5, Target: 300 * time.Millisecond},
	{Name: "night", Service: "s", Priority: 2, MaxAttempts: 2, Stretch: 2, Target: time.Second},
}

// configure replaces the configuration.
func (h *harness) configure(evacuated map[string]bool, queues ...submitter.Queue) {
	h.table.Configure(NewConfiguration(queues, evacuated), h.now)
}

// A harness drives a table without real runners: it keeps the runs that each runner
// reports in reported.
type harness struct {
	t        *testing.T
	table    *Table
	now      time.Time
	ends     map[string]int64       // number of the last end by runner
	reported map[string][]RunStatus // runs that the next poll reports, by runner
	// lifetimes and bornAt say, by runner, which incarnation it has after restarts, and
	// when that was started.
	lifetimes map[string]int64
	bornAt    map[string]time.Time
	// isUnconfirmed says that the owner does not reach its record, so that its
	// ownership is not confirmed.
	isUnconfirmed bool
	// saved is the progress of submissions in the store, as of the last change of owner.
	saved map[string]*submitter.Progress
}

// newHarness returns a table with runners r0, r1 and so on, none of which has
// answered yet.
func newHarness(t *testing.T, generation int64, runners int) *harness {
	t.Helper()
	h := &harness{
		t: t, now: epoch, ends: make(map[string]int64), reported: make(map[string][]RunStatus),
		lifetimes: make(map[string]int64), bornAt: make(map[string]time.Time),
	}
	h.table = New(testLimits, testFence, generation, recorder.Discard{}, h.now)
	h.table.AllowTokens(testFence + 1000)
	h.configure(nil, testQueues...)
	h.setRunners(runners)
	return h
}

func (h *harness) setRunners(n int) {
	infos := make([]RunnerInfo, n)
	for i := range infos {
		infos[i] = RunnerInfo{ID: fmt.Sprintf("r%d", i), Service: "s", DataCentre: "z", Capacity: testCapacity, Lifetime: 1}
	}
	h.table.SetRunners(infos, h.now)
	h.table.RosterStored(infos)
}

// advance moves the time forward, confirms the ownership unless that is turned off,
// and ticks.
func (h *harness) advance(d time.Duration) {
	h.now = h.now.Add(d)
	if !h.isUnconfirmed {
		h.table.ConfirmOwnership(h.now)
		h.table.Authorize(0, 0, h.now)
	}
	h.table.Tick(h.now)
}

// lifetime returns the incarnation of a runner.
func (h *harness) lifetime(runner string) int64 { return max(1, h.lifetimes[runner]) }

// clock returns the reading of a runner's clock.
func (h *harness) clock(runner string) int64 {
	born, ok := h.bornAt[runner]
	if !ok {
		born = epoch
	}
	return h.now.Sub(born).Milliseconds() + 1000
}

// poll answers a poll of a runner with its reported runs and some ends.
func (h *harness) poll(runner string, ends ...End) {
	for i := range ends {
		h.ends[runner]++
		ends[i].N = h.ends[runner]
	}
	h.table.LeaseUntil(runner, h.now)
	token, _ := h.table.Token(runner)
	sent := h.now
	h.now = h.now.Add(time.Millisecond)
	h.table.Report(runner, Report{Token: token, Lifetime: h.lifetime(runner), Clock: h.clock(runner), Running: h.reported[runner], Ended: ends}, sent, h.now)
}

// stall lets the runs make no progress for so long that copies are started, while every
// runner answers.
func (h *harness) stall(runners int) {
	h.pollAll(runners)
	h.advance(copyAfter / 2)
	h.pollAll(runners)
	h.advance(copyAfter/2 + time.Millisecond)
}

// pollAll polls every runner.
func (h *harness) pollAll(runners int) {
	for i := range runners {
		h.poll(fmt.Sprintf("r%d", i))
	}
}

// add submits a submission of one step.
func (h *harness) add(id, queue string, step submitter.Step) {
	sub := &submitter.Submission{ID: id, Queue: queue, Spec: id, Steps: []submitter.Step{step}, AcceptedAt: h.now}
	h.table.Add(sub, nil, h.now)
}

// starts runs a placement pass, carries out its start orders and returns them.
func (h *harness) starts() []Order {
	h.table.placementDue = true
	h.table.Schedule(h.now)
	return h.execute(h.table.Orders())
}

// execute carries out start orders and drops all others.
func (h *harness) execute(orders []Order) (starts []Order) {
	for _, o := range orders {
		if o.Kind != Start {
			continue
		}
		starts = append(starts, o)
		h.reported[o.Runner] = append(h.reported[o.Runner], RunStatus{Task: o.Task, Run: o.Run})
		h.table.ApplyStart(o, Succeeded, h.lifetime(o.Runner), h.now)
	}
	return starts
}

// addTask submits a submission of one task, and returns which of two runners it was
// started on and which is the other one.
func (h *harness) addTask() (on, other string) {
	h.t.Helper()
	h.add("a", "urgent", oneCore(1))
	orders := h.starts()
	assertStarts(h.t, orders, 1)
	if on = orders[0].Runner; on == "r0" {
		return on, "r1"
	}
	return on, "r0"
}

// work lets all runs be at work.
func (h *harness) work() {
	for _, rows := range h.reported {
		for i := range rows {
			rows[i].Percent = 100
		}
	}
}

// startsWithin returns the number of tasks that start within some time, by submission. The
// registered runners answer and carry out their orders, and what runs there is at work.
func (h *harness) startsWithin(d time.Duration) (starts map[string]int) {
	starts = make(map[string]int)
	for until := h.now.Add(d); h.now.Before(until); {
		h.work()
		for _, info := range h.table.Runners() {
			if h.table.runners[info.ID].isRegistered {
				h.poll(info.ID)
			}
		}
		h.stops()
		for _, o := range h.starts() {
			starts[o.Task.Submission]++
		}
	}
	return starts
}

// succeed returns a harness of the next owner. This one is lost, with some of the runners,
// once all progress is saved.
func (h *harness) succeed(lost ...string) *harness {
	next := newHarness(h.t, 1, 0)
	next.table.ExpectRunners(h.table.Roster(nil, h.now))
	var infos []RunnerInfo
	for _, info := range h.table.Runners() {
		if !slices.Contains(lost, info.ID) {
			infos = append(infos, info)
			next.reported[info.ID] = slices.Clone(h.reported[info.ID])
		}
	}
	next.table.SetRunners(infos, next.now)
	next.saved = make(map[string]*submitter.Progress)
	maps.Copy(next.saved, h.saved)
	for _, rec := range h.table.Unsaved(len(h.table.subs)) {
		next.saved[rec.ID] = rec.Progress
	}
	for _, s := range h.table.active {
		next.table.Add(s.sub, next.saved[s.sub.ID], next.now)
	}
	return next
}

// oneCore returns a step of small tasks.
func oneCore(count int) submitter.Step {
	return submitter.Step{Count: count, Resources: submitter.Resources{MilliCores: 1000, MemoryMB: 100}, Estimate: time.Second}
}

func assertStarts(t *testing.T, orders []Order, want int) {
	t.Helper()
	if len(orders) != want {
		t.Fatalf("%d starts, want %d: %+v", len(orders), want, orders)
	}
}
