package sharder

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/lister"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/standin/judge"
	"github.com/kumquatstack/kumquatstack/internal/standin/keyvalue"
	agent "github.com/kumquatstack/kumquatstack/internal/standin/worker"
)

// Without the store no change becomes durable. Runs must go on and finish, but
// nothing new may start until the store answers again.
func TestStoreOutage(t *testing.T) {
	withOwner(t, func(t *testing.T, r *rig, s *testOwner) {
		s.Ingest(intentOf("casts", "atl-a", 100, 20*time.Second))
		r.untilCount(s.Sharder, assignedState, 64)
		time.Sleep(2 * time.Second)
		r.store.SetFaults(keyvalue.Faults{Outage: true})
		time.Sleep(2 * time.Minute)
		if done := len(judge.Finished(r.fleet.Records())); done != 64 {
			t.Errorf("%d tasks finished in the outage, want the 64 that ran", done)
		}
		r.store.SetFaults(keyvalue.Faults{LoseAnswersPercent: 30})
		r.untilCount(s.Sharder, finishedState, 100)
		r.assertGuarantees(100)
	})
}

// A data centre is taken out of service and returns. Its tasks must move away
// without a late start there or a long gap, and new work must move in once it
// has returned.
func TestDataCentreOutAndIn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 3)
		atl, ath := r.startOwner("atl-a", nil), r.startOwner("ath-a", nil)
		defer atl.kill()
		defer ath.kill()
		monitors := intentOf("watch", "atl-a", 4, 0)
		monitors.Kind = kumquatv1.TaskKind_TASK_KIND_KEEP_RUNNING
		atl.Ingest(monitors)
		atl.Ingest(intentOf("casts", "atl-a", 60, 30*time.Second))
		time.Sleep(5 * time.Second)
		r.setOut("atl-a", true)
		out := time.Now()
		until(t, "all tasks are elsewhere", func() bool {
			return r.count(atl.Sharder, movedState) == 64 && r.count(ath.Sharder, assignedState) > 4
		})
		t.Logf("moved within %s", time.Since(out))
		r.untilCount(ath.Sharder, finishedState, 60)
		if late := judge.LateStarts(r.fleet.Records(), "atl-a", out.Add(time.Second), time.Time{}); len(late) > 0 {
			t.Errorf("started after the data centre was out: %v", late)
		}
		r.assertMonitorGap("watch", 4, 8*time.Second)
		r.setOut("atl-a", false)
		ath.Ingest(intentOf("more", "ath-a", 150, 30*time.Second))
		until(t, "tasks move back", func() bool { return r.count(atl.Sharder, assignedState) > 20 })
		until(t, "all tasks are finished", func() bool {
			return r.count(atl.Sharder, finishedState)+r.count(ath.Sharder, finishedState) == 210
		})
		r.assertGuarantees(210)
	})
}

// assertMonitorGap checks that no task of an intent was without a run for
// longer than a bound after its first start.
func (r *rig) assertMonitorGap(intent string, tasks int, bound time.Duration) {
	r.t.Helper()
	ended := make(map[string]time.Time)
	starts := 0
	for _, record := range r.fleet.Records() {
		if !strings.HasPrefix(record.Task, intent+"/") {
			continue
		}
		if record.Kind == judge.KindEnd {
			ended[record.Task] = record.At
			continue
		}
		starts++
		if at, ok := ended[record.Task]; ok {
			delete(ended, record.Task)
			if gap := record.At.Sub(at); gap > bound {
				r.t.Errorf("%s had no run for %s", record.Task, gap)
			}
		}
	}
	if len(ended) > 0 || starts < 2*tasks {
		r.t.Errorf("%d monitors don't run, %d starts", len(ended), starts)
	}
}

