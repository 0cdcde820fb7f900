// Package submitter defines submissions, their validation and their stored form.
// A submission is work in one or more steps, which callers submit without a
// separate confirmation.
package submitter

import (
	"encoding/json"
	"fmt"
	"time"
)

// Limits of submissions.
const (
	// MaxSteps is the largest number of steps of a submission.
	MaxSteps = 256
	// MaxTasksPerStep is the largest number of tasks in a step.
	MaxTasksPerStep = 20_000
	// MaxSpecBytes is the largest size of a submission's spec, which is passed to
	// the runners unchanged.
	MaxSpecBytes = 4_000
	// MaxOccurrences is the largest number of occurrences of a submission, which
	// are the repetitions of its steps.
	MaxOccurrences = 100_000
)

// Resources are the resources that one task occupies on its worker.
type Resources struct {
	MilliCores int64 `json:"milliCores,omitempty"`
	MemoryMB   int64 `json:"memoryMB,omitempty"`
	GPUs       int64 `json:"gpus,omitempty"`
}

// Fits reports whether the amount of each resource is at most the free amount.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCores <= free.MilliCores && r.MemoryMB <= free.MemoryMB && r.GPUs <= free.GPUs
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.MilliCores + o.MilliCores, r.MemoryMB + o.MemoryMB, r.GPUs + o.GPUs}
}

// Minus returns the difference of r and o, which may be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.MilliCores - o.MilliCores, r.MemoryMB - o.MemoryMB, r.GPUs - o.GPUs}
}

// Times returns a multiple of r, rounded down.
func (r Resources) Times(factor float64) Resources {
	times := func(amount int64) int64 { return int64(factor * float64(amount)) }
	return Resources{times(r.MilliCores), times(r.MemoryMB), times(r.GPUs)}
}

// Min returns the smaller of each amount of r and o.
func (r Resources) Min(o Resources) Resources {
	return Resources{min(r.MilliCores, o.MilliCores), min(r.MemoryMB, o.MemoryMB), min(r.GPUs, o.GPUs)}
}

// Max returns the larger of each amount of r and o.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.MilliCores, o.MilliCores), max(r.MemoryMB, o.MemoryMB), max(r.GPUs, o.GPUs)}
}

// A Step is a number of identical tasks that become ready together.
type Step struct {
	Count int `json:"count"`
	Resources
	// Estimate is the caller's rough estimate of a task's run time.
	Estimate time.Duration `json:"estimate,omitempty"`
	// After lists the earlier steps that have to be done before this one starts.
	After []int `json:"after,omitempty"`
	// Checkpointing tasks can be stopped and resumed on another runner.
	Checkpointing bool `json:"checkpointing,omitempty"`
	// Gang tasks make progress only while all of them run, and share one run
	// number.
	Gang bool `json:"gang,omitempty"`
	// SameRack tasks run slower when they are spread over several racks.
	SameRack bool `json:"sameRack,omitempty"`
	// RequiredLabel is a label that the runner of a task must have; empty means
	// none.
	RequiredLabel string `json:"requiredLabel,omitempty"`
	// Affinity is the label of the runners in the rack that holds the data of the
	// tasks. Tasks run slower on other runners.
	Affinity string `json:"affinity,omitempty"`
	// MaxPerRunner limits the step's tasks on one runner; zero means no limit.
	MaxPerRunner int `json:"maxPerRunner,omitempty"`
	// Speculative tasks may run as several copies, of which the first to finish
	// counts.
	Speculative bool `json:"speculative,omitempty"`
	// LongRunning tasks are restarted however they end, until they are cancelled.
	LongRunning bool `json:"longRunning,omitempty"`
	// Image names the program of the tasks. Tasks of the same image are assumed to
	// cause and suffer the same interference.
	Image string `json:"image,omitempty"`
	// TailTarget is the tail latency that a task should not exceed, in the quantile
	// that its runner reports. Tasks with a target are serving tasks; zero means no
	// target.
	TailTarget time.Duration `json:"tailTarget,omitempty"`
	// Fills marks best-effort tasks, which use the processors that others leave
	// unused.
	Fills bool `json:"fills,omitempty"`
	// MaxUnavailable limits how many of the step's tasks planned work may
	// interrupt at a time; nil means no limit.
	MaxUnavailable *int `json:"maxUnavailable,omitempty"`
}

