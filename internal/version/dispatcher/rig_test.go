package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

var (
	epoch      = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	testLimits = Limits{
		LeaseSpan: 4500 * time.Millisecond, MaxLease: 6 * time.Second, StopTimeout: 400 * time.Millisecond,
		HarmAfter: 4 * time.Second, CrossRackSlowdown: 1.5,
	}
	testCapacity = submitter.Resources{MilliCores: 8000, MemoryMB: 64_000}
)

const testFence = 100

// A bench drives a table by hand: the runners' side is kept by the test.
type bench struct {
	t     *testing.T
	table *Table
	now   time.Time
	ends  map[string]int64 // last end's number by runner
	lists map[string][]RunStatus
	// unconfirmed says that the owner does not reach its record.
	unconfirmed bool
}

// newBench returns a table with runners r0, r1 and so on that have not been
// heard yet.
func newBench(t *testing.T, generation int64, runners int) *bench {
	t.Helper()
	b := &bench{t: t, now: epoch, ends: make(map[string]int64), lists: make(map[string][]RunStatus)}
	b.table = New(testLimits, testFence, generation, recorder.Discard{}, b.now)
	b.table.SetQueues([]Queue{
		{Name: "urgent", Service: "s", MaxAttempts: 2, Stretch: 1.5, Target: 300 * time.Millisecond},
		{Name: "night", Service: "s", Priority: 2, MaxAttempts: 2, Stretch: 2, Target: time.Second},
	})
	b.setRunners(runners)
	return b
}

func (b *bench) setRunners(n int) {
	infos := make([]RunnerInfo, n)
	for i := range infos {
		infos[i] = RunnerInfo{ID: fmt.Sprintf("r%d", i), Service: "s", DataCentre: "z", Capacity: testCapacity, Lifetime: 1}
	}
	b.table.SetRunners(infos, b.now)
}

// pass lets time go by.
func (b *bench) pass(d time.Duration) {
	b.now = b.now.Add(d)
	if !b.unconfirmed {
		b.table.ConfirmOwnership(b.now)
	}
	b.table.Tick(b.now)
}

// look answers a look at a runner with its list and some ends.
func (b *bench) look(runner string, ends ...End) {
	for i := range ends {
		b.ends[runner]++
		ends[i].N = b.ends[runner]
	}
	b.table.LeaseUntil(runner, b.now)
	sent := b.now
	b.now = b.now.Add(time.Millisecond)
	b.table.Report(runner, Report{Lifetime: 1, Clock: b.now.Sub(epoch).Milliseconds() + 1000, Running: b.lists[runner], Ended: ends}, sent, b.now)
}

// lookAll looks at every runner.
func (b *bench) lookAll(runners int) {
	for i := range runners {
		b.look(fmt.Sprintf("r%d", i))
	}
}

// add hands in a submission of one step.
func (b *bench) add(id, queue string, step submitter.Step) {
	sub := &submitter.Submission{ID: id, Queue: queue, Spec: id, Steps: []submitter.Step{step}, AcceptedAt: b.now}
	b.table.Add(sub, nil, b.now)
}

// starts places what may start and returns the start orders; the runners carry
// them out.
func (b *bench) starts() []Order {
	b.table.recheck = true
	b.table.Schedule(b.now)
	return b.carry(b.table.Orders())
}

// carry carries out start orders and drops the others.
func (b *bench) carry(orders []Order) (starts []Order) {
	for _, o := range orders {
		if o.Kind != Start {
			continue
		}
		starts = append(starts, o)
		b.lists[o.Runner] = append(b.lists[o.Runner], RunStatus{Task: o.Task, Run: o.Run})
		b.table.Started(o, Succeeded, 1, b.now)
	}
	return starts
}

// addTask hands in a submission of one task, and returns which of two runners
// starts it and which does not.
func (b *bench) addTask() (on, other string) {
	b.t.Helper()
	b.add("a", "urgent", oneCore(1))
	orders := b.starts()
	assertStarts(b.t, orders, 1)
	if on = orders[0].Runner; on == "r0" {
		return on, "r1"
	}
	return on, "r0"
}

// oneCore is a step of small tasks.
func oneCore(count int) submitter.Step {
	return submitter.Step{Count: count, Resources: submitter.Resources{MilliCores: 1000, MemoryMB: 100}, Estimate: time.Second}
}

func assertStarts(t *testing.T, orders []Order, want int) {
	t.Helper()
	if len(orders) != want {
		t.Fatalf("%d starts, want %d: %+v", len(orders), want, orders)
	}
}
