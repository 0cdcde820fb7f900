package pledger

import (
	"slices"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/member"
)

// A pledgeSet holds the pledges that one incarnation of this daemon has received, and the
// guarantors, which are the daemons that grant them. A pledge is a short lease; while enough
// guarantors have granted one, the incarnation may act although it can't renew its lease in
// the store.
type pledgeSet struct {
	incarnation int64
	// leaseRenewedAt is when the last answered keep-alive of the lease was sent.
	leaseRenewedAt time.Time
	// lists are the lists of guarantors that may be the stored one: more than one
	// while the outcome of a write is unknown. Each needs enough pledges.
	lists [][]Guarantor
	// revision is the store revision of the list, zero before the first write.
	revision int64
	// isClosed reports that a successor has closed the stored list.
	isClosed bool
	// requestedAt is when the newest granted pledge of each guarantor was requested.
	requestedAt map[Guarantor]time.Time
}

func newPledgeSet(incarnation int64) *pledgeSet {
	return &pledgeSet{incarnation: incarnation, requestedAt: make(map[Guarantor]time.Time)}
}

// isLeaseExtended reports whether pledges extend the incarnation's lease, so that this
// daemon may act although it can't renew the lease.
func (s *pledgeSet) isLeaseExtended(now time.Time) bool {
	if s.isClosed || s.revision == 0 || len(s.lists) == 0 {
		return false
	}
	if member.Elapsed(s.leaseRenewedAt, now) >= member.LeaseTTL+MaxExtension-extensionMargin {
		return false
	}
	for _, list := range s.lists {
		if s.countPledges(list, now) < PledgesNeeded(len(list)) {
			return false
		}
	}
	return true
}

// countPledges returns the number of guarantors in a list whose pledges are valid for
// PledgeMargin or longer.
func (s *pledgeSet) countPledges(list []Guarantor, now time.Time) int {
	count := 0
	for _, g := range list {
		if requestedAt, ok := s.requestedAt[g]; ok && member.Elapsed(requestedAt, now) < PledgeTTL-PledgeMargin {
			count++
		}
	}
	return count
}

// guarantors returns the guarantors of all lists without duplicates.
func (s *pledgeSet) guarantors() []Guarantor {
	var all []Guarantor
	for _, list := range s.lists {
		for _, g := range list {
			if !slices.Contains(all, g) {
				all = append(all, g)
			}
		}
	}
	return all
}
