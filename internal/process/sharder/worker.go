package sharder

import (
	"context"
	"errors"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/commander"
	"github.com/kumquatstack/kumquatstack/internal/connection/lister"
	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/version/placer"
)

// syncInterval is the time between two readings of the host list.
const syncInterval = time.Second

const (
	// youngRunAge is the age up to which leases are renewed at the shortest
	// interval, so that a run that fails early is found soon.
	youngRunAge = 3 * time.Second
	// overdueDivisor limits the time for which a run that exceeds its expected
	// time still has its lease renewed at the shortest interval: that time is the
	// expected time divided by overdueDivisor.
	overdueDivisor = 4
)

// A worker is the state that the owner keeps of one worker.
type worker struct {
	name string
	// host is the worker's last entry in the platform's host list.
	host lister.Host
	// isListed is true while the platform's host list shows the worker.
	isListed bool
	agent    commander.Agent
	// hasReported is true once the worker has reported under this epoch.
	hasReported bool
	// reportedAt is the time of the last report.
	reportedAt time.Time
	// failures counts the consecutive calls that were not answered.
	failures    int
	lastContact time.Time
	// reportAt, renewAt and usageAt are the times at which the next report,
	// renewal and reading of usage are due. reporting, renewing and
	// readingUsage are true while such a call is in flight.
	reportAt     time.Time
	renewAt      time.Time
	usageAt      time.Time
	reporting    bool
	renewing     bool
	readingUsage bool
	// commands counts the commands in flight about single runs.
	commands int
	// orphans are the runs at the worker that are not the current run of a
	// task.
	orphans map[commander.RunID]*orphan
	// forgettable maps ended runs to the time after which the worker may forget
	// them, provided that their outcome is durable.
	forgettable map[commander.RunID]time.Time
	// probing is true from the assignment of a task that tests the health of the
	// quarantined worker until the next end of a run there.
	probing bool
}

// An orphan is a run at a worker that no task needs.
type orphan struct {
	run      commander.Run
	stopping bool
}

// An inconclusiveError is an error that doesn't tell whether the worker
// answers.
type inconclusiveError struct{ cause error }

// Error implements error.
func (e *inconclusiveError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *inconclusiveError) Unwrap() error { return e.cause }

// reachable reports whether the worker has reported under this epoch and has
// answered the last conclusive call.
func (w *worker) reachable() bool { return w.hasReported && w.failures == 0 }

// capacity returns the worker's capacity.
func (w *worker) capacity() placer.Resources {
	return placer.Resources{
		MilliCores:   w.host.MilliCores,
		MemoryBytes:  w.host.MemoryBytes,
		Accelerators: w.host.Accelerators,
	}
}

// syncWorkers updates the workers from the platform's host list. A worker that
// is no longer listed is dropped once no task is assigned to it. An empty list
// is ignored, as it doesn't show that the hosts are gone.
func (s *Sharder) syncWorkers(now time.Time) {
	if now.Sub(s.syncedAt) < syncInterval {
		return
	}
	s.syncedAt = now
	hosts := s.options.Hosts()
	if len(hosts) == 0 {
		return
	}
	s.hostListRead = true
	for _, w := range s.workers {
		w.isListed = false
	}
	for _, host := range hosts {
		if host.Kind == lister.KindWorker && host.DataCentre == s.options.DataCentre {
			s.updateWorker(host)
		}
	}
	for name := range s.table.byWorker {
		s.ensureWorker(name)
	}
	for name, w := range s.workers {
		if !w.isListed && len(s.table.byWorker[name]) == 0 {
			delete(s.workers, name)
		}
	}
}

// updateWorker adds or updates a worker that is on the host list.
func (s *Sharder) updateWorker(host lister.Host) {
	w := s.ensureWorker(host.Name)
	if w.agent == nil || w.host.Address != host.Address {
		w.agent = s.options.Agents.Agent(host.Address)
		w.hasReported = false
		w.reportAt = time.Time{}
	}
	w.host = host
	w.isListed = true
}

func (s *Sharder) ensureWorker(name string) *worker {
	w, ok := s.workers[name]
	if !ok {
		w = &worker{
			name:        name,
			orphans:     make(map[commander.RunID]*orphan),
			forgettable: make(map[commander.RunID]time.Time),
		}
		s.workers[name] = w
	}
	return w
}

