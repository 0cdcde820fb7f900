// Package partitioner divides submissions and runners among owners. A part has
// runners of every rack and data centre, so that the loss of one of these
// shrinks all parts alike.
package partitioner

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math"
)

// Figures of the number of parts.
const (
	// runnersPerCore is the number of runners that an owner with one core looks
	// after: 490 took more than 0.8 core on days with trouble of
	// sdg-sched-grown, 245 about a third of that.
	runnersPerCore = 320
	// leastRunners and mostRunners bound the size of a part: smaller ones are
	// poor queues, larger ones exceed any host's processor.
	leastRunners = 48
	mostRunners  = 256
)

// A Split is a number of parts. Parts are numbered from zero. The split of a
// deployment never changes: submissions stay in their part.
type Split struct {
	Parts int `json:"parts"`
}

// ChooseSplit returns the split for a number of runners and owners with a share of a
// core. Without a known share the largest parts are taken.
func ChooseSplit(runners int, cores float64) Split {
	size := float64(mostRunners)
	if cores > 0 {
		size = min(mostRunners, max(leastRunners, cores*runnersPerCore))
	}
	return Split{Parts: max(1, int(math.Round(float64(runners)/size)))}
}

// Decode reads the form of Encode.
func Decode(data []byte) (s Split, err error) {
	if err = json.Unmarshal(data, &s); err != nil {
		return s, fmt.Errorf("decode split: %w", err)
	}
	if s.Parts < 1 {
		return s, fmt.Errorf("decode split: %d parts", s.Parts)
	}
	return s, nil
}

// Encode returns the form that is kept in the store.
func (s Split) Encode() ([]byte, error) { return json.Marshal(s) }

// RunnerPart returns the part of a runner.
func (s Split) RunnerPart(id string) int { return pick("runner/"+id, s.Parts) }

// CandidateParts returns the parts in one of which a submission is. Whoever accepts it
// chooses.
func (s Split) CandidateParts(id string) []int {
	first := pick("first/"+id, s.Parts)
	if s.Parts < 2 {
		return []int{first}
	}
	second := pick("second/"+id, s.Parts-1)
	if second >= first {
		second++
	}
	return []int{first, second}
}

// pick returns a number below n by a hash of a key.
func pick(key string, n int) int {
	if n <= 1 {
		return 0
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(key)) // a hash takes any bytes
	// The high bits of the product depend on all bits of the sum.
	return int((hash.Sum64() * spread >> 32) % uint64(n))
}

// spread is the odd number next to 2^64 divided by the golden ratio.
const spread = 0x9E3779B97F4A7C15
