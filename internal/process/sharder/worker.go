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
	// youngRun is the time in which a run is watched closely for a failure.
	youngRun = 3 * time.Second
	// overdueShare is the part of its expected time, as a divisor, for which a
	// run that has not ended is watched closely.
	overdueShare = 4
)

// A worker is what the owner knows of one worker.
type worker struct {
	name string
	host lister.Host
	// listed is true while the platform's host list shows the worker.
	listed bool
	agent  commander.Agent
	// reported is true once the worker has reported under this epoch.
	reported bool
	// reportedAt is the time of the last report.
	reportedAt time.Time
	// failures counts the calls in a row that were not answered.
	failures    int
	lastContact time.Time
	reportAt    time.Time
	renewAt     time.Time
	usageAt     time.Time
	reporting   bool
	renewing    bool
	reading     bool
	// commands counts the commands about single tasks in flight.
	commands int
	// strays are runs at the worker that are not the present run of a task.
	strays map[commander.RunID]*stray
	// forgettable are ended runs with the time after which the worker may
	// forget them, once their outcome is durable.
	forgettable map[commander.RunID]time.Time
	// probing is true while a quarantined worker has a task to prove itself.
	probing bool
}

// A stray is a run at a worker that no task needs.
type stray struct {
	run      commander.Run
	stopping bool
}

// A noVerdictError is an error that doesn't tell whether the worker answers.
type noVerdictError struct{ cause error }

// Error implements error.
func (e *noVerdictError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *noVerdictError) Unwrap() error { return e.cause }

// reachable reports whether the worker answers.
func (w *worker) reachable() bool { return w.reported && w.failures == 0 }

// capacity returns the worker's capacity.
func (w *worker) capacity() placer.Resources {
	return placer.Resources{
		MilliCores:   w.host.MilliCores,
		MemoryBytes:  w.host.MemoryBytes,
		Accelerators: w.host.Accelerators,
	}
}

// syncWorkers follows the platform's host list. An empty list says nothing.
func (s *Sharder) syncWorkers(now time.Time) {
	if now.Sub(s.syncedAt) < syncInterval {
		return
	}
	s.syncedAt = now
	hosts := s.options.Hosts()
	if len(hosts) == 0 {
		return
	}
	s.listSeen = true
	for _, w := range s.workers {
		w.listed = false
	}
	for _, host := range hosts {
		if host.Kind == lister.KindWorker && host.DataCentre == s.options.DataCentre {
			s.listWorker(host)
		}
	}
	for name := range s.table.byWorker {
		s.ensureWorker(name)
	}
	for name, w := range s.workers {
		if !w.listed && len(s.table.byWorker[name]) == 0 {
			delete(s.workers, name)
		}
	}
}

// listWorker takes a worker from the host list.
func (s *Sharder) listWorker(host lister.Host) {
	w := s.ensureWorker(host.Name)
	if w.agent == nil || w.host.Address != host.Address {
		w.agent = s.options.Agents.Agent(host.Address)
		w.reported = false
		w.reportAt = time.Time{}
	}
	w.host = host
	w.listed = true
}

func (s *Sharder) ensureWorker(name string) *worker {
	w, ok := s.workers[name]
	if !ok {
		w = &worker{
			name:        name,
			strays:      make(map[commander.RunID]*stray),
			forgettable: make(map[commander.RunID]time.Time),
		}
		s.workers[name] = w
	}
	return w
}

// contactWorkers reports, renews and reads usage where it is due.
func (s *Sharder) contactWorkers(now time.Time) {
	lease := s.usableLease(now)
	for _, w := range s.workers {
		if w.agent == nil {
			continue
		}
		if !w.reporting && !now.Before(w.reportAt) {
			s.report(w)
		}
		if !w.reported {
			continue
		}
		if !w.renewing && !now.Before(w.renewAt) && lease > 0 && !w.dark(now, lease) {
			s.renew(w, now, lease)
		}
		if w.failures == 0 && !w.reading && !now.Before(w.usageAt) {
			s.readUsage(w, now)
		}
	}
}

// dark reports whether the worker has been silent for so long that its leases
// are no longer renewed, so that they provably lapse.
func (w *worker) dark(now time.Time, lease time.Duration) bool {
	return w.failures > 0 && now.Sub(w.lastContact) > lease/2
}

// usableLease returns the lease to grant, or zero while the bound that covers
// it is not durable.
func (s *Sharder) usableLease(now time.Time) time.Duration {
	lease := s.options.lease()
	switch {
	case lease > s.leaseBound:
		s.setLeaseBound(lease)
	case lease == s.leaseBound:
		s.boundLowerAt = time.Time{}
	case s.boundLowerAt.IsZero():
		s.boundLowerAt = lapseTime(now, s.leaseBound)
	case now.After(s.boundLowerAt):
		s.setLeaseBound(lease)
	}
	if s.flusher.done < s.boundNumber {
		return 0
	}
	return lease
}

