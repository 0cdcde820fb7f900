// Package submitter holds submissions: work of several steps that is confirmed
// by being handed in, its checks, and its form in the store.
package submitter

import (
	"encoding/json"
	"fmt"
	"time"
)

// Bounds of what a submission may ask for.
const (
	// MaxSteps bounds the steps of a submission.
	MaxSteps = 256
	// MaxTasksPerStep bounds the width of a step.
	MaxTasksPerStep = 20_000
	// MaxSpecBytes bounds the text that is handed to the runners.
	MaxSpecBytes = 4_000
	// MaxRepeats bounds the occurrences of a scheduled submission.
	MaxRepeats = 100_000
)

// Resources are what one task occupies on its worker.
type Resources struct {
	MilliCores int64 `json:"milliCores,omitempty"`
	MemoryMB   int64 `json:"memoryMB,omitempty"`
	GPUs       int64 `json:"gpus,omitempty"`
}

// Fits reports whether the resources are within the free ones.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCores <= free.MilliCores && r.MemoryMB <= free.MemoryMB && r.GPUs <= free.GPUs
}

// Plus returns the sum of two amounts.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.MilliCores + o.MilliCores, r.MemoryMB + o.MemoryMB, r.GPUs + o.GPUs}
}

// Minus returns the difference of two amounts.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.MilliCores - o.MilliCores, r.MemoryMB - o.MemoryMB, r.GPUs - o.GPUs}
}

// A Step is a number of equal tasks that become ready together.
type Step struct {
	Count int `json:"count"`
	Resources
	// Estimate is the caller's rough guess of a task's run time.
	Estimate time.Duration `json:"estimate,omitempty"`
	// After lists earlier steps that have to be done first.
	After []int `json:"after,omitempty"`
	// Checkpointing tasks can be stopped and resumed elsewhere.
	Checkpointing bool `json:"checkpointing,omitempty"`
	// Gang tasks work only while all of them run, under one run number.
	Gang bool `json:"gang,omitempty"`
	// SameRack tasks are slower when they are spread over racks.
	SameRack bool `json:"sameRack,omitempty"`
	// RequiredLabel is a label that the runner has to carry.
	RequiredLabel string `json:"requiredLabel,omitempty"`
	// Affinity is the label of the rack where the data is.
	Affinity string `json:"affinity,omitempty"`
	// MaxPerRunner bounds the step's tasks on one runner; zero means no bound.
	MaxPerRunner int `json:"maxPerRunner,omitempty"`
	// Speculative tasks may run as several copies; the first to finish counts.
	Speculative bool `json:"speculative,omitempty"`
	// LongRunning tasks are started again however they end, until cancelled.
	LongRunning bool `json:"longRunning,omitempty"`
	// Image names the program; tasks of one image disturb others alike.
	Image string `json:"image,omitempty"`
	// TailTarget bounds the tail latency of a task that serves; zero: none.
	TailTarget time.Duration `json:"tailTarget,omitempty"`
	// Fills tasks use the processors that others leave unused.
	Fills bool `json:"fills,omitempty"`
	// MaxUnavailable bounds the tasks that planned work may take away at once;
	// nil means no bound.
	MaxUnavailable *int `json:"maxUnavailable,omitempty"`
}

// Reserved returns what a task of the step takes out of a runner's capacity.
func (s *Step) Reserved() Resources {
	r := s.Resources
	if s.Fills {
		r.MilliCores = 0
	}
	return r
}

// A Schedule repeats the steps of a submission.
type Schedule struct {
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
	// AcceptedAt is the time of day at which a daemon took the submission.
	AcceptedAt time.Time `json:"acceptedAt"`
	// Owner is the fencing token of the owner to which it was handed first. An
	// owner with a lower token never starts it.
	Owner int64 `json:"owner"`
}

// WithOwner returns a copy that names the owner to which it is handed.
func (s Submission) WithOwner(fence int64) Submission {
	s.Owner = fence
	return s
}

// Occurrences returns how many times the steps run.
func (s *Submission) Occurrences() int {
	if s.Schedule == nil {
		return 1
	}
	return s.Schedule.Count
}

// DueAt returns when an occurrence may start.
func (s *Submission) DueAt(occurrence int) time.Time {
	if s.Schedule == nil {
		return s.AcceptedAt
	}
	return s.Schedule.Start.Add(time.Duration(occurrence) * s.Schedule.Interval)
}

// Check reports the first fault that makes the submission impossible to run.
func (s *Submission) Check() error {
	if len(s.Spec) > MaxSpecBytes {
		return fmt.Errorf("spec has %d bytes, at most %d are allowed", len(s.Spec), MaxSpecBytes)
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return fmt.Errorf("%d steps, 1 to %d are allowed", len(s.Steps), MaxSteps)
	}
	if s.Schedule != nil && (s.Schedule.Count > MaxRepeats || s.Schedule.Interval < 0) {
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
		return fmt.Errorf("negative amount")
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= index {
			return fmt.Errorf("comes after step %d, which is not an earlier one", earlier)
		}
	}
	return nil
}

// Encode returns the form of a submission in the store.
func (s *Submission) Encode() ([]byte, error) { return json.Marshal(s) }

// Decode reads a submission from the store.
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
