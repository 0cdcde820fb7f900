package submitter

import (
	"slices"
	"testing"
)

func TestFailures(t *testing.T) {
	t.Parallel()
	var all Failures
	for _, run := range []int64{2, 1, 2, 1001, 1003, 1002, 1004, 1005, 1006, 1007, 2001, 2, 1} {
		all = all.With(run)
	}
	t.Run("each run counts once", func(t *testing.T) {
		if all.Count() != 10 || all.Older() != 2 {
			t.Errorf("%d failures of which %d are older, want 10 and 2", all.Count(), all.Older())
		}
	})
	t.Run("newest are kept", func(t *testing.T) {
		if want := []int64{1001, 1002, 1003, 1004, 1005, 1006, 1007, 2001}; !slices.Equal(all.Newest(), want) {
			t.Errorf("kept %v, want %v", all.Newest(), want)
		}
	})
	t.Run("restored ones are the same", func(t *testing.T) {
		restored := NewFailures(all.Newest(), all.Older())
		if restored.Count() != all.Count() || !restored.Has(1) || !restored.Has(2001) || restored.Has(2002) {
			t.Errorf("restored %+v, want %+v", restored, all)
		}
	})
}
