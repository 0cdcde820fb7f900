package conductor

import (
	"sync"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/dispatcher"
)

// A queuedOrder is an order that waits to be sent.
type queuedOrder struct {
	dispatcher.Order
	decidedAt time.Time
}

// precedence lists the kinds of orders, those that are sent first first. Starts go last:
// during a burst there is always one that waits, while stops free room and paces protect
// services, and there is at most one pace a run.
var precedence = [...]dispatcher.Kind{dispatcher.Stop, dispatcher.Pace, dispatcher.Start}

// An orderQueue holds the orders that wait to be sent, and counts the senders: goroutines
// that each send one order at a time until the queue is empty. It is safe for concurrent
// use.
type orderQueue struct {
	mu      sync.Mutex
	orders  map[dispatcher.Kind][]queuedOrder // oldest first
	senders int
}

// push adds orders and returns how many senders have to be started, so that there is one
// an order, up to a limit.
func (q *orderQueue) push(orders []dispatcher.Order, limit int, now time.Time) (missing int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.orders == nil {
		q.orders = make(map[dispatcher.Kind][]queuedOrder)
	}
	for _, o := range orders {
		q.orders[o.Kind] = append(q.orders[o.Kind], queuedOrder{o, now})
	}
	missing = max(0, min(len(orders), limit-q.senders))
	q.senders += missing
	return missing
}

// pop removes the order that a sender is to send next. If there is none, the sender has to
// end.
func (q *orderQueue) pop() (next queuedOrder, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, kind := range precedence {
		if waiting := q.orders[kind]; len(waiting) > 0 {
			q.orders[kind] = waiting[1:]
			return waiting[0], true
		}
	}
	q.senders--
	return next, false
}
