package dispatcher

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// Times of a play of departures.
const (
	departureNotice = 6 * time.Second // the longest time from a runner's announcement to its end
	registryUpdate  = 20              // chaosSteps between two lists of the registry without a change of runners
	departuresEnd   = chaosFaultsEnd + departureNotice
	// departuresSettleTime is how long after the last departure and change of owner a task
	// may wait: for an earlier owner, and then for the leases that it may have granted.
	departuresSettleTime = chaosTakeoverTime + chaosCarryOverTime
)

// A departures is a chaos in which runners drain and leave, others join, and owners follow
// each other. Owners write their progress late and their roster with failures, as a
// conductor does.
type departures struct {
	*chaos
	leavesAt map[string]time.Time
	joined   int
	// roster is the stored roster, if hasRoster; isUnreadable says that it can't be read.
	roster                  []RunnerInfo
	hasRoster, isUnreadable bool
	saves                   []lateSave
	// ownedSince is when the owner's term began, and settledAt when it has recorded that
	// all owners before it have ended.
	ownedSince, settledAt time.Time
	ghosts                []*ghost
	ends                  map[runKey]*doneEnd
	endsAt                map[runKey]time.Time // when short tasks are done
	lapsedAt              map[string]time.Time
}

// A lateSave is progress that becomes durable later.
type lateSave struct {
	at      time.Time
	records []Record
	fence   int64
}

// A doneEnd is the end of a run that is done.
type doneEnd struct {
	at         time.Time
	isNoted    bool // acknowledged, while the runner's leases had not lapsed
	isRepeated bool // the task was started after it
}

func newDepartures(t *rapid.T, runners int) *departures {
	d := &departures{
		leavesAt: make(map[string]time.Time), ends: make(map[runKey]*doneEnd),
		endsAt: make(map[runKey]time.Time), lapsedAt: make(map[string]time.Time),
	}
	d.chaos = newChaos(t, runners)
	d.departures, d.joined = d, runners
	d.ownedSince, d.settledAt = d.now, d.now
	d.onStart = d.started
	d.register()
	return d
}

// updateRoster stores the roster if the owner may, which may fail, and returns the runners that
// may be used.
func (d *departures) updateRoster(listed []RunnerInfo) []RunnerInfo {
	if d.table.MayStoreRoster(d.now) {
		wanted := d.table.Roster(listed, d.now)
		d.table.RosterUnderWay(wanted)
		if !d.faulty || rapid.IntRange(0, 5).Draw(d.t, "rosterFails") != 1 {
			d.roster, d.hasRoster, d.isUnreadable = wanted, true, false
			d.table.RosterStored(wanted)
			return listed
		}
	}
	return slices.DeleteFunc(listed, func(info RunnerInfo) bool {
		return !info.Draining && !slices.ContainsFunc(d.roster, func(saved RunnerInfo) bool { return saved.ID == info.ID })
	})
}

// save queues progress, and stores what has been queued for long enough.
func (d *departures) save() {
	if records := d.table.Unsaved(1000); len(records) > 0 {
		at := d.now.Add(d.delay("save", 2*time.Second))
		if n := len(d.saves); n > 0 {
			at = later(at, d.saves[n-1].at) // one write after the other
		}
		d.saves = append(d.saves, lateSave{at, records, d.fence})
	}
	d.saves = slices.DeleteFunc(d.saves, func(s lateSave) bool {
		if d.now.Before(s.at) {
			return false
		}
		if s.fence == d.fence {
			for _, rec := range s.records {
				d.saved[rec.ID] = rec.Progress
			}
			d.table.Saved(s.records)
		}
		return true
	})
}

