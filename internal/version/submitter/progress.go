package submitter

import (
	"encoding/json"
	"fmt"
)

// A State is what callers are told of a submission.
type State string

// States of a submission. The last three are final.
const (
	Queued    State = "queued"
	Running   State = "running"
	Complete  State = "complete"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// IsFinal reports whether a state never changes again.
func (s State) IsFinal() bool { return s == Complete || s == Failed || s == Cancelled }

// A TaskID names one task of a submission.
type TaskID struct {
	Submission string
	Occurrence int
	Step       int
	Index      int
}

// String returns the id as it appears in logs.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Submission, t.Occurrence, t.Step, t.Index)
}

// Progress is what is durable of a submission's run.
type Progress struct {
	// State is empty until a final state is reached.
	State State `json:"state,omitempty"`
	// Steps holds the steps that have noted ends.
	Steps []StepProgress `json:"steps,omitempty"`
}

// StepProgress is what is durable of one step of one occurrence.
type StepProgress struct {
	Occurrence int `json:"occurrence,omitempty"`
	Step       int `json:"step"`
	// Done is a bit set of the tasks that are done.
	Done []byte `json:"done,omitempty"`
	// Failures maps a task to the numbers of its runs that failed.
	Failures map[int][]int64 `json:"failures,omitempty"`
}

// SetDone marks a task as done.
func (s *StepProgress) SetDone(index int) {
	for len(s.Done) <= index/8 {
		s.Done = append(s.Done, 0)
	}
	s.Done[index/8] |= 1 << (index % 8)
}

// IsDone reports whether a task is done.
func (s *StepProgress) IsDone(index int) bool {
	return index/8 < len(s.Done) && s.Done[index/8]&(1<<(index%8)) != 0
}

// Encode returns the form of the progress in the store.
func (p *Progress) Encode() ([]byte, error) { return json.Marshal(p) }

// DecodeProgress reads progress from the store.
func DecodeProgress(data []byte) (p *Progress, err error) {
	p = &Progress{}
	if err = json.Unmarshal(data, p); err != nil {
		return nil, fmt.Errorf("decode progress: %w", err)
	}
	return p, nil
}
