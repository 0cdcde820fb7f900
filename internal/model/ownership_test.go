package model

import "testing"

// Durations of the ownership model, in ticks. They compare with each other as
// those of the daemon do: the margin covers the one tick by which the owner's
// clock may lag.
const (
	leaseTTL    = 3
	pledgeTTL   = 3
	clockMargin = 1
	peers       = 3
)

// An ownershipRule is a rule of the ownership protocol that a test can disable.
type ownershipRule int

const (
	noOwnershipRule ownershipRule = iota
	leaseMargin
	pledgeMargin
	majorityOfPledges
	leaseCheck
	blockBeforeTakeover
	waitForPledges
	refusalAfterBlock
	listClosing
	bothListsWhileUncertain
	refusalAfterRestart
	waitAfterRestart
	pledgeFromSendTime
	leaseFromSendTime
)

// A callState is the state of a remote call: idle if none is in flight, sent, or
// answered with the response still on its way to the caller.
type callState int8

const (
	idle callState = iota
	sent
	answered
)

// An ownershipState is a state of the store, the owner, and three daemons of which
// two at a time are the owner's guarantors. The first guarantor is the successor.
// Times are ages and remaining times in ticks, capped at the longest that matters,
// so that the number of states is finite though time is unlimited.
type ownershipState struct {
	lagging bool // the owner's clock has lagged by its one tick

	// The store. The record of the owner's incarnation is registered until its
	// lease lapses; closed is whether a successor has closed the list of guarantors.
	lease      int8 // remaining ticks
	registered bool
	closed     bool
	stored     int8 // the stored list of guarantors: 0 is daemons 0 and 1, 1 is daemons 1 and 2

	// The owner; ages are by its clock.
	renewed   int8 // age of the lease, counted from when its keep-alive was sent
	keepAlive callState
	keptAt    int8      // age of the keep-alive in flight
	writing   callState // write of list 1
	known     int8      // latest list that the owner knows to be stored
	pledge    [peers]callState
	asked     [peers]int8 // age of the pledge request in flight
	pledged   [peers]int8 // age of the last pledge received, counted from its request

	// The guarantors. A blocked one refuses further pledges.
	given     [peers]int8 // remaining ticks of the last pledge
	blocked   [peers]bool
	restarted bool // daemon 1 has restarted and lost its memory

	// The successor.
	stage      int8        // 0: waiting, 1: saw the record gone, 2: closed the list, 3: owner
	target     int8        // the list that it read when it closed it
	blockedFor [peers]bool // guarantors that have confirmed a block
	wait       [peers]int8 // remaining ticks of the pledge that the response to a block reported
}

// An ownershipModel is the ownership protocol with at most one rule disabled.
// Lease renewal and the rewriting of the list of guarantors are explored
// separately, to limit the number of states.
type ownershipModel struct {
	off       ownershipRule
	isRewrite bool
}

// start returns the initial state. Without lease renewal, the lease has lapsed and
// the owner's clock has lagged already.
func (m ownershipModel) start() ownershipState {
	s := ownershipState{lease: leaseTTL, registered: true, pledged: [peers]int8{pledgeTTL, pledgeTTL, pledgeTTL}}
	if m.isRewrite {
		s.lease, s.renewed, s.lagging = 0, leaseTTL, true
	}
	return s
}

// guarantors returns the daemons in a list of guarantors.
func guarantors(list int8) [2]int { return [2]int{int(list), int(list) + 1} }

// mayAct reports whether the owner considers itself the owner, by its lease or by
// its guarantors' pledges. While it doesn't know whether its write of list 1 has
// succeeded, it needs the pledges of both lists.
func (m ownershipModel) mayAct(s ownershipState) bool {
	slack := int8(clockMargin)
	if m.off == leaseMargin {
		slack = 0
	}
	if s.renewed < leaseTTL-slack {
		return true
	}
	if s.writing != idle && m.off != bothListsWhileUncertain {
		return m.isPledged(s, 0) && m.isPledged(s, 1)
	}
	if s.writing != idle {
		return m.isPledged(s, 1)
	}
	return m.isPledged(s, s.known)
}