// takeOver replaces the table by that of a new owner, which finds the stored roster. Its
// predecessor has ended and hands over, has ended without knowledge, or does not answer.
func (d *departures) takeOver(generation int64) {
	former := d.table
	if rapid.IntRange(0, 9).Draw(d.t, "unreadable") == 1 {
		d.isUnreadable = true
	}
	d.revision++
	d.fence = d.revision
	d.table = New(testLimits, d.fence, generation, recorder.Discard{}, d.now)
	d.table.Configure(NewConfiguration(testQueues, nil), d.now)
	switch {
	case d.isUnreadable:
		d.table.ExpectOtherRunners()
	case d.hasRoster:
		d.table.ExpectRunners(d.roster)
	}
	var earlierEnd time.Time
	if d.now.Before(d.settledAt) {
		earlierEnd = d.ownedSince.Add(chaosUnconfirmed)
	}
	d.ownedSince, d.settledAt = d.now, later(d.now, earlierEnd)
	d.table.SetEarlierOwnersEnd(earlierEnd)
	d.table.SetFormerOwnerEnd(d.now.Add(chaosUnconfirmed))
	switch rapid.IntRange(0, 2).Draw(d.t, "handover") {
	case 0:
		d.settledAt = d.now.Add(chaosUnconfirmed)
		d.cutOff(&ghost{former, d.now.Add(chaosUnconfirmed)})
	case 1:
		d.table.MarkSettled(nil, d.now)
	case 2:
		d.table.MarkSettled(former.Settled(d.now), d.now)
		d.table.ExpectLapses(former.Lapses(d.now))
	}
	for _, sub := range d.subs {
		d.table.Add(sub, d.saved[sub.ID], d.now)
	}
	d.register()
}

// submit adds a submission of one step.
func (d *departures) submit(id string, step submitter.Step) {
	sub := &submitter.Submission{ID: id, Queue: "urgent", Steps: []submitter.Step{step}, AcceptedAt: d.now, Owner: d.fence}
	d.subs = append(d.subs, sub)
	d.table.Add(sub, nil, d.now)
}

func (d *departures) isLongRunning(id submitter.TaskID) bool {
	return slices.ContainsFunc(d.subs, func(s *submitter.Submission) bool { return s.ID == id.Submission && s.Steps[0].LongRunning })
}

// started notes a start. It fails the play if the task is done and that was noted.
func (d *departures) started(_ *simRunner, key runKey) (answered bool) {
	if !d.isLongRunning(key.task) {
		d.endsAt[key] = d.now.Add(time.Duration(rapid.IntRange(100, 2000).Draw(d.t, "work")) * time.Millisecond)
	}
	for done, end := range d.ends {
		if done.task == key.task {
			end.isRepeated = true
			d.checkEnd(done)
		}
	}
	return true
}

func (d *departures) checkEnd(key runKey) {
	if end := d.ends[key]; end.isNoted && end.isRepeated {
		d.t.Fatalf("%s: task %s was started again after run %d had been done at %s", d.now.Sub(epoch), key.task, key.run, end.at.Sub(epoch))
	}
}

// depart lets runners drain, take that back, leave and join at random.
func (d *departures) depart() {
	for _, r := range d.sorted() {
		leavesAt, leaves := d.leavesAt[r.id]
		switch {
		case r.isLost:
		case r.isDown && r.isDraining:
			d.leave(r) // one that crashes while it drains does not come back
		case r.isDown:
		case leaves && !d.now.Before(leavesAt):
			d.leave(r)
		case leaves || !d.faulty || int(d.now.Sub(epoch)/chaosStep)%4 != 0:
		default:
			switch rapid.IntRange(0, 90).Draw(d.t, "departure") {
			case 0, 1:
				notice := time.Duration(rapid.IntRange(500, int(departureNotice/time.Millisecond)).Draw(d.t, "notice")) * time.Millisecond
				r.isDraining, d.leavesAt[r.id] = true, d.now.Add(notice)
				d.register()
			case 2:
				r.isDraining = !r.isDraining
				d.register()
			case 3: // the registry drops the entry for a while
				r.listed, r.listedAt = 0, d.now.Add(d.delay("unlisted", 3*time.Second))
				d.register()
			}
		}
	}
}

