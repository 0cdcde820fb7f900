package slotter

import (
	"context"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/process/picker"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/request/queuer"
)

// ErrNoRunner reports that this daemon owns no runner that it may use now.
var ErrNoRunner error = &errs.NotRunError{Reason: "this daemon has no usable runner", RetryAfter: time.Second}

// A SlotRequest describes the request that needs a slot of an upstream.
type SlotRequest struct {
	Upstream  string
	RequestID string
	Caller    string
	Deadline  time.Time
	// MissCost is the cost of a missed deadline; costlier requests are served earlier.
	MissCost int
	// Idempotent is true for requests that may be repeated. They may probe runners that
	// were ejected after failures.
	Idempotent bool
	// Avoid is the name of the runner of an earlier attempt; other runners are preferred.
	Avoid string
}

// A waiter is a queued request.
type waiter struct {
	request SlotRequest
	up      *upstream // set by enqueue
	ready   chan grant
}

// A grant is the result of waiting: a slot, or the error of a refusal.
type grant struct {
	slot *Slot
	err  error
}

// refuse ends the request's wait with an error.
func (w *waiter) refuse(err error) { w.ready <- grant{err: err} }

// TryAcquire returns a slot if one is free and no request of the upstream is queued.
func (s *Slots) TryAcquire(request SlotRequest) (slot *Slot, ok bool) {
	now := s.opts.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	up := s.upstreams[request.Upstream]
	if s.closed || up == nil || up.queue.Len() > 0 || up.isTooLate(request, now) {
		return nil, false
	}
	slot = s.reserve(up, request, now)
	return slot, slot != nil
}

// Acquire returns a slot. If none is free, the request is queued until one is
// granted, its deadline passes or it is refused. Errors are of type
// *errs.NotRunError.
func (s *Slots) Acquire(ctx context.Context, request SlotRequest) (slot *Slot, err error) {
	now := s.opts.Now()
	w := &waiter{request: request, ready: make(chan grant, 1)}
	entry, err := s.enqueue(w, now)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	select {
	case got := <-w.ready:
		return got.slot, got.err
	case <-ctx.Done():
	}
	s.withdraw(w, entry)
	return nil, &errs.NotRunError{Reason: "deadline passed while waiting for a slot", RetryAfter: time.Second}
}

// enqueue grants a free slot at once, and then returns no entry, or queues the request.
// It refuses a request that is expected to miss its deadline, and one that ranks last
// in a full queue.
func (s *Slots) enqueue(w *waiter, now time.Time) (entry *queuer.Entry[*waiter], err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	up := s.upstreams[w.request.Upstream]
	if s.closed || up == nil {
		return nil, &errs.NotRunError{Reason: "upstream has no known runner", RetryAfter: time.Second}
	}
	slots := s.capacity(up, now)
	if slots == 0 {
		return nil, ErrNoRunner
	}
	w.up = up
	if up.isTooLate(w.request, now) {
		s.record(now, EventWaitTooLong, w.request, "")
		return nil, &errs.NotRunError{Reason: "too little time is left to run", RetryAfter: up.fastest}
	}
	if up.queue.Len() == 0 {
		if slot := s.reserve(up, w.request, now); slot != nil {
			w.ready <- grant{slot: slot}
			return nil, nil
		}
	}
	item := queuer.Item[*waiter]{
		Value: w, Caller: w.request.Caller, Deadline: w.request.Deadline, MissCost: w.request.MissCost,
	}
	wait := queuer.ExpectedWait(up.queue.Ahead(up.queue.Rank(item, now)), slots, up.serviceTime)
	if up.hasServiceTime && now.Add(wait+up.fastest).After(w.request.Deadline) {
		s.record(now, EventWaitTooLong, w.request, "")
		return nil, &errs.NotRunError{Reason: "expected wait exceeds the deadline", RetryAfter: wait}
	}
	gap := up.serviceTime * time.Duration(up.queue.Callers()+1) / time.Duration(slots)
	entry, displaced, err := up.queue.Push(item, gap, now)
	if displaced != nil {
		s.refuseDisplaced(displaced.Item.Value, wait, now)
	}
	if err != nil {
		s.record(now, EventQueueFull, w.request, "")
		return nil, &errs.NotRunError{Reason: err.Error(), RetryAfter: wait}
	}
	s.dispatch(up, now)
	return entry, nil
}

