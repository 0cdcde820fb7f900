package dispatcher

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// mostStarts is how often a task may be started that crashes each runner: three runners
// have crashed under it, and it is not started three times more.
const mostStarts = 5

const (
	crashOutage      = 3 * time.Second // until a crashed runner is back
	crashWork        = time.Second     // what a task works that crashes nothing
	crashGangTimeout = 3 * time.Second // how long a member of a gang waits for the others
)

// A crashPlay is a chaos in which some tasks crash each runner that starts them.
type crashPlay struct {
	*chaos
	deadly    map[submitter.TaskID]bool
	starts    map[submitter.TaskID]int // starts of deadly tasks that were carried out
	startedAt map[runKey]time.Time
	done      map[runKey]bool
	// reborn maps crashed runners that come back under a new ID to the time of that.
	reborn map[string]time.Time
}

func newCrashPlay(r *rapid.T, runners int) *crashPlay {
	p := &crashPlay{
		chaos: newChaos(r, runners), deadly: make(map[submitter.TaskID]bool), starts: make(map[submitter.TaskID]int),
		startedAt: make(map[runKey]time.Time), done: make(map[runKey]bool), reborn: make(map[string]time.Time),
	}
	p.faulty = false
	p.onStart = func(_ *simRunner, key runKey) bool {
		p.startedAt[key] = p.now
		if !p.deadly[key.task] {
			return true
		}
		p.starts[key.task]++
		return rapid.Bool().Draw(p.t, "answered")
	}
	return p
}

// submit adds a submission of one step. Its task 0 is deadly on request.
func (p *crashPlay) submit(id string, step submitter.Step, isDeadly bool) {
	sub := &submitter.Submission{ID: id, Queue: "urgent", Steps: []submitter.Step{step}, AcceptedAt: p.now, Owner: p.fence}
	p.subs = append(p.subs, sub)
	p.table.Add(sub, nil, p.now)
	if isDeadly {
		p.deadly[submitter.TaskID{Submission: id}] = true
	}
}

// play advances the time by a duration.
func (p *crashPlay) play(span time.Duration) {
	for end := p.now.Add(span); p.now.Before(end); {
		p.work()
		p.step()
	}
}

// playOut advances the time until all submissions have ended, or by a duration.
func (p *crashPlay) playOut(span time.Duration) {
	for end := p.now.Add(span); p.now.Before(end) && !p.allEnded(); {
		p.play(chaosStep)
	}
}

func (p *crashPlay) allEnded() bool {
	return !slices.ContainsFunc(p.subs, func(sub *submitter.Submission) bool {
		state, _ := p.table.State(sub.ID)
		return !state.IsFinal()
	})
}

// work crashes the runners of deadly tasks and ends the tasks that have done their work.
func (p *crashPlay) work() {
	for _, r := range p.sorted() {
		if back, ok := p.reborn[r.id]; ok && !p.now.Before(back) {
			delete(p.reborn, r.id)
			p.addRunner(r.id + "n")
			p.register()
		}
		for _, key := range sortedKeys(r.running) {
			if p.deadly[key.task] {
				p.crash(r)
				break
			}
			if end, ended := p.endOf(key); ended {
				r.end(key, end)
			}
		}
	}
}

// endOf returns how a run ends now, if it does. The members of a gang work from the time
// when all are there.
func (p *crashPlay) endOf(key runKey) (end EndKind, ended bool) {
	step := p.stepOf(key.task)
	since := p.startedAt[key]
	if step.Gang {
		for i := range step.Count {
			member := runKey{key.task, key.run}
			member.task.Index = i
			if !slices.ContainsFunc(p.sorted(), func(r *simRunner) bool { return r.running[member] }) && !p.done[member] {
				return Alone, p.now.Sub(since) >= crashGangTimeout
			}
			if at := p.startedAt[member]; at.After(since) {
				since = at
			}
		}
	}
	p.done[key] = !step.LongRunning && p.now.Sub(since) >= crashWork
	return Done, p.done[key]
}

func (p *crashPlay) stepOf(id submitter.TaskID) submitter.Step {
	i := slices.IndexFunc(p.subs, func(sub *submitter.Submission) bool { return sub.ID == id.Submission })
	return p.subs[i].Steps[id.Step]
}

func (p *crashPlay) crash(r *simRunner) {
	r.isDown, r.downTill = true, p.now.Add(crashOutage)
	r.reset(p.now)
	if rapid.Bool().Draw(p.t, "new ID") {
		r.isLost, r.downTill = true, p.now.Add(time.Hour)
		p.reborn[r.id] = p.now.Add(crashOutage)
	}
}

