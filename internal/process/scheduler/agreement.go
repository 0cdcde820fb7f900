package scheduler

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/transactor"
	"github.com/kumquatstack/kumquatstack/internal/pauser"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/version/partitioner"
)

// Keys of the store for the agreement on the split.
const (
	// splitKey holds the split (the number of parts), which is written once per
	// deployment.
	splitKey = "kumquat/split"
	// countingKey exists while a daemon counts the runners, under that daemon's lease.
	countingKey = "kumquat/counting"
)

// Times of the agreement on the split.
const (
	// splitTimeout is the timeout of one call to the store.
	splitTimeout = 1200 * time.Millisecond
	// countTimeout is the timeout of one count of the runners, which takes several calls
	// if there are thousands.
	countTimeout = 3 * time.Second
	// countingTTL is the duration of the lease under which a daemon counts.
	countingTTL = 3 * time.Second
	// splitWatchWait is how long a watch for the split waits. After it the daemon checks
	// whether another one still counts the runners.
	splitWatchWait = 500 * time.Millisecond
	// countInterval is the pause between two counts of the runners, and after a failed
	// call.
	countInterval = 150 * time.Millisecond
	// stableAfter is how long the number of runners must have been unchanged before
	// a daemon proposes a split. When hundreds of runners register, they do so within
	// one heartbeat interval of a second or more, so the number changes at much shorter
	// intervals than this until few runners are missing.
	stableAfter = 400 * time.Millisecond
	// proposalDelayFactor multiplies the campaign delay in the wait before a daemon
	// counts. Larger daemons have a shorter delay. They should make the proposal, which
	// depends on the proposer's cores, because they will own the parts.
	proposalDelayFactor = 4
)

// unknownRevision makes awaitSplit read the split instead of watching for it.
const unknownRevision = -1

// errSplitExists is returned if another daemon has written a split first.
var errSplitExists = errors.New("the split exists already")

// A runnerCount follows the number of runners until the split is known.
type runnerCount struct {
	runners int
	// since is when the first of the reads began that returned the number, and last when
	// the newest one began.
	since, last time.Time
}

// observe updates the count from a complete read of the registry that began at readAt.
func (c *runnerCount) observe(runners int, readAt time.Time) {
	if runners != c.runners {
		c.runners, c.since = runners, readAt
	}
	c.last = readAt
}

// isStable reports whether there are runners and all reads within the span returned the
// same number. That no read has succeeded meanwhile does not make it stable.
func (c *runnerCount) isStable(span time.Duration) bool {
	return c.runners > 0 && c.last.Sub(c.since) >= span
}

// agreeOnSplit returns the deployment's split. A daemon that has a stable count of the
// runners writes it.
//
// Load: hundreds of daemons that start at once beside thousands of runners. One daemon
// counts at a time, and all others watch for the split.
func (s *Scheduler) agreeOnSplit(ctx context.Context) (split partitioner.Split, err error) {
	startedAt := time.Now()
	var count runnerCount
	var lease int64
	revision, wait := int64(unknownRevision), time.Duration(0)
	for {
		split, revision, err = s.awaitSplit(ctx, revision, wait)
		untilProposal := proposalDelayFactor*s.opts.CampaignDelay(0, 0) - time.Since(startedAt)
		switch {
		case err == nil:
			return split, nil
		case errors.Is(err, transactor.ErrCompacted):
			pauser.Sleep(ctx, countInterval)
		case !errors.Is(err, transactor.ErrNotFound):
			s.recordSplitFailure(ctx, "read split", err)
			pauser.Sleep(ctx, countInterval)
		case untilProposal > 0:
			wait = min(splitWatchWait, untilProposal)
		case !s.mayCount(ctx, &lease):
			wait = splitWatchWait
		default:
			wait = countInterval
			if s.countRunners(ctx, &count); !count.isStable(stableAfter) {
				break
			}
			if split, err = s.proposeSplit(ctx, count.runners); err == nil {
				return split, nil
			}
		}
		if ctx.Err() != nil {
			return split, ctx.Err()
		}
	}
}

