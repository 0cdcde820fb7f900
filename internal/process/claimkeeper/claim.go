package claimkeeper

import (
	"context"
	"fmt"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// Claim reserves a key. It waits for the result of an attempt in progress for
// as long as the claim's deadline allows. GRANTED is answered only when the
// claim is durable. The error wraps errs.ErrNotOwner, also when the partition
// moves to another owner during the wait.
func (k *Keeper) Claim(ctx context.Context, request *kumquatv1.ClaimRequest) (response *kumquatv1.ClaimResponse, err error) {
	deadline := time.UnixMilli(request.GetDeadlineUnixMillis()).Add(-waitMargin)
	for {
		now := k.opts.Now()
		p := k.find(request.GetKey(), now)
		if p == nil {
			return nil, errs.ErrNotOwner
		}
		response, progress := k.claimOnce(ctx, p, request, now)
		if response.GetState() == kumquatv1.ClaimState_CLAIM_STATE_UNAVAILABLE && p.isClosed() {
			return nil, errs.ErrNotOwner
		}
		if response.GetState() != kumquatv1.ClaimState_CLAIM_STATE_IN_PROGRESS {
			return response, nil
		}
		if !progress.await(ctx, now, deadline) {
			return response, nil
		}
	}
}

// A progress is what may end the wait for a claim in progress.
type progress struct {
	// changed is closed when the claim's state changes.
	changed <-chan struct{}
	// closed is closed when the partition is taken out of service.
	closed <-chan struct{}
	// heldUntil is the time after which the holder can't report any more.
	heldUntil time.Time
}

// await waits and reports whether the claim is worth another look before the
// deadline.
func (w progress) await(ctx context.Context, now, deadline time.Time) bool {
	limit := deadline
	if w.heldUntil.After(now) && w.heldUntil.Before(deadline) {
		limit = w.heldUntil
	}
	if !limit.After(now) {
		return false
	}
	timer := time.NewTimer(limit.Sub(now))
	defer timer.Stop()
	select {
	case <-w.changed:
		return true
	case <-w.closed:
		return true
	case <-timer.C:
		return limit.Before(deadline)
	case <-ctx.Done():
		return false
	}
}

// claimOnce answers a claim without waiting for others. The progress is that of
// the claim in progress.
func (k *Keeper) claimOnce(ctx context.Context, p *partition, request *kumquatv1.ClaimRequest, now time.Time) (*kumquatv1.ClaimResponse, progress) {
	held := time.UnixMilli(request.GetDeadlineUnixMillis()).Add(holdGrace)
	record := &kumquatv1.ClaimRecord{
		Key:               request.GetKey(),
		Digest:            request.GetDigest(),
		Token:             request.GetToken(),
		State:             kumquatv1.ClaimState_CLAIM_STATE_IN_PROGRESS,
		ExpiresUnixMillis: held.Add(k.opts.Retention).UnixMilli(),

		HeldUntilUnixMillis: held.UnixMilli(),
	}
	p.mu.Lock()
	if p.claims[record.GetKey()] == nil && len(p.claims) >= maxKeys {
		p.mu.Unlock()
		k.record(EventKeysExhausted, p.name, "")
		return unavailable("too many keys are remembered"), progress{}
	}
	c, reserved := p.reserve(record)
	if !reserved {
		defer p.mu.Unlock()
		return k.answer(p, c, request, now), progress{changed: c.changed, closed: p.closed, heldUntil: heldUntil(c.record)}
	}
	p.mu.Unlock()
	return k.grant(ctx, p, c), progress{}
}

// answer tells the state of an existing key. A claim that is repeated while
// its first copy is being written waits like any other.
func (k *Keeper) answer(p *partition, c *claim, request *kumquatv1.ClaimRequest, now time.Time) *kumquatv1.ClaimResponse {
	state := decide(c, request, now)
	response := &kumquatv1.ClaimResponse{State: state}
	switch {
	case state == kumquatv1.ClaimState_CLAIM_STATE_COMPLETED:
		response.Result = c.record.GetResult()
	case state == kumquatv1.ClaimState_CLAIM_STATE_MISMATCH:
		k.record(EventKeyMismatch, p.name, "")
	case !c.durable:
		response.State = kumquatv1.ClaimState_CLAIM_STATE_IN_PROGRESS
	}
	return response
}

// grant makes a reserved claim durable.
func (k *Keeper) grant(ctx context.Context, p *partition, c *claim) *kumquatv1.ClaimResponse {
	err := p.append(ctx, claimRecord(c.record), func(err error) {
		if err != nil {
			p.remove(c)
			return
		}
		c.set(c.record)
	})
	if err != nil {
		k.record(EventClaimNotDurable, p.name, err.Error())
		return unavailable("claim could not be made durable")
	}
	return &kumquatv1.ClaimResponse{State: kumquatv1.ClaimState_CLAIM_STATE_GRANTED}
}

// unavailable answers a claim that is not held.
func unavailable(reason string) *kumquatv1.ClaimResponse {
	return &kumquatv1.ClaimResponse{State: kumquatv1.ClaimState_CLAIM_STATE_UNAVAILABLE, Reason: reason}
}

// Complete records the outcome of a claimed request. Reports of others than
// the holder, and of keys that are not claimed, have no effect. The error
// wraps errs.ErrNotOwner or says that the report is not durable.
func (k *Keeper) Complete(ctx context.Context, report *kumquatv1.CompleteRequest) (response *kumquatv1.CompleteResponse, err error) {
	now := k.opts.Now()
	p := k.find(report.GetKey(), now)
	if p == nil {
		return nil, errs.ErrNotOwner
	}
	p.mu.Lock()
	c := p.claims[report.GetKey()]
	settled := c == nil || c.record.GetToken() != report.GetToken() ||
		c.record.GetState() == kumquatv1.ClaimState_CLAIM_STATE_COMPLETED
	if settled {
		p.mu.Unlock()
		return &kumquatv1.CompleteResponse{Durable: true}, nil
	}
	next := outcome(c.record, report, now.Add(k.opts.Retention))
	p.mu.Unlock()
	record := removalRecord(report.GetKey())
	if next != nil {
		record = claimRecord(next)
	}
	err = p.append(ctx, record, func(err error) {
		switch {
		case err != nil:
		case next == nil:
			p.remove(c)
		default:
			c.set(next)
		}
	})
	if err != nil {
		return nil, fmt.Errorf("report is not durable: %w", err)
	}
	return &kumquatv1.CompleteResponse{Durable: true}, nil
}
