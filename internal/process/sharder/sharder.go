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

// A Sharder is the owner of one shard.
type Sharder struct {
	options Options
	journal *journaler.Journal
	kick    chan struct{}
	cancel  context.CancelFunc
	// base ends when the sharder closes; all commands derive from it.
	base context.Context
	// pool runs the commands to workers; background runs the few journal
	// writes and calls of peers, which must not wait for a place in the pool.
	pool       errgroup.Group
	background sync.WaitGroup

	mu          sync.Mutex
	table       *table
	workers     map[string]*worker
	ledger      *blamer.Ledger
	sizes       *estimator.Estimator
	quarantines map[string]*kumquatv1.Quarantine
	// leaseBound is the longest lease that may be in force; it may be used once
	// the append of that number is done.
	leaseBound   time.Duration
	boundNumber  int64
	boundLowerAt time.Time
	flusher      flusher
	// held are the waiting tasks for which room is being made.
	held map[string]*entry
	// evictions are the times of the latest evictions for interference.
	evictions   []time.Time
	placeAt     time.Time
	rebalanceAt time.Time
	relievedAt  time.Time
	expiredAt   time.Time
	estimatedAt time.Time
	// estimated is what the journal holds of what was learnt.
	estimated *kumquatv1.Estimates
	// taken is the revision up to which all intents were taken in, if some have
	// been dropped since.
	taken    int64
	syncedAt time.Time
	// listSeen is true once the platform's host list has been read.
	listSeen     bool
	mover        mover
	superseded   bool
	wasOut       bool
	moveLimiter  *rate.Limiter
	startLimiter *rate.Limiter
}

// Open replays the shard's journal and fences earlier owners. It returns
// errs.ErrFenced if a later owner has opened it.
func Open(ctx context.Context, options Options) (s *Sharder, err error) {
	defer func() { err = eris.Wrapf(err, "open %s", options.Shard) }()
	options = options.withDefaults()
	s = &Sharder{
		options:      options,
		kick:         make(chan struct{}, 1),
		table:        newTable(),
		workers:      make(map[string]*worker),
		ledger:       blamer.NewLedger(),
		sizes:        estimator.New(),
		estimated:    &kumquatv1.Estimates{},
		held:         make(map[string]*entry),
		quarantines:  make(map[string]*kumquatv1.Quarantine),
		flusher:      newFlusher(),
		mover:        newMover(),
		moveLimiter:  rate.NewLimiter(movesPerSecond, movesBurst),
		startLimiter: rate.NewLimiter(startsPerSecond, startsBurst),
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
	s.base, s.cancel = context.WithCancel(context.WithoutCancel(ctx))
	s.pool.SetLimit(poolSize)
	s.startReplayed(options.Now())
	return s, nil
}

// Run decides and acts until the context ends or a later owner has fenced this
// one, which returns errs.ErrFenced. It waits for its commands in flight.
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

// await waits until there is something to decide on and reports whether the
// sharder still runs.
func (s *Sharder) await() bool {
	timer := time.NewTimer(tick)
	defer timer.Stop()
	select {
	case <-s.base.Done():
		return false
	case <-s.kick:
		s.gather()
	case <-timer.C:
	}
	return true
}

// gather waits for further outcomes of commands, so that one pass serves many.
func (s *Sharder) gather() {
	pauser.Sleep(s.base, passGap)
}

// Close stops the commands in flight, waits for them, and closes the journal.
func (s *Sharder) Close() error {
	s.cancel()
	return errors.Join(s.wait(), s.journal.Close())
}

// wait waits for everything in flight.
func (s *Sharder) wait() error {
	s.background.Wait()
	return s.pool.Wait()
}

// pass makes one round of decisions and reports whether the sharder is
// superseded.
func (s *Sharder) pass(now time.Time) (superseded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.superseded {
		return true
	}
	if s.holds(now) {
		s.syncWorkers(now)
		s.contactWorkers(now)
		s.lapse(now)
		s.noteDataCentre(now)
		s.evacuate(now)
		s.rebalance(now)
		s.drain(now)
		s.liftThrottles(now)
		s.place(now)
		s.relieve(now)
		s.act(now)
		s.expire(now)
		s.keepEstimates(now)
	}
	s.flush()
	return false
}

// holds reports whether this daemon owns the shard under its epoch right now.
func (s *Sharder) holds(now time.Time) bool {
	epoch, ok := s.options.Authority.Holds(s.options.Shard, now)
	return ok && epoch == s.options.Epoch
}

// mayStart reports whether tasks may start in the data centre right now.
func (s *Sharder) mayStart(now time.Time) bool {
	return s.holds(now) && !s.options.isOut() && s.options.Authority.MayStart(s.options.DataCentre, now)
}

// wake makes the loop run a pass soon.
func (s *Sharder) wake() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// supersede ends all activity because a later owner has fenced this one; the
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

// recordTask records an event of a task.
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