// contactWorkers requests reports, renews leases and reads usage where these
// are due.
func (s *Sharder) contactWorkers(now time.Time) {
	lease := s.usableLease(now)
	for _, w := range s.workers {
		if w.agent == nil {
			continue
		}
		if !w.reporting && !now.Before(w.reportAt) {
			s.report(w)
		}
		if !w.hasReported {
			continue
		}
		if !w.renewing && !now.Before(w.renewAt) && lease > 0 && !w.isSilent(now, lease) {
			s.renew(w, now, lease)
		}
		if w.failures == 0 && !w.readingUsage && !now.Before(w.usageAt) {
			s.readUsage(w, now)
		}
	}
}

// isSilent reports whether the worker has not answered for so long that its
// leases are no longer renewed, so that they provably lapse.
func (w *worker) isSilent(now time.Time, lease time.Duration) bool {
	return w.failures > 0 && now.Sub(w.lastContact) > lease/2
}

// usableLease returns the lease to grant, or zero while the lease bound that
// covers it is not durable. It raises the bound to a longer lease at once, and
// reduces the bound to a shorter one after the longer leases have lapsed.
func (s *Sharder) usableLease(now time.Time) time.Duration {
	lease := s.options.lease()
	switch {
	case lease > s.leaseBound:
		s.setLeaseBound(lease)
	case lease == s.leaseBound:
		s.reduceBoundAt = time.Time{}
	case s.reduceBoundAt.IsZero():
		s.reduceBoundAt = lapseTime(now, s.leaseBound)
	case now.After(s.reduceBoundAt):
		s.setLeaseBound(lease)
	}
	if s.flusher.done < s.leaseBoundAppend {
		return 0
	}
	return lease
}

func (s *Sharder) setLeaseBound(lease time.Duration) {
	s.leaseBound = lease
	s.reduceBoundAt = time.Time{}
	s.flusher.extras = append(s.flusher.extras, leaseRecord(lease))
	s.leaseBoundAppend = s.appendNumber()
}

