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
	// movesPerSecond and movesBurst bound the tasks that are moved to other
	// data centres for balance. Tasks of a data centre that is out are not bound.
	movesPerSecond = 20
	movesBurst     = 20
	// rebalanceAfter is how long a task waits before it is moved elsewhere.
	rebalanceAfter = 3 * time.Second
	// rebalanceInterval is the time between two looks for such tasks.
	rebalanceInterval = 500 * time.Millisecond
	// loadInterval and loadAge are the time between two readings of the other
	// shards' loads, and how long one may be used.
	loadInterval = time.Second
	loadAge      = 5 * time.Second
	// peerTimeout bounds one call of another shard's owner.
	peerTimeout = 3 * time.Second
	// adoptRetry is the pause after a move that was not confirmed.
	adoptRetry = 500 * time.Millisecond
	// adoptBatch bounds the tasks of one call.
	adoptBatch = 500
)

// A load is what the owner of another shard says of it.
type load struct {
	free    placer.Resources
	pending int
	at      time.Time
}

// A mover keeps what is known of the other data centres.
type mover struct {
	loads     map[string]load
	refreshAt time.Time
	adopting  map[string]bool
	adoptAt   map[string]time.Time
}

func newMover() mover {
	return mover{loads: make(map[string]load), adopting: make(map[string]bool), adoptAt: make(map[string]time.Time)}
}

// noteDataCentre records when the data centre is taken out or returns.
func (s *Sharder) noteDataCentre(_ time.Time) {
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

// evacuate moves all tasks elsewhere while the data centre is out: waiting
// ones at once, running ones by checkpoint and stop, important ones first.
func (s *Sharder) evacuate(now time.Time) {
	s.adopt(now)
	if !s.options.isOut() || s.options.Peers == nil {
		return
	}
	s.refreshLoads(now)
	for _, e := range byRank(s.table.pending) {
		if target, ok := s.target(e, now, false); ok {
			e.reservation = nil
			s.table.set(e, e.task.Move(target, now))
		}
	}
	for _, group := range s.table.byWorker {
		for _, e := range byRank(group) {
			if e.removal != nil || e.task.State != kumquatv1.TaskState_TASK_STATE_ASSIGNED {
				continue
			}
			if target, ok := s.target(e, now, false); ok {
				s.remove(e, target, "the data centre is taken out", now)
			}
		}
	}
}

// rebalance moves tasks that wait for long to data centres with room, a few at
// a time, so that a data centre that returns fills up without a rush.
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
		target, ok := s.target(e, now, !barred)
		if !ok {
			continue
		}
		if !s.moveLimiter.AllowN(now, 1) {
			return
		}
		s.table.set(e, e.task.Move(target, now))
	}
}

// drain evicts tasks from workers that the platform takes away.
func (s *Sharder) drain(now time.Time) {
	for name, w := range s.workers {
		if w.host.State != lister.StateLeaving || !w.reachable() {
			continue
		}
		for _, e := range s.table.byWorker[name] {
			s.remove(e, "", "the worker is leaving", now)
		}
	}
}

// target chooses the data centre for a task: one with room, the same region
// first. If room is not required, the one with the most free processors will
// do.
func (s *Sharder) target(e *entry, now time.Time, needsRoom bool) (string, bool) {
	declared := s.options.declarations()
	region := declared.RegionOf(s.options.DataCentre)
	size := s.size(e, now)
	best, bestScore := "", int64(0)
	for _, dc := range inService(declared, s.options.DataCentre) {
		known, ok := s.mover.loads[dc]
		if !ok || now.Sub(known.at) > loadAge || !e.task.MayRunIn(dc) {
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
	chosen := s.mover.loads[best]
	chosen.free = chosen.free.Minus(size)
	s.mover.loads[best] = chosen
	return best, true
}

// targetScore prefers room, then the same region, then free processors.
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

// inService returns the other data centres that are in service.
func inService(declared *declarer.Declarations, except string) []string {
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
	if now.Before(s.mover.refreshAt) {
		return
	}
	s.mover.refreshAt = now.Add(loadInterval)
	for _, dc := range inService(s.options.declarations(), s.options.DataCentre) {
		s.background.Go(func() { s.readLoad(dc) })
	}
}

// readLoad asks the owner of one shard for its load.
func (s *Sharder) readLoad(dc string) {
	ctx, cancel := context.WithTimeout(s.base, peerTimeout)
	defer cancel()
	status, err := s.options.Peers.ShardStatus(ctx, dc, &kumquatv1.ShardStatusRequest{Shard: shardOf(dc)})
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mover.loads[dc] = loadOf(status, s.options.Now())
	s.wake()
}

func shardOf(dc string) string { return "shard:" + dc }

// loadOf sums up a shard's status.
func loadOf(status *kumquatv1.ShardStatusResponse, now time.Time) load {
	found := load{at: now, pending: int(status.GetCounts()[stateName(kumquatv1.TaskState_TASK_STATE_PENDING)])}
	for _, w := range status.GetWorkers() {
		if w.GetQuarantined() || !w.GetReachable() {
			continue
		}
		found.free = found.free.Plus(amounts(w.GetCapacity()).Minus(amounts(w.GetCommitted())))
	}
	return found
}

func amounts(r *kumquatv1.Resources) placer.Resources {
	return placer.Resources{MilliCores: r.GetMilliCores(), MemoryBytes: r.GetMemoryBytes(), Accelerators: r.GetAccelerators()}
}

// adopt hands moved tasks to their new shards until they are confirmed.
func (s *Sharder) adopt(now time.Time) {
	if s.options.Peers == nil {
		return
	}
	byTarget := make(map[string][]*entry)
	for _, e := range byRank(s.table.moving) {
		if target := e.task.TargetShard; e.settled() && len(byTarget[target]) < adoptBatch {
			byTarget[target] = append(byTarget[target], e)
		}
	}
	for target, entries := range byTarget {
		if s.mover.adopting[target] || now.Before(s.mover.adoptAt[target]) {
			continue
		}
		s.mover.adopting[target] = true
		request := &kumquatv1.AdoptRequest{Shard: shardOf(target)}
		for _, e := range entries {
			request.Tasks = append(request.Tasks, e.task.Proto(string(s.options.Shard)))
		}
		s.background.Go(func() { s.handOver(target, request) })
	}
}

// handOver makes one attempt to hand tasks to another shard.
func (s *Sharder) handOver(target string, request *kumquatv1.AdoptRequest) {
	ctx, cancel := context.WithTimeout(s.base, peerTimeout)
	defer cancel()
	response, err := s.options.Peers.Adopt(ctx, target, request)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mover.adopting[target] = false
	if err != nil {
		s.mover.adoptAt[target] = s.options.Now().Add(adoptRetry)
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
