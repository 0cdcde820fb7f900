package partitioner

import (
	"slices"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

func needOf(service, label string, milliCores int64) Need {
	return Need{Service: service, Label: label, Resources: submitter.Resources{MilliCores: milliCores}, Tasks: 1}
}

// Guards against submissions that are put in a partition of which an owner has just said that no
// runner there may run them.
func TestBalancerAvoidsPartitionsThatCannotServe(t *testing.T) {
	t.Parallel()
	start := time.Unix(1000, 0)
	all := []int{2, 0}
	for _, c := range []struct {
		name  string
		needs []Need
		after time.Duration
		want  []int
	}{
		{"the same need", []Need{needOf("s", "rare", 4000)}, 0, []int{0}},
		{"larger tasks", []Need{needOf("s", "rare", 5000)}, 0, []int{0}},
		{"one of several needs", []Need{needOf("s", "", 1), needOf("s", "rare", 4000)}, 0, []int{0}},
		{"smaller tasks", []Need{needOf("s", "rare", 3999)}, 0, all},
		{"another label", []Need{needOf("s", "", 4000)}, 0, all},
		{"another service", []Need{needOf("t", "rare", 4000)}, 0, all},
		{"later", []Need{needOf("s", "rare", 4000)}, inabilityAge, all},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := NewBalancer()
			b.NoteUnable(2, []Need{needOf("s", "rare", 4000)}, start)
			if got := b.Able(all, c.needs, start.Add(c.after)); !slices.Equal(got, c.want) {
				t.Errorf("partitions %v, want %v", got, c.want)
			}
		})
	}
	t.Run("no partition is left", func(t *testing.T) {
		t.Parallel()
		b := NewBalancer()
		for _, part := range all {
			b.NoteUnable(part, []Need{needOf("s", "rare", 1)}, start)
		}
		if got := b.Able(all, []Need{needOf("s", "rare", 1)}, start); !slices.Equal(got, all) {
			t.Errorf("partitions %v, want %v", got, all)
		}
	})
	t.Run("memory is bounded", func(t *testing.T) {
		t.Parallel()
		b := NewBalancer()
		for i := range 3 * maxInabilities {
			b.NoteUnable(2, []Need{needOf("s", string(rune('a'+i)), 1)}, start)
		}
		if n := len(b.inabilities[2]); n > maxInabilities {
			t.Errorf("%d needs are remembered, want at most %d", n, maxInabilities)
		}
	})
}

func TestNeedsOf(t *testing.T) {
	t.Parallel()
	sub := &submitter.Submission{Steps: []submitter.Step{
		{Count: 4, Resources: submitter.Resources{MilliCores: 500, MemoryMB: 100}},
		{Count: 2, Resources: submitter.Resources{MilliCores: 1000}},
		{Count: 1, Resources: submitter.Resources{MilliCores: 10}, RequiredLabel: "rare"},
	}}
	want := []Need{
		{Service: "s", Resources: submitter.Resources{MilliCores: 1000, MemoryMB: 100}, Tasks: 4},
		{Service: "s", Label: "rare", Resources: submitter.Resources{MilliCores: 10}, Tasks: 1},
	}
	if got := NeedsOf(sub, "s"); !slices.Equal(got, want) {
		t.Errorf("needs %+v, want %+v", got, want)
	}
}
