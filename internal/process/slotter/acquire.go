package slotter

import (
	"context"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/process/picker"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/request/queuer"
)

// ErrNoRunner reports that this daemon has no runner that it may use now.
var ErrNoRunner error = &errs.NotRunError{Reason: "no runner can be used here", RetryAfter: time.Second}

// An Ask asks for a slot of an upstream.
type Ask struct {
	Upstream string
	Request  string
	Caller   string
	Deadline time.Time
	MissCost int
	// Idempotent requests may try out runners that have failed.
	Idempotent bool
	// Avoid is a runner that this request has failed on.
	Avoid string
}

// A waiter is a request that waits for a slot.
type waiter struct {
	ask   Ask
	up    *upstream // set while the table is locked
	ready chan grant
}

// A grant is a slot or the reason why there is none.
type grant struct {
	slot *Slot
	err  error
}

// refuse ends the waiting without a slot.
func (w *waiter) refuse(err error) { w.ready <- grant{err: err} }

// TryAcquire returns a slot if one is free and nothing waits for it.
func (s *Slots) TryAcquire(ask Ask) (slot *Slot, ok bool) {
	now := s.opts.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	up := s.upstreams[ask.Upstream]
	if s.closed || up == nil || up.queue.Len() > 0 || up.isTooLate(ask, now) {
		return nil, false
	}
	slot = s.take(up, ask, now)
	return slot, slot != nil
}

// Acquire returns a slot, and waits for one in the order of the queue if none
// is free. Its error is of type *errs.NotRunError.
func (s *Slots) Acquire(ctx context.Context, ask Ask) (slot *Slot, err error) {
	now := s.opts.Now()
	w := &waiter{ask: ask, ready: make(chan grant, 1)}
	entry, err := s.enqueue(w, now)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithDeadline(ctx, ask.Deadline)
	defer cancel()
	select {
	case got := <-w.ready:
		return got.slot, got.err
	case <-ctx.Done():
	}
	s.withdraw(w, entry)
	return nil, &errs.NotRunError{Reason: "deadline passed while waiting for a slot", RetryAfter: time.Second}
}

// enqueue lets a request wait, or refuses it early.
func (s *Slots) enqueue(w *waiter, now time.Time) (entry *queuer.Entry[*waiter], err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	up := s.upstreams[w.ask.Upstream]
	if s.closed || up == nil {
		return nil, &errs.NotRunError{Reason: "no runner is known", RetryAfter: time.Second}
	}
	slots := s.capacity(up, now)
	if slots == 0 {
		return nil, ErrNoRunner
	}
	w.up = up
	if up.isTooLate(w.ask, now) {
		s.record(now, EventWaitTooLong, w.ask, "")
		return nil, &errs.NotRunError{Reason: "too little time is left to run", RetryAfter: up.fastest}
	}
	if up.queue.Len() == 0 {
		if slot := s.take(up, w.ask, now); slot != nil {
			w.ready <- grant{slot: slot}
			return nil, nil
		}
	}
	item := queuer.Item[*waiter]{
		Value: w, Caller: w.ask.Caller, Deadline: w.ask.Deadline, MissCost: w.ask.MissCost,
	}
	wait := queuer.ExpectedWait(up.queue.Ahead(up.queue.Rank(item, now)), slots, up.service)
	if up.isMeasured && now.Add(wait+up.fastest).After(w.ask.Deadline) {
		s.record(now, EventWaitTooLong, w.ask, "")
		return nil, &errs.NotRunError{Reason: "expected wait exceeds the deadline", RetryAfter: wait}
	}
	gap := up.service * time.Duration(up.queue.Callers()+1) / time.Duration(slots)
	entry, displaced, err := up.queue.Push(item, gap, now)
	if displaced != nil {
		s.refuseFull(displaced.Item.Value, wait, now)
	}
	if err != nil {
		s.record(now, EventQueueFull, w.ask, "")
		return nil, &errs.NotRunError{Reason: err.Error(), RetryAfter: wait}
	}
	s.dispatch(up, now)
	return entry, nil
}