// assertBounded checks that no deadly task was started too often, and that exactly the
// submissions without one are as they should be.
func (p *crashPlay) assertBounded() {
	p.t.Helper()
	for id := range p.deadly {
		if n := p.starts[id]; n > mostStarts {
			p.t.Errorf("task %s was started %d times, want at most %d", id, n, mostStarts)
		}
		if state, _ := p.table.State(id.Submission); state != submitter.Failed {
			p.t.Errorf("submission %s is %s, want failed", id.Submission, state)
		}
	}
	for _, sub := range p.subs {
		want := submitter.Complete
		if sub.Steps[0].LongRunning {
			want = submitter.Running
		}
		state, _ := p.table.State(sub.ID)
		if p.deadly[submitter.TaskID{Submission: sub.ID}] || (state == submitter.Failed && p.streaks.excuse(sub)) {
			continue
		}
		if state != want {
			p.t.Errorf("submission %s without a deadly task is %s, want %s", sub.ID, state, want)
		}
	}
}

// kindsOfWork returns a step of each kind.
func kindsOfWork() map[string]submitter.Step {
	kinds := make(map[string]submitter.Step)
	for _, kind := range []string{"short", "checkpointing", "gang", "speculative", "long-running", "one a runner"} {
		step := oneCore(3)
		step.Checkpointing = kind == "checkpointing"
		step.Gang = kind == "gang"
		step.Speculative = kind == "speculative"
		step.LongRunning = kind == "long-running"
		if kind == "one a runner" {
			step.MaxPerRunner = 1
		}
		kinds[kind] = step
	}
	return kinds
}

// Guards against a task that crashes one runner after the other for ever.
func TestTaskThatCrashesItsRunnersIsGivenUp(t *testing.T) {
	for kind, step := range kindsOfWork() {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(r *rapid.T) {
				p := newCrashPlay(r, 6)
				p.play(time.Second)
				for i := range 4 {
					p.submit(fmt.Sprintf("neighbour%d", i), step, false)
				}
				p.submit("deadly", step, true)
				p.playOut(45 * time.Second)
				p.assertBounded()
			})
		})
	}
}

// loseSome loses random runners, whatever runs there.
func (p *crashPlay) loseSome(span time.Duration) {
	for end := p.now.Add(span); p.now.Before(end); p.play(200 * time.Millisecond) {
		for _, r := range p.sorted() {
			if !r.isDown && rapid.IntRange(0, 200).Draw(p.t, "loss") == 100 {
				p.streaks.lose(r.id, p.now)
				p.crash(r)
			}
		}
	}
}

// Guards against giving up tasks that only stood beside one that crashes runners, or were
// on runners that are lost for other reasons.
func TestNeighboursOfCrashingTasksFinish(t *testing.T) {
	t.Parallel()
	kinds := kindsOfWork()
	names := slices.Sorted(maps.Keys(kinds))
	rapid.Check(t, func(r *rapid.T) {
		p := newCrashPlay(r, 16)
		p.play(time.Second)
		for i := range 12 {
			kind := rapid.SampledFrom(names).Draw(r, "kind")
			p.submit(fmt.Sprintf("%s%d", kind, i), kinds[kind], i%4 == 0)
		}
		p.loseSome(15 * time.Second)
		p.playOut(30 * time.Second)
		p.assertBounded()
	})
}

// Guards against an owner that does not know under which tasks runners were lost before.
func TestNextOwnerKnowsTheCrashes(t *testing.T) {
	t.Parallel()
	step := oneCore(3)
	rapid.Check(t, func(r *rapid.T) {
		p := newCrashPlay(r, 8)
		p.play(time.Second)
		p.submit("neighbour", step, false)
		p.submit("deadly", step, true)
		p.play(time.Duration(rapid.IntRange(0, 15_000).Draw(r, "takeover")) * time.Millisecond)
		p.takeOver(1)
		p.playOut(60 * time.Second)
		p.assertBounded()
	})
}

// Guards against giving up a long-running task because its runners are lost in the course
// of a day.
func TestLossesOfALongDayAreNotCounted(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		p := newCrashPlay(r, 6)
		p.play(time.Second)
		step := oneCore(1)
		step.LongRunning = true
		p.submit("long", step, false)
		task := submitter.TaskID{Submission: "long"}
		for range 8 {
			p.play(10 * time.Second)
			on := p.runsOf(task)
			if len(on) != 1 {
				r.Fatalf("the task runs on %v at %s, want one runner", on, p.now.Sub(epoch))
			}
			p.crash(p.runners[on[0]])
		}
		p.play(15 * time.Second)
		p.assertBounded()
	})
}

// Guards against a start that got no answer and whose runner was replaced by another one at
// its address: the refused stop was the only sign of the crash. (sdg-sched, deadly, seed 3)
func TestRefusedStopShowsACrash(t *testing.T) {
	t.Parallel()
	h := newHarness(t, 0, 2)
	h.pollAll(2)
	h.add("a", "urgent", oneCore(1))
	h.table.placementDue = true
	h.table.Schedule(h.now)
	start := h.table.Orders()[0]
	h.table.ApplyStart(start, Unanswered, 0, h.now)
	h.table.ApplyStop(h.table.Orders()[0], OtherLifetime, h.now)
	if crashes := h.table.subs["a"].occs[0].steps[0].tasks[0].crashes; len(crashes) != 1 || crashes[0].Run != start.Run {
		t.Errorf("crashes %+v, want one under run %d", crashes, start.Run)
	}
}
