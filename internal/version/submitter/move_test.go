package submitter

import (
	"reflect"
	"testing"
)

func TestForward(t *testing.T) {
	t.Parallel()
	for _, part := range []int{0, 17} {
		data, err := EncodeForward(part)
		if err != nil {
			t.Fatal(err)
		}
		if got, isForward, err := DecodeForward(data); got != part || !isForward || err != nil {
			t.Errorf("part %d, forward %v, error %v; want part %d", got, isForward, err, part)
		}
	}
	t.Run("submission is none", func(t *testing.T) {
		data, err := (&Submission{ID: "a", Steps: []Step{{Count: 1}}}).Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, isForward, err := DecodeForward(data); isForward || err != nil {
			t.Errorf("forward %v, error %v", isForward, err)
		}
	})
	t.Run("unreadable", func(t *testing.T) {
		for _, data := range []string{`{"movedTo":`, `{"movedTo":null}`, `{"movedTo":"x"}`} {
			if _, _, err := DecodeForward([]byte(data)); err == nil {
				t.Errorf("%s is read", data)
			}
		}
	})
}

func TestSubmissionWithMove(t *testing.T) {
	t.Parallel()
	sub := Submission{ID: "a", Owner: 7, Steps: []Step{{Count: 2}}}
	move := Move{Home: 3, Count: 2, FirstRun: 4001, Progress: &Progress{
		Next: 1, Open: []OccurrenceProgress{{Steps: []StepProgress{{Checkpoints: map[int]string{1: "half"}}}}},
	}}
	moved := sub.WithMove(move)
	data, err := moved.Encode()
	if err != nil {
		t.Fatal(err)
	}
	read, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if read.Owner != 0 || read.Moves() != 2 || read.FirstRun() != 4001 || !reflect.DeepEqual(read.Move, &move) {
		t.Errorf("read %+v, move %+v, want %+v", read, read.Move, move)
	}
	if sub.Moves() != 0 || sub.FirstRun() != 0 || sub.Owner != 7 {
		t.Errorf("submission has changed: %+v", sub)
	}
}

func TestCurrentProgressOfAMovedSubmission(t *testing.T) {
	t.Parallel()
	sub, taken, late, newer := Submission{ID: "a"}, &Progress{Next: 3}, &Progress{Next: 2, Moves: 1}, &Progress{Next: 4, Moves: 2}
	moved := sub.WithMove(Move{Count: 2, Progress: taken})
	for name, c := range map[string]struct {
		sub          Submission
		stored, want *Progress
	}{
		"never moved":             {sub, late, late},
		"never moved, nothing":    {sub, nil, nil},
		"nothing since the move":  {moved, nil, taken},
		"written before the move": {moved, late, taken},
		"written after the move":  {moved, newer, newer},
	} {
		if got := c.sub.Current(c.stored); got != c.want {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
	}
}
