package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// mostStarts is how often a task may be started that crashes each runner: three runners
// have crashed under it, and it is not started three times more.
const mostStarts = 5

const (
	crashOutage = 3 * time.Second // until a crashed runner is back
	crashWork   = time.Second     // what a task works that crashes nothing
)

// A crashPlay is a chaos in which some tasks crash each runner that starts them.
type crashPlay struct {
	*chaos
	deadly    map[submitter.TaskID]bool
	starts    map[submitter.TaskID]int // starts of deadly tasks that were carried out
	startedAt map[runKey]time.Time
	// reborn maps crashed runners that come back under a new ID to the time of that.
	reborn map[string]time.Time
}

func newCrashPlay(r *rapid.T, runners int, faulty bool) *crashPlay {
	p := &crashPlay{
		chaos: newChaos(r, runners), deadly: make(map[submitter.TaskID]bool), starts: make(map[submitter.TaskID]int),
		startedAt: make(map[runKey]time.Time), reborn: make(map[string]time.Time),
	}
	p.faulty = faulty
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

// work crashes the runners of deadly tasks and ends the tasks that have done their work.
func (p *crashPlay) work() {
	for _, r := range p.sorted() {
		if back, ok := p.reborn[r.id]; ok && !p.now.Before(back) {
			delete(p.reborn, r.id)
			next := &simRunner{id: r.id + "n"}
			next.reset(p.now)
			p.runners[next.id] = next
			p.register()
		}
		for _, key := range sortedKeys(r.running) {
			if p.deadly[key.task] {
				p.crash(r)
				break
			}
			if p.now.Sub(p.startedAt[key]) >= crashWork && !p.isLongRunning(key.task) {
				r.end(key, Done)
			}
		}
	}
}

func (p *crashPlay) isLongRunning(id submitter.TaskID) bool {
	for _, sub := range p.subs {
		if sub.ID == id.Submission {
			return sub.Steps[id.Step].LongRunning
		}
	}
	return false
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
		if state, _ := p.table.State(sub.ID); state != want && !p.deadly[submitter.TaskID{Submission: sub.ID}] {
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
				p := newCrashPlay(r, 6, false)
				p.play(time.Second)
				for i := range 4 {
					p.submit(fmt.Sprintf("neighbour%d", i), step, false)
				}
				p.submit("deadly", step, true)
				p.play(45 * time.Second)
				p.assertBounded()
			})
		})
	}
}
