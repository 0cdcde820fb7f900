package gateway

import (
	"sync"

	"github.com/kumquatstack/kumquatstack/internal/version/partitioner"
)

// homesKept bounds each of the two generations of remembered homes.
const homesKept = 4096

// homes remembers in which part submissions are, so that one owner is asked and
// not two. It is safe for concurrent use.
type homes struct {
	split partitioner.Split

	mu           sync.Mutex
	newer, older map[string]int
}

func newHomes(split partitioner.Split) *homes {
	return &homes{split: split, newer: make(map[string]int)}
}

// note takes note of the home of a submission.
func (h *homes) note(id string, part int) {
	if h.split.Parts < 2 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.newer) >= homesKept {
		h.newer, h.older = make(map[string]int), h.newer
	}
	h.newer[id] = part
}

// of returns the homes of a submission, the most likely one first.
func (h *homes) of(id string) []int {
	all := h.split.CandidateParts(id)
	if len(all) < 2 {
		return all
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	part, known := h.newer[id]
	if !known {
		part, known = h.older[id]
	}
	if known && part != all[0] {
		all[0], all[1] = all[1], all[0]
	}
	return all
}
