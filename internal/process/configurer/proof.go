package configurer

import (
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/member"
)

const (
	// ProofLifetime is the greatest age of a proof on which a task may start.
	ProofLifetime = 2 * time.Second
	// proofMargin covers the drift of clocks between two daemons while a
	// proof is passed on and used.
	proofMargin = 20 * time.Millisecond
	// proofRefresh is the age of a proof at which a daemon reads the store
	// itself. Younger proof of peers saves the read.
	proofRefresh = 900 * time.Millisecond
	// proofPoll is the time between two looks at the age of the proof.
	proofPoll = 150 * time.Millisecond
	// readTimeout bounds one read of the declarations.
	readTimeout = 700 * time.Millisecond
)

// A Proof says that at an instant the store held no version newer than the
// one in force here. It is immutable; the zero value proves nothing.
type Proof struct {
	// At is not later than the instant at which the store answered.
	At time.Time
}

// Age returns the age of the proof; a negative age means no proof.
func (p Proof) Age(now time.Time) time.Duration {
	if p.At.IsZero() {
		return -1
	}
	return max(member.Elapsed(p.At, now), 0)
}

// IsFresh reports whether tasks may start on the proof.
func (p Proof) IsFresh(now time.Time) bool {
	age := p.Age(now)
	return age >= 0 && age <= ProofLifetime-proofMargin
}

// Newer returns the younger of two proofs.
func (p Proof) Newer(other Proof) Proof {
	if other.At.After(p.At) {
		return other
	}
	return p
}