func TestCancellation(t *testing.T) {
	cancelAll := func(t *testing.T, r *rig, s *testOwner, want int32) {
		t.Helper()
		before := r.store.Counts().Writes
		response, err := s.CancelTasks(t.Context(), &kumquatv1.CancelTasksRequest{Intent: "casts"})
		if err != nil || response.GetCancelled() != want {
			t.Fatalf("cancelled %v, %v, want %d", response, err, want)
		}
		if writes := r.store.Counts().Writes - before; writes > 4 {
			t.Errorf("%d store writes for one call, want at most 4", writes)
		}
	}
	t.Run("10,000 tasks before and after their start", func(t *testing.T) {
		withOwner(t, func(t *testing.T, r *rig, s *testOwner) {
			s.Ingest(intentOf("casts", "atl-a", 10000, time.Hour))
			r.untilCount(s.Sharder, assignedState, 64)
			time.Sleep(3 * time.Second)
			cancelAll(t, r, s, 10000)
			r.untilCount(s.Sharder, cancelledState, 10000)
			if running := r.running(); running != 0 {
				t.Errorf("%d tasks run after the cancellation", running)
			}
			r.assertGuarantees(0)
		})
	})
	t.Run("during the start", func(t *testing.T) {
		withOwner(t, func(t *testing.T, r *rig, s *testOwner) {
			for _, fake := range r.fakes {
				fake.SetFaults(agent.Faults{DelayMillis: 500})
			}
			s.Ingest(intentOf("casts", "atl-a", 20, time.Hour))
			r.untilCount(s.Sharder, assignedState, 20)
			time.Sleep(300 * time.Millisecond)
			cancelAll(t, r, s, 20)
			r.untilCount(s.Sharder, cancelledState, 20)
			if running := r.running(); running != 0 {
				t.Errorf("%d tasks run after the cancellation", running)
			}
		})
	})
	t.Run("before the intent is known", func(t *testing.T) {
		withOwner(t, func(t *testing.T, r *rig, s *testOwner) {
			cancelAll(t, r, s, 0)
			s.Ingest(intentOf("casts", "atl-a", 20, time.Hour))
			time.Sleep(5 * time.Second)
			if starts := len(r.fleet.Records()); starts != 0 {
				t.Errorf("%d starts of a cancelled intent", starts)
			}
		})
	})
}

// All tasks fail at one worker. It must be quarantined, also under the next
// owner, and released once tasks succeed there again.
func TestBadWorkerIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 3)
		r.fakes["atl-a-w1"].SetFaults(agent.Faults{FailAll: true})
		s := r.startOwner("atl-a", nil)
		defer s.kill()
		s.Ingest(intentOf("casts", "atl-a", 150, 30*time.Second))
		r.untilCount(s.Sharder, finishedState, 150)
		r.assertGuarantees(150)
		r.assertQuarantined(s, "atl-a-w1", true)
		s.kill()

		second := r.startOwner("atl-a", nil)
		defer second.kill()
		r.assertQuarantined(second, "atl-a-w1", true)
		r.fakes["atl-a-w1"].SetFaults(agent.Faults{})
		time.Sleep(10 * time.Minute)
		second.Ingest(intentOf("probes", "atl-a", 150, 30*time.Second))
		r.untilCount(second.Sharder, finishedState, 300)
		r.assertQuarantined(second, "atl-a-w1", false)
	})
}

func (r *rig) assertQuarantined(s *testOwner, name string, want bool) {
	r.t.Helper()
	until(r.t, "the worker's quarantine is as wanted", func() bool {
		for _, status := range s.Status(&kumquatv1.ShardStatusRequest{}).GetWorkers() {
			if status.GetWorker() == name && status.GetQuarantined() == want {
				return true
			}
		}
		return false
	})
}

// Tasks of one intent fail at every worker. The intent must be refused, and no
// worker may be quarantined for the failures of these tasks.
func TestBadJobIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 5)
		for _, fake := range r.fakes {
			fake.SetFaults(agent.Faults{FailClasses: []string{"broken"}})
		}
		s := r.startOwner("atl-a", nil)
		defer s.kill()
		bad := intentOf("bad", "atl-a", 50, 30*time.Second)
		bad.Class = "broken"
		s.Ingest(bad)
		s.Ingest(intentOf("casts", "atl-a", 100, 30*time.Second))
		r.untilCount(s.Sharder, refusedState, 50)
		r.untilCount(s.Sharder, finishedState, 100)
		r.assertGuarantees(100)
		for i := range 5 {
			r.assertQuarantined(s, "atl-a-w"+string(rune('0'+i)), false)
		}
	})
}

