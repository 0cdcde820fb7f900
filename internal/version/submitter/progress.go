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
	// Moves is how often the submission had been handed to another part by then.
	Moves int `json:"moves,omitempty"`
	// Next is the number of the first occurrence from which on there is no progress. Those
	// before it that Open does not list are done. Zero in records of the former form, which
	// have Steps instead.
	Next int `json:"next,omitempty"`
	// Open holds the occurrences before Next that are not done, in ascending order.
	Open []OccurrenceProgress `json:"open,omitempty"`
	// Steps holds, in records of the former form, the steps of all occurrences that have
	// progress.
	Steps []StepProgress `json:"steps,omitempty"`
}

// OccurrenceProgress is the stored progress of an occurrence that is not done.
type OccurrenceProgress struct {
	Occurrence int `json:"occurrence,omitempty"`
	// RanUnixMillis is when a run of the occurrence last ended, by the clock of the owner
	// that wrote it, or zero if that is not known.
	RanUnixMillis int64 `json:"ranUnixMillis,omitempty"`
	// Done is the set of the steps that are done.
	Done BitSet `json:"done,omitempty"`
	// Steps holds the other steps of which a task is done, has failed or may have crashed
	// runners, and the long-running ones that have begun.
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
	// Done is the set of the indices of done tasks.
	Done BitSet `json:"done,omitempty"`
	// Failures maps the index of a task to the numbers of its failed runs, the newest
	// MaxFailuresKept of them in ascending order.
	Failures map[int][]int64 `json:"failures,omitempty"`
	// OlderFailures maps the index of a task to the number of its failed runs that Failures
	// omits.
	OlderFailures map[int]int `json:"olderFailures,omitempty"`
	// Crashes maps the index of a task to the losses of runners that it may have
	// caused, oldest first.
	Crashes map[int][]Crash `json:"crashes,omitempty"`
	// Checkpoints maps the index of a task to its newest checkpoint, in the progress of a
	// submission that is handed to another part.
	Checkpoints map[int]string `json:"checkpoints,omitempty"`
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

// A BitSet is a set of small numbers.
type BitSet []byte

// Add adds a number to the set.
func (b *BitSet) Add(n int) {
	for len(*b) <= n/8 {
		*b = append(*b, 0)
	}
	(*b)[n/8] |= 1 << (n % 8)
}

// Has reports whether the set contains a number.
func (b BitSet) Has(n int) bool {
	return n/8 < len(b) && b[n/8]&(1<<(n%8)) != 0
}

// Sizes of the stored form of an open occurrence and of one of its steps, without their sets.
const (
	occurrenceBytes = 112
	stepBytes       = 80
)

// bitSetBytes returns the size of the stored form of a set of numbers below n.
func bitSetBytes(n int) int { return 4 * ((n+7)/8 + 2) / 3 }

// ProgressBytes returns a bound on the size of the stored progress of an open occurrence, all
// steps of which are done.
func (s *Submission) ProgressBytes() int { return occurrenceBytes + bitSetBytes(len(s.Steps)) }

// ProgressBytes returns a bound on what a step that is not done adds to the size of the stored
// progress, without the failures and crashes of its tasks.
func (s *Step) ProgressBytes() int { return stepBytes + bitSetBytes(s.Count) }

// OccurrenceBytes returns a bound on the size of the stored progress of an open occurrence,
// none of whose steps is done, without the failures and crashes of its tasks.
func (s *Submission) OccurrenceBytes() (n int) {
	n = s.ProgressBytes()
	for i := range s.Steps {
		n += s.Steps[i].ProgressBytes()
	}
	return n
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
