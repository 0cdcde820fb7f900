package sharder

import (
	"testing"
	"testing/synctest"
	"time"

	agent "github.com/kumquatstack/kumquatstack/internal/standin/worker"
)

func TestTasksRunOnce(t *testing.T) {
	withOwner(t, func(t *testing.T, r *rig, s *testOwner) {
		s.Ingest(intentOf("casts", "atl-a", 200, 5*time.Second))
		r.untilCount(s.Sharder, finishedState, 200)
		r.assertGuarantees(200)
	})
}

// An owner that takes over must adopt the runs of the former owner at their
// workers, neither starting them twice nor losing them.
func TestTakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 2)
		first := r.startOwner("atl-a", nil)
		first.Ingest(intentOf("casts", "atl-a", 60, 40*time.Second))
		time.Sleep(5 * time.Second)
		first.kill()
		second := r.startOwner("atl-a", nil)
		defer second.kill()
		r.untilCount(second.Sharder, finishedState, 60)
		r.assertGuarantees(60)
	})
}

// A worker is unreachable for a shorter or longer time than its leases. Tasks
// must resume elsewhere only after their leases have lapsed.
func TestWorkerUnreachable(t *testing.T) {
	for name, back := range map[string]time.Duration{"back before the lease lapses": 4 * time.Second, "back after": 60 * time.Second} {
		t.Run(name, func(t *testing.T) {
			withOwner(t, func(t *testing.T, r *rig, s *testOwner) {
				s.Ingest(intentOf("casts", "atl-a", 40, 30*time.Second))
				r.untilCount(s.Sharder, assignedState, 40)
				time.Sleep(5 * time.Second)
				r.fakes["atl-a-w0"].SetFaults(agent.Faults{Unreachable: true, Hang: true})
				time.Sleep(back)
				r.fakes["atl-a-w0"].SetFaults(agent.Faults{})
				r.untilCount(s.Sharder, finishedState, 40)
				r.assertGuarantees(40)
			})
		})
	}
}

// Tasks finish at a worker that the owner cannot reach, and their leases lapse.
// The worker answers again within resultTimeout, so the owner must accept its
// results instead of running the tasks again.
func TestUnreachableWorkerKeepsResults(t *testing.T) {
	withOwner(t, func(t *testing.T, r *rig, s *testOwner) {
		s.Ingest(intentOf("casts", "atl-a", 40, 12*time.Second))
		time.Sleep(5 * time.Second)
		r.fakes["atl-a-w0"].SetFaults(agent.Faults{Unreachable: true, Hang: true})
		until(t, "the runs of the unreachable worker have lapsed", func() bool { return r.count(s.Sharder, assignedState) == 0 })
		time.Sleep(10 * time.Second)
		r.fakes["atl-a-w0"].SetFaults(agent.Faults{})
		r.untilCount(s.Sharder, finishedState, 40)
		r.assertGuarantees(40)
		if starts := r.starts("casts/"); starts != 40 {
			t.Errorf("%d starts of 40 tasks that finished", starts)
		}
	})
}

// An intent is dropped after its retention. The next owner may read the store's
// record of the intent again and must not run the intent's tasks a second time.
func TestIntentsAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		s := r.startOwner("atl-a", nil)
		old := intentOf("old", "atl-a", 3, time.Second)
		old.Revision = 5
		s.Ingest(old)
		r.untilCount(s.Sharder, finishedState, 3)
		time.Sleep(time.Second)
		s.mu.Lock()
		s.expire(time.Now().Add(time.Hour))
		s.expire(time.Now().Add(time.Hour + intentRetention))
		kept := len(s.table.intents)
		s.mu.Unlock()
		if kept != 0 {
			t.Errorf("%d intents are kept", kept)
		}
		time.Sleep(time.Second)
		s.kill()

		second := r.startOwner("atl-a", nil)
		defer second.kill()
		next := intentOf("next", "atl-a", 3, time.Second)
		next.Revision = 6
		second.Ingest(old)
		second.Ingest(next)
		r.untilCount(second.Sharder, finishedState, 3)
		r.assertGuarantees(6)
	})
}

// A host crashes with its runs. Their tasks must resume at the other worker.
func TestHostLost(t *testing.T) {
	withOwner(t, func(t *testing.T, r *rig, s *testOwner) {
		s.Ingest(intentOf("casts", "atl-a", 40, 30*time.Second))
		time.Sleep(5 * time.Second)
		lost := r.fakes["atl-a-w0"]
		lost.Crash(lost.Now())
		lost.SetFaults(agent.Faults{Unreachable: true})
		r.untilCount(s.Sharder, finishedState, 40)
		r.assertGuarantees(40)
	})
}
