package model

import "testing"

// Lengths of the ownership model, in ticks. They keep the order of the
// product's: a margin covers the one tick by which the owner's clock may lag.
const (
	leaseTTL  = 3
	pledgeTTL = 3
	margin    = 1
	peers     = 3
)

// A rule is a mechanism of the ownership protocol that can be switched off.
type rule int

const (
	noRule rule = iota
	leaseMargin
	pledgeMargin
	majorityOfPledges
	checkOfLease
	blocks
	waitForPledges
	refusalAfterBlock
	closingOfList
	bothListsWhileUnknown
	refusalAfterRestart
	waitAfterRestart
	pledgeFromSendTime
	leaseFromSendTime
)

// A message is a call of the owner: not under way, sent, or answered.
type message int8

const (
	idle message = iota
	sent
	answered
)

// An ownership is a state of the owner, three daemons of which two are its
// guarantors at a time, and the store. The first guarantor is the successor.
// Times are ages and remainders in ticks, kept within the length that matters,
// so that the model has no end of time.
type ownership struct {
	lagging bool // the owner's clock has lost its tick

	// The store.
	lease      int8 // remaining ticks
	registered bool
	closed     bool
	stored     int8 // list in the store: 0 holds daemons 0 and 1, 1 holds 1 and 2

	// The owner, by its clock.
	renewed   int8 // age of the last answered keep-alive, from its sending
	keepAlive message
	keptAt    int8 // age of the keep-alive under way
	writing   message
	known     int8 // list known to be stored
	pledge    [peers]message
	asked     [peers]int8 // age of the question under way
	pledged   [peers]int8 // age of the last pledge

	// The guarantors.
	given     [peers]int8 // remaining ticks of the last pledge
	blocked   [peers]bool
	restarted bool // daemon 1 lost its memory

	// The successor.
	stage      int8 // 0 waiting, 1 saw the record gone, 2 closed the list, 3 owner
	target     int8 // list that it read
	blockedFor [peers]bool
	wait       [peers]int8 // remaining ticks that a block's answer told
}

// An ownershipModel is the protocol with one rule switched off. The lease and
// the rewriting of the list are explored apart, to bound the states.
type ownershipModel struct {
	off       rule
	isRewrite bool
}

func (m ownershipModel) start() ownership {
	s := ownership{lease: leaseTTL, registered: true, pledged: [peers]int8{pledgeTTL, pledgeTTL, pledgeTTL}}
	if m.isRewrite {
		s.lease, s.renewed, s.lagging = 0, leaseTTL, true
	}
	return s
}

func guarantors(list int8) [2]int { return [2]int{int(list), int(list) + 1} }

// holds reports whether the owner would act now.
func (m ownershipModel) holds(s ownership) bool {
	slack := int8(margin)
	if m.off == leaseMargin {
		slack = 0
	}
	if s.renewed < leaseTTL-slack {
		return true
	}
	if s.writing != idle && m.off != bothListsWhileUnknown {
		return m.isPledged(s, 0) && m.isPledged(s, 1)
	}
	if s.writing != idle {
		return m.isPledged(s, 1)
	}
	return m.isPledged(s, s.known)
}

func (m ownershipModel) isPledged(s ownership, list int8) bool {
	slack := int8(margin)
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

func (m ownershipModel) next(s ownership, visit func(ownership)) {
	m.time(s, visit)
	if m.isRewrite {
		m.rewrite(s, visit)
	} else {
		m.keep(s, visit)
	}
	m.successor(s, visit)
	for g := range peers {
		if m.isRewrite || g < 2 {
			m.pledging(s, g, visit)
		}
	}
}

// time passes, and the store lets the lease lapse.
func (m ownershipModel) time(s ownership, visit func(ownership)) {
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
	if s.keptAt == leaseTTL { // Of no more use to the owner.
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

// keep renews the lease. Each call may be late or lost.
func (m ownershipModel) keep(s ownership, visit func(ownership)) {
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

// rewrite replaces the list of guarantors.
func (m ownershipModel) rewrite(s ownership, visit func(ownership)) {
	switch {
	case s.writing == idle && s.known == 0:
		s.writing = sent
	case s.writing == sent && (!s.closed || m.off == closingOfList):
		s.writing, s.stored = answered, 1
	case s.writing == answered:
		s.writing, s.known = idle, 1
	default:
		return
	}
	visit(s)
}

// pledging is the exchange between the owner and one guarantor.
func (m ownershipModel) pledging(s ownership, g int, visit func(ownership)) {
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
		isForgetful := g == 1 && s.restarted && m.off != refusalAfterRestart
		if s.blocked[g] && m.off != refusalAfterBlock || isForgetful {
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

// successor takes over.
func (m ownershipModel) successor(s ownership, visit func(ownership)) {
	switch s.stage {
	case 0:
		if !s.registered || m.off == checkOfLease {
			s.stage = 1
			visit(s)
		}
	case 1:
		s.stage, s.closed, s.target = 2, true, s.stored
		visit(s)
	case 2:
		m.collect(s, visit)
	}
}

func (m ownershipModel) collect(s ownership, visit func(ownership)) {
	count := 0
	for _, g := range guarantors(s.target) {
		if !s.blockedFor[g] {
			n := s
			// A restarted daemon vouches for the process before it; it keeps
			// no block, since it gives no pledges in the other's name.
			n.blocked[g] = g != 1 || !s.restarted
			n.blockedFor[g], n.wait[g] = true, s.given[g]
			visit(n)
		}
		if s.blockedFor[g] && (s.wait[g] == 0 || m.off == waitForPledges) {
			count++
		}
	}
	if count >= 1 || m.off == blocks {
		s.stage = 3
		visit(s)
	}
}

// isDouble reports whether both the owner and its successor would act.
func (m ownershipModel) isDouble(s ownership) bool { return s.stage == 3 && m.holds(s) }

func (m ownershipModel) explore() exploration[ownership] {
	return explore(m.start(), m.next, m.isDouble)
}

func TestOwnership(t *testing.T) {
	t.Run("with all rules nobody acts beside the owner", func(t *testing.T) {
		assertHolds(t, ownershipModel{}.explore())
	})
	switches := []struct {
		name string
		off  rule
	}{
		{"the margin of the lease", leaseMargin},
		{"the margin of pledges", pledgeMargin},
		{"the majority of pledges", majorityOfPledges},
		{"the check of the lease", checkOfLease},
		{"blocks", blocks},
		{"waiting for pledges to run out", waitForPledges},
		{"the refusal of pledges after a block", refusalAfterBlock},
		{"the refusal of pledges after a restart", refusalAfterRestart},
		{"the wait of a daemon that vouches after a restart", waitAfterRestart},
		{"counting a pledge from its question", pledgeFromSendTime},
		{"counting a lease from the keep-alive's sending", leaseFromSendTime},
	}
	for _, s := range switches {
		t.Run("without "+s.name, func(t *testing.T) {
			assertViolated(t, ownershipModel{off: s.off}.explore())
		})
	}
}

func TestOwnershipRewrite(t *testing.T) {
	t.Run("with all rules nobody acts beside the owner", func(t *testing.T) {
		assertHolds(t, ownershipModel{isRewrite: true}.explore())
	})
	switches := []struct {
		name string
		off  rule
	}{
		{"closing the list", closingOfList},
		{"pledges for both lists while a write is unknown", bothListsWhileUnknown},
	}
	for _, s := range switches {
		t.Run("without "+s.name, func(t *testing.T) {
			assertViolated(t, ownershipModel{off: s.off, isRewrite: true}.explore())
		})
	}
}
