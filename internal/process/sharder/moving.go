package sharder

import (
	"context"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/lister"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/version/declarer"
	"github.com/kumquatstack/kumquatstack/internal/version/placer"
)

const (
	// movesPerSecond and movesBurst limit the rate at which tasks move to other
	// data centres for balance. Moves out of a data centre that is out of
	// service are not limited.
	movesPerSecond = 20
	movesBurst     = 20
	// rebalanceAfter is how long a task waits before it is moved to another
	// data centre.
	rebalanceAfter = 3 * time.Second
	// rebalanceInterval is the time between two checks for such tasks.
	rebalanceInterval = 500 * time.Millisecond
	// loadInterval is the time between two readings of the other shards' loads,
	// and maxLoadAge the age up to which a reading is used.
	loadInterval = time.Second
	maxLoadAge   = 5 * time.Second
	// peerTimeout bounds one call to the owner of another shard.
	peerTimeout = 3 * time.Second
	// handOverBackoff is the delay before an attempt to hand over moved tasks
	// is repeated.
	handOverBackoff = 500 * time.Millisecond
	// handOverBatch limits the tasks in one such attempt.
	handOverBatch = 500
)

// A load is the state of another shard as its owner reported it.
type load struct {
	// free is the sum of what is free at the shard's workers that are reachable
	// and not quarantined.
	free placer.Resources
	// pending is the number of pending tasks.
	pending int
	// at is the time at which the report arrived.
	at time.Time
}

// A peerState is what this owner knows of the other shards, and the state of
// its calls that hand tasks over to them. The maps are by data centre.
type peerState struct {
	loads map[string]load
	// refreshLoadsAt is the time at which the loads are next read.
	refreshLoadsAt time.Time
	// handingOver is true while a call that hands tasks over is in flight, and
	// handOverAt is the earliest time of the next one after a failed call.
	handingOver map[string]bool
	handOverAt  map[string]time.Time
}

func newPeerState() peerState {
	return peerState{loads: make(map[string]load), handingOver: make(map[string]bool), handOverAt: make(map[string]time.Time)}
}

// recordServiceState records an event when the data centre is taken out of
// service or returns to it.
func (s *Sharder) recordServiceState(_ time.Time) {
	out := s.options.isOut()
	if out == s.wasOut {
		return
	}
	s.wasOut = out
	number := EventDataCentreReturned
	if out {
		number = EventDataCentreLeaving
	}
	s.record(number, recorder.Fields{})
}

// evacuate moves all tasks to other data centres while this one is out of
// service, the most important first. Pending tasks move at once; running ones
// are checkpointed and stopped first.
func (s *Sharder) evacuate(now time.Time) {
	s.handOverMoved(now)
	if !s.options.isOut() || s.options.Peers == nil {
		return
	}
	s.refreshLoads(now)
	for _, e := range byRank(s.table.pending) {
		if target, ok := s.chooseTarget(e, now, false); ok {
			e.reservation = nil
			s.table.set(e, e.task.Move(target, now))
		}
	}
	for _, group := range s.table.byWorker {
		for _, e := range byRank(group) {
			if e.removal != nil || e.task.State != kumquatv1.TaskState_TASK_STATE_ASSIGNED {
				continue
			}
			if target, ok := s.chooseTarget(e, now, false); ok {
				s.evict(e, target, "the data centre is taken out of service", now)
			}
		}
	}
}

// rebalance moves tasks that have waited for long, or may not run here, to
// other data centres. The rate is limited, so that a data centre that returns
// to service fills up gradually.
func (s *Sharder) rebalance(now time.Time) {
	if now.Before(s.rebalanceAt) || s.options.isOut() || s.options.Peers == nil {
		return
	}
	s.rebalanceAt = now.Add(rebalanceInterval)
	for _, e := range byRank(s.table.pending) {
		barred := !e.task.MayRunIn(s.options.DataCentre)
		waits := !e.waitingSince.IsZero() && now.Sub(e.waitingSince) >= rebalanceAfter
		if e.reservation != nil || (!waits && !barred) {
			continue
		}
		s.refreshLoads(now)
		target, ok := s.chooseTarget(e, now, !barred)
		if !ok {
			continue
		}
		if !s.moveLimiter.AllowN(now, 1) {
			return
		}
		s.table.set(e, e.task.Move(target, now))
	}
}

// drain evicts the tasks of workers that the platform is taking away.
func (s *Sharder) drain(now time.Time) {
	for name, w := range s.workers {
		if w.host.State != lister.StateLeaving || !w.reachable() {
			continue
		}
		for _, e := range s.table.byWorker[name] {
			s.evict(e, "", "the worker is leaving", now)
		}
	}
}