// call sends a command to a worker from the pool, unless this daemon no longer
// owns the shard by then. It reports whether the pool had a free slot. The
// outcome is applied by done, with the lock held.
func (s *Sharder) call(w *worker, command func(ctx context.Context) error, done func(now time.Time, err error)) bool {
	return s.pool.TryGo(func() error {
		ctx, cancel := context.WithTimeout(s.baseCtx, callTimeout)
		defer cancel()
		err := errs.ErrNotOwner
		if s.isOwner(s.options.Now()) {
			err = command(ctx)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		now := s.options.Now()
		s.updateReachability(w, now, err)
		done(now, err)
		s.wake()
		return nil
	})
}

// updateReachability updates whether a worker answers from the outcome of a
// call. The lock is held.
func (s *Sharder) updateReachability(w *worker, now time.Time, err error) {
	var inconclusive *inconclusiveError
	switch {
	case errors.Is(err, errs.ErrFenced):
		s.supersede()
	case errors.Is(err, errs.ErrNotOwner), errors.As(err, &inconclusive):
	case err == nil || errors.Is(err, errs.ErrNotFound):
		if w.failures > 0 && w.hasReported {
			s.record(EventWorkerReachable, recorder.Fields{"worker": w.name})
		}
		w.failures = 0
		w.lastContact = now
	default:
		w.failures++
		w.reportAt = now.Add(reportBackoff)
		if w.failures == 1 {
			s.record(EventWorkerUnreachable, recorder.Fields{"worker": w.name, "error": err.Error()})
		}
	}
}

// fence returns the fencing token for commands to workers, which is the epoch.
func (s *Sharder) fence() commander.Fence { return commander.Fence(s.options.Epoch) }

// report asks a worker for its runs.
func (s *Sharder) report(w *worker) {
	since := s.table.sequence
	agent := w.agent
	var report commander.Report
	w.reporting = s.call(w, func(ctx context.Context) (err error) {
		report, err = agent.Report(ctx, s.fence())
		return err
	}, func(now time.Time, err error) {
		w.reporting = false
		if err != nil || agent != w.agent {
			w.reportAt = now.Add(reportBackoff)
			return
		}
		w.reportAt = now.Add(reportInterval)
		w.reportedAt = now
		s.applyReport(w, report, since, now)
	})
}

// requestReport makes a report due as soon as possible.
func (w *worker) requestReport() { w.reportAt = time.Time{} }

// renew extends the leases of all runs of a worker that are to go on, and tells
// the worker which ended runs it may forget.
func (s *Sharder) renew(w *worker, now time.Time, lease time.Duration) {
	renewal := commander.Renewal{Fence: s.fence(), IDs: s.renewable(w), Lease: lease, Forget: s.forgettable(w, now)}
	w.renewAt = now.Add(s.renewDelay(w, now, lease))
	if len(renewal.IDs)+len(renewal.Forget) == 0 {
		return
	}
	ids := renewal.IDs
	s.extendLeases(ids, now, lease)
	since := s.table.sequence
	agent := w.agent
	var renewed commander.RenewalResult
	w.renewing = s.call(w, func(ctx context.Context) (err error) {
		renewed, err = agent.Renew(ctx, renewal)
		return err
	}, func(now time.Time, err error) {
		w.renewing = false
		// The call may have been sent at any time until now.
		s.extendLeases(ids, now, lease)
		if err != nil {
			w.renewAt = now.Add(min(s.options.RenewInterval, lease/3))
			return
		}
		for _, id := range renewal.Forget {
			delete(w.forgettable, id)
		}
		if len(renewed.Unknown) > 0 {
			w.requestReport()
		}
		s.applyEnded(w, renewed.Ended, since, now)
		s.recordHealthyRuns(w, ids, now)
	})
}

// renewDelay returns the time until the next renewal: a third of the lease, or
// less while runs are young or about to end.
func (s *Sharder) renewDelay(w *worker, now time.Time, lease time.Duration) time.Duration {
	longest := lease / 3
	shortest := min(s.options.RenewInterval, longest)
	for _, e := range s.table.byWorker[w.name] {
		if !e.sent || e.removal != nil {
			continue
		}
		if e.runningSince.IsZero() || now.Sub(e.runningSince) < youngRunAge {
			return shortest
		}
		left := e.runningSince.Add(e.task.ExpectedRun).Sub(now)
		if e.task.ExpectedRun > 0 && left > -e.task.ExpectedRun/overdueDivisor {
			longest = min(longest, max(left, shortest))
		}
	}
	return longest
}

// extendLeases updates the ends of leases that may have been extended by a call
// that was sent no later than the given time.
func (s *Sharder) extendLeases(ids []commander.RunID, sent time.Time, lease time.Duration) {
	until := lapseTime(sent, lease)
	for _, id := range ids {
		if e, ok := s.table.entries[id.Task]; ok && e.task.Run == id.Run {
			e.leaseUntil = later(e.leaseUntil, until)
		}
	}
}

// renewable returns the runs whose leases are renewed: all that may be running
// and are not being stopped.
func (s *Sharder) renewable(w *worker) []commander.RunID {
	var ids []commander.RunID
	for _, e := range s.table.byWorker[w.name] {
		cancelled := e.task.Purpose != 0
		stopping := e.removal != nil && e.removal.stopped
		if e.sent && !cancelled && !stopping {
			ids = append(ids, runID(e))
		}
	}
	return ids
}

func runID(e *entry) commander.RunID {
	return commander.RunID{Task: e.task.ID, Run: e.task.Run}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// learnSize updates the estimate of a task's size from a measurement. A
// measurement under a throttle doesn't show how many processors the task would
// use, so such a measurement never lowers the estimate of processors.
func (s *Sharder) learnSize(e *entry, usage commander.Usage, now time.Time) {
	use := placer.Resources(usage.Resources)
	if e.throttle != 0 || !usage.At.After(e.unthrottledAt) {
		use.MilliCores = max(use.MilliCores, s.size(e, now).MilliCores)
	}
	s.sizes.Observe(e.task.ID, e.task.Intent, use, usage.At)
}

// readUsage reads the usage measurements of a worker, which lag behind.
func (s *Sharder) readUsage(w *worker, now time.Time) {
	w.usageAt = now.Add(usageInterval)
	agent := w.agent
	var usages []commander.Usage
	w.readingUsage = s.call(w, func(ctx context.Context) (err error) {
		usages, err = agent.Usage(ctx)
		return err
	}, func(now time.Time, err error) {
		w.readingUsage = false
		if err != nil {
			return
		}
		for _, usage := range usages {
			if e, ok := s.table.entries[usage.ID.Task]; ok && e.task.Run == usage.ID.Run {
				s.learnSize(e, usage, now)
			}
		}
		if s.options.OnUsage != nil {
			s.options.OnUsage(now, w.name, usages)
		}
	})
}
