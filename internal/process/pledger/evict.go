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
const evictTimeout = Lifetime + 3*time.Second

// errRegistered reports an incarnation whose record is still in the store.
var errRegistered = errors.New("incarnation is registered")

// Evict returns nil once an incarnation of a daemon can't act any more: the
// store shows that its record is gone, and enough of its guarantors are
// blocked, or the longest extension has passed. It can be called again after
// an error.
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
		// All callers share the error, and eris changes its own when it wraps them.
		err = fmt.Errorf("evict: %w", err)
	}
	return err
}

func (p *Pledger) isEvicted(target incarnation) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.evicted[target]
}

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
	if p.sought[target].IsZero() {
		p.sought[target] = now
	}
	since := p.sought[target]
	p.mu.Unlock()
	waits := p.collect(ctx, target, list.Guarantors)
	needed := list.needed()
	if len(waits) < needed && now.Sub(since) < MaxExtension+extensionMargin {
		return eris.Errorf("%d of %d blocks", len(waits), needed)
	}
	if !pauser.Sleep(ctx, longest(waits, list)) {
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

// longest returns how long to wait for pledges, given in ascending order, to
// run out. Without enough of them the longest extension has passed. An
// operator's word doesn't shorten the wait for those that are known.
func longest(waits []time.Duration, list List) time.Duration {
	needed := list.needed()
	switch {
	case list.Dead && len(waits) > 0:
		return waits[len(waits)-1]
	case needed == 0 || len(waits) < needed:
		return 0
	default:
		return waits[needed-1]
	}
}

// checkGone asks the store itself, since the watch may lag.
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

// closeList closes the incarnation's list, so that it can't get others.
func (p *Pledger) closeList(ctx context.Context, target incarnation) (List, error) {
	key := Key(target.daemon, target.number)
	list, revision, err := p.load(ctx, key)
	if err != nil || list.Closed {
		return list, err
	}
	list = list.WithClosed(rand.Text())
	_, err = p.swap(ctx, key, revision, list)
	return list, err
}

// collect blocks the incarnation at its guarantors and returns, in ascending
// order, how long the pledges of those that did still bind.
func (p *Pledger) collect(ctx context.Context, target incarnation, guarantors []Guarantor) []time.Duration {
	var (
		mu    sync.Mutex
		waits []time.Duration
		calls sync.WaitGroup
	)
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
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

// blockAt blocks the incarnation at one guarantor and returns how long its
// pledge still binds. It doesn't ask other processes about this daemon's own
// former ones.
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
		answer = p.blockHere(request, time.Now())
	} else {
		answer, err = p.settings.Dial(g.Address).Block(ctx, request)
	}
	if err != nil || !answer.Blocked {
		return 0, false
	}
	return time.Duration(answer.RemainingMillis) * time.Millisecond, true
}
