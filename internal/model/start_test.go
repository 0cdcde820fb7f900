package model

import "testing"

// Durations of the model of start authority, in ticks.
const (
	proofTTL = 3
	// proofClockMargin covers the ticks by which the clocks of two daemons may lag,
	// beyond the one tick that comparing by less-than covers.
	proofClockMargin = 1
	// startLimit is the longest time after a change is durable in which a daemon may
	// still start tasks under the former version.
	startLimit = proofTTL
	daemons    = 2
)

// A startRule is a rule of start authority that a test can disable.
type startRule int

const (
	noStartRule startRule = iota
	proofMargin
	proofFromSendTime
	relayedProofAge
	relayFromSendTime
	relayVersionCheck
	monotonicVersions
	proofRequired
)

// A startState is a state of the store and two daemons. The store changes once,
// from version 0 (data centre in service) to version 1 (out). A daemon starts
// tasks while it has proof that the store held no newer version a short time ago.
// Daemon 0 may relay its proof to daemon 1.
type startState struct {
	stored  int8          // version in the store
	since   int8          // ticks since version 1 became durable, at most startLimit+1
	lagging [daemons]bool // the daemon's clock has lagged by its one tick

	version [daemons]int8 // version in force
	seen    [daemons]int8 // highest version ever in force
	proof   [daemons]int8 // age of the proof by the daemon's clock, at most proofTTL

	// Reads of the store: the age counts from the sending, by the daemon's clock.
	read    [daemons]callState
	readAge [daemons]int8
	readVer [daemons]int8 // version in the response

	// The request of daemon 1 for daemon 0's proof.
	relay    callState
	relayAge int8 // by daemon 1's clock, since the sending
	told     int8 // age of daemon 0's proof when it answered
	toldVer  int8 // daemon 0's version when it answered

	pushed int8 // 0: no push in flight, 1: one of version 0, 2: one of version 1
}

// A startModel is the protocol of start authority with at most one rule disabled.
type startModel struct{ off startRule }

// start returns the initial state, in which no daemon has proof.
func (m startModel) start() startState {
	s := startState{}
	for d := range daemons {
		s.proof[d] = proofTTL
	}
	return s
}

// mayStart reports whether a daemon may start tasks in the data centre.
func (m startModel) mayStart(s startState, d int) bool {
	slack := int8(proofClockMargin)
	if m.off == proofMargin {
		slack = 0
	}
	if m.off == proofRequired {
		return s.version[d] == 0 // As if a watch without events were proof.
	}
	return s.version[d] == 0 && s.proof[d] < proofTTL-slack
}

// next visits all states that one step leads to.
func (m startModel) next(s startState, visit func(startState)) {
	m.advanceTime(s, visit)
	if s.stored == 0 {
		changed := s
		changed.stored = 1
		visit(changed)
	}
	for d := range daemons {
		m.readStore(s, d, visit)
		m.push(s, d, visit)
	}
	m.relayProof(s, visit)
}

// advanceTime moves all clocks by a tick, except that each daemon's may lag once.
func (m startModel) advanceTime(s startState, visit func(startState)) {
	if s.stored == 1 {
		s.since = min(s.since+1, startLimit+1)
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

// tick moves a daemon's clock by a tick, and drops requests that are too old for
// their responses to give proof.
func (s *startState) tick(d int) {
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

// readStore does the next step of a daemon's read. Since any other step may come
// first, requests and responses may be late or lost.
func (m startModel) readStore(s startState, d int, visit func(startState)) {
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

// adopt puts a version into force unless it is older than the one in force.
func (m startModel) adopt(s *startState, d int, version int8) {
	if version > s.version[d] || m.off == monotonicVersions {
		s.version[d] = version
	}
	s.seen[d] = max(s.seen[d], s.version[d])
}

// push sends a daemon's version, or delivers one in flight to a daemon. A push may
// be late and may be delivered twice.
func (m startModel) push(s startState, d int, visit func(startState)) {
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

// relayProof does the next step of daemon 1's request for daemon 0's proof.
func (m startModel) relayProof(s startState, visit func(startState)) {
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
		case relayedProofAge:
			age = s.relayAge
		case relayFromSendTime:
			age = s.told
		}
		if s.toldVer <= s.version[1] || m.off == relayVersionCheck {
			s.proof[1] = min(s.proof[1], age)
		}
		s.relay, s.relayAge, s.told, s.toldVer = idle, 0, 0, 0
	}
	visit(s)
}

// isForbidden reports whether a daemon may start tasks later than startLimit after
// the change, or has gone back to an older version.
func (m startModel) isForbidden(s startState) bool {
	for d := range daemons {
		if s.since > startLimit && m.mayStart(s, d) || s.version[d] < s.seen[d] {
			return true
		}
	}
	return false
}

func (m startModel) explore() exploration[startState] {
	return explore(m.start(), m.next, m.isForbidden)
}

// TestStartAuthority checks that no daemon starts tasks in a data centre longer than
// startLimit after it was taken out, and that each rule is needed for that.
func TestStartAuthority(t *testing.T) {
	t.Run("with all rules no task starts late", func(t *testing.T) { assertHolds(t, startModel{}.explore()) })
	cases := []struct {
		name string
		off  startRule
	}{
		{"the margin of the proof", proofMargin},
		{"counting a proof from when the read was sent", proofFromSendTime},
		{"adding the age of a relayed proof", relayedProofAge},
		{"counting a relayed proof from when it was requested", relayFromSendTime},
		{"comparing the version of a relayed proof", relayVersionCheck},
		{"refusing older versions", monotonicVersions},
		{"requiring proof beyond a watch without events", proofRequired},
	}
	for _, s := range cases {
		t.Run("without "+s.name, func(t *testing.T) {
			assertViolated(t, startModel{off: s.off}.explore())
		})
	}
}
