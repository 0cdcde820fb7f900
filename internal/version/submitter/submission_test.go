package submitter

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestSubmissionRoundTrip(t *testing.T) {
	two := 2
	sub := &Submission{
		ID: "a", Queue: "q", Spec: "text", AcceptedAt: time.Unix(1_900_000_000, 0).UTC(), Owner: 7,
		Schedule: &Schedule{Count: 3, Start: time.Unix(1_900_000_100, 0).UTC(), Interval: time.Second},
		Steps: []Step{
			{Count: 2, Resources: Resources{MilliCores: 500, MemoryMB: 64, GPUs: 1}, Estimate: time.Second},
			{Count: 1, After: []int{0}, LongRunning: true, Image: "i", TailTarget: time.Millisecond, MaxUnavailable: &two},
		},
	}
	data, err := sub.Encode()
	if err != nil {
		t.Fatal(err)
	}
	read, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(sub, read) {
		t.Errorf("wrote %+v, read %+v", sub, read)
	}
}

func TestCheckReturnsFaults(t *testing.T) {
	one := []Step{{Count: 1}}
	for _, test := range []struct {
		name  string
		sub   Submission
		fault string
	}{
		{"long spec", Submission{Spec: strings.Repeat("x", MaxSpecBytes+1), Steps: one}, "spec"},
		{"no steps", Submission{}, "0 steps"},
		{"no tasks", Submission{Steps: []Step{{}}}, "0 tasks"},
		{"step depends on itself", Submission{Steps: []Step{{Count: 1, After: []int{0}}}}, "not an earlier one"},
		{"depends on a negative step", Submission{Steps: []Step{{Count: 1}, {Count: 1, After: []int{-1}}}}, "not an earlier one"},
		{"negative size", Submission{Steps: []Step{{Count: 1, Resources: Resources{MemoryMB: -1}}}}, "negative"},
		{"too many occurrences", Submission{Steps: one, Schedule: &Schedule{Count: MaxOccurrences + 1}}, "occurrences"},
	} {
		t.Run(test.name, func(t *testing.T) {
			if err := test.sub.Check(); err == nil || !strings.Contains(err.Error(), test.fault) {
				t.Errorf("error %v, want one about %q", err, test.fault)
			}
		})
	}
}

func TestBestEffortTasksReserveNoProcessor(t *testing.T) {
	step := Step{Count: 1, Resources: Resources{MilliCores: 2000, MemoryMB: 10}, Fills: true}
	if got := step.Reserved(); got != (Resources{MemoryMB: 10}) {
		t.Errorf("reserved %+v, want memory only", got)
	}
}

func TestDoneTasksRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		done := rapid.SliceOfN(rapid.IntRange(0, 300), 0, 40).Draw(t, "done")
		step := StepProgress{}
		want := make(map[int]bool)
		for _, index := range done {
			step.Done.Add(index)
			want[index] = true
		}
		data, err := (&Progress{Steps: []StepProgress{step}}).Encode()
		if err != nil {
			t.Fatal(err)
		}
		read, err := DecodeProgress(data)
		if err != nil {
			t.Fatal(err)
		}
		for index := range 320 {
			if read.Steps[0].Done.Has(index) != want[index] {
				t.Fatalf("task %d: done %t, want %t", index, !want[index], want[index])
			}
		}
	})
}
