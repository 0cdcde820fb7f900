// Package pledger extends the daemons' leases during a store outage. A daemon that
// can't renew its lease gets short leases (pledges) from other daemons of its
// region, its guarantors. A successor that wants to replace it has guarantors
// refuse further pledges (block it) and waits until the last ones have expired.
package pledger

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/kumquatstack/kumquatstack/internal/connection/storer"
	"github.com/kumquatstack/kumquatstack/internal/process/watcher"
)

// Prefix is the key prefix of all lists of guarantors.
const Prefix = watcher.Root + "guarantors/"

const (
	// PledgeTTL is the time to live of a pledge.
	PledgeTTL = 3 * time.Second
	// PledgeMargin is how long before a pledge expires its holder stops relying
	// on it. It covers clock drift and the delay between a check and the action
	// that depends on it.
	PledgeMargin = 500 * time.Millisecond
	// MaxExtension is how long pledges can extend a lease beyond the earliest time
	// at which the store could let it lapse.
	MaxExtension = 90 * time.Minute
	// extensionMargin covers the drift between two clocks over MaxExtension.
	extensionMargin = time.Minute
)

// A Guarantor is an incarnation of a daemon that may grant pledges.
type Guarantor struct {
	Daemon      string `json:"daemon"`
	Incarnation int64  `json:"incarnation"`
	Address     string `json:"address"`
}

// A List is the stored list of the guarantors of one incarnation. It is immutable.
type List struct {
	Guarantors []Guarantor `json:"guarantors"`
	// Closed reports that a successor has started to evict the incarnation, which
	// can then no longer change its guarantors.
	Closed bool `json:"closed,omitempty"`
	// Dead reports that an operator has declared the incarnation dead.
	Dead bool `json:"dead,omitempty"`
	// Attempt is unique to the write. It shows whether the write took effect if
	// the store's answer was lost.
	Attempt string `json:"attempt"`
}

// WithClosed returns a closed copy, to be stored by the given attempt.
func (l List) WithClosed(attempt string) List {
	l.Closed = true
	l.Attempt = attempt
	return l
}

// WithDead returns a closed copy that requires no blocks, to be stored by the given
// attempt.
func (l List) WithDead(attempt string) List {
	l.Dead = true
	return l.WithClosed(attempt)
}

// requiredBlocks returns how many guarantors have to block the incarnation before
// it can be evicted.
func (l List) requiredBlocks() int {
	if l.Dead {
		return 0
	}
	return BlocksNeeded(len(l.Guarantors))
}

// PledgesNeeded returns how many of n guarantors have to grant a pledge to extend
// the lease of an incarnation. Without guarantors no lease is extended.
func PledgesNeeded(n int) int { return n/2 + 1 }

// BlocksNeeded returns how many of n guarantors have to block an incarnation so
// that it can no longer get PledgesNeeded pledges.
func BlocksNeeded(n int) int { return n - n/2 }

// Key returns the store key of an incarnation's list of guarantors.
func Key(daemon string, incarnation int64) string {
	return Prefix + daemon + "/" + strconv.FormatInt(incarnation, 10)
}

func parseList(entry storer.Entry) (l List, err error) {
	if err := json.Unmarshal(entry.Value, &l); err != nil {
		return List{}, eris.Wrapf(err, "decoding the list of guarantors %s", entry.Key)
	}
	return l, nil
}