// A checkpoint that fails or hangs must not keep an evicted task on its worker.
func TestCheckpointFails(t *testing.T) {
	for name, faults := range map[string]agent.Faults{
		"fails": {FailCheckpoints: true},
		"hangs": {HangCheckpoints: true},
	} {
		t.Run(name, func(t *testing.T) {
			withOwner(t, func(t *testing.T, r *rig, s *testOwner) {
				s.Ingest(intentOf("casts", "atl-a", 10, 30*time.Second))
				time.Sleep(5 * time.Second)
				for _, fake := range r.fakes {
					fake.SetFaults(faults)
				}
				s.evictSome()
				time.Sleep(checkpointTimeout + 4*time.Second)
				r.assertSecondRuns(4)
				r.untilCount(s.Sharder, finishedState, 10)
				r.assertGuarantees(10)
			})
		})
	}
}

// assertSecondRuns checks how many tasks have started a second run.
func (r *rig) assertSecondRuns(want int) {
	r.t.Helper()
	again := 0
	for _, record := range r.fleet.Records() {
		if record.Kind == judge.KindStart && record.Run == 2 {
			again++
		}
	}
	if again != want {
		r.t.Errorf("%d tasks started again, want %d", again, want)
	}
}

func TestUrgentMakesRoom(t *testing.T) {
	withOwner(t, func(t *testing.T, r *rig, s *testOwner) {
		s.Ingest(intentOf("casts", "atl-a", 80, 60*time.Second))
		time.Sleep(5 * time.Second)
		urgent := intentOf("cleanup", "atl-a", 3, 5*time.Second)
		urgent.Kind = kumquatv1.TaskKind_TASK_KIND_RUN_NOW
		urgent.Resources.MemoryBytes = 64 * testGB
		s.Ingest(urgent)
		asked := time.Now()
		until(t, "the urgent tasks run", func() bool { return r.starts("cleanup/") == 3 })
		if took := time.Since(asked); took > 8*time.Second {
			t.Errorf("urgent tasks started after %s", took)
		}
		r.untilCount(s.Sharder, finishedState, 83)
		r.assertGuarantees(83)
	})
}

// Urgent tasks that need only processors must make room by throttles, without
// evictions. The throttles must be lifted afterwards, also by the next owner.
func TestUrgentThrottlesFirst(t *testing.T) {
	for name, ownerDies := range map[string]bool{"one owner": false, "the owner dies meanwhile": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, 2)
				for _, fake := range r.fakes {
					fake.SetModel(time.Now(), agent.Model{UsagePercent: map[string]int{"casting": 200}})
				}
				s := r.startOwner("atl-a", nil)
				defer func() { s.kill() }()
				s.Ingest(intentOf("casts", "atl-a", 64, time.Hour))
				time.Sleep(time.Minute)
				before := r.starts("casts/")
				urgent := intentOf("cleanup", "atl-a", 2, 20*time.Second)
				urgent.Kind, urgent.Class = kumquatv1.TaskKind_TASK_KIND_RUN_NOW, "cleaning"
				urgent.Resources.MilliCores = 8000
				s.Ingest(urgent)
				time.Sleep(8 * time.Second)
				if started, throttled := r.starts("cleanup/"), r.throttled(s); started != 2 || throttled != 16 {
					t.Errorf("%d urgent tasks started within 8 s with %d tasks throttled, want 2 and 16", started, throttled)
				}
				if ownerDies {
					s.kill()
					s = r.startOwner("atl-a", nil)
				}
				time.Sleep(time.Minute)
				if again, throttled := r.starts("casts/")-before, r.throttled(s); again != 0 || throttled != 0 {
					t.Errorf("%d tasks started again and %d are throttled after it, want none", again, throttled)
				}
				r.assertGuarantees(2)
			})
		})
	}
}

