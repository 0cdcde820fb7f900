package lifecycler

import (
	"flag"
	"os"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/kumquatstack/kumquatstack/internal/connection/commander"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var testTime = time.UnixMilli(1_800_000_000_000)

// A model holds one task in two shards, simulates its runs at the workers and
// records what has happened to the task.
type model struct {
	shards [2]*Task
	// holder is the index of the shard that decides about the task.
	holder int
	// running is the number of the run that is executing at a worker, or 0.
	running  int32
	progress int32
	// progressAt maps each checkpoint to the progress that was saved with it.
	progressAt map[string]int32
	finished   int
	cancelled  bool
	lastRun    int32
	failures   int
}

func (m *model) task() Task { return *m.shards[m.holder] }

func (m *model) set(t Task) { m.shards[m.holder] = &t }

// start starts the current run. It fails if another run is executing, if the
// run number was used before, if the task has finished, or if the run does not
// resume from the last saved progress.
func (m *model) start(rt *rapid.T) {
	t := m.task()
	if m.running != 0 {
		rt.Fatalf("run %d starts while run %d runs", t.Run, m.running)
	}
	if t.Run <= m.lastRun {
		rt.Fatalf("run %d starts after run %d", t.Run, m.lastRun)
	}
	if m.finished > 0 {
		rt.Fatalf("run %d starts after the task finished", t.Run)
	}
	if m.progress != m.progressAt[t.Checkpoint] {
		rt.Fatalf("run %d resumes at progress %d, saved progress is %d", t.Run, m.progressAt[t.Checkpoint], m.progress)
	}
	m.running, m.lastRun = t.Run, t.Run
	m.set(t.MarkStarted())
}

// end ends the current run at its worker and applies the report to the task.
func (m *model) end(state commander.RunState, target string) {
	t := m.task()
	run := commander.Run{ID: commander.RunID{Task: t.ID, Run: t.Run}, State: state, Checkpoint: t.Checkpoint}
	m.progress = m.progressAt[t.Checkpoint]
	m.running = 0
	if state == commander.RunFinished {
		m.finished++
	}
	m.set(t.EndRun(run, target, testTime))
}

// other returns the name of the shard that does not hold the task.
func (m *model) other() string { return []string{"b", "a"}[m.holder] }

// actions returns the events that the test generates; each skips if the state
// does not allow it.
func (m *model) actions() map[string]func(*rapid.T) {
	requireAssigned := func(rt *rapid.T) {
		if m.task().State != kumquatv1.TaskState_TASK_STATE_ASSIGNED {
			rt.Skip()
		}
	}
	requireRunning := func(rt *rapid.T) {
		if m.running == 0 || !m.task().Assigned() {
			rt.Skip()
		}
	}
	requirePending := func(rt *rapid.T) {
		if m.task().State != kumquatv1.TaskState_TASK_STATE_PENDING {
			rt.Skip()
		}
	}
	return map[string]func(*rapid.T){
		"assign": func(rt *rapid.T) {
			requirePending(rt)
			m.set(m.task().Assign(rapid.SampledFrom([]string{"w0", "w1", "w2", "w3"}).Draw(rt, "worker")))
		},
		"unassign": func(rt *rapid.T) {
			requireAssigned(rt)
			if m.running != 0 {
				rt.Skip()
			}
			m.set(m.task().Unassign())
		},
		"start": func(rt *rapid.T) {
			requireAssigned(rt)
			if m.running != 0 {
				rt.Skip()
			}
			m.start(rt)
		},
		"checkpoint": func(rt *rapid.T) {
			requireRunning(rt)
			t := m.task()
			t.Checkpoint = rapid.StringMatching("c[0-9]{6}").Draw(rt, "checkpoint")
			m.progressAt[t.Checkpoint] = m.progressAt[m.task().Checkpoint] + 1
			m.set(t)
		},
		"finish": func(rt *rapid.T) { requireRunning(rt); m.end(commander.RunFinished, "") },
		"fail":   func(rt *rapid.T) { requireRunning(rt); m.failures++; m.end(commander.RunFailed, "") },
		"evict":  func(rt *rapid.T) { requireRunning(rt); m.end(commander.RunStopped, "") },
		"lapse":  func(rt *rapid.T) { requireRunning(rt); m.end(commander.RunLapsed, "") },
		"move":   func(rt *rapid.T) { requireRunning(rt); m.end(commander.RunStopped, m.other()) },
		"move waiting": func(rt *rapid.T) {
			requirePending(rt)
			m.set(m.task().Move(m.other(), testTime))
		},
		"adopt": func(rt *rapid.T) { m.adopt(rt) },
		"cancel": func(*rapid.T) {
			m.cancelled = m.cancelled || !m.task().Ended() || m.task().IsMoveUnconfirmed()
			m.set(m.task().Cancel(testTime))
		},
		"journal": func(rt *rapid.T) {
			replayed := FromProto(m.task().Proto("a"))
			assertEqualTasks(rt, replayed, m.task())
			m.set(m.task().WithProgress(replayed.Progress()))
		},
		"": func(rt *rapid.T) { m.check(rt) },
	}
}

// adopt delivers a moved task to its target shard, once or twice: when the
// response is lost, the request is repeated.
func (m *model) adopt(rt *rapid.T) {
	t := m.task()
	if !t.IsMoveUnconfirmed() {
		rt.Skip()
	}
	target := 1 - m.holder
	for range rapid.IntRange(1, 2).Draw(rt, "calls") {
		if existing := m.shards[target]; existing == nil || existing.Run < t.Run {
			adopted := t.Adopt(testTime)
			m.shards[target] = &adopted
		}
	}
	m.set(t.ConfirmMove())
	m.holder = target
}

// check verifies the invariants that hold in every state.
func (m *model) check(rt *rapid.T) {
	t := m.task()
	active := 0
	for _, held := range m.shards {
		if held != nil && !held.Ended() {
			active++
		}
	}
	if t.State == kumquatv1.TaskState_TASK_STATE_MOVED && !t.IsMoveUnconfirmed() {
		rt.Fatalf("no shard holds the task: %+v, %+v", m.shards[0], m.shards[1])
	}
	if active > 1 {
		rt.Fatalf("two shards hold the task: %+v, %+v", m.shards[0], m.shards[1])
	}
	if m.running != 0 && (!t.Assigned() || t.Run != m.running) {
		rt.Fatalf("run %d is executing, but the task is %+v", m.running, t)
	}
	if m.finished > 1 {
		rt.Fatalf("finished %d times", m.finished)
	}
	if m.finished == 1 && t.State != kumquatv1.TaskState_TASK_STATE_FINISHED {
		rt.Fatalf("finished, but the task is %+v", t)
	}
	if m.cancelled && t.State == kumquatv1.TaskState_TASK_STATE_PENDING {
		rt.Fatalf("cancelled, but the task is pending: %+v", t)
	}
	if t.State == kumquatv1.TaskState_TASK_STATE_REFUSED && m.failures < MaxFailedWorkers {
		rt.Fatalf("refused after %d failures", m.failures)
	}
}

func assertEqualTasks(rt *rapid.T, got, want Task) {
	if !proto.Equal(got.Proto("a"), want.Proto("a")) || !got.SameProgress(want) {
		rt.Fatalf("got %+v, want %+v", got, want)
	}
}

// Generates random sequences of events for a task that moves between two
// shards. The task must never have two runs at a time, be held by two shards or
// by none, finish twice, or run again after a cancellation.
func TestTaskLifeCycle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		first := FromIntent(&kumquatv1.IntentRecord{
			Id: "casts", Team: "orders", Kind: kumquatv1.TaskKind_TASK_KIND_RUN_BY,
			Resources: &kumquatv1.Resources{MilliCores: 1000}, ExpectedRunMillis: 1000,
			DataCentres: []string{"a", "b"}, ConfirmedUnixMillis: testTime.UnixMilli(),
		}, 7)
		m := &model{shards: [2]*Task{&first, nil}, progressAt: map[string]int32{"": 0}}
		rt.Repeat(m.actions())
	})
}

// A service of the kind KEEP_RUNNING is restarted however its runs end, also
// after failures on more workers than MaxFailedWorkers.
func TestKeepRunning(t *testing.T) {
	monitor := FromIntent(&kumquatv1.IntentRecord{Id: "watch", Kind: kumquatv1.TaskKind_TASK_KIND_KEEP_RUNNING}, 0)
	for range 2 * MaxFailedWorkers {
		for _, state := range []commander.RunState{commander.RunFailed, commander.RunFinished} {
			monitor = monitor.Assign("w"+string('0'+monitor.Run)).EndRun(commander.Run{State: state}, "", testTime)
			if monitor.State != kumquatv1.TaskState_TASK_STATE_PENDING {
				t.Fatalf("the monitor is not pending again: %+v", monitor)
			}
		}
	}
}
