package submitter

import (
	"reflect"
	"testing"
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
