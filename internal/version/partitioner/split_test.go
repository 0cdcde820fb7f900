package partitioner

import (
	"fmt"
	"testing"
)

func TestChooseSplit(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name    string
		runners int
		cores   float64
		parts   int
	}{
		{"48 runners, small hosts", 48, 0.16, 1},
		{"66 runners, medium hosts", 66, 0.4, 1},
		{"350 runners, large hosts", 350, 0.8, 2},
		{"490 runners, large hosts", 490, 0.8, 3},
		{"490 runners, medium hosts", 490, 0.4, 5},
		{"3002 runners, large hosts", 3002, 0.8, 16},
		{"204 runners, tiny hosts", 204, 0.12, 4},
		{"no runner", 0, 0.16, 1},
		{"unknown hosts", 512, 0, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			if got := ChooseSplit(c.runners, c.cores); got.Parts != c.parts {
				t.Errorf("%d partitions, want %d", got.Parts, c.parts)
			}
		})
	}
}

// Runners and submissions are spread evenly over partitions, and the two
// candidates of a submission differ.
func TestParts(t *testing.T) {
	t.Parallel()
	const ids, parts = 4000, 4
	split := Split{Parts: parts}
	for kind, partOf := range map[string]func(string) int{
		"runner":           split.RunnerPart,
		"first candidate":  func(id string) int { return split.CandidateParts(id)[0] },
		"second candidate": func(id string) int { return split.CandidateParts(id)[1] },
	} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			counts := make([]int, parts)
			for i := range ids {
				counts[partOf(fmt.Sprintf("%016x", i))]++
			}
			for part, n := range counts {
				if n < ids/parts*8/10 || n > ids/parts*12/10 {
					t.Errorf("partition %d has %d of %d ids, want its share within a fifth", part, n, ids)
				}
			}
		})
	}
	t.Run("candidates differ", func(t *testing.T) {
		t.Parallel()
		for i := range ids {
			if candidates := split.CandidateParts(fmt.Sprint(i)); candidates[0] == candidates[1] {
				t.Fatalf("candidates of id %d are equal: %v", i, candidates)
			}
		}
	})
	t.Run("one partition", func(t *testing.T) {
		t.Parallel()
		if candidates := (Split{Parts: 1}).CandidateParts("x"); len(candidates) != 1 || candidates[0] != 0 {
			t.Errorf("candidates %v, want partition 0 alone", candidates)
		}
	})
}

func TestDecode(t *testing.T) {
	t.Parallel()
	t.Run("round trip", func(t *testing.T) {
		t.Parallel()
		data, err := Split{Parts: 3}.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if got, err := Decode(data); err != nil || got.Parts != 3 {
			t.Errorf("decoded %v, %v, want 3 partitions", got, err)
		}
	})
	t.Run("the cores that the number was chosen for", func(t *testing.T) {
		t.Parallel()
		data, err := ChooseSplit(490, 0.8).Encode()
		if err != nil {
			t.Fatal(err)
		}
		if got, err := Decode(data); err != nil || got.Cores != 0.8 {
			t.Errorf("decoded %+v, %v, want 0.8 cores", got, err)
		}
	})
	t.Run("a split without cores", func(t *testing.T) {
		t.Parallel()
		if got, err := Decode([]byte(`{"parts":3}`)); err != nil || got != (Split{Parts: 3}) {
			t.Errorf("decoded %+v, %v, want 3 partitions of unknown cores", got, err)
		}
	})
	for _, bad := range []string{"", "{}", `{"parts":-1}`, "x"} {
		t.Run("bad "+bad, func(t *testing.T) {
			t.Parallel()
			if got, err := Decode([]byte(bad)); err == nil {
				t.Errorf("decoded %v, want an error", got)
			}
		})
	}
}
