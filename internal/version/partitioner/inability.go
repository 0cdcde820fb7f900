package partitioner

import (
	"slices"
	"time"
)

const (
	// inabilityAge is how long it counts that a partition could not run a submission.
	inabilityAge = 2 * time.Second
	// maxInabilities limits what is remembered of a partition.
	maxInabilities = 64
)

// An inability is that no runner of a partition could run tasks with a need.
type inability struct {
	need Need
	at   time.Time
}

// excludes reports whether tasks with another need can't run either.
func (i inability) excludes(other Need) bool {
	return i.need.Service == other.Service && i.need.Label == other.Label && i.need.Fits(other.Resources)
}

// NoteUnable notes the needs for which the owner of a partition has no runner.
func (b *Balancer) NoteUnable(part int, needs []Need, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, need := range needs {
		noted := inability{need, now}
		known := slices.DeleteFunc(b.inabilities[part], func(i inability) bool {
			return now.Sub(i.at) >= inabilityAge || noted.excludes(i.need)
		})
		if len(known) >= maxInabilities {
			known = known[1:]
		}
		b.inabilities[part] = append(known, noted)
	}
}

// Able returns those of the given partitions of which it is not known that they can't run a
// submission with some needs, or all if none is left.
//
// Load: services, labels and accelerators of few runners, of which a partition has none that may
// be used. It has room for everything else.
func (b *Balancer) Able(parts []int, needs []Need, now time.Time) []int {
	b.mu.Lock()
	defer b.mu.Unlock()
	able := slices.DeleteFunc(slices.Clone(parts), func(part int) bool {
		return slices.ContainsFunc(b.inabilities[part], func(i inability) bool {
			return now.Sub(i.at) < inabilityAge && slices.ContainsFunc(needs, i.excludes)
		})
	})
	if len(able) == 0 {
		return parts
	}
	return able
}
