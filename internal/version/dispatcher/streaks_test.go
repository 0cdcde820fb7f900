package dispatcher

import (
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// earlyLoss is the time after the order of a start within which the loss of the runner may
// count against the task.
const earlyLoss = 3 * time.Second

// A streaks counts by task the runners in a row that were lost, or cut off, soon after the
// task was to start there.
type streaks struct {
	current, worst map[submitter.TaskID]int
	starts         map[submitter.TaskID]streakStart
}

// A streakStart is the last start of a task that an owner has ordered.
type streakStart struct {
	runner string
	at     time.Time
}

func newStreaks() *streaks {
	return &streaks{
		current: make(map[submitter.TaskID]int), worst: make(map[submitter.TaskID]int),
		starts: make(map[submitter.TaskID]streakStart),
	}
}

// start records the order of a start on a runner, which may be lost already.
func (s *streaks) start(o Order, isLost bool, now time.Time) {
	s.starts[o.Task] = streakStart{o.Runner, now}
	if isLost {
		s.extend(o.Task)
	}
}

func (s *streaks) lose(runner string, now time.Time) {
	for id, start := range s.starts {
		if start.runner == runner && now.Sub(start.at) < earlyLoss {
			s.extend(id)
		}
	}
}

func (s *streaks) extend(id submitter.TaskID) {
	s.current[id]++
	s.worst[id] = max(s.worst[id], s.current[id])
}

// end ends the streaks of the tasks that have been running for a while.
func (s *streaks) end(running map[runKey]bool, now time.Time) {
	for key := range running {
		if now.Sub(s.starts[key.task].at) >= earlyLoss {
			s.current[key.task] = 0
		}
	}
}

// excuse reports whether so many runners were lost under a task of a submission that the
// submission may fail.
func (s *streaks) excuse(sub *submitter.Submission) bool {
	for i := range sub.Steps[0].Count {
		if s.worst[submitter.TaskID{Submission: sub.ID, Index: i}] >= maxClearCrashes {
			return true
		}
	}
	return false
}
