package pledger

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/pauser"

	"github.com/rotisserie/eris"

	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/process/member"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// evictTimeout bounds one attempt to evict.
const evictTimeout = PledgeTTL + 3*time.Second

// errRegistered reports an incarnation whose member record is still in the store.
var errRegistered = errors.New("incarnation is still registered")

// Evict returns nil once an incarnation of a daemon can no longer act. The
// incarnation's member record must be gone from the store. In addition, enough of
// its guarantors must have blocked it and their pledges have expired, or the
// longest extension must have passed. Callers may retry after an error.
func (p *Pledger) Evict(ctx context.Context, daemon string, number int64) (err error) {
	defer func() { err = eris.Wrapf(err, "evicting incarnation %d of %s", number, daemon) }()
	target := incarnation{daemon: daemon, number: number}
	if p.isEvicted(target) {
		return nil
	}
	key := daemon + "/" + strconv.FormatInt(number, 10)
	_, err, _ = p.evictions.Do(key, func() (any, error) {
		call, cancel := context.WithTimeout(ctx, evictTimeout)
		defer cancel()
		return nil, p.evict(call, target)
	})
	if err != nil {
		// Concurrent callers share one error value, and eris modifies its own
		// errors when it wraps them, so each caller gets a new outer error.
		err = fmt.Errorf("evict: %w", err)
	}
	return err
}

func (p *Pledger) isEvicted(target incarnation) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.evicted[target]
}

// evict makes one attempt to evict an incarnation.
func (p *Pledger) evict(ctx context.Context, target incarnation) error {
	if err := p.checkGone(ctx, target); err != nil {
		return err
	}
	list, err := p.closeList(ctx, target)
	if err != nil {
		return err
	}
	now := time.Now()
	p.mu.Lock()
	if p.evictingSince[target].IsZero() {
		p.evictingSince[target] = now
	}
	since := p.evictingSince[target]
	p.mu.Unlock()
	waits := p.collectBlocks(ctx, target, list.Guarantors)
	needed := list.requiredBlocks()
	if len(waits) < needed && now.Sub(since) < MaxExtension+extensionMargin {
		return eris.Errorf("%d guarantors blocked the incarnation, %d are required", len(waits), needed)
	}
	if !pauser.Sleep(ctx, remainingWait(waits, list)) {
		return ctx.Err()
	}
	p.mu.Lock()
	p.evicted[target] = true
	p.mu.Unlock()
	p.settings.Recorder.Record(time.Now(), EventEvicted, recorder.Fields{
		"daemon": target.daemon, "incarnation": strconv.FormatInt(target.number, 10),
	})
	return nil
}

// remainingWait returns how long to wait until enough pledges have expired. waits
// are the remaining times of the known pledges in ascending order. If fewer pledges
// than required are known, the longest extension has already passed and no wait is
// needed. If an operator declared the incarnation dead, the wait still covers all
// known pledges.
func remainingWait(waits []time.Duration, list List) time.Duration {
	needed := list.requiredBlocks()
	switch {
	case list.Dead && len(waits) > 0:
		return waits[len(waits)-1]
	case needed == 0 || len(waits) < needed:
		return 0
	default:
		return waits[needed-1]
	}
}

// checkGone returns an error if an incarnation is registered. It reads the store
// because the watch may lag.
func (p *Pledger) checkGone(ctx context.Context, target incarnation) error {
	entry, err := p.settings.Store.Get(ctx, member.Key(target.daemon))
	switch {
	case errors.Is(err, errs.ErrNotFound):
		return nil
	case err != nil:
		return err
	case int64(entry.Revision) == target.number:
		return errRegistered
	default:
		return nil
	}
}

// closeList closes the incarnation's list, so that the incarnation can't change
// its guarantors.
func (p *Pledger) closeList(ctx context.Context, target incarnation) (List, error) {
	key := Key(target.daemon, target.number)
	list, revision, err := p.loadList(ctx, key)
	if err != nil || list.Closed {
		return list, err
	}
	list = list.WithClosed(rand.Text())
	_, err = p.swapList(ctx, key, revision, list)
	return list, err
}

// collectBlocks asks the guarantors to block the incarnation. For each guarantor
// that did, it returns the remaining time of the guarantor's pledge, in ascending
// order.
func (p *Pledger) collectBlocks(ctx context.Context, target incarnation, guarantors []Guarantor) []time.Duration {
	var (
		mu    sync.Mutex
		waits []time.Duration
		calls sync.WaitGroup
	)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for _, g := range guarantors {
		calls.Go(func() {
			remaining, ok := p.blockAt(ctx, target, g)
			if !ok {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			waits = append(waits, remaining)
		})
	}
	calls.Wait()
	slices.Sort(waits)
	return waits
}

// blockAt asks one guarantor to block the incarnation and returns the remaining
// time of the guarantor's pledge. If the guarantor is this daemon or a former
// process of the same name, this process answers itself, without a call.
func (p *Pledger) blockAt(ctx context.Context, target incarnation, g Guarantor) (remaining time.Duration, blocked bool) {
	request := &kumquatv1.BlockRequest{
		From:      p.settings.Group.Incarnation(),
		Blocked:   &kumquatv1.Incarnation{Daemon: target.daemon, Number: target.number},
		To:        &kumquatv1.Incarnation{Daemon: g.Daemon, Number: g.Incarnation},
		ToAddress: g.Address,
	}
	var answer *kumquatv1.BlockResponse
	var err error
	if g.Daemon == p.settings.Group.Identity().Daemon {
		answer = p.blockLocally(request, time.Now())
	} else {
		answer, err = p.settings.Dial(g.Address).Block(ctx, request)
	}
	if err != nil || !answer.Blocked {
		return 0, false
	}
	return time.Duration(answer.RemainingMillis) * time.Millisecond, true
}
