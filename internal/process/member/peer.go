package member

import (
	"time"

	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// A Peer is what this daemon knows of another one. It is immutable.
type Peer struct {
	Member
	// Registered reports whether the store is known to hold a member record of the peer.
	Registered bool
	// HeardAt is when the last heartbeat of the peer, or answer to one, arrived.
	HeardAt time.Time
	// State is the peer's last known state, nil before the first heartbeat.
	State *kumquatv1.HeartbeatRequest
}

// WithMember returns a copy with another member record.
func (p Peer) WithMember(m Member, registered bool) Peer {
	p.Member = m
	p.Registered = registered
	return p
}

// WithState returns a copy with a newer state of the peer.
func (p Peer) WithState(state *kumquatv1.HeartbeatRequest, heard time.Time) Peer {
	p.State = state
	p.HeardAt = heard
	return p
}

// IsReachable reports whether a heartbeat of the peer, or an answer to one, arrived
// within UnreachableAfter.
func (p Peer) IsReachable(now time.Time) bool {
	return p.State != nil && Elapsed(p.HeardAt, now) < UnreachableAfter
}

// IsLeaving reports whether the peer has announced that it is shutting down.
func (p Peer) IsLeaving() bool { return p.State.GetLeaving() }

// A HeartbeatReply is a peer's answer to a heartbeat of this daemon.
type HeartbeatReply struct {
	Peer Peer
	// SentAt is when the heartbeat was sent. The peer's state is not older.
	SentAt time.Time
}
