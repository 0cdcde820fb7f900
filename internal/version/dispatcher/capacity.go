package dispatcher

import (
	"fmt"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/holder"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// capacityStatements holds what one incarnation of a runner has said of its capacity. The
// capacity that follows from it is RunnerInfo.Capacity. An amount that has shrunk counts
// at once, whoever says so. One that has grown counts unless the statement may be older
// than one that said less.
type capacityStatements struct {
	// registered is the capacity in the newest registry entry. It is not known until the
	// registry has an entry of the incarnation.
	registered holder.Optional[submitter.Resources]
	// isReported says that the newest report states the capacity. The registry lags
	// behind such a runner.
	isReported bool
	// shrunkAt is when the registry last said less than was known.
	shrunkAt time.Time
}

// registerCapacity applies the capacity in a runner's registry entry, which is delivered
// again while it stays the same.
func (t *Table) registerCapacity(r *runner, info RunnerInfo, now time.Time) {
	if r.isFormer(info.Lifetime) {
		return // the entry of a former incarnation
	}
	stated := info.Capacity
	before, ok := r.capacity.registered.Get()
	if ok && before == stated {
		return
	}
	r.capacity.registered = holder.Known(stated)
	if !r.info.Capacity.Fits(stated) {
		r.capacity.shrunkAt = now
	}
	if r.capacity.isReported {
		stated = stated.Min(r.info.Capacity)
	}
	t.setCapacity(r, stated, "registry", now)
}

// reportCapacity applies the capacity in a report that was requested at sentAt.
func (t *Table) reportCapacity(r *runner, reported holder.Optional[submitter.Resources], sentAt, now time.Time) {
	stated, ok := reported.Get()
	r.capacity.isReported = ok
	if !ok {
		return
	}
	if !sentAt.After(r.capacity.shrunkAt) {
		stated = stated.Min(r.info.Capacity)
	}
	t.setCapacity(r, stated, "report", now)
}

// setCapacity sets the capacity of a runner. What runs there goes on, even if it no longer
// fits.
func (t *Table) setCapacity(r *runner, capacity submitter.Resources, source string, now time.Time) {
	before := r.info.Capacity
	if capacity == before {
		return
	}
	r.info.Capacity = capacity
	t.placementDue = true
	t.rec.Record(now, EventRunnerCapacity, recorder.Fields{
		"runner": r.info.ID, "before": formatResources(before), "after": formatResources(capacity), "source": source,
		"used": formatResources(r.used),
	})
}

func formatResources(r submitter.Resources) string {
	return fmt.Sprintf("%d milliCores, %d MB, %d GPUs", r.MilliCores, r.MemoryMB, r.GPUs)
}

// isOvercommitted reports whether the runs on a runner, with those whose starts were not
// sent yet, exceed its capacity.
func (r *runner) isOvercommitted() bool { return !r.used.Fits(r.info.Capacity) }

// hasEntry reports whether the registry has shown an entry of the runner's incarnation,
// which may have another capacity and other labels than the former one.
func (r *runner) hasEntry() bool {
	_, ok := r.capacity.registered.Get()
	return ok
}
