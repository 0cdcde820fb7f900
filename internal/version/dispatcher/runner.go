package dispatcher

import (
	"slices"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// RunnerInfo is what a runner says of itself in the registry.
type RunnerInfo struct {
	ID         string              `json:"id"`
	Service    string              `json:"service"`
	Address    string              `json:"address"`
	DataCentre string              `json:"dataCentre"`
	Rack       string              `json:"rack,omitempty"`
	Labels     []string            `json:"labels,omitempty"`
	Capacity   submitter.Resources `json:"capacity"`
	// Lifetime tells apart successive processes under one id.
	Lifetime int64 `json:"lifetime"`
	Draining bool  `json:"draining,omitempty"`
}

// A runner is what the owner knows of one runner.
type runner struct {
	info RunnerInfo
	// listed is false once the registry has dropped the runner.
	listed bool
	// fenced is true once the runner has answered under the owner's token.
	fenced   bool
	fencedAt time.Time
	used     submitter.Resources
	runs     map[runKey]*run

	heardAt  time.Time // when the newest answer arrived
	clock    int64     // the runner's clock in that answer, ms
	maxUntil int64     // the furthest lease end ever sent, ms
	lastEnd  int64     // number of the newest end that was taken in
	pending  []pendingEnd

	strikes        map[string]bool // submissions that failed here in a row
	suspendedUntil time.Time
	silentSince    time.Time
	closed         bool // the newest look found a closed connection or port
	strangers      map[runKey]time.Time
	// strangerStoppedAt is when a run that is not in the table was stopped last.
	strangerStoppedAt time.Time
	fills             int64   // milliCores wanted by filling tasks
	claimed           float64 // milliCores kept from filling tasks
	serving           int     // tasks with a tail target
	// worstTail is the highest tail in shares of its target, in the newest list.
	worstTail  float64
	calmSince  time.Time
	fillLeftAt time.Time             // when a filling task ended here last
	halted     bool                  // filling tasks have been halted
	services   map[string]*stepState // by serving image
	servingOf  map[string]int        // tasks by serving image
	fillers    map[string]int64      // milliCores wanted by filling image
}

// A runKey identifies a run at a runner.
type runKey struct {
	task submitter.TaskID
	run  int64
}

// A pendingEnd is an end that may be acknowledged once its submission's
// progress of a version is durable.
type pendingEnd struct {
	n       int64
	s       *submission
	version int64
	// unclaimed is an end of a submission that is not known (yet).
	unclaimed *End
	heardAt   time.Time
}

func newRunner(info RunnerInfo) *runner {
	return &runner{
		info: info, runs: make(map[runKey]*run), strikes: make(map[string]bool), strangers: make(map[runKey]time.Time),
		worstTail: unknownTail,
		services:  make(map[string]*stepState), servingOf: make(map[string]int), fillers: make(map[string]int64),
	}
}

// SetRunners replaces the registry's list of runners.
func (t *Table) SetRunners(infos []RunnerInfo, now time.Time) {
	seen := make(map[string]bool, len(infos))
	for _, info := range infos {
		seen[info.ID] = true
		r, ok := t.runners[info.ID]
		if !ok {
			r = newRunner(info)
			t.runners[info.ID] = r
		}
		if info.Lifetime > r.info.Lifetime {
			t.reborn(r, info.Lifetime, now)
		}
		lifetime := max(r.info.Lifetime, info.Lifetime)
		if r.info.Draining != info.Draining && info.Draining {
			t.recordRunner(now, EventRunnerDraining, r, "registry entry says draining")
		}
		r.info = info
		r.info.Lifetime = lifetime
		r.listed = true
	}
	for id, r := range t.runners {
		if seen[id] || !r.listed {
			continue
		}
		r.listed = false
		t.recordRunner(now, EventRunnerGone, r, "registry entry is gone")
		t.leave(r, now)
	}
	t.recheck = true
}

// leave ends the runs of a runner that has left as it said it would: its entry
// is gone and its process has closed its connections. The store may drop the
// entry of a runner that runs on.
func (t *Table) leave(r *runner, now time.Time) {
	if r.hasLeft() {
		t.dropRuns(r, now, "runner left")
		t.recheck = true
	}
}

func (r *runner) hasLeft() bool { return !r.listed && r.info.Draining && r.closed }

// ExpectRunners takes in the runners on which a former owner may have started
// something. The registry may have dropped some that run on.
func (t *Table) ExpectRunners(infos []RunnerInfo) {
	for _, info := range infos {
		if _, ok := t.runners[info.ID]; !ok {
			t.runners[info.ID] = newRunner(info)
		}
	}
}

// KnownRunners returns every runner on which something may run, in no order.
func (t *Table) KnownRunners() []RunnerInfo {
	infos := make([]RunnerInfo, 0, len(t.runners))
	for _, r := range t.runners {
		infos = append(infos, r.info)
	}
	return infos
}

// Runners returns the runners that have to be held or looked at.
func (t *Table) Runners() []RunnerInfo {
	infos := make([]RunnerInfo, 0, len(t.runners))
	for _, r := range t.runners {
		if r.listed || len(r.runs) > 0 || !r.fenced {
			infos = append(infos, r.info)
		}
	}
	return infos
}

// reborn takes note of another lifetime under the same id.
func (t *Table) reborn(r *runner, lifetime int64, now time.Time) {
	t.recordRunner(now, EventRunnerReborn, r, "new lifetime")
	r.info.Lifetime = lifetime
	for _, x := range r.sorted() {
		if x.known {
			t.end(x, now, "runner was restarted")
			continue
		}
		// The start may still be carried out, now by the new lifetime.
		x.phase = running
		t.stop(x, now, "unanswered start at a restarted runner")
	}
	r.fenced = false
	r.heardAt, r.clock, r.maxUntil = time.Time{}, 0, 0
	r.lastEnd, r.pending = 0, nil
	clear(r.strangers)
	r.strangerStoppedAt = time.Time{}
	clear(r.strikes)
	r.suspendedUntil = time.Time{}
	r.halted = false
	r.worstTail = unknownTail
}

// dropRuns takes note that nothing runs on a runner any more.
func (t *Table) dropRuns(r *runner, now time.Time, reason string) {
	for _, lost := range r.sorted() {
		t.end(lost, now, reason)
	}
}

func (r *runner) sorted() []*run {
	runs := make([]*run, 0, len(r.runs))
	for _, x := range r.runs {
		runs = append(runs, x)
	}
	slices.SortFunc(runs, func(a, b *run) int { return a.startedAt.Compare(b.startedAt) })
	return runs
}

// lapsedBy returns the time by which every lease on a runner has run out if it
// is not renewed, late orders included.
func (t *Table) lapsedBy(r *runner) time.Time {
	if r.heardAt.IsZero() {
		return t.formerEnd.Add(scaleDrift(t.limits.MaxLease)).Add(lapseMargin)
	}
	left := time.Duration(max(0, r.maxUntil-r.clock)) * time.Millisecond
	return r.heardAt.Add(scaleDrift(min(left, 2*t.limits.MaxLease))).Add(lapseMargin)
}

// hasLapsed reports whether every lease on a runner has run out. A successor may
// renew leases at runners that this owner does not reach, so the record has to
// be confirmed later than their end.
func (t *Table) hasLapsed(r *runner, now time.Time) bool {
	if r.hasLeft() {
		return true
	}
	end := t.lapsedBy(r)
	return !now.Before(end) && !t.confirmedAt.Before(end)
}

// SetFormerOwnerEnd sets the time up to which a former owner may have renewed leases
// at runners that this owner does not reach.
func (t *Table) SetFormerOwnerEnd(end time.Time) {
	if end.After(t.formerEnd) {
		t.formerEnd = end
	}
}

// FormerOwnerEnded takes note that the former owner has stopped.
func (t *Table) FormerOwnerEnded(now time.Time) {
	if now.Before(t.formerEnd) {
		t.formerEnd = now
		t.recheck = true
	}
}

// scaleDrift stretches a time on a runner's clock to the longest real time.
func scaleDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 - clockDrift))
}

