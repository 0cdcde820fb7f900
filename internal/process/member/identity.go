// Package member registers the daemon in the store under a lease, exchanges
// heartbeats with the other daemons and keeps track of all members.
package member

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/kumquatstack/kumquatstack/internal/connection/storer"
	"github.com/kumquatstack/kumquatstack/internal/process/watcher"
)

// Prefix is the key prefix of all member records.
const Prefix = watcher.Root + "members/"

const (
	// LeaseTTL is the time to live of a member's lease.
	LeaseTTL = 4 * time.Second
	// LeaseMargin is how long before its lease could lapse a daemon stops relying
	// on the lease. It covers clock drift and the delay between a check and the action
	// that depends on it.
	LeaseMargin = 500 * time.Millisecond
	// HeartbeatInterval is the time between heartbeats to a peer.
	HeartbeatInterval = 500 * time.Millisecond
	// UnreachableAfter is the time without a heartbeat, or an answer to one, after
	// which a peer counts as unreachable.
	UnreachableAfter = 3 * HeartbeatInterval

	keepAliveInterval = LeaseTTL / 4
	keepAliveTimeout  = time.Second
	heartbeatTimeout  = 400 * time.Millisecond
	// nameClaimTimeout is how long registration waits for an earlier lease of the
	// same name to lapse before it fails because the name is taken.
	nameClaimTimeout = 3 * LeaseTTL
)

// An Identity is a daemon's name, address and location, as set in its settings.
type Identity struct {
	Daemon     string `json:"daemon"`
	Address    string `json:"address"` // IP number and port of the peer service
	DataCentre string `json:"dataCentre"`
	Region     string `json:"region"`
}

// A record is the stored value of a member.
type record struct {
	Identity
	// Token is unique to the writing process.
	Token string `json:"token"`
}

// A Member is one registered incarnation of a daemon.
type Member struct {
	Identity
	// Incarnation is the store revision of the member's record.
	Incarnation int64
	Token       string
}

// Key returns the store key of a daemon's member record.
func Key(daemon string) string { return Prefix + daemon }

// Parse decodes a stored member record.
func Parse(entry storer.Entry) (m Member, err error) {
	var r record
	if err := json.Unmarshal(entry.Value, &r); err != nil {
		return Member{}, eris.Wrapf(err, "decoding the member record %s", entry.Key)
	}
	if r.Daemon != strings.TrimPrefix(entry.Key, Prefix) {
		return Member{}, eris.Errorf("member record %s names daemon %q", entry.Key, r.Daemon)
	}
	return Member{Identity: r.Identity, Incarnation: int64(entry.Revision), Token: r.Token}, nil
}
