package submitter

import (
	"cmp"
	"encoding/json"
	"fmt"
)

// A State is the state of a submission as reported to callers.
type State string

// States of a submission. The last three are final.
const (
	Queued    State = "queued"
	Running   State = "running"
	Complete  State = "complete"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// IsFinal reports whether the state never changes again.
func (s State) IsFinal() bool { return s == Complete || s == Failed || s == Cancelled }

// A TaskID identifies one task of a submission. Occurrences, the steps of the
// submission and the tasks of a step are numbered from 0.
type TaskID struct {
	Submission string
	Occurrence int
	Step       int
	Index      int
}

// String returns the id as it appears in logs, for example "4f1c.0.2.7".
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Submission, t.Occurrence, t.Step, t.Index)
}

// Compare orders ids by submission, occurrence, step and index.
func (t TaskID) Compare(o TaskID) int {
	return cmp.Or(
		cmp.Compare(t.Submission, o.Submission), cmp.Compare(t.Occurrence, o.Occurrence),
		cmp.Compare(t.Step, o.Step), cmp.Compare(t.Index, o.Index),
	)
}

// Progress is the stored progress of a submission.
type Progress struct {
	// State is empty until a final state is reached.
	State State `json:"state,omitempty"`
	// Steps holds the steps of which a task is done, has failed or may have crashed runners,
	// and the long-running ones that have begun.
	Steps []StepProgress `json:"steps,omitempty"`
}

// StepProgress is the stored progress of one step of one occurrence.
type StepProgress struct {
	Occurrence int `json:"occurrence,omitempty"`
	Step       int `json:"step"`
	// Begun says that a run of a long-running step has begun.
	Begun bool `json:"begun,omitempty"`
	// RanUnixMillis is when a run of the occurrence last ended, by the clock of the owner
	// that wrote it, or zero if that is not known.
	RanUnixMillis int64 `json:"ranUnixMillis,omitempty"`
	// Done is a bit set of the indices of done tasks.
	Done []byte `json:"done,omitempty"`
	// Failures maps the index of a task to the numbers of its failed runs.
	Failures map[int][]int64 `json:"failures,omitempty"`
	// Crashes maps the index of a task to the losses of runners that it may have
	// caused, oldest first.
	Crashes map[int][]Crash `json:"crashes,omitempty"`
}

// A Crash is the loss of a runner soon after the start of a run there.
type Crash struct {
	Run    int64  `json:"run"`
	Runner string `json:"runner,omitempty"`
	// Attributed says that no task of another submission can have caused the loss.
	Attributed bool `json:"attributed,omitempty"`
	// Widespread says that many other runners were lost at the time.
	Widespread bool `json:"widespread,omitempty"`
}

// SetDone marks the task with the given index as done.
func (s *StepProgress) SetDone(index int) {
	for len(s.Done) <= index/8 {
		s.Done = append(s.Done, 0)
	}
	s.Done[index/8] |= 1 << (index % 8)
}

// IsDone reports whether the task with the given index is done.
func (s *StepProgress) IsDone(index int) bool {
	return index/8 < len(s.Done) && s.Done[index/8]&(1<<(index%8)) != 0
}

// Encode returns the form in which the progress is stored.
func (p *Progress) Encode() ([]byte, error) { return json.Marshal(p) }

// DecodeProgress reads progress from its stored form.
func DecodeProgress(data []byte) (p *Progress, err error) {
	p = &Progress{}
	if err = json.Unmarshal(data, p); err != nil {
		return nil, fmt.Errorf("decode progress: %w", err)
	}
	return p, nil
}
