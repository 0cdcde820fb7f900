package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

const (
	// maxRegistryLag is how late the registry delivers a capacity at most.
	maxRegistryLag = 2800 * time.Millisecond
	// resizeAllowance is the time from which a smaller capacity counts.
	resizeAllowance = 4500 * time.Millisecond
	// resizeSettleTime is longer than leases and the suspensions of runners on which
	// tasks fail.
	resizeSettleTime = 15 * time.Second
)

// A resize is a change of the capacity of a simRunner, which the registry delivers later.
type resize struct {
	at           time.Time
	capacity     submitter.Resources
	registeredAt time.Time
}

// capacity returns the capacity that a runner has now.
func (r *simRunner) capacity() submitter.Resources { return r.resizes[len(r.resizes)-1].capacity }

// registered returns the capacity that the registry shows for a runner.
func (r *simRunner) registered(now time.Time) (capacity submitter.Resources) {
	for _, change := range r.resizes {
		if !change.registeredAt.After(now) {
			capacity = change.capacity
		}
	}
	return capacity
}

// mostCores returns the largest number of cores that a runner had within resizeAllowance.
func (r *simRunner) mostCores(now time.Time) (most int64) {
	for _, change := range r.resizes {
		if !change.at.After(now.Add(-resizeAllowance)) {
			most = change.capacity.MilliCores / 1000
		} else {
			most = max(most, change.capacity.MilliCores/1000)
		}
	}
	return most
}

// resize changes the capacity of a runner. The registry delivers changes in their order.
func (c *chaos) resize(r *simRunner, cores int64, lag time.Duration) {
	registeredAt := c.now.Add(lag)
	if last := r.resizes[len(r.resizes)-1].registeredAt; last.After(registeredAt) {
		registeredAt = last
	}
	r.resizes = append(r.resizes, resize{c.now, withCores(cores), registeredAt})
}

// isResizeDue reports whether the registry delivers a capacity in this step.
func (c *chaos) isResizeDue() bool {
	for _, r := range c.runners {
		for _, change := range r.resizes {
			if !change.registeredAt.After(c.now) && change.registeredAt.After(c.now.Add(-chaosStep)) {
				return true
			}
		}
	}
	return false
}

// resizeAtRandom changes the capacity of a runner, or ends a run there so that there is
// something to start.
func (c *chaos) resizeAtRandom(r *simRunner) {
	switch rapid.IntRange(0, 10).Draw(c.t, "resize") {
	case 0:
		lag := time.Duration(rapid.IntRange(0, int(maxRegistryLag/time.Millisecond)).Draw(c.t, "lag")) * time.Millisecond
		c.resize(r, int64(rapid.IntRange(0, 8).Draw(c.t, "cores")), lag)
	case 1, 2:
		if keys := sortedKeys(r.running); len(keys) > 0 {
			r.end(keys[0], Failure)
		}
	}
}

// checkStart fails the play if a start goes to a runner that drains, as the owner knows, or
// brings a runner over the capacity that the owner knows, or over what the runner has had
// within resizeAllowance.
func (c *chaos) checkStart(r *simRunner, o Order) {
	if o.Kind != Start {
		return
	}
	known := c.table.runners[o.Runner]
	if known.info.Draining {
		c.t.Fatalf("%s: start of %s on %s, which drains", c.now.Sub(epoch), o.Task, o.Runner)
	}
	if known.isOvercommitted() {
		c.t.Fatalf("%s: start of %s on %s with %+v of %+v in use", c.now.Sub(epoch), o.Task, o.Runner, known.used, known.info.Capacity)
	}
	wanted, used := c.milliCoresOf(o.Task), int64(0)
	for key := range r.running {
		used += c.milliCoresOf(key.task)
	}
	if most := r.mostCores(c.now); o.Lifetime == r.lifetime && wanted > 0 && used+wanted > 1000*most {
		c.t.Fatalf("%s: start of %s on %s, where tasks take %d milliCores and which has had %d cores at most for %s",
			c.now.Sub(epoch), o.Task, o.Runner, used, most, resizeAllowance)
	}
}

// milliCoresOf returns the processors that a task reserves.
func (c *chaos) milliCoresOf(id submitter.TaskID) int64 {
	step := c.stepOf(id)
	return step.Reserved().MilliCores
}

// Runners shrink and grow, tasks fail, orders are lost or late, runners are cut off or
// crash, and owners change: no start brings a runner over its capacity, and all tasks run
// once the runners have grown again.
func TestStartsKeepToCapacitiesThatChange(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		c := newChaos(r, 6)
		c.resizing, c.statesCapacity = true, rapid.Bool().Draw(r, "stated")
		for i := range 4 {
			step := oneCore(8)
			step.LongRunning = true
			sub := &submitter.Submission{ID: fmt.Sprintf("s%d", i), Queue: "urgent", Steps: []submitter.Step{step}, AcceptedAt: c.now, Owner: c.fence}
			c.subs = append(c.subs, sub)
			c.table.Add(sub, nil, c.now)
		}
		takeover := time.Duration(rapid.IntRange(0, int(chaosTakeover/time.Millisecond)).Draw(r, "takeover")) * time.Millisecond
		for generation := int64(1); c.now.Sub(epoch) < chaosFaultsEnd; c.step() {
			if generation == 1 && c.now.Sub(epoch) > takeover {
				c.takeOver(generation)
				generation++
			}
		}
		c.faulty = false
		for _, runner := range c.sorted() {
			c.resize(runner, testCapacity.MilliCores/1000, maxRegistryLag)
		}
		for settled := epoch.Add(max(chaosFaultsEnd+resizeSettleTime, takeover+chaosTakeoverTime)); c.now.Before(settled); {
			c.step()
		}
		c.assertAllRun()
	})
}
