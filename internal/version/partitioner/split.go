// Package partitioner divides submissions and runners into partitions, each
// with its own owner. Every partition has runners in all racks and data
// centres, so that the loss of a rack or data centre shrinks all partitions
// alike.
package partitioner

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math"
)

// Parameters of the number of partitions.
const (
	// runnersPerCore is the number of runners that an owner with one core can
	// manage while faults make it stop, start and pace much at a time.
	runnersPerCore = 240
	// minRunners and maxRunners bound the size of a partition: smaller partitions
	// queue tasks that a larger one could place, and larger ones exceed the
	// processor of any host.
	minRunners = 48
	maxRunners = 192
)

// A Split is the number of partitions, which are numbered from zero. The split
// of a deployment never changes, because submissions stay in their partition.
type Split struct {
	Parts int `json:"parts"`
	// Cores is the number of cores of an owner for which the number of partitions was
	// chosen; zero if not known.
	Cores float64 `json:"cores,omitempty"`
}

// ChooseSplit returns the split for a number of runners and the cores available
// to each owner. If the cores are not known, partitions have the maximum size.
func ChooseSplit(runners int, cores float64) Split {
	size := float64(maxRunners)
	if cores > 0 {
		size = min(maxRunners, max(minRunners, cores*runnersPerCore))
	}
	return Split{Parts: max(1, int(math.Round(float64(runners)/size))), Cores: max(0, cores)}
}

// Decode reads a split from the form that Encode returns.
func Decode(data []byte) (s Split, err error) {
	if err = json.Unmarshal(data, &s); err != nil {
		return s, fmt.Errorf("decode split: %w", err)
	}
	if s.Parts < 1 {
		return s, fmt.Errorf("decode split: invalid number of partitions: %d", s.Parts)
	}
	return s, nil
}

// Encode returns the form in which the split is stored.
func (s Split) Encode() ([]byte, error) { return json.Marshal(s) }

// RunnerPart returns the partition of a runner.
func (s Split) RunnerPart(id string) int { return hashToRange("runner/"+id, s.Parts) }

// CandidateParts returns the partitions to which a submission can belong, by
// the hash of its id. The daemon that accepts the submission chooses one of
// them.
func (s Split) CandidateParts(id string) []int {
	first := hashToRange("first/"+id, s.Parts)
	if s.Parts < 2 {
		return []int{first}
	}
	second := hashToRange("second/"+id, s.Parts-1)
	if second >= first {
		second++
	}
	return []int{first, second}
}

// hashToRange hashes a key to a number from 0 to n-1.
func hashToRange(key string, n int) int {
	if n <= 1 {
		return 0
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(key)) // a hash never returns an error
	// The high bits of the product depend on all bits of the hash.
	return int((hash.Sum64() * fibonacciMultiplier >> 32) % uint64(n))
}

// fibonacciMultiplier is the odd number closest to 2^64 divided by the golden
// ratio.
const fibonacciMultiplier = 0x9E3779B97F4A7C15
