package placer

import (
	"fmt"
	"slices"
	"time"
)

// A score orders the workers that can hold a task; the lowest wins,
// compared field by field.
type score struct {
	spread   int
	slowdown int
	fit      int64
}

// less reports whether the score is better than another.
func (s score) less(other score) bool {
	if s.spread != other.spread {
		return s.spread < other.spread
	}
	if s.slowdown != other.slowdown {
		return s.slowdown < other.slowdown
	}
	return s.fit < other.fit
}

// A scorer rates a worker that can hold a task.
type scorer func(b *board, s *slot, task *Task) score

// A scored policy places each task on the worker with the best score.
type scored struct {
	score scorer
	// displaces permits making room for urgent and latency-critical tasks.
	displaces bool
	// first takes the first worker that fits without comparing scores.
	first bool
}

var _ Policy = (*scored)(nil)

// slowdownStep is the difference of slowdowns, in percent, that placement
// treats as equal.
const slowdownStep = 1.0

// NewInterferenceAware returns the policy that keeps services from being slowed,
// spreads replicas over racks and packs batch tasks tightly.
func NewInterferenceAware() Policy {
	return &scored{score: protectiveScore, displaces: true}
}

// NewFirstFit returns the baseline that takes the first worker that fits.
func NewFirstFit() Policy {
	return &scored{score: zeroScore, first: true}
}

// NewLeastLoaded returns the baseline that takes the emptiest worker.
func NewLeastLoaded() Policy {
	return &scored{score: leastLoadedScore}
}

// NewInterferenceUnaware returns the protective policy without its interference model.
func NewInterferenceUnaware() Policy {
	return &scored{score: unawareScore, displaces: true}
}

func zeroScore(*board, *slot, *Task) score { return score{} }

func leastLoadedScore(_ *board, s *slot, task *Task) score {
	return score{fit: -s.free.Minus(task.Size).MilliCores}
}

func protectiveScore(b *board, s *slot, task *Task) score {
	rating := unawareScore(b, s, task)
	rating.slowdown = int(b.slowdown(s, task) / slowdownStep)
	return rating
}

func unawareScore(b *board, s *slot, task *Task) score {
	left := s.free.Minus(task.Size).MilliCores
	if !task.LatencyCritical {
		return score{fit: left}
	}
	return score{spread: b.spread[spreadKey{task.Intent, s.worker.Rack}], fit: -left}
}

// Place implements Policy.
func (p *scored) Place(snapshot *Snapshot, tasks []Task, now time.Time) Decision {
	b := newBoard(snapshot)
	l := newLineup(snapshot, tasks)
	var d Decision
	for l.next(func(task *Task) bool { return p.placeOne(b, task, &d) }) {
	}
	return d
}

// placeOne places one task and reports whether it found a worker.
func (p *scored) placeOne(b *board, task *Task, d *Decision) bool {
	if reason, ok := neverFits(b, task); ok {
		d.Rejections = append(d.Rejections, Rejection{Task: task.ID, Reason: reason, Permanent: true})
		return false
	}
	if !b.withinQuota(task.Team, task.Size) {
		reason := fmt.Sprintf("team %s has no quota left", task.Team)
		d.Rejections = append(d.Rejections, Rejection{Task: task.ID, Reason: reason})
		return false
	}
	if s := p.best(b, task); s != nil {
		b.bind(s, task)
		d.Choices = append(d.Choices, Choice{Task: task.ID, Worker: s.worker.Name, Why: why(s, task)})
		return true
	}
	if choice, ok := p.displace(b, task); ok {
		d.Choices = append(d.Choices, choice)
		return true
	}
	d.Rejections = append(d.Rejections, Rejection{Task: task.ID, Reason: "no worker has enough free capacity without slowing a service too much"})
	return false
}

// best returns the usable worker with the best score, or nil.
func (p *scored) best(b *board, task *Task) *slot {
	var found *slot
	var lowest score
	for i := range b.slots {
		s := &b.slots[i]
		if !s.usable || !task.Size.Fits(s.free) || slices.Contains(task.Avoid, s.worker.Name) {
			continue
		}
		if !b.withinSlowdown(s, task) {
			continue
		}
		if p.first {
			return s
		}
		rating := p.score(b, s, task)
		if found == nil || rating.less(lowest) {
			found, lowest = s, rating
		}
	}
	return found
}

// neverFits tells why no worker could hold the task even if empty.
func neverFits(b *board, task *Task) (string, bool) {
	if quota, ok := b.quotas[task.Team]; ok && !task.Size.Fits(quota.Limit) {
		return fmt.Sprintf("the task is larger than the quota of team %s", task.Team), true
	}
	for i := range b.slots {
		if task.Size.Fits(b.slots[i].worker.Capacity) {
			return "", false
		}
	}
	if len(b.slots) == 0 {
		return "", false
	}
	return "no worker is large enough", true
}

// why explains a choice without displacement.
func why(s *slot, task *Task) string {
	if task.LatencyCritical {
		return "spread over racks, least disturbed on " + s.worker.Rack
	}
	return "least disturbance of services, then tightest fit"
}
