package gateway

import (
	"sync"

	"github.com/kumquatstack/kumquatstack/internal/version/partitioner"
)

// partCacheSize limits each of the two maps of a partCache.
const partCacheSize = 4096

// A partCache remembers which part a submission is in, so that
// a request usually goes to one owner instead of two. It is safe for concurrent use.
type partCache struct {
	split partitioner.Split

	mu sync.Mutex
	// newer and older map the IDs of submissions to their parts. When newer is full,
	// it replaces older.
	newer, older map[string]int
}

func newPartCache(split partitioner.Split) *partCache {
	return &partCache{split: split, newer: make(map[string]int)}
}

// add remembers the part of a submission.
func (c *partCache) add(id string, part int) {
	if c.split.Parts < 2 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.newer) >= partCacheSize {
		c.newer, c.older = make(map[string]int), c.newer
	}
	c.newer[id] = part
}

// candidates returns the parts that a submission may be in, the most likely one
// first. If it is in none of them, the part in which it was accepted names another one.
func (c *partCache) candidates(id string) []int {
	all := c.split.CandidateParts(id)
	if len(all) < 2 {
		return all
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	part, known := c.newer[id]
	if !known {
		part, known = c.older[id]
	}
	switch {
	case !known, part == all[0]:
	case part == all[1]:
		all[0], all[1] = all[1], all[0]
	default:
		all = append([]int{part}, all...) // it was handed to another part
	}
	return all
}
