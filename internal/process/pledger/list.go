// Package pledger lets daemons keep what they own while the store doesn't
// answer, by pledges of other daemons not to take it over, and lets a
// successor prove that no such pledges are left.
package pledger

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/kumquatstack/kumquatstack/internal/connection/storer"
	"github.com/kumquatstack/kumquatstack/internal/process/watcher"
)

// Prefix is the prefix of all lists of guarantors.
const Prefix = watcher.Root + "guarantors/"

const (
	// Lifetime is how long a pledge binds its guarantor.
	Lifetime = 3 * time.Second
	// Margin is how much earlier the asker stops relying on a pledge. It
	// covers clock drift and the way from check to act.
	Margin = 500 * time.Millisecond
	// MaxExtension is how long after the lease could have lapsed pledges count.
	MaxExtension = 90 * time.Minute
	// extensionMargin covers the drift of two clocks over MaxExtension.
	extensionMargin = time.Minute
)

// A Guarantor is a daemon's incarnation that may pledge.
type Guarantor struct {
	Daemon      string `json:"daemon"`
	Incarnation int64  `json:"incarnation"`
	Address     string `json:"address"`
}

// A List names the guarantors of one incarnation. It is immutable.
type List struct {
	Guarantors []Guarantor `json:"guarantors"`
	// Closed lists are not changed any more: a successor collects blocks.
	Closed bool `json:"closed,omitempty"`
	// Dead tells that an operator vouches for the incarnation's end.
	Dead bool `json:"dead,omitempty"`
	// Attempt is unique to the write, to recognise it after a lost answer.
	Attempt string `json:"attempt"`
}

// WithClosed returns a copy that is closed.
func (l List) WithClosed(attempt string) List {
	l.Closed = true
	l.Attempt = attempt
	return l
}

// WithDead returns a copy that is closed and needs no blocks.
func (l List) WithDead(attempt string) List {
	l.Dead = true
	return l.WithClosed(attempt)
}

// needed returns how many guarantors have to block the list's incarnation.
func (l List) needed() int {
	if l.Dead {
		return 0
	}
	return BlocksNeeded(len(l.Guarantors))
}

// PledgesNeeded returns how many of n guarantors have to pledge for their
// asker to go on. With no guarantors it can't.
func PledgesNeeded(n int) int { return n/2 + 1 }

// BlocksNeeded returns how many of n guarantors have to block an incarnation
// so that it can't get the pledges it needs.
func BlocksNeeded(n int) int { return n - n/2 }

// Key returns the key of an incarnation's list.
func Key(daemon string, incarnation int64) string {
	return Prefix + daemon + "/" + strconv.FormatInt(incarnation, 10)
}

func parseList(entry storer.Entry) (l List, err error) {
	if err := json.Unmarshal(entry.Value, &l); err != nil {
		return List{}, eris.Wrapf(err, "list of guarantors %s", entry.Key)
	}
	return l, nil
}