// refuseDisplaced refuses a queued request that a more urgent one has displaced
// from the full queue.
func (s *Slots) refuseDisplaced(w *waiter, wait time.Duration, now time.Time) {
	s.record(now, EventQueueFull, w.request, "")
	w.refuse(&errs.NotRunError{Reason: queuer.ErrFull.Error(), RetryAfter: wait})
}

// withdraw removes a request whose context has ended from the queue. A slot that
// was granted in the meantime is released.
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

// dispatchAll grants the free slots of all upstreams to their queued requests.
func (s *Slots) dispatchAll(now time.Time) {
	for _, up := range s.upstreams {
		s.dispatch(up, now)
	}
}

// dispatch grants free slots to the first requests of a queue. If this daemon has
// no usable runner, it refuses all queued requests, because other daemons may
// have free slots.
func (s *Slots) dispatch(up *upstream, now time.Time) {
	if up.queue.Len() > 0 && s.capacity(up, now) == 0 {
		up.refuseAll(ErrNoRunner)
	}
	for up.queue.Len() > 0 && !s.closed {
		entry := up.queue.First()
		w := entry.Item.Value
		if up.isTooLate(w.request, now) {
			up.queue.Remove(entry)
			w.refuse(&errs.NotRunError{Reason: "too little time is left to run", RetryAfter: time.Second})
			continue
		}
		slot := s.reserve(up, w.request, now)
		if slot == nil {
			return
		}
		up.queue.Remove(entry)
		w.ready <- grant{slot: slot}
	}
}

// reserve takes a slot of the preferred runner, or returns nil if none is free.
func (s *Slots) reserve(up *upstream, request SlotRequest, now time.Time) *Slot {
	candidates := s.candidates(up, now)
	if request.Avoid != "" {
		excludeAvoided(up, candidates, request.Avoid, now)
	}
	up.offset++
	index, ok := picker.Pick(candidates, up.offset, request.Idempotent, up.median, now)
	if !ok {
		return nil
	}
	r := up.runners[index]
	r.inFlight++
	return &Slot{slots: s, up: up, runner: r, name: r.host.Name, request: request, acquiredAt: now, conn: r.popIdle(), address: r.host.Address}
}

// excludeAvoided excludes the runner named avoid from the candidates if another runner
// has a free slot.
func excludeAvoided(up *upstream, candidates []picker.Candidate, avoid string, now time.Time) {
	for i, r := range up.runners {
		if r.host.Name != avoid {
			continue
		}
		wasExcluded := candidates[i].IsExcluded
		candidates[i].IsExcluded = true
		if _, ok := picker.Pick(candidates, 0, true, up.median, now); !ok {
			candidates[i].IsExcluded = wasExcluded
		}
	}
}

// candidates returns the upstream's runners as candidates for package picker, in
// the order of the table. The result is valid until the next call.
func (s *Slots) candidates(up *upstream, now time.Time) []picker.Candidate {
	up.candidates = up.candidates[:0]
	limit := up.slotLimit()
	for _, r := range up.runners {
		up.candidates = append(up.candidates, picker.Candidate{
			IsLocal:    r.host.DataCentre == s.opts.DataCentre,
			IsExcluded: !r.isUsable() || !s.mayUse(r, up, now),
			Slots:      limit,
			InFlight:   r.inFlight,
			Health:     r.health,
		})
	}
	return up.candidates
}

// capacity returns the number of slots that this daemon may use for an upstream,
// including those in use.
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

// record records an event that concerns a request and, if given, a runner.
func (s *Slots) record(now time.Time, number recorder.Number, request SlotRequest, runner string) {
	fields := recorder.Fields{"upstream": request.Upstream}
	if request.RequestID != "" {
		fields["request"] = request.RequestID
	}
	if runner != "" {
		fields["runner"] = runner
	}
	s.opts.Recorder.Record(now, number, fields)
}
