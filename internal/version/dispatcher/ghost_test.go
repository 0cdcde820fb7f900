package dispatcher

import (
	"slices"
	"time"

	"pgregory.net/rapid"
)

// A ghost is a former owner that is cut off from the store and from its successors, together
// with some runners, and acts on.
type ghost struct {
	table *Table
	until time.Time
}

// cutOff cuts a former owner off, together with some runners.
func (d *departures) cutOff(g *ghost) {
	for _, r := range d.sorted() {
		if !r.isLost && rapid.IntRange(0, 2).Draw(d.t, "cutOff") == 0 {
			span := time.Duration(rapid.IntRange(500, 12_000).Draw(d.t, "cutOffFor")) * time.Millisecond
			d.streaks.lose(r.id, d.now)
			r.isCut, r.cutTill = true, d.now.Add(span)
		}
	}
	d.ghosts = append(d.ghosts, g)
}

// haunt lets the former owners that are cut off act on the runners that are cut off, until
// they can't confirm their records for too long or a runner has heard of a successor.
func (d *departures) haunt() {
	d.ghosts = slices.DeleteFunc(d.ghosts, func(g *ghost) bool {
		if !d.now.Before(g.until) {
			return true
		}
		if int(d.now.Sub(epoch)/chaosStep)%10 == 0 && !d.pollAs(g) {
			return true
		}
		g.table.Tick(d.now)
		g.table.Schedule(d.now)
		return !d.sendAs(g)
	})
}

// pollAs polls the runners as a former owner. It reports whether none has refused that.
func (d *departures) pollAs(g *ghost) bool {
	for _, r := range d.sorted() {
		poll, hasToken := newHold(g.table, r.id, d.now)
		poll.acked = 0 // it stores no progress
		if !r.isCut || r.isDown || !hasToken {
			g.table.PollFailed(r.id, d.now)
			continue
		}
		rep, ok := r.hold(poll, d.now)
		if !ok {
			return false
		}
		g.table.Report(r.id, rep, d.now, d.now)
	}
	return true
}

// sendAs sends the orders of a former owner. It reports whether no runner has refused them
// for its fencing token.
func (d *departures) sendAs(g *ghost) bool {
	for _, o := range g.table.Orders() {
		o, ok := g.table.Confirm(o, d.now)
		if !ok {
			continue
		}
		r := d.runners[o.Runner]
		outcome, lifetime := Unanswered, int64(0)
		if r.isCut && !r.isDown {
			res := d.carryOut(r, o)
			if res.outcome == Fenced {
				return false
			}
			outcome, lifetime = res.outcome, res.lifetime
			g.table.ObserveClock(o, lifetime, res.clock, d.now)
		}
		switch o.Kind {
		case Start:
			g.table.ApplyStart(o, outcome, lifetime, d.now)
		case Stop:
			g.table.ApplyStop(o, outcome, d.now)
		case Pace:
		}
	}
	return true
}
