package scheduler

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/transactor"
	"github.com/kumquatstack/kumquatstack/internal/pauser"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/version/dispatcher"
	"github.com/kumquatstack/kumquatstack/internal/version/partitioner"
)

// splitKey is the store key of the split (the number of parts), which is written once
// per deployment.
const splitKey = "kumquat/split"

// Times of the agreement on the split.
const (
	// splitTimeout is the timeout of one call to the store.
	splitTimeout = 1200 * time.Millisecond
	// splitRetryInterval is the pause between two reads of the split.
	splitRetryInterval = 100 * time.Millisecond
	// stableAfter is how long the number of runners must have been unchanged before
	// a daemon proposes a split. When hundreds of runners register, they do so within
	// one heartbeat interval of a second or more, so the number changes at much shorter
	// intervals than this until few runners are missing.
	stableAfter = 400 * time.Millisecond
	// proposalDelayFactor multiplies the campaign delay in the wait before a proposal.
	// Larger daemons have a shorter delay. They should make the proposal, which depends
	// on the proposer's cores, because they will own the parts.
	proposalDelayFactor = 4
)

// A runnerCount follows the number of runners until the split is known.
type runnerCount struct {
	mu      sync.Mutex
	runners int
	since   time.Time // time of the last change of the number
}

// observe updates the count from a new list of the registered runners.
func (c *runnerCount) observe(infos []dispatcher.RunnerInfo, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(infos) != c.runners {
		c.runners, c.since = len(infos), now
	}
}

// stable returns the number of runners; ok is true if there are some and their
// number has not changed for the span.
func (c *runnerCount) stable(now time.Time, span time.Duration) (runners int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runners, c.runners > 0 && now.Sub(c.since) >= span
}

// agreeOnSplit returns the deployment's split. The first daemon that has a stable
// count of the runners writes it.
func (s *Scheduler) agreeOnSplit(ctx context.Context) (split partitioner.Split, err error) {
	ctx, cancel := context.WithCancel(ctx)
	count := &runnerCount{}
	var counting sync.WaitGroup
	defer counting.Wait()
	defer cancel()
	following := false
	for {
		split, err = s.readSplit(ctx)
		switch {
		case err == nil:
			return split, nil
		case !errors.Is(err, transactor.ErrNotFound):
			s.recordSplitFailure(ctx, "read split", err)
		case !following:
			following = true
			counting.Go(func() {
				s.opts.Registry.Follow(ctx, func(infos []dispatcher.RunnerInfo) { count.observe(infos, time.Now()) })
			})
		default:
			if runners, ok := count.stable(time.Now(), stableAfter+proposalDelayFactor*s.opts.CampaignDelay(0, 0)); ok {
				s.proposeSplit(ctx, partitioner.ChooseSplit(runners, s.opts.Cores), runners)
			}
		}
		if !pauser.Sleep(ctx, splitRetryInterval) {
			return split, ctx.Err()
		}
	}
}

func (s *Scheduler) readSplit(ctx context.Context) (split partitioner.Split, err error) {
	ctx, cancel := context.WithTimeout(ctx, splitTimeout)
	defer cancel()
	item, err := s.opts.Store.Get(ctx, splitKey)
	if err != nil {
		return split, err
	}
	return partitioner.Decode(item.Value)
}

// proposeSplit writes a split unless there is one already. In both cases the caller
// reads the stored split afterwards.
func (s *Scheduler) proposeSplit(ctx context.Context, split partitioner.Split, runners int) {
	value, err := split.Encode()
	if err == nil {
		callCtx, cancel := context.WithTimeout(ctx, splitTimeout)
		defer cancel()
		_, err = s.opts.Store.Commit(callCtx, transactor.Transaction{
			Conditions: []transactor.Condition{{Key: splitKey}},
			Writes:     []transactor.Write{{Key: splitKey, Value: value}},
		})
	}
	var conflict *transactor.ConflictError
	switch {
	case errors.As(err, &conflict):
	case err != nil:
		s.recordSplitFailure(ctx, "propose split", err)
	default:
		s.opts.Recorder.Record(time.Now(), EventSplit, recorder.Fields{
			"parts": strconv.Itoa(split.Parts), "runners": strconv.Itoa(runners),
			"cores": strconv.FormatFloat(s.opts.Cores, 'f', 2, 64),
		})
	}
}

func (s *Scheduler) recordSplitFailure(ctx context.Context, action string, err error) {
	if ctx.Err() == nil {
		s.opts.Recorder.Record(time.Now(), EventSplitFailed, recorder.Fields{"action": action, "error": err.Error()})
	}
}