// isPledged reports whether the pledges of a list of guarantors let the owner act.
func (m ownershipModel) isPledged(s ownershipState, list int8) bool {
	slack := int8(clockMargin)
	if m.off == pledgeMargin {
		slack = 0
	}
	count := 0
	for _, g := range guarantors(list) {
		if s.pledged[g] < pledgeTTL-slack {
			count++
		}
	}
	if m.off == majorityOfPledges {
		return count >= 1
	}
	return count == 2
}

// next visits all states that one step leads to.
func (m ownershipModel) next(s ownershipState, visit func(ownershipState)) {
	m.advanceTime(s, visit)
	if m.isRewrite {
		m.rewriteList(s, visit)
	} else {
		m.renewLease(s, visit)
	}
	m.takeOver(s, visit)
	for g := range peers {
		if m.isRewrite || g < 2 {
			m.requestPledge(s, g, visit)
		}
	}
}

// advanceTime lets the store remove the record of a lapsed lease, and moves all
// clocks by a tick, except that the owner's may lag once.
func (m ownershipModel) advanceTime(s ownershipState, visit func(ownershipState)) {
	if s.registered && s.lease == 0 {
		lapsed := s
		lapsed.registered = false
		visit(lapsed)
	}
	s.lease = max(s.lease-1, 0)
	for g := range peers {
		s.given[g] = max(s.given[g]-1, 0)
		s.wait[g] = max(s.wait[g]-1, 0)
	}
	if !s.lagging {
		lagging := s
		lagging.lagging = true
		visit(lagging)
	}
	s.renewed = min(s.renewed+1, leaseTTL)
	if s.keepAlive != idle {
		s.keptAt++
	}
	if s.keptAt == leaseTTL { // The lease that it would give has lapsed.
		s.keepAlive, s.keptAt = idle, 0
	}
	for g := range peers {
		s.pledged[g] = min(s.pledged[g]+1, pledgeTTL)
		if s.pledge[g] != idle {
			s.asked[g]++
		}
		if s.asked[g] == pledgeTTL {
			s.pledge[g], s.asked[g] = idle, 0
		}
	}
	visit(s)
}

// renewLease does the next step of a keep-alive. Since any other step may come
// first, requests and responses may be late or lost.
func (m ownershipModel) renewLease(s ownershipState, visit func(ownershipState)) {
	switch s.keepAlive {
	case idle:
		s.keepAlive = sent
	case sent:
		if !s.registered {
			return
		}
		s.keepAlive, s.lease = answered, leaseTTL
	case answered:
		s.renewed = min(s.renewed, s.keptAt)
		if m.off == leaseFromSendTime {
			s.renewed = 0
		}
		s.keepAlive, s.keptAt = idle, 0
	}
	visit(s)
}

// rewriteList does the next step of replacing list 0 by list 1, which the store
// refuses once a successor has closed the list.
func (m ownershipModel) rewriteList(s ownershipState, visit func(ownershipState)) {
	switch {
	case s.writing == idle && s.known == 0:
		s.writing = sent
	case s.writing == sent && (!s.closed || m.off == listClosing):
		s.writing, s.stored = answered, 1
	case s.writing == answered:
		s.writing, s.known = idle, 1
	default:
		return
	}
	visit(s)
}

// requestPledge does the next step of a pledge request to one guarantor, or
// restarts daemon 1. A restarted daemon has lost its blocks and pledges, so it
// assumes that it has just given a pledge, and gives no further one.
func (m ownershipModel) requestPledge(s ownershipState, g int, visit func(ownershipState)) {
	if g == 1 && !s.restarted && !m.isRewrite {
		restarted := s
		restarted.restarted, restarted.blocked[g], restarted.given[g] = true, false, pledgeTTL
		if m.off == waitAfterRestart {
			restarted.given[g] = 0
		}
		visit(restarted)
	}
	switch s.pledge[g] {
	case idle:
		s.pledge[g] = sent
	case sent:
		hasLostPledges := g == 1 && s.restarted && m.off != refusalAfterRestart
		if s.blocked[g] && m.off != refusalAfterBlock || hasLostPledges {
			return
		}
		s.pledge[g], s.given[g] = answered, pledgeTTL
	case answered:
		s.pledged[g] = min(s.pledged[g], s.asked[g])
		if m.off == pledgeFromSendTime {
			s.pledged[g] = 0
		}
		s.pledge[g], s.asked[g] = idle, 0
	}
	visit(s)
}