// Reserved returns the part of a runner's capacity that is reserved for a task
// of the step.
func (s *Step) Reserved() Resources {
	r := s.Resources
	if s.Fills {
		r.MilliCores = 0
	}
	return r
}

// A Schedule repeats the steps of a submission at regular intervals. Each
// repetition is an occurrence.
type Schedule struct {
	// Count is the number of occurrences.
	Count    int           `json:"count"`
	Start    time.Time     `json:"start"`
	Interval time.Duration `json:"interval"`
}

// A Submission is accepted work. It is immutable.
type Submission struct {
	ID       string    `json:"id"`
	Queue    string    `json:"queue"`
	Spec     string    `json:"spec,omitempty"`
	Steps    []Step    `json:"steps"`
	Schedule *Schedule `json:"schedule,omitempty"`
	// AcceptedAt is the wall-clock time at which a daemon accepted the submission.
	AcceptedAt time.Time `json:"acceptedAt"`
	// Owner is the fencing token of the partition owner that the submission was
	// first passed to. An owner with a lower token never starts the submission.
	Owner int64 `json:"owner"`
	// Terms is the configuration of the queue when the submission was accepted, which
	// counts once the queue is no longer configured. It is nil in submissions that were
	// stored without it.
	Terms *Queue `json:"terms,omitempty"`
	// Move is nil unless the submission was handed to another part.
	Move *Move `json:"move,omitempty"`
}

// WithOwner returns a copy of the submission with the fencing token of the owner
// that the copy is passed to.
func (s Submission) WithOwner(fence int64) Submission {
	s.Owner = fence
	return s
}

// Occurrences returns the number of occurrences, which is one without a
// schedule.
func (s *Submission) Occurrences() int {
	if s.Schedule == nil {
		return 1
	}
	return s.Schedule.Count
}

// DueAt returns the earliest time at which an occurrence may start.
func (s *Submission) DueAt(occurrence int) time.Time {
	if s.Schedule == nil {
		return s.AcceptedAt
	}
	return s.Schedule.Start.Add(time.Duration(occurrence) * s.Schedule.Interval)
}

// Check returns an error that states the first limit or rule that the submission
// violates, or nil if it is valid.
func (s *Submission) Check() error {
	if len(s.Spec) > MaxSpecBytes {
		return fmt.Errorf("spec has %d bytes, at most %d are allowed", len(s.Spec), MaxSpecBytes)
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return fmt.Errorf("%d steps, 1 to %d are allowed", len(s.Steps), MaxSteps)
	}
	if s.Schedule != nil && (s.Schedule.Count > MaxOccurrences || s.Schedule.Interval < 0) {
		return fmt.Errorf("schedule of %d occurrences every %s is out of range", s.Schedule.Count, s.Schedule.Interval)
	}
	for i := range s.Steps {
		if err := s.Steps[i].check(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
	}
	return nil
}

func (s *Step) check(index int) error {
	if s.Count < 1 || s.Count > MaxTasksPerStep {
		return fmt.Errorf("%d tasks, 1 to %d are allowed", s.Count, MaxTasksPerStep)
	}
	if s.MilliCores < 0 || s.MemoryMB < 0 || s.GPUs < 0 || s.Estimate < 0 || s.MaxPerRunner < 0 || s.TailTarget < 0 {
		return fmt.Errorf("negative resource amount, limit or duration")
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= index {
			return fmt.Errorf("depends on step %d, which is not an earlier one", earlier)
		}
	}
	return nil
}

// Encode returns the form in which the submission is stored.
func (s *Submission) Encode() ([]byte, error) { return json.Marshal(s) }

// Decode reads a submission from its stored form and checks it.
func Decode(data []byte) (s *Submission, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("decode submission: %w", err)
		}
	}()
	s = &Submission{}
	if err = json.Unmarshal(data, s); err != nil {
		return nil, err
	}
	return s, s.Check()
}
