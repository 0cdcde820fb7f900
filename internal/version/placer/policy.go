package placer

import (
	"fmt"
	"slices"
	"time"
)

// A score rates a worker that can hold a task. Scores are compared field by
// field, and the lowest wins.
type score struct {
	// sameRack is the number of the intent's tasks in the worker's rack.
	sameRack int
	// slowdown is the estimated slowdown in multiples of slowdownStep.
	slowdown int
	// leftover is the free processor capacity after placement, in milliCores;
	// negated where the emptiest worker is preferred.
	leftover int64
}

// less reports whether s is better than other.
func (s score) less(other score) bool {
	if s.sameRack != other.sameRack {
		return s.sameRack < other.sameRack
	}
	if s.slowdown != other.slowdown {
		return s.slowdown < other.slowdown
	}
	return s.leftover < other.leftover
}

// A scoreFunc rates a worker that can hold a task.
type scoreFunc func(a *allocation, s *workerState, task *Task) score

// A scoringPolicy places each task on the worker with the lowest score.
type scoringPolicy struct {
	score scoreFunc
	// mayDisplace allows displacing batch tasks for urgent and latency-critical
	// ones.
	mayDisplace bool
	// takeFirst selects the first worker that can hold the task, without comparing
	// scores.
	takeFirst bool
}

var _ Policy = (*scoringPolicy)(nil)

// slowdownStep is the granularity of estimated slowdowns, in percent: smaller
// differences don't affect placement.
const slowdownStep = 1.0

// NewInterferenceAware returns the policy that limits the slowdown of services
// by batch tasks, spreads replicas over racks and packs batch tasks tightly.
func NewInterferenceAware() Policy {
	return &scoringPolicy{score: interferenceScore, mayDisplace: true}
}

// NewFirstFit returns the baseline policy that selects the first worker that
// can hold a task.
func NewFirstFit() Policy {
	return &scoringPolicy{score: zeroScore, takeFirst: true}
}

// NewLeastLoaded returns the baseline policy that selects the worker with the
// most free processors.
func NewLeastLoaded() Policy {
	return &scoringPolicy{score: leastLoadedScore}
}

// NewInterferenceUnaware returns the policy of NewInterferenceAware with scores
// that ignore the estimated slowdown.
func NewInterferenceUnaware() Policy {
	return &scoringPolicy{score: spreadOrPackScore, mayDisplace: true}
}

func zeroScore(*allocation, *workerState, *Task) score { return score{} }

func leastLoadedScore(_ *allocation, s *workerState, task *Task) score {
	return score{leftover: -s.free.Minus(task.Size).MilliCores}
}

func interferenceScore(a *allocation, s *workerState, task *Task) score {
	rating := spreadOrPackScore(a, s, task)
	rating.slowdown = int(a.taskSlowdown(s, task) / slowdownStep)
	return rating
}

// spreadOrPackScore rates a worker without regard to slowdowns. A latency-critical task goes to
// the rack with the fewest tasks of its intent, and there to the worker with the most free
// processors. Any other task goes to the worker that it leaves with the fewest free processors.
func spreadOrPackScore(a *allocation, s *workerState, task *Task) score {
	left := s.free.Minus(task.Size).MilliCores
	if !task.LatencyCritical {
		return score{leftover: left}
	}
	return score{sameRack: a.rackCounts[intentRack{task.Intent, s.worker.Rack}], leftover: -left}
}

// Place implements Policy.
func (p *scoringPolicy) Place(snapshot *Snapshot, tasks []Task, now time.Time) Decision {
	a := newAllocation(snapshot)
	q := newFairQueue(snapshot, tasks)
	var d Decision
	for q.placeNext(func(task *Task) bool { return p.placeOne(a, task, &d) }) {
	}
	return d
}

// placeOne places one task, adds the choice or rejection to the decision and
// reports whether the task was placed.
func (p *scoringPolicy) placeOne(a *allocation, task *Task, d *Decision) bool {
	if reason, ok := neverFits(a, task); ok {
		d.Rejections = append(d.Rejections, Rejection{Task: task.ID, Reason: reason, Permanent: true})
		return false
	}
	if !a.withinQuota(task.Team, task.Size) {
		reason := fmt.Sprintf("task exceeds the remaining quota of team %s", task.Team)
		d.Rejections = append(d.Rejections, Rejection{Task: task.ID, Reason: reason})
		return false
	}
	if s := p.bestWorker(a, task); s != nil {
		a.bind(s, task)
		d.Choices = append(d.Choices, Choice{Task: task.ID, Worker: s.worker.Name, Why: explainChoice(s, task)})
		return true
	}
	if choice, ok := p.displace(a, task); ok {
		d.Choices = append(d.Choices, choice)
		return true
	}
	d.Rejections = append(d.Rejections, Rejection{Task: task.ID, Reason: "no worker has enough free capacity within the slowdown limit of its services"})
	return false
}

// bestWorker returns the usable worker with the lowest score, or nil if none
// can hold the task.
func (p *scoringPolicy) bestWorker(a *allocation, task *Task) *workerState {
	var found *workerState
	var lowest score
	for i := range a.workers {
		s := &a.workers[i]
		if !s.usable || !task.Size.Fits(s.free) || slices.Contains(task.Avoid, s.worker.Name) {
			continue
		}
		if !a.withinSlowdown(s, task) {
			continue
		}
		if p.takeFirst {
			return s
		}
		rating := p.score(a, s, task)
		if found == nil || rating.less(lowest) {
			found, lowest = s, rating
		}
	}
	return found
}

// neverFits reports whether the task exceeds the capacity of every worker or
// the quota of its team, so that it can't be placed even on an empty worker, and
// returns the reason. Without any workers, capacity is not checked.
func neverFits(a *allocation, task *Task) (string, bool) {
	if quota, ok := a.quotas[task.Team]; ok && !task.Size.Fits(quota.Limit) {
		return fmt.Sprintf("task exceeds the quota of team %s", task.Team), true
	}
	for i := range a.workers {
		if task.Size.Fits(a.workers[i].worker.Capacity) {
			return "", false
		}
	}
	if len(a.workers) == 0 {
		return "", false
	}
	return "task exceeds the capacity of every worker", true
}

// explainChoice returns the reason that is recorded for a choice without
// displacements.
func explainChoice(s *workerState, task *Task) string {
	if task.LatencyCritical {
		return "spread over racks, then least slowdown; rack " + s.worker.Rack
	}
	return "least slowdown of services, then tightest fit"
}