// chooseTarget chooses the data centre to which a task moves: one with room if
// there is one, then one of the same region, then the one with the most free
// processors. If needsRoom is true, only data centres with room and without
// pending tasks are considered.
func (s *Sharder) chooseTarget(e *entry, now time.Time, needsRoom bool) (string, bool) {
	declared := s.options.declarations()
	region := declared.RegionOf(s.options.DataCentre)
	size := s.size(e, now)
	best, bestScore := "", int64(0)
	for _, dc := range dataCentresInService(declared, s.options.DataCentre) {
		known, ok := s.peers.loads[dc]
		if !ok || now.Sub(known.at) > maxLoadAge || !e.task.MayRunIn(dc) {
			continue
		}
		fits := size.Fits(known.free)
		if needsRoom && (!fits || known.pending > 0) {
			continue
		}
		score := targetScore(known, fits, declared.RegionOf(dc) == region)
		if best == "" || score > bestScore {
			best, bestScore = dc, score
		}
	}
	if best == "" {
		return "", false
	}
	chosen := s.peers.loads[best]
	chosen.free = chosen.free.Minus(size)
	s.peers.loads[best] = chosen
	return best, true
}

// targetScore ranks data centres by room for the task (fits) first, then by
// being in the same region (near), then by free processors.
func targetScore(known load, fits, near bool) int64 {
	const (
		fitsScore = int64(1) << 60
		nearScore = int64(1) << 59
	)
	score := known.free.MilliCores
	if fits {
		score += fitsScore
	}
	if near {
		score += nearScore
	}
	return score
}

// dataCentresInService returns the data centres that are in service, except the
// given one.
func dataCentresInService(declared *declarer.Declarations, except string) []string {
	var names []string
	for _, region := range declared.Regions {
		for _, dc := range region.DataCentres {
			if !dc.Out && dc.Name != except {
				names = append(names, dc.Name)
			}
		}
	}
	return names
}

// refreshLoads asks the owners of the other shards for their loads.
func (s *Sharder) refreshLoads(now time.Time) {
	if now.Before(s.peers.refreshLoadsAt) {
		return
	}
	s.peers.refreshLoadsAt = now.Add(loadInterval)
	for _, dc := range dataCentresInService(s.options.declarations(), s.options.DataCentre) {
		s.background.Go(func() { s.readLoad(dc) })
	}
}

// readLoad asks the owner of one shard for its load.
func (s *Sharder) readLoad(dc string) {
	ctx, cancel := context.WithTimeout(s.baseCtx, peerTimeout)
	defer cancel()
	status, err := s.options.Peers.ShardStatus(ctx, dc, &kumquatv1.ShardStatusRequest{Shard: shardOf(dc)})
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers.loads[dc] = loadOf(status, s.options.Now())
	s.wake()
}

func shardOf(dc string) string { return "shard:" + dc }

// loadOf returns the load that a shard's status shows.
func loadOf(status *kumquatv1.ShardStatusResponse, now time.Time) load {
	found := load{at: now, pending: int(status.GetCounts()[stateName(kumquatv1.TaskState_TASK_STATE_PENDING)])}
	for _, w := range status.GetWorkers() {
		if w.GetQuarantined() || !w.GetReachable() {
			continue
		}
		found.free = found.free.Plus(resourcesFromProto(w.GetCapacity()).Minus(resourcesFromProto(w.GetCommitted())))
	}
	return found
}

func resourcesFromProto(r *kumquatv1.Resources) placer.Resources {
	return placer.Resources{MilliCores: r.GetMilliCores(), MemoryBytes: r.GetMemoryBytes(), Accelerators: r.GetAccelerators()}
}

// handOverMoved hands moved tasks over to their new shards. It repeats this
// until the new shards have confirmed them.
func (s *Sharder) handOverMoved(now time.Time) {
	if s.options.Peers == nil {
		return
	}
	byTarget := make(map[string][]*entry)
	for _, e := range byRank(s.table.moving) {
		if target := e.task.TargetShard; e.isDurable() && len(byTarget[target]) < handOverBatch {
			byTarget[target] = append(byTarget[target], e)
		}
	}
	for target, entries := range byTarget {
		if s.peers.handingOver[target] || now.Before(s.peers.handOverAt[target]) {
			continue
		}
		s.peers.handingOver[target] = true
		request := &kumquatv1.AdoptRequest{Shard: shardOf(target)}
		for _, e := range entries {
			request.Tasks = append(request.Tasks, e.task.Proto(string(s.options.Shard)))
		}
		s.background.Go(func() { s.handOverTo(target, request) })
	}
}

// handOverTo makes one attempt to hand tasks over to another shard. A task whose
// run or cancellation has changed since the request was made stays unconfirmed
// and is handed over again.
func (s *Sharder) handOverTo(target string, request *kumquatv1.AdoptRequest) {
	ctx, cancel := context.WithTimeout(s.baseCtx, peerTimeout)
	defer cancel()
	response, err := s.options.Peers.Adopt(ctx, target, request)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers.handingOver[target] = false
	if err != nil {
		s.peers.handOverAt[target] = s.options.Now().Add(handOverBackoff)
		return
	}
	runs := make(map[string]*kumquatv1.Task, len(request.GetTasks()))
	for _, task := range request.GetTasks() {
		runs[task.GetId()] = task
	}
	for _, id := range response.GetTaskIds() {
		e, ok := s.table.moving[id]
		sent := runs[id]
		if !ok || sent == nil || e.task.Run != sent.GetRun() || int32(e.task.Purpose) != sent.GetStopPurpose() {
			continue
		}
		s.table.set(e, e.task.ConfirmMove())
		s.recordTask(EventTaskMoved, e, target)
	}
	s.wake()
}
