package submitter

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

func TestProgressKeepsCrashes(t *testing.T) {
	t.Parallel()
	t.Run("round trip", func(t *testing.T) {
		t.Parallel()
		saved := &Progress{Steps: []StepProgress{{Step: 1, Crashes: map[int][]Crash{
			3: {{Run: 1, Runner: "a", Widespread: true}, {Run: 1001, Runner: "b", Attributed: true}},
		}}}}
		data, err := saved.Encode()
		if err != nil {
			t.Fatal(err)
		}
		assertDecodes(t, string(data), saved)
	})
	t.Run("step that has begun", func(t *testing.T) {
		t.Parallel()
		assertDecodes(t, `{"steps":[{"step":1,"begun":true}]}`, &Progress{Steps: []StepProgress{{Step: 1, Begun: true}}})
	})
	t.Run("record without crashes", func(t *testing.T) {
		t.Parallel()
		assertDecodes(t, `{"steps":[{"step":1,"failures":{"2":[1]}}]}`,
			&Progress{Steps: []StepProgress{{Step: 1, Failures: map[int][]int64{2: {1}}}}})
	})
}

func assertDecodes(t *testing.T, data string, want *Progress) {
	t.Helper()
	got, err := DecodeProgress([]byte(data))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("decoded %+v, want %+v", got, want)
	}
}

// Guards against a bound on the size of records that is too low: more occurrences would be open
// than the store takes.
func TestOccurrenceBytesBoundTheRecord(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		sub := &Submission{}
		p := &Progress{Next: MaxOccurrences}
		row := OccurrenceProgress{Occurrence: MaxOccurrences - 1, RanUnixMillis: 4_000_000_000_000}
		bound := 0
		for i := range rapid.IntRange(1, MaxSteps).Draw(t, "steps") {
			sub.Steps = append(sub.Steps, Step{Count: rapid.IntRange(1, 300).Draw(t, "count")})
			if rapid.Bool().Draw(t, "done") {
				row.Done.Add(i)
				continue
			}
			step := StepProgress{Step: i, Begun: true}
			step.Done.Add(sub.Steps[i].Count - 1)
			row.Steps = append(row.Steps, step)
			bound += sub.Steps[i].ProgressBytes()
		}
		p.Open = []OccurrenceProgress{row}
		data, err := p.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if bound += sub.ProgressBytes(); len(data) > bound {
			t.Fatalf("record of %d bytes, want at most %d", len(data), bound)
		}
		if len(data) > sub.OccurrenceBytes() {
			t.Fatalf("record of %d bytes, want at most %d", len(data), sub.OccurrenceBytes())
		}
	})
}