// leave ends a runner for good. Another one joins.
func (d *departures) leave(r *simRunner) {
	d.streaks.lose(r.id, d.now)
	r.isLost, r.isDown, r.downTill = true, true, d.now.Add(time.Hour)
	r.reset(d.now)
	r.listed, r.listedAt = 0, time.Time{}
	d.addRunner(fmt.Sprintf("r%d", d.joined))
	d.joined++
	d.register()
}

// advance makes one step of the play.
func (d *departures) advance() {
	if int(d.now.Sub(epoch)/chaosStep)%registryUpdate == 0 {
		d.register()
	}
	d.depart()
	for _, r := range d.sorted() {
		for _, key := range sortedKeys(r.running) {
			if at, ok := d.endsAt[key]; ok && !d.now.Before(at) && !r.isDown {
				r.end(key, Done)
				d.ends[key] = &doneEnd{at: d.now}
			}
		}
	}
	before := make(map[string][]End)
	lifetimes := make(map[string]int64)
	for id, r := range d.runners {
		if known := d.table.runners[id]; known == nil || known.info.Lifetime != r.lifetime {
			continue // ends of an incarnation of which the owner has not heard
		}
		before[id], lifetimes[id] = slices.Clone(r.ended), r.lifetime
	}
	d.step()
	d.haunt()
	d.check()
	for id, ends := range before {
		r := d.runners[id]
		if r.leaseEnd > 0 && r.clock(d.now) > r.leaseEnd {
			d.lapsedAt[id] = d.now
		}
		for _, e := range ends {
			wasAcked := r.lifetime == lifetimes[id] && !slices.Contains(r.ended, e)
			key := runKey{e.Task, e.Run}
			if end := d.ends[key]; wasAcked && e.Kind == Done && d.lapsedAt[id].Before(end.at) {
				end.isNoted = true
				d.checkEnd(key)
			}
		}
	}
}

// assertLongRunningTasksRun checks that each long-running task runs on one runner.
func (d *departures) assertLongRunningTasksRun() {
	d.t.Helper()
	runs := d.runs()
	for _, id := range d.tasks() {
		if on := runs[id]; d.isLongRunning(id) && len(on) != 1 && !d.mayHaveFailed(id.Submission) {
			d.t.Errorf("task %s runs on %v at %s, want one runner", id, on, d.now.Sub(epoch))
		}
	}
}

// Runners announce that they leave, some of them take that back, and the others are gone for
// good soon, while owners follow each other, of which some hand over, and some are cut off
// together with some runners and act on: no task runs twice at once, none is started again after its end was noted, nothing starts on a
// runner that drains, and all long-running tasks run again in the end.
func TestTasksRunOnceWhileRunnersLeaveAndOwnersChange(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		d := newDepartures(r, 6)
		for i := range 3 {
			step := oneCore(4)
			step.LongRunning = true
			if i == 0 {
				step.MaxPerRunner = 1
			}
			d.submit(fmt.Sprintf("long%d", i), step)
		}
		nextOwnerAt, generation, n := d.now.Add(2*time.Second), int64(1), 0
		for d.now.Sub(epoch) < chaosFaultsEnd {
			if int(d.now.Sub(epoch)/chaosStep)%20 == 0 {
				d.submit(fmt.Sprintf("short%d", n), oneCore(3))
				n++
			}
			if !d.now.Before(nextOwnerAt) {
				d.takeOver(generation)
				generation++
				nextOwnerAt = d.now.Add(time.Duration(rapid.IntRange(500, 9000).Draw(r, "term")) * time.Millisecond)
			}
			d.advance()
		}
		d.faulty = false
		for _, id := range slices.Sorted(maps.Keys(d.runners)) {
			if runner := d.runners[id]; !runner.isLost && d.leavesAt[id].IsZero() {
				runner.isDraining = false
			}
		}
		d.register()
		for end := epoch.Add(departuresEnd + departuresSettleTime); d.now.Before(end); {
			d.advance()
		}
		d.assertLongRunningTasksRun()
	})
}
