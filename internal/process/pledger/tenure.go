package pledger

import (
	"slices"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/member"
)

// A tenure is one incarnation of this daemon with its guarantors' pledges.
type tenure struct {
	incarnation int64
	// renewed is when the last answered keep-alive of its lease was sent.
	renewed time.Time
	// lists are the lists that may be the stored one: more than one while
	// the outcome of a write is unknown. Pledges are needed for each.
	lists [][]Guarantor
	// revision is the revision of the stored list, zero before the first.
	revision int64
	// closed tells that a successor has closed the list for good.
	closed bool
	// sent is when the newest granted pledge of a guarantor was asked for.
	sent map[Guarantor]time.Time
}

func newTenure(incarnation int64) *tenure {
	return &tenure{incarnation: incarnation, sent: make(map[Guarantor]time.Time)}
}

// isExtended reports whether the pledges allow to act without the lease.
func (t *tenure) isExtended(now time.Time) bool {
	if t.closed || t.revision == 0 || len(t.lists) == 0 {
		return false
	}
	if member.Elapsed(t.renewed, now) >= member.LeaseTTL+MaxExtension-extensionMargin {
		return false
	}
	for _, list := range t.lists {
		if t.pledged(list, now) < PledgesNeeded(len(list)) {
			return false
		}
	}
	return true
}

// pledged counts the guarantors whose pledges can be relied on.
func (t *tenure) pledged(list []Guarantor, now time.Time) int {
	count := 0
	for _, g := range list {
		if sent, ok := t.sent[g]; ok && member.Elapsed(sent, now) < Lifetime-Margin {
			count++
		}
	}
	return count
}

// guarantors returns those of all lists, each once.
func (t *tenure) guarantors() []Guarantor {
	var all []Guarantor
	for _, list := range t.lists {
		for _, g := range list {
			if !slices.Contains(all, g) {
				all = append(all, g)
			}
		}
	}
	return all
}
