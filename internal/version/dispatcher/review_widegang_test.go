package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// Guards against runners that are kept empty without a pause, as large gangs of two services
// that can't start take turns with each other: what runs on one runner of each goes on.
func TestOtherWorkGoesOnBesideLargeGangsOfTwoServices(t *testing.T) {
	const span = 2 * time.Minute
	for gangs := range 3 {
		t.Run(fmt.Sprintf("%d gangs", gangs), func(t *testing.T) {
			s := &stream{harness: newHarness(t, 0, 4)}
			s.configure(nil, append(testQueues, submitter.Queue{Name: "other", Service: "s2", MaxAttempts: 2, Stretch: 1.5, Target: 300 * time.Millisecond})...)
			infos := s.table.Runners()
			for i := range infos {
				if infos[i].Service = "s"; infos[i].ID == "r2" || infos[i].ID == "r3" {
					infos[i].Service = "s2"
				}
				infos[i].Capacity = submitter.Resources{MilliCores: 16_000, MemoryMB: 64_000}
			}
			s.table.SetRunners(infos, s.now)
			s.pollAll(4)
			queues := []string{"urgent", "other"}
			n := 0
			feed := func(tasks int) {
				for range tasks {
					for _, queue := range queues {
						s.addAged(fmt.Sprintf("small%06d", n), queue, 3*time.Second, oneCore(1))
						n++
					}
				}
			}
			feed(60)
			s.starts()
			for i, queue := range queues[:gangs] {
				s.addAged(fmt.Sprint("gang", i), queue, waitBound, fullGang(2))
			}
			starts := make(map[string]int) // by service
			passes := 0
			for since := s.now; s.now.Sub(since) < span; passes++ {
				s.advance(100 * time.Millisecond)
				for _, runner := range []string{"r0", "r2"} {
					s.poll(runner) // what runs there goes on
				}
				for _, runner := range []string{"r1", "r3"} {
					s.finishOldest(runner)
				}
				feed(1)
				for _, o := range s.starts() {
					starts[s.table.subs[o.Task.Submission].service()]++
				}
			}
			for _, service := range []string{"s", "s2"} {
				if starts[service] < passes/3 {
					t.Errorf("%d small tasks of service %s have started in %s, want at least a third of %d", starts[service], service, span, passes)
				}
			}
		})
	}
}
