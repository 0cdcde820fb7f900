package claimkeeper

import (
	"context"
	"fmt"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// Claim reserves an idempotency key for a request. If another request holds the
// key, Claim waits for its result as long as the deadline of the new claim
// allows. It responds with GRANTED only once the claim is durable. The error
// wraps errs.ErrNotOwner if this daemon doesn't own the key's partition or loses
// it during the wait.
func (k *Keeper) Claim(ctx context.Context, request *kumquatv1.ClaimRequest) (response *kumquatv1.ClaimResponse, err error) {
	deadline := time.UnixMilli(request.GetDeadlineUnixMillis()).Add(-replyMargin)
	for {
		now := k.opts.Now()
		p := k.find(request.GetKey(), now)
		if p == nil {
			return nil, errs.ErrNotOwner
		}
		response, wait := k.claimOnce(ctx, p, request, now)
		if response.GetState() == kumquatv1.ClaimState_CLAIM_STATE_UNAVAILABLE && p.isClosed() {
			return nil, errs.ErrNotOwner
		}
		if response.GetState() != kumquatv1.ClaimState_CLAIM_STATE_IN_PROGRESS {
			return response, nil
		}
		if !wait.await(ctx, now, deadline) {
			return response, nil
		}
	}
}

// A claimWait holds what ends the wait for a claim in progress.
type claimWait struct {
	// changed is closed when the claim's state changes.
	changed <-chan struct{}
	// closed is closed when the partition is taken out of service.
	closed <-chan struct{}
	// heldUntil is the end of the time in which the holder may report an
	// outcome.
	heldUntil time.Time
}

// await waits for a change of the claim in progress. It reports whether to try
// the claim again; it returns false once the deadline has passed or the context
// has ended.
func (w claimWait) await(ctx context.Context, now, deadline time.Time) bool {
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

// claimOnce handles a claim without waiting for the result of another one. If the
// key is claimed already, the returned claimWait is that of the existing claim.
func (k *Keeper) claimOnce(ctx context.Context, p *partition, request *kumquatv1.ClaimRequest, now time.Time) (*kumquatv1.ClaimResponse, claimWait) {
	holdEnd := time.UnixMilli(request.GetDeadlineUnixMillis()).Add(reportGrace)
	record := &kumquatv1.ClaimRecord{
		Key:               request.GetKey(),
		Digest:            request.GetDigest(),
		Token:             request.GetToken(),
		State:             kumquatv1.ClaimState_CLAIM_STATE_IN_PROGRESS,
		ExpiresUnixMillis: holdEnd.Add(k.opts.Retention).UnixMilli(),

		HeldUntilUnixMillis: holdEnd.UnixMilli(),
	}
	p.mu.Lock()
	if p.claims[record.GetKey()] == nil && len(p.claims) >= maxKeys {
		p.mu.Unlock()
		k.record(EventKeysExhausted, p.name, "")
		return unavailable("too many keys in the partition"), claimWait{}
	}
	c, reserved := p.reserve(record)
	if !reserved {
		defer p.mu.Unlock()
		return k.answerExisting(p, c, request, now), claimWait{changed: c.changed, closed: p.closed, heldUntil: heldUntil(c.record)}
	}
	p.mu.Unlock()
	return k.grant(ctx, p, c), claimWait{}
}

// answerExisting responds to a claim of a key that is claimed already. A claim
// that isn't durable yet counts as in progress, also for a repetition under the
// same token.
func (k *Keeper) answerExisting(p *partition, c *claim, request *kumquatv1.ClaimRequest, now time.Time) *kumquatv1.ClaimResponse {
	state := decide(c, request, now)
	response := &kumquatv1.ClaimResponse{State: state}
	switch {
	case state == kumquatv1.ClaimState_CLAIM_STATE_COMPLETED:
		response.Result = c.record.GetResult()
	case state == kumquatv1.ClaimState_CLAIM_STATE_MISMATCH:
		k.record(EventKeyMismatch, p.name, "")
	case !c.isDurable:
		response.State = kumquatv1.ClaimState_CLAIM_STATE_IN_PROGRESS
	}
	return response
}

// grant makes a reserved claim durable, or removes the claim if the write fails.
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

// unavailable returns the response to a claim that was not granted.
func unavailable(reason string) *kumquatv1.ClaimResponse {
	return &kumquatv1.ClaimResponse{State: kumquatv1.ClaimState_CLAIM_STATE_UNAVAILABLE, Reason: reason}
}

// Complete records the outcome of a claimed request. A report has no effect if it
// isn't from the holder of the claim, or if the key isn't claimed or is already
// completed. The error wraps errs.ErrNotOwner if this daemon doesn't own the key's
// partition, and otherwise says that the report is not durable.
func (k *Keeper) Complete(ctx context.Context, report *kumquatv1.CompleteRequest) (response *kumquatv1.CompleteResponse, err error) {
	now := k.opts.Now()
	p := k.find(report.GetKey(), now)
	if p == nil {
		return nil, errs.ErrNotOwner
	}
	p.mu.Lock()
	c := p.claims[report.GetKey()]
	isIgnored := c == nil || c.record.GetToken() != report.GetToken() ||
		c.record.GetState() == kumquatv1.ClaimState_CLAIM_STATE_COMPLETED
	if isIgnored {
		p.mu.Unlock()
		return &kumquatv1.CompleteResponse{Durable: true}, nil
	}
	updated := outcome(c.record, report, now.Add(k.opts.Retention))
	p.mu.Unlock()
	record := removalRecord(report.GetKey())
	if updated != nil {
		record = claimRecord(updated)
	}
	err = p.append(ctx, record, func(err error) {
		switch {
		case err != nil:
		case updated == nil:
			p.remove(c)
		default:
			c.set(updated)
		}
	})
	if err != nil {
		return nil, fmt.Errorf("report is not durable: %w", err)
	}
	return &kumquatv1.CompleteResponse{Durable: true}, nil
}