// refuseFull ends the waiting of a request that a more urgent one displaced.
func (s *Slots) refuseFull(w *waiter, wait time.Duration, now time.Time) {
	s.record(now, EventQueueFull, w.ask, "")
	w.refuse(&errs.NotRunError{Reason: queuer.ErrFull.Error(), RetryAfter: wait})
}

// withdraw ends the waiting of a caller that gave up. A slot that was granted
// in the meantime is given back.
func (s *Slots) withdraw(w *waiter, entry *queuer.Entry[*waiter]) {
	s.mu.Lock()
	if entry != nil {
		w.up.queue.Remove(entry)
	}
	s.mu.Unlock()
	select {
	case got := <-w.ready:
		if got.slot != nil {
			got.slot.Release()
		}
	default:
	}
}

// dispatchAll grants free slots of all upstreams.
func (s *Slots) dispatchAll(now time.Time) {
	for _, up := range s.upstreams {
		s.dispatch(up, now)
	}
}

// dispatch grants free slots to the first requests of a queue. Without a
// runner that may be used nothing waits here, because others may have slots.
func (s *Slots) dispatch(up *upstream, now time.Time) {
	if up.queue.Len() > 0 && s.capacity(up, now) == 0 {
		up.refuseAll(ErrNoRunner)
	}
	for up.queue.Len() > 0 && !s.closed {
		entry := up.queue.First()
		w := entry.Item.Value
		if up.isTooLate(w.ask, now) {
			up.queue.Remove(entry)
			w.refuse(&errs.NotRunError{Reason: "too little time is left to run", RetryAfter: time.Second})
			continue
		}
		slot := s.take(up, w.ask, now)
		if slot == nil {
			return
		}
		up.queue.Remove(entry)
		w.ready <- grant{slot: slot}
	}
}

// take reserves a slot of the best runner, or returns nil.
func (s *Slots) take(up *upstream, ask Ask, now time.Time) *Slot {
	candidates := s.candidates(up, now)
	if ask.Avoid != "" {
		closeAvoided(up, candidates, ask.Avoid, now)
	}
	up.offset++
	index, ok := picker.Pick(candidates, up.offset, ask.Idempotent, up.median, now)
	if !ok {
		return nil
	}
	r := up.runners[index]
	r.inFlight++
	return &Slot{slots: s, up: up, runner: r, name: r.host.Name, ask: ask, taken: now, conn: r.popIdle(), address: r.host.Address}
}

// closeAvoided keeps a request from a runner if another one has a free slot.
func closeAvoided(up *upstream, candidates []picker.Candidate, avoid string, now time.Time) {
	for i, r := range up.runners {
		if r.host.Name != avoid {
			continue
		}
		saved := candidates[i].IsExcluded
		candidates[i].IsExcluded = true
		if _, ok := picker.Pick(candidates, 0, true, up.median, now); !ok {
			candidates[i].IsExcluded = saved
		}
	}
}

// candidates returns the runners as choices see them, in the table's order.
func (s *Slots) candidates(up *upstream, now time.Time) []picker.Candidate {
	up.candidates = up.candidates[:0]
	limit := up.slotLimit()
	for _, r := range up.runners {
		up.candidates = append(up.candidates, picker.Candidate{
			Near:       r.host.DataCentre == s.opts.DataCentre,
			IsExcluded: !r.isUsable() || !s.mayUse(r, up, now),
			Slots:      limit,
			InFlight:   r.inFlight,
			Health:     r.health,
		})
	}
	return up.candidates
}

// capacity returns the number of slots that serve an upstream here.
func (s *Slots) capacity(up *upstream, now time.Time) int {
	candidates := s.candidates(up, now)
	slots := 0
	for i := range candidates {
		if !candidates[i].IsExcluded {
			slots += candidates[i].Health.Limit(candidates[i].Slots, up.median, now)
		}
	}
	return slots
}

// record records an event of a request.
func (s *Slots) record(now time.Time, number recorder.Number, ask Ask, runner string) {
	fields := recorder.Fields{"upstream": ask.Upstream}
	if ask.Request != "" {
		fields["request"] = ask.Request
	}
	if runner != "" {
		fields["runner"] = runner
	}
	s.opts.Recorder.Record(now, number, fields)
}
