package submitter

import "slices"

// MaxFailuresKept is the largest number of failed runs of a task that are kept by number.
const MaxFailuresKept = 8

// Failures are the failed runs of one task. They are immutable.
type Failures struct {
	newest []int64 // run numbers, ascending
	older  int     // number of failed runs that newest omits
}

// NewFailures returns the failures with the given numbers, and older ones.
func NewFailures(newest []int64, older int) Failures {
	f := Failures{older: older}
	for _, run := range newest {
		f = f.With(run)
	}
	return f
}

// Count returns the number of failed runs.
func (f Failures) Count() int { return len(f.newest) + f.older }

// Newest returns the numbers of the newest failed runs, in ascending order.
func (f Failures) Newest() []int64 { return slices.Clone(f.newest) }

// Older returns the number of failed runs that Newest omits.
func (f Failures) Older() int { return f.older }

// Has reports whether a run counts as failed. Runs that are older than all that are kept by
// number do, once some are omitted.
func (f Failures) Has(run int64) bool {
	return slices.Contains(f.newest, run) || (f.older > 0 && len(f.newest) > 0 && run < f.newest[0])
}

// With returns the failures with one more failed run.
func (f Failures) With(run int64) Failures {
	if f.Has(run) {
		return f
	}
	at, _ := slices.BinarySearch(f.newest, run)
	f.newest = slices.Insert(slices.Clone(f.newest), at, run)
	if n := len(f.newest) - MaxFailuresKept; n > 0 {
		f.newest, f.older = f.newest[n:], f.older+n
	}
	return f
}
