package dispatcher

import (
	"slices"
	"time"

	"pgregory.net/rapid"
)

// A delayedOrder is an order that a runner carries out late and does not answer.
type delayedOrder struct {
	at     time.Time
	sentAt time.Time
	order  Order
	fence  int64
}

// A delayedPoll is a poll that a runner carries out late and does not answer.
type delayedPoll struct {
	at, dropAt time.Time
	runner     string
	poll       hold
}

// carryOutDelayed carries out the calls whose time has come.
func (c *chaos) carryOutDelayed() {
	c.delayed = slices.DeleteFunc(c.delayed, func(d delayedOrder) bool {
		r := c.runners[d.order.Runner]
		if c.now.After(d.sentAt.Add(chaosCallDelay)) {
			return true
		}
		if c.now.Before(d.at) || r.isDown {
			return false
		}
		if !r.missed(d, c.table, c.fence, c.now) {
			c.carryOut(r, d.order)
		}
		return true
	})
	c.polls = slices.DeleteFunc(c.polls, func(d delayedPoll) bool {
		r := c.runners[d.runner]
		if c.now.Before(d.at) || (r.isDown && c.now.Before(d.dropAt)) {
			return false
		}
		if !r.isDown {
			r.hold(d.poll, c.now)
		}
		return true
	})
}

// delayPoll keeps a poll back from a runner, or loses it. It reports false if the poll arrives
// at once.
func (c *chaos) delayPoll(r *simRunner, poll hold) bool {
	if !c.faulty {
		return false
	}
	switch rapid.IntRange(0, 20).Draw(c.t, "pollLost") {
	case 1:
		return true
	case 2:
		late := c.now.Add(time.Duration(rapid.IntRange(100, int(chaosCallDelay/time.Millisecond)).Draw(c.t, "latePoll")) * time.Millisecond)
		c.polls = append(c.polls, delayedPoll{late, c.now.Add(chaosCallDelay), r.id, poll})
		return true
	}
	return false
}
