package member

import (
	"time"

	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// A Peer is what this daemon knows of another one. It is immutable.
type Peer struct {
	Member
	// Registered tells whether the store's record of the member is known.
	Registered bool
	// HeardAt is when the last heartbeat, or answer to one, arrived.
	HeardAt time.Time
	// State is the peer's last word of itself, nil before the first.
	State *kumquatv1.HeartbeatRequest
}

// WithMember returns a copy with another store record.
func (p Peer) WithMember(m Member, registered bool) Peer {
	p.Member = m
	p.Registered = registered
	return p
}

// WithState returns a copy with a newer word of the peer.
func (p Peer) WithState(state *kumquatv1.HeartbeatRequest, heard time.Time) Peer {
	p.State = state
	p.HeardAt = heard
	return p
}

// IsReachable reports whether the peer was heard lately.
func (p Peer) IsReachable(now time.Time) bool {
	return p.State != nil && Elapsed(p.HeardAt, now) < SilentAfter
}

// IsLeaving reports whether the peer said that it is stopping.
func (p Peer) IsLeaving() bool { return p.State.GetLeaving() }

// A HeartbeatReply is a peer's answer to a heartbeat of this daemon.
type HeartbeatReply struct {
	Peer Peer
	// SentAt is when the heartbeat was sent; the peer's state is not older.
	SentAt time.Time
}
