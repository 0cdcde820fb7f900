package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// Long-running tasks run again within a few seconds after the last of a series of faults,
// if the runners have room, and never twice at once: runners that are cut off, that crash
// and come back under their id, orders that are lost, carried out without an answer, or
// carried out late, tasks that fail, and owners that change meanwhile. A submission
// may fail only if several runners in a row were lost under one of its tasks.
func TestLongRunningTasksRunAfterFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) { playLongRunning(newChaos(r, 6), chaosTakeoverTime) })
}

// The same with owners that report to their successors what they leave. Nothing has to be
// waited for then but the leases that the former owner has granted.
func TestLongRunningTasksRunAfterHandovers(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		c := newChaos(r, 6)
		c.handsOver = true
		playLongRunning(c, chaosTakeoverTime-chaosUnconfirmed)
	})
}

// playLongRunning lets long-running tasks run through faults and a change of owner, after
// which a task may run on a lost runner for some time.
func playLongRunning(c *chaos, takeoverTime time.Duration) {
	r := c.t
	lost := c.runners["r5"]       // is lost for good some time
	var carriedOver time.Duration // when starts that the lost runner may have carried out have lapsed
	takeover := time.Duration(rapid.IntRange(0, int(2*chaosTakeover/time.Millisecond)).Draw(r, "takeover")) * time.Millisecond
	lossAt := time.Duration(rapid.IntRange(0, int(chaosFaultsEnd/time.Millisecond)).Draw(r, "loss")) * time.Millisecond
	for i := range 4 {
		step := oneCore(4)
		step.LongRunning = true
		if i == 0 {
			step.MaxPerRunner = 1
		}
		sub := &submitter.Submission{ID: fmt.Sprintf("s%d", i), Queue: "urgent", Steps: []submitter.Step{step}, AcceptedAt: c.now, Owner: c.fence}
		c.subs = append(c.subs, sub)
		c.table.Add(sub, nil, c.now)
	}
	for generation := int64(1); c.now.Sub(epoch) < chaosFaultsEnd; c.step() {
		if !lost.isLost && c.now.Sub(epoch) > lossAt {
			if lost.restarts > 0 {
				// A new owner that has not heard of the incarnation waits for starts of the former one.
				carriedOver = max(lost.bornAt.Sub(epoch)+chaosCarryOverTime, takeover+takeoverTime+chaosCallDelay)
			}
			lost.isLost, lost.isDown, lost.downTill = true, true, c.now.Add(time.Hour)
			lost.reset(c.now)
			lost.listed, lost.listedAt = 0, time.Time{}
			c.register()
		}
		if generation == 1 && c.now.Sub(epoch) > takeover {
			c.takeOver(generation)
			generation++
		}
	}
	c.faulty = false
	settled := epoch.Add(max(chaosFaultsEnd+chaosSettleTime, takeover+takeoverTime, carriedOver))
	for c.now.Before(settled) {
		c.step()
	}
	c.assertAllRun()
}
