package sharder

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/pauser"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/process/journaler"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/version/blamer"
	"github.com/kumquatstack/kumquatstack/internal/version/estimator"
)

// A Sharder is the owner of one shard. It places the shard's batch tasks on the
// workers of one data centre and journals every change of a task.
type Sharder struct {
	options Options
	journal *journaler.Journal
	wakeup  chan struct{}
	cancel  context.CancelFunc
	// baseCtx ends when the sharder closes; the contexts of all commands derive
	// from it.
	baseCtx context.Context
	// pool runs the commands to workers. background runs the few journal writes
	// and calls to peers, which must not wait for a free slot of the pool.
	pool       errgroup.Group
	background sync.WaitGroup

	mu          sync.Mutex
	table       *table
	workers     map[string]*worker
	ledger      *blamer.Ledger
	sizes       *estimator.Estimator
	quarantines map[string]*kumquatv1.Quarantine
	// leaseBound is the longest lease that may be in force at a worker. Leases
	// up to it may be granted once the append with the number leaseBoundAppend
	// is durable. reduceBoundAt is the time at which all leases that were
	// granted under the bound have lapsed, so that it may be reduced to a
	// shorter lease; it is zero while no shorter lease is declared.
	leaseBound       time.Duration
	leaseBoundAppend int64
	reduceBoundAt    time.Time
	flusher          flusher
	// reserved are the pending tasks for which room is being made, by task id.
	reserved map[string]*entry
	// evictions are the times of the latest evictions for interference, which
	// are limited per minute.
	evictions []time.Time
	// placeAt and rebalanceAt are the earliest times of the next placement and
	// of the next check for tasks to move to other data centres.
	placeAt            time.Time
	rebalanceAt        time.Time
	overloadCheckedAt  time.Time
	expiryCheckedAt    time.Time
	estimatesCheckedAt time.Time
	// journaledEstimates are the estimates as last journaled.
	journaledEstimates *kumquatv1.Estimates
	// ingestedRevision is the store revision up to which all intents have been
	// ingested. It is zero as long as no intent has been dropped.
	ingestedRevision int64
	// syncedAt is the time at which the host list was last read.
	syncedAt time.Time
	// hostListRead is true once the platform's host list has been read.
	hostListRead bool
	peers        peerState
	// superseded is true once a later owner has fenced this one.
	superseded bool
	// wasOut is true if the last recorded service state of the data centre is
	// out of service.
	wasOut       bool
	moveLimiter  *rate.Limiter
	startLimiter *rate.Limiter
}

// Open replays the shard's journal and fences earlier owners. It returns
// errs.ErrFenced if a later owner has opened the journal.
func Open(ctx context.Context, options Options) (s *Sharder, err error) {
	defer func() { err = eris.Wrapf(err, "open %s", options.Shard) }()
	options = options.withDefaults()
	s = &Sharder{
		options:            options,
		wakeup:             make(chan struct{}, 1),
		table:              newTable(),
		workers:            make(map[string]*worker),
		ledger:             blamer.NewLedger(),
		sizes:              estimator.New(),
		journaledEstimates: &kumquatv1.Estimates{},
		reserved:           make(map[string]*entry),
		quarantines:        make(map[string]*kumquatv1.Quarantine),
		flusher:            newFlusher(),
		peers:              newPeerState(),
		moveLimiter:        rate.NewLimiter(movesPerSecond, movesBurst),
		startLimiter:       rate.NewLimiter(startsPerSecond, startsBurst),
	}
	s.journal, err = journaler.Open(ctx, journaler.Options{
		Store:          options.Store,
		Partition:      options.Shard,
		Epoch:          options.Epoch,
		Recorder:       options.Recorder,
		Now:            options.Now,
		CommitInterval: commitInterval,
	}, s.replay)
	if err != nil {
		return nil, err
	}
	s.baseCtx, s.cancel = context.WithCancel(context.WithoutCancel(ctx))
	s.pool.SetLimit(poolSize)
	s.prepareReplayed(options.Now())
	return s, nil
}

// Run makes decisions and sends commands until the context ends, or until a
// later owner has fenced this one, in which case it returns errs.ErrFenced. It
// waits for the commands in flight before it returns.
func (s *Sharder) Run(ctx context.Context) (err error) {
	stop := context.AfterFunc(ctx, s.cancel)
	defer stop()
	defer func() {
		s.cancel()
		err = errors.Join(err, s.wait())
	}()
	for !s.pass(s.options.Now()) {
		if !s.await() {
			return nil
		}
	}
	return errs.ErrFenced
}

// await waits until there is something to decide or passInterval is over. It
// reports whether the sharder still runs.
func (s *Sharder) await() bool {
	timer := time.NewTimer(passInterval)
	defer timer.Stop()
	select {
	case <-s.baseCtx.Done():
		return false
	case <-s.wakeup:
		s.coalesce()
	case <-timer.C:
	}
	return true
}

// coalesce waits for the outcomes of further commands, so that one pass handles
// many of them.
func (s *Sharder) coalesce() {
	pauser.Sleep(s.baseCtx, coalesceDelay)
}

// Close cancels the commands in flight, waits for them, and closes the journal.
func (s *Sharder) Close() error {
	s.cancel()
	return errors.Join(s.wait(), s.journal.Close())
}

// wait waits for all commands and background calls in flight.
func (s *Sharder) wait() error {
	s.background.Wait()
	return s.pool.Wait()
}

// pass makes one round of decisions. It reports whether a later owner has
// superseded this one.
func (s *Sharder) pass(now time.Time) (superseded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.superseded {
		return true
	}
	if s.isOwner(now) {
		s.syncWorkers(now)
		s.contactWorkers(now)
		s.resumeLapsed(now)
		s.recordServiceState(now)
		s.evacuate(now)
		s.rebalance(now)
		s.drain(now)
		s.liftThrottles(now)
		s.place(now)
		s.evictOverload(now)
		s.sendCommands(now)
		s.expire(now)
		s.journalEstimates(now)
	}
	s.flush()
	return false
}

// isOwner reports whether this daemon now owns the shard under its epoch.
func (s *Sharder) isOwner(now time.Time) bool {
	epoch, ok := s.options.Authority.Holds(s.options.Shard, now)
	return ok && epoch == s.options.Epoch
}

// mayStart reports whether tasks may start in the data centre now: this daemon
// owns the shard, the data centre is in service and the authority allows starts.
func (s *Sharder) mayStart(now time.Time) bool {
	return s.isOwner(now) && !s.options.isOut() && s.options.Authority.MayStart(s.options.DataCentre, now)
}

// wake makes the loop run a pass soon.
func (s *Sharder) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// supersede ends all activity, because a later owner has fenced this one. The
// lock is held.
func (s *Sharder) supersede() {
	if s.superseded {
		return
	}
	s.superseded = true
	s.record(EventSuperseded, recorder.Fields{})
	s.wake()
}

// record records an event of the shard.
func (s *Sharder) record(number recorder.Number, fields recorder.Fields) {
	fields["partition"] = string(s.options.Shard)
	fields["dataCentre"] = s.options.DataCentre
	s.options.Recorder.Record(s.options.Now(), number, fields)
}

// recordTask records an event of a task. An empty detail is omitted.
func (s *Sharder) recordTask(number recorder.Number, e *entry, detail string) {
	fields := recorder.Fields{
		"task":   e.task.ID,
		"intent": e.task.Intent,
		"run":    itoa(int64(e.task.Run)),
	}
	if e.task.Worker != "" {
		fields["worker"] = e.task.Worker
	}
	if detail != "" {
		fields["detail"] = detail
	}
	s.record(number, fields)
}
