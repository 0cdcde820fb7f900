package model

import "testing"

// Lengths of the model of start authority, in ticks.
const (
	proofTTL = 3
	// clockSlip is the margin for the ticks by which the clocks of two daemons
	// may lag, beyond the one that the comparison leaves.
	clockSlip = 1
	// limit is the length after a change is durable beyond which no daemon
	// may start tasks under a former version.
	limit   = proofTTL
	daemons = 2
)

// A startRule is a mechanism of start authority that can be switched off.
type startRule int

const (
	noStartRule startRule = iota
	proofMargin
	proofFromSendTime
	ageOfRelay
	relayFromQuestion
	versionOfRelay
	forwardsOnly
	readAsProof
)

// A starting is a state of the store, which turns from version 0 (data centre
// in service) to version 1 (out) and, with rollback, nothing else; and of two
// daemons, of which the first may relay its proof to the second.
type starting struct {
	stored  int8 // version in the store
	since   int8 // ticks since version 1 is durable, kept at limit+1
	lagging [daemons]bool

	version [daemons]int8 // version in force
	seen    [daemons]int8 // highest version ever in force
	proof   [daemons]int8 // age of the proof by the daemon's clock, kept at proofTTL

	read    [daemons]message
	readAge [daemons]int8
	readVer [daemons]int8

	// A question from daemon 1 to daemon 0.
	relay    message
	relayAge int8 // by daemon 1's clock, since the question
	told     int8 // age of daemon 0's proof when it answered
	toldVer  int8

	pushed int8 // 1 while a push of version 0 is under way, 2 of version 1
}

type startModel struct{ off startRule }

func (m startModel) start() starting {
	s := starting{}
	for d := range daemons {
		s.proof[d] = proofTTL
	}
	return s
}

// mayStart reports whether a daemon starts tasks in the data centre.
func (m startModel) mayStart(s starting, d int) bool {
	slack := int8(clockSlip)
	if m.off == proofMargin {
		slack = 0
	}
	if m.off == readAsProof {
		return s.version[d] == 0 // A silent watch is taken for proof.
	}
	return s.version[d] == 0 && s.proof[d] < proofTTL-slack
}

func (m startModel) next(s starting, visit func(starting)) {
	m.time(s, visit)
	if s.stored == 0 {
		changed := s
		changed.stored = 1
		visit(changed)
	}
	for d := range daemons {
		m.reading(s, d, visit)
		m.push(s, d, visit)
	}
	m.relaying(s, visit)
}

func (m startModel) time(s starting, visit func(starting)) {
	if s.stored == 1 {
		s.since = min(s.since+1, limit+1)
	}
	for lag := range 1 << daemons {
		later := s
		possible := true
		for d := range daemons {
			if lag&(1<<d) != 0 {
				possible = possible && !s.lagging[d]
				later.lagging[d] = true
				continue
			}
			later.tick(d)
		}
		if possible {
			visit(later)
		}
	}
}

// tick moves a daemon's clock.
func (s *starting) tick(d int) {
	s.proof[d] = min(s.proof[d]+1, proofTTL)
	if s.read[d] != idle {
		s.readAge[d]++
	}
	if s.readAge[d] == proofTTL {
		s.read[d], s.readAge[d], s.readVer[d] = idle, 0, 0
	}
	if d == 1 && s.relay != idle {
		s.relayAge++
	}
	if d == 1 && s.relayAge == proofTTL {
		s.relay, s.relayAge, s.told, s.toldVer = idle, 0, 0, 0
	}
}

// reading is a read of the store by a daemon, late or lost.
func (m startModel) reading(s starting, d int, visit func(starting)) {
	switch s.read[d] {
	case idle:
		s.read[d] = sent
	case sent:
		s.read[d], s.readVer[d] = answered, s.stored
	case answered:
		m.adopt(&s, d, s.readVer[d])
		age := s.readAge[d]
		if m.off == proofFromSendTime {
			age = 0
		}
		s.proof[d] = min(s.proof[d], age)
		s.read[d], s.readAge[d], s.readVer[d] = idle, 0, 0
	}
	visit(s)
}

// adopt brings a version into force unless it is older.
func (m startModel) adopt(s *starting, d int, version int8) {
	if version > s.version[d] || m.off == forwardsOnly {
		s.version[d] = version
	}
	s.seen[d] = max(s.seen[d], s.version[d])
}

// push delivers a durable version from a daemon to the other, late or twice.
func (m startModel) push(s starting, d int, visit func(starting)) {
	if s.pushed == 0 {
		s.pushed = s.version[d] + 1
		visit(s)
		return
	}
	m.adopt(&s, d, s.pushed-1)
	visit(s)
	s.pushed = 0
	visit(s)
}

// relaying passes daemon 0's proof on to daemon 1.
func (m startModel) relaying(s starting, visit func(starting)) {
	switch s.relay {
	case idle:
		s.relay = sent
	case sent:
		if s.proof[0] >= proofTTL {
			return
		}
		s.relay, s.told, s.toldVer = answered, s.proof[0], s.version[0]
	case answered:
		age := s.relayAge + s.told
		switch m.off {
		case ageOfRelay:
			age = s.relayAge
		case relayFromQuestion:
			age = s.told
		}
		if s.toldVer <= s.version[1] || m.off == versionOfRelay {
			s.proof[1] = min(s.proof[1], age)
		}
		s.relay, s.relayAge, s.told, s.toldVer = idle, 0, 0, 0
	}
	visit(s)
}

// isForbidden reports a start too late after the change, or a version that
// went back.
func (m startModel) isForbidden(s starting) bool {
	for d := range daemons {
		if s.since > limit && m.mayStart(s, d) || s.version[d] < s.seen[d] {
			return true
		}
	}
	return false
}

func (m startModel) explore() exploration[starting] {
	return explore(m.start(), m.next, m.isForbidden)
}

func TestStartAuthority(t *testing.T) {
	t.Run("with all rules nothing starts late", func(t *testing.T) { assertHolds(t, startModel{}.explore()) })
	switches := []struct {
		name string
		off  startRule
	}{
		{"the margin of the proof", proofMargin},
		{"counting a proof from the read's sending", proofFromSendTime},
		{"adding the age of a relayed proof", ageOfRelay},
		{"counting a relayed proof from its question", relayFromQuestion},
		{"comparing the version of a relayed proof", versionOfRelay},
		{"applying versions only forwards", forwardsOnly},
		{"asking for proof beyond a silent watch", readAsProof},
	}
	for _, s := range switches {
		t.Run("without "+s.name, func(t *testing.T) {
			assertViolated(t, startModel{off: s.off}.explore())
		})
	}
}
