package dispatcher

import (
	"slices"
	"time"
)

// maxQueuedStarts is the number of starts that may be decided and not sent yet. Further
// starts are decided later, by what is known and most urgent then.
const maxQueuedStarts = 128

// Confirm returns an order as it is to be sent now, or false if it must not be sent: what
// it was decided by may have changed while it waited. The caller calls it right before it
// sends the order. A start that is not sent, or is to be stopped already, is withdrawn: its
// run ends.
//
// Load: bursts in which an owner decides orders faster than it can send them.
func (t *Table) Confirm(o Order, now time.Time) (confirmed Order, ok bool) {
	x := t.find(o)
	switch {
	case x == nil:
		token, ok := t.Token(o.Runner)
		return o, ok && o.isUnknown && o.Token == token
	case o.Kind == Stop && x.isQueued:
		t.withdraw(x, now, "to be stopped")
		return o, false
	case o.Kind == Stop:
		x.isStopQueued, x.stopOrderedAt = false, now
		return t.withToken(o, x.runner, now)
	case o.Kind == Pace:
		o.Percent = x.pace
		confirmed, ok = t.withToken(o, x.runner, now)
		x.isPaceOrdered = ok
		return confirmed, ok
	}
	if reason := t.withdrawal(x, now); reason != "" {
		t.withdraw(x, now, reason)
		return o, false
	}
	t.dequeue(x)
	o.Until = t.LeaseUntil(o.Runner, now)
	o.Ticket = x.st.permits[o.Runner].ticket
	return t.withToken(o, x.runner, now)
}

// withToken returns an order for the current incarnation of a runner. It returns false if there
// is no token for that yet.
func (t *Table) withToken(o Order, r *runner, now time.Time) (confirmed Order, ok bool) {
	o.Lifetime, o.Token, o.clock = r.info.Lifetime, r.token, r.leastClock(now)
	_, ok = t.Token(o.Runner)
	return o, ok
}

// withdraw ends a run whose start is not sent. The other members of its gang are withdrawn
// or stopped, as they would wait for it in vain.
func (t *Table) withdraw(x *run, now time.Time, reason string) {
	t.end(x, now, "withdrawn: "+reason)
	if !x.st.spec.Gang {
		return
	}
	for i := range x.st.tasks {
		for _, member := range slices.Clone(x.st.tasks[i].runs) {
			if member.isQueued {
				t.end(member, now, "withdrawn: gang is incomplete")
			} else {
				t.stop(member, now, "gang is incomplete")
			}
		}
	}
}

// withdrawal returns why a start that has been decided must not be sent now, or "".
func (t *Table) withdrawal(x *run, now time.Time) string {
	if x.phase != starting {
		return "to be stopped" // for instance as the runner was restarted
	}
	if x.runner.isOvercommitted() {
		return string(full) // the runner has shrunk
	}
	anyTask := &task{} // one that avoids no runner
	switch o := t.obstacle(x.runner, x.st, anyTask, now); o {
	case otherService, unregistered, leaving, runsUnknown, suspended, silent:
		return string(o)
	default:
		return "" // the others depend on room, which this run takes up itself
	}
}

// enqueue notes that a start has been decided and is not sent yet.
func (t *Table) enqueue(x *run) {
	x.isQueued = true
	t.queuedStarts++
	if x.isSlow {
		t.queuedBackground++
	}
	t.starts++
}

// dequeue notes that a start has been sent or withdrawn.
func (t *Table) dequeue(x *run) {
	if !x.isQueued {
		return
	}
	x.isQueued = false
	t.queuedStarts--
	if x.isSlow {
		t.queuedBackground--
	}
	if t.isPlacementDeferred && t.queuedStarts <= maxQueuedStarts/2 {
		t.isPlacementDeferred = false
		t.placementDue = true
	}
}

// isQueueFull reports whether further starts have to be decided later. The placement pass
// is then repeated as soon as half of the queued starts are left.
func (t *Table) isQueueFull() bool {
	if t.queuedStarts < maxQueuedStarts {
		return false
	}
	t.isPlacementDeferred = true
	return true
}