// renewSilent is how long a silent runner's leases are renewed: an unanswered
// look may have arrived. It outlasts one that was lost.
const renewSilent = 2 * time.Second

// LeaseUntil returns the end of the lease to be sent to a runner now, on its
// clock in milliseconds; zero if its clock is not known.
//
// Load: runners that are lost. Whatever may still run there can be started
// elsewhere only after the furthest lease that was sent, so that a runner gets
// no further time until it answers.
func (t *Table) LeaseUntil(id string, now time.Time) int64 {
	r, ok := t.runners[id]
	if !ok || r.heardAt.IsZero() {
		return 0
	}
	until := r.clock + (min(now.Sub(r.heardAt), renewSilent) + t.limits.LeaseSpan).Milliseconds()
	r.maxUntil = max(r.maxUntil, until)
	return until
}

// isCertain reports whether every run that an earlier owner may have started is
// known or has lapsed.
func (t *Table) isCertain(now time.Time) bool {
	if !t.inherited {
		return true
	}
	for _, r := range t.runners {
		if !t.isKnown(r, now) && !t.hasLapsed(r, now) {
			return false
		}
	}
	return true
}

// isKnown reports whether all that runs on a runner is in the table: its list
// leaves out what an earlier owner was about to stop.
func (t *Table) isKnown(r *runner, now time.Time) bool {
	stopped := !t.inherited || t.vouched[r.info.ID] || now.Sub(r.fencedAt) >= t.stopSpan()
	return r.fenced && stopped && len(r.strangers) == 0 && now.Sub(r.strangerStoppedAt) >= t.stopSpan()
}

// MarkSettled takes note of the runners on which the former owner, which has ended,
// had no stop under way. Its orders that are still on their way are refused
// under this owner's token.
func (t *Table) MarkSettled(runners []string, now time.Time) {
	t.FormerOwnerEnded(now)
	t.vouched = make(map[string]bool, len(runners))
	for _, id := range runners {
		t.vouched[id] = true
	}
	t.recheck = true
}

// Settled returns, in order, the runners for which this owner can vouch to a
// successor once it gives no more orders.
func (t *Table) Settled(now time.Time) []string {
	var ids []string
	for id, r := range t.runners {
		if t.isKnown(r, now) && !r.isStopping() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// isStopping reports whether a run takes up room that the runner may not list.
func (r *runner) isStopping() bool {
	for _, x := range r.runs {
		if x.phase == stopping {
			return true
		}
	}
	return false
}

func (r *runner) free() submitter.Resources { return r.info.Capacity.Minus(r.used) }

func (r *runner) hasLabel(label string) bool { return slices.Contains(r.info.Labels, label) }