// awaitSplit waits up to the given time for the split to be written after a revision,
// or reads it if the revision is unknown. It returns ErrNotFound if there is no split.
// revision is where the next call continues.
func (s *Scheduler) awaitSplit(ctx context.Context, after int64, wait time.Duration) (split partitioner.Split, revision int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait+splitTimeout)
	defer cancel()
	var items []transactor.Item
	if after == unknownRevision {
		items, revision, err = s.opts.Store.List(ctx, splitKey)
	} else {
		var events []transactor.Event
		events, revision, err = s.opts.Store.Watch(ctx, splitKey, after, wait)
		for _, event := range events {
			if !event.Deleted {
				items = append(items, event.Item)
			}
		}
	}
	if err != nil {
		return split, unknownRevision, err
	}
	for _, item := range items {
		if item.Key == splitKey {
			split, err = partitioner.Decode(item.Value)
			return split, unknownRevision, err
		}
	}
	return split, revision, transactor.ErrNotFound
}

// mayCount reports whether this daemon is the one that counts the runners. lease is that
// of its counting key, or zero.
func (s *Scheduler) mayCount(ctx context.Context, lease *int64) bool {
	ctx, cancel := context.WithTimeout(ctx, splitTimeout)
	defer cancel()
	var err error
	if *lease != 0 {
		if err = s.opts.Store.KeepAlive(ctx, *lease); err == nil {
			return true
		}
		*lease = 0
	} else if _, err = s.opts.Store.Get(ctx, countingKey); err == nil {
		return false // another daemon counts
	}
	if !errors.Is(err, transactor.ErrNotFound) {
		s.recordSplitFailure(ctx, "look for a daemon that counts the runners", err)
		return false
	}
	granted, err := s.opts.Store.Grant(ctx, countingTTL)
	created := false
	if err == nil {
		created, err = s.create(ctx, transactor.Write{Key: countingKey, Value: []byte(s.opts.Instance), Lease: granted})
	}
	if err != nil {
		s.recordSplitFailure(ctx, "claim the count of the runners", err)
	}
	if created {
		*lease = granted
	}
	return created
}

// create writes a key unless it exists, and reports whether it did.
func (s *Scheduler) create(ctx context.Context, write transactor.Write) (created bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, splitTimeout)
	defer cancel()
	_, err = s.opts.Store.Commit(ctx, transactor.Transaction{
		Conditions: []transactor.Condition{{Key: write.Key}}, Writes: []transactor.Write{write},
	})
	var conflict *transactor.ConflictError
	if errors.As(err, &conflict) {
		return false, nil
	}
	return err == nil, err
}

// countRunners reads the number of runners.
func (s *Scheduler) countRunners(ctx context.Context, count *runnerCount) {
	ctx, cancel := context.WithTimeout(ctx, countTimeout)
	defer cancel()
	readAt := time.Now()
	runners, err := s.opts.Registry.Count(ctx)
	if err != nil {
		s.recordSplitFailure(ctx, "count the runners", err)
		return
	}
	count.observe(runners, readAt)
}

// proposeSplit writes and returns a split for a number of runners. It fails if there is
// one already.
func (s *Scheduler) proposeSplit(ctx context.Context, runners int) (split partitioner.Split, err error) {
	split = partitioner.ChooseSplit(runners, s.opts.Cores)
	value, err := split.Encode()
	created := false
	if err == nil {
		created, err = s.create(ctx, transactor.Write{Key: splitKey, Value: value})
	}
	switch {
	case err != nil:
		s.recordSplitFailure(ctx, "propose split", err)
		return split, err
	case !created:
		return split, errSplitExists
	}
	s.opts.Recorder.Record(time.Now(), EventSplit, recorder.Fields{
		"parts": strconv.Itoa(split.Parts), "runners": strconv.Itoa(runners),
		"cores": strconv.FormatFloat(s.opts.Cores, 'f', 2, 64),
	})
	return split, nil
}

func (s *Scheduler) recordSplitFailure(ctx context.Context, action string, err error) {
	if ctx.Err() == nil {
		s.opts.Recorder.Record(time.Now(), EventSplitFailed, recorder.Fields{"action": action, "error": err.Error()})
	}
}
