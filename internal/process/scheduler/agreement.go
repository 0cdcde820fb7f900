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

// splitKey holds the split, which is written once in the life of a deployment.
const splitKey = "kumquat/split"

// Times of agreeing on the split.
const (
	// splitTimeout bounds one call to the store.
	splitTimeout = 1200 * time.Millisecond
	// splitRetry is the pause between two looks at the store.
	splitRetry = 100 * time.Millisecond
	// settledAfter is how long the number of runners must not have changed
	// before a daemon proposes a split. Hundreds of runners register within a
	// heartbeat of a second or more, so that few of them are missing then.
	settledAfter = 400 * time.Millisecond
	// sizeFactor multiplies the time by which larger daemons campaign first:
	// the proposal is theirs, since they will own the parts.
	sizeFactor = 4
)

// A census counts the runners until the split is known.
type census struct {
	mu      sync.Mutex
	runners int
	since   time.Time
}

func (c *census) take(infos []dispatcher.RunnerInfo, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(infos) != c.runners {
		c.runners, c.since = len(infos), now
	}
}

// settled returns the number of runners if it has not changed for a time.
func (c *census) settled(now time.Time, span time.Duration) (runners int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runners, c.runners > 0 && now.Sub(c.since) >= span
}

// agree returns the deployment's split. The first daemon that has counted the
// runners writes it.
func (s *Scheduler) agree(ctx context.Context) (split partitioner.Split, err error) {
	ctx, cancel := context.WithCancel(ctx)
	counted := &census{}
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
			s.agreeFailed(ctx, "read split", err)
		case !following:
			following = true
			counting.Go(func() {
				s.opts.Registry.Follow(ctx, func(infos []dispatcher.RunnerInfo) { counted.take(infos, time.Now()) })
			})
		default:
			if runners, ok := counted.settled(time.Now(), settledAfter+sizeFactor*s.opts.CampaignDelay(0, 0)); ok {
				s.propose(ctx, partitioner.ChooseSplit(runners, s.opts.Cores), runners)
			}
		}
		if !pauser.Sleep(ctx, splitRetry) {
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

// propose writes a split unless there is one; it is read back in any case.
func (s *Scheduler) propose(ctx context.Context, split partitioner.Split, runners int) {
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
		s.agreeFailed(ctx, "propose split", err)
	default:
		s.opts.Recorder.Record(time.Now(), EventSplit, recorder.Fields{
			"parts": strconv.Itoa(split.Parts), "runners": strconv.Itoa(runners),
			"cores": strconv.FormatFloat(s.opts.Cores, 'f', 2, 64),
		})
	}
}

func (s *Scheduler) agreeFailed(ctx context.Context, action string, err error) {
	if ctx.Err() == nil {
		s.opts.Recorder.Record(time.Now(), EventSplitFailed, recorder.Fields{"action": action, "error": err.Error()})
	}
}
