package configurer

import (
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/member"
)

const (
	// ProofLifetime is the age up to which a proof allows the start of a task.
	ProofLifetime = 2 * time.Second
	// clockDriftMargin is subtracted from ProofLifetime. It covers the drift
	// between the clocks of two daemons while a proof is passed on and used.
	clockDriftMargin = 20 * time.Millisecond
	// proofRefreshAge is the age of the proof at which a daemon reads the store
	// itself. Younger proofs from peers make the read unnecessary.
	proofRefreshAge = 900 * time.Millisecond
	// proofCheckInterval is the time between two checks of the proof's age.
	proofCheckInterval = 150 * time.Millisecond
	// readTimeout bounds one read of the declarations that renews the proof.
	readTimeout = 700 * time.Millisecond
)

// A Proof states that at a given time the store held no version newer than the
// one in force here. It is immutable. The zero value proves nothing.
type Proof struct {
	// At is a time not later than the one at which the store answered.
	At time.Time
}

// Age returns the age of the proof, or a negative duration for the zero value.
func (p Proof) Age(now time.Time) time.Duration {
	if p.At.IsZero() {
		return -1
	}
	return max(member.Elapsed(p.At, now), 0)
}

// IsFresh reports whether the proof is young enough for tasks to start on it.
func (p Proof) IsFresh(now time.Time) bool {
	age := p.Age(now)
	return age >= 0 && age <= ProofLifetime-clockDriftMargin
}

// Newer returns the younger of two proofs.
func (p Proof) Newer(other Proof) Proof {
	if other.At.After(p.At) {
		return other
	}
	return p
}