func (s *Sharder) setLeaseBound(lease time.Duration) {
	s.leaseBound = lease
	s.boundLowerAt = time.Time{}
	s.flusher.extras = append(s.flusher.extras, leaseRecord(lease))
	s.boundNumber = s.appendNumber()
}

// call runs a command to a worker in the pool, unless this daemon no longer
// owns the shard when it comes to it. It reports whether there was room. The
// outcome is applied by done, with the lock held.
func (s *Sharder) call(w *worker, command func(ctx context.Context) error, done func(now time.Time, err error)) bool {
	return s.pool.TryGo(func() error {
		ctx, cancel := context.WithTimeout(s.base, callTimeout)
		defer cancel()
		err := errs.ErrNotOwner
		if s.holds(s.options.Now()) {
			err = command(ctx)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		now := s.options.Now()
		s.noteContact(w, now, err)
		done(now, err)
		s.wake()
		return nil
	})
}

// noteContact notes whether a worker answered; the lock is held.
func (s *Sharder) noteContact(w *worker, now time.Time, err error) {
	var noVerdict *noVerdictError
	switch {
	case errors.Is(err, errs.ErrFenced):
		s.supersede()
	case errors.Is(err, errs.ErrNotOwner), errors.As(err, &noVerdict):
	case err == nil || errors.Is(err, errs.ErrNotFound):
		if w.failures > 0 && w.reported {
			s.record(EventWorkerReachable, recorder.Fields{"worker": w.name})
		}
		w.failures = 0
		w.lastContact = now
	default:
		w.failures++
		w.reportAt = now.Add(reportRetry)
		if w.failures == 1 {
			s.record(EventWorkerUnreachable, recorder.Fields{"worker": w.name, "error": err.Error()})
		}
	}
}

// fence returns the epoch under which workers are commanded.
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
			w.reportAt = now.Add(reportRetry)
			return
		}
		w.reportAt = now.Add(reportInterval)
		w.reportedAt = now
		s.applyReport(w, report, since, now)
	})
}

// wantReport asks for a report as soon as possible.
func (w *worker) wantReport() { w.reportAt = time.Time{} }

// renew extends the leases of all runs of a worker that shall go on, and lets it
// forget ended ones.
func (s *Sharder) renew(w *worker, now time.Time, lease time.Duration) {
	renewal := commander.Renewal{Fence: s.fence(), IDs: s.renewable(w), Lease: lease, Forget: s.forgettable(w, now)}
	w.renewAt = now.Add(s.nextPoll(w, now, lease))
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
			w.wantReport()
		}
		s.applyEnded(w, renewed.Ended, since, now)
		s.noteSurvivors(w, ids, now)
	})
}

// nextPoll returns the time until the next renewal: a third of the lease, or
// less while runs are young or about to end.
func (s *Sharder) nextPoll(w *worker, now time.Time, lease time.Duration) time.Duration {
	longest := lease / 3
	shortest := min(s.options.RenewInterval, longest)
	for _, e := range s.table.byWorker[w.name] {
		if !e.sent || e.removal != nil {
			continue
		}
		if e.runningSince.IsZero() || now.Sub(e.runningSince) < youngRun {
			return shortest
		}
		left := e.runningSince.Add(e.task.ExpectedRun).Sub(now)
		if e.task.ExpectedRun > 0 && left > -e.task.ExpectedRun/overdueShare {
			longest = min(longest, max(left, shortest))
		}
	}
	return longest
}

// extendLeases notes that leases may have been extended by a call that was
// sent not later than a time.
func (s *Sharder) extendLeases(ids []commander.RunID, sent time.Time, lease time.Duration) {
	until := lapseTime(sent, lease)
	for _, id := range ids {
		if e, ok := s.table.entries[id.Task]; ok && e.task.Run == id.Run {
			e.leaseUntil = later(e.leaseUntil, until)
		}
	}
}

// renewable returns the runs whose leases are renewed: all that may run and
// are not being stopped.
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

// observe learns a task's size from a measurement. What was measured under a
// throttle doesn't show how many processors the task would use.
func (s *Sharder) observe(e *entry, usage commander.Usage, now time.Time) {
	use := placer.Resources(usage.Resources)
	if e.throttle != 0 || !usage.At.After(e.liftedAt) {
		use.MilliCores = max(use.MilliCores, s.size(e, now).MilliCores)
	}
	s.sizes.Observe(e.task.ID, e.task.Intent, use, usage.At)
}

// readUsage reads the lagging measurements of a worker.
func (s *Sharder) readUsage(w *worker, now time.Time) {
	w.usageAt = now.Add(usageInterval)
	agent := w.agent
	var usages []commander.Usage
	w.reading = s.call(w, func(ctx context.Context) (err error) {
		usages, err = agent.Usage(ctx)
		return err
	}, func(now time.Time, err error) {
		w.reading = false
		if err != nil {
			return
		}
		for _, usage := range usages {
			if e, ok := s.table.entries[usage.ID.Task]; ok && e.task.Run == usage.ID.Run {
				s.observe(e, usage, now)
			}
		}
		if s.options.OnUsage != nil {
			s.options.OnUsage(now, w.name, usages)
		}
	})
}