// throttled returns the number of throttled runs at all workers.
func (r *rig) throttled(s *testOwner) (throttled int) {
	for _, fake := range r.fakes {
		report, err := fake.Report(r.t.Context(), s.fence())
		if err != nil {
			r.t.Fatal(err)
		}
		for _, run := range report.Runs {
			if run.ThrottlePercent > 0 {
				throttled++
			}
		}
	}
	return throttled
}

// starts returns the number of starts of tasks whose id begins with a prefix.
func (r *rig) starts(prefix string) int {
	starts := 0
	for _, record := range r.fleet.Records() {
		if record.Kind == judge.KindStart && strings.HasPrefix(record.Task, prefix) {
			starts++
		}
	}
	return starts
}

// Tasks use twice what they declare. The owner must learn that and keep only as
// many on each worker as it has room for.
func TestLargerThanDeclared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 2)
		for _, fake := range r.fakes {
			fake.SetModel(time.Now(), agent.Model{UsagePercent: map[string]int{"casting": 200}})
		}
		s := r.startOwner("atl-a", nil)
		defer s.kill()
		s.Ingest(intentOf("casts", "atl-a", 64, time.Hour))
		time.Sleep(time.Minute)
		if running := r.running(); running != 32 {
			t.Errorf("%d tasks run, want 32 of twice their declared size", running)
		}
		r.assertGuarantees(0)
	})
}

func TestLeavingHost(t *testing.T) {
	withOwner(t, func(t *testing.T, r *rig, s *testOwner) {
		s.Ingest(intentOf("casts", "atl-a", 20, 60*time.Second))
		time.Sleep(5 * time.Second)
		r.mu.Lock()
		r.hosts[0].State = lister.StateLeaving
		r.mu.Unlock()
		time.Sleep(10 * time.Second)
		s.mu.Lock()
		left := len(s.table.byWorker["atl-a-w0"])
		s.mu.Unlock()
		if left != 0 {
			t.Errorf("%d tasks are left on a leaving host", left)
		}
		r.untilCount(s.Sharder, finishedState, 20)
		r.assertGuarantees(20)
	})
}

// An owner without the authority to start must keep its runs but start none.
func TestStartAuthority(t *testing.T) {
	withOwner(t, func(t *testing.T, r *rig, s *testOwner) {
		s.Ingest(intentOf("casts", "atl-a", 10, time.Minute))
		time.Sleep(5 * time.Second)
		s.authority.set(true, false)
		s.Ingest(intentOf("more", "atl-a", 10, time.Second))
		time.Sleep(30 * time.Second)
		if running, started := r.running(), r.starts("more/"); running != 10 || started != 0 {
			t.Errorf("%d run and %d started without start authority, want 10 and 0", running, started)
		}
		s.authority.set(true, true)
		r.untilCount(s.Sharder, finishedState, 20)
		r.assertGuarantees(20)
	})
}

// An owner that is cut off from its authority must not renew leases or send
// commands, so that its runs lapse.
func TestAuthorityInterrupted(t *testing.T) {
	withOwner(t, func(t *testing.T, r *rig, s *testOwner) {
		s.Ingest(intentOf("casts", "atl-a", 10, 30*time.Second))
		time.Sleep(5 * time.Second)
		s.authority.set(false, false)
		calls := len(r.fleet.Records())
		s.evictSome()
		time.Sleep(testLease + 5*time.Second)
		if lapsed := len(r.fleet.Records()) - calls; lapsed != 10 {
			t.Errorf("%d runs ended without authority, want all 10 to lapse", lapsed)
		}
		s.authority.set(true, true)
		r.untilCount(s.Sharder, finishedState, 10)
		r.assertGuarantees(10)
	})
}