// takeOver does the successor's next step. It closes the list once the owner's
// record is gone, which ends changes of the list, and then blocks the guarantors.
func (m ownershipModel) takeOver(s ownershipState, visit func(ownershipState)) {
	switch s.stage {
	case 0:
		if !s.registered || m.off == leaseCheck {
			s.stage = 1
			visit(s)
		}
	case 1:
		s.stage, s.closed, s.target = 2, true, s.stored
		visit(s)
	case 2:
		m.collectBlocks(s, visit)
	}
}

// collectBlocks blocks one guarantor of the closed list, or makes the successor the
// owner once one of the two is blocked and its last pledge has run out: the owner
// needs the pledges of both.
func (m ownershipModel) collectBlocks(s ownershipState, visit func(ownershipState)) {
	count := 0
	for _, g := range guarantors(s.target) {
		if !s.blockedFor[g] {
			n := s
			// A restarted daemon answers for its former process. It records no
			// block, since it gives no pledge on behalf of that process.
			n.blocked[g] = g != 1 || !s.restarted
			n.blockedFor[g], n.wait[g] = true, s.given[g]
			visit(n)
		}
		if s.blockedFor[g] && (s.wait[g] == 0 || m.off == waitForPledges) {
			count++
		}
	}
	if count >= 1 || m.off == blockBeforeTakeover {
		s.stage = 3
		visit(s)
	}
}

// hasTwoOwners reports whether both the owner and its successor may act.
func (m ownershipModel) hasTwoOwners(s ownershipState) bool { return s.stage == 3 && m.mayAct(s) }

func (m ownershipModel) explore() exploration[ownershipState] {
	return explore(m.start(), m.next, m.hasTwoOwners)
}

// TestOwnership checks that a daemon and its successor never own partitions at the
// same time while leases are renewed and a guarantor restarts, and that each rule
// is needed for that.
func TestOwnership(t *testing.T) {
	t.Run("with all rules there are never two owners", func(t *testing.T) {
		assertHolds(t, ownershipModel{}.explore())
	})
	cases := []struct {
		name string
		off  ownershipRule
	}{
		{"the margin of the lease", leaseMargin},
		{"the margin of pledges", pledgeMargin},
		{"the need for both pledges", majorityOfPledges},
		{"the check that the lease has lapsed", leaseCheck},
		{"blocking a guarantor before the takeover", blockBeforeTakeover},
		{"waiting until pledges have run out", waitForPledges},
		{"the refusal of pledges after a block", refusalAfterBlock},
		{"the refusal of pledges after a restart", refusalAfterRestart},
		{"the pledge that a restarted daemon assumes to have given", waitAfterRestart},
		{"counting a pledge from when it was requested", pledgeFromSendTime},
		{"counting a lease from when its keep-alive was sent", leaseFromSendTime},
	}
	for _, s := range cases {
		t.Run("without "+s.name, func(t *testing.T) {
			assertViolated(t, ownershipModel{off: s.off}.explore())
		})
	}
}

// TestOwnershipRewrite checks the same without a lease, while the owner replaces a
// guarantor in its list.
func TestOwnershipRewrite(t *testing.T) {
	t.Run("with all rules there are never two owners", func(t *testing.T) {
		assertHolds(t, ownershipModel{isRewrite: true}.explore())
	})
	cases := []struct {
		name string
		off  ownershipRule
	}{
		{"closing the list of guarantors", listClosing},
		{"pledges of both lists while the outcome of a write is unknown", bothListsWhileUncertain},
	}
	for _, s := range cases {
		t.Run("without "+s.name, func(t *testing.T) {
			assertViolated(t, ownershipModel{off: s.off, isRewrite: true}.explore())
		})
	}
}
