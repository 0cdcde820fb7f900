package submitter

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// A Move is what a submission carries that was handed from one part of the deployment to
// another.
type Move struct {
	// Home is the part in which the submission was accepted. Its key there names the part
	// that the submission is in now.
	Home int `json:"home"`
	// Count is the number of moves so far.
	Count int `json:"count"`
	// FirstRun is the number above which the runs of its tasks are numbered. No run before has a
	// higher one.
	FirstRun int64 `json:"firstRun"`
	// Progress is the progress at the time of the last move.
	Progress *Progress `json:"progress,omitempty"`
}

// WithMove returns a copy of the submission that is handed to another part. No owner there has
// started anything of it.
func (s Submission) WithMove(move Move) Submission {
	s.Move, s.Owner = &move, 0
	return s
}

// Moves returns how often the submission was handed to another part.
func (s *Submission) Moves() int {
	if s.Move == nil {
		return 0
	}
	return s.Move.Count
}

// Current returns the newest progress of the submission, given what is stored as its progress in
// the part, or nil. A write from before a move may be carried out after it, where the submission
// comes back later.
func (s *Submission) Current(stored *Progress) *Progress {
	if s.Move != nil && (stored == nil || stored.Moves < s.Move.Count) {
		return s.Move.Progress
	}
	return stored
}

// FirstRun returns the number above which the runs of the tasks are numbered.
func (s *Submission) FirstRun() int64 {
	if s.Move == nil {
		return 0
	}
	return s.Move.FirstRun
}

// A forward stands in the place of a submission that was handed to another part.
type forward struct {
	MovedTo *int `json:"movedTo"`
}

// forwardPrefix is how the stored form of a forward begins, unlike that of a submission.
var forwardPrefix = []byte(`{"movedTo":`)

// EncodeForward returns what is stored in the place of a submission that was handed to a part.
func EncodeForward(part int) ([]byte, error) { return json.Marshal(forward{&part}) }

// DecodeForward returns the part that a submission was handed to, by what is stored in its place.
// isForward is false if that is the submission.
func DecodeForward(data []byte) (part int, isForward bool, err error) {
	if !bytes.HasPrefix(data, forwardPrefix) {
		return 0, false, nil
	}
	var f forward
	if err = json.Unmarshal(data, &f); err != nil || f.MovedTo == nil {
		return 0, false, fmt.Errorf("decode forward of a submission: %w", err)
	}
	return *f.MovedTo, true, nil
}
