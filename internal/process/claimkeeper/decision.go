package claimkeeper

import (
	"bytes"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// A claim is the state of one key in memory.
type claim struct {
	record *kumquatv1.ClaimRecord
	// durable is false while the claim is being written for the first time.
	durable bool
	// changed is closed when the state changes.
	changed chan struct{}
}

// decide returns what a claim of an existing key is told.
func decide(existing *claim, request *kumquatv1.ClaimRequest, now time.Time) kumquatv1.ClaimState {
	record := existing.record
	if !bytes.Equal(record.GetDigest(), request.GetDigest()) {
		return kumquatv1.ClaimState_CLAIM_STATE_MISMATCH
	}
	if record.GetState() == kumquatv1.ClaimState_CLAIM_STATE_COMPLETED {
		return kumquatv1.ClaimState_CLAIM_STATE_COMPLETED
	}
	if record.GetToken() == request.GetToken() {
		return kumquatv1.ClaimState_CLAIM_STATE_GRANTED
	}
	if record.GetState() == kumquatv1.ClaimState_CLAIM_STATE_IN_PROGRESS && now.Before(heldUntil(record)) {
		return kumquatv1.ClaimState_CLAIM_STATE_IN_PROGRESS
	}
	return kumquatv1.ClaimState_CLAIM_STATE_UNKNOWN
}

// heldUntil returns the time until which the holder of a claim in progress may
// report its outcome.
func heldUntil(record *kumquatv1.ClaimRecord) time.Time {
	return time.UnixMilli(record.GetHeldUntilUnixMillis())
}

// outcome returns the record after a holder's report, or nil if the key is
// free again. A later report of an unknown outcome changes nothing.
func outcome(record *kumquatv1.ClaimRecord, report *kumquatv1.CompleteRequest, expires time.Time) *kumquatv1.ClaimRecord {
	if report.GetNotRun() {
		return nil
	}
	next := &kumquatv1.ClaimRecord{
		Key:               record.GetKey(),
		Digest:            record.GetDigest(),
		Token:             record.GetToken(),
		State:             kumquatv1.ClaimState_CLAIM_STATE_UNKNOWN,
		ExpiresUnixMillis: expires.UnixMilli(),
	}
	if !report.GetUnknown() && report.GetResult() != nil {
		next.State = kumquatv1.ClaimState_CLAIM_STATE_COMPLETED
		next.Result = bounded(report.GetResult())
	}
	return next
}

// bounded returns a result whose body is dropped if it is too large.
func bounded(result *kumquatv1.StoredResult) *kumquatv1.StoredResult {
	if len(result.GetBody()) <= MaxResultBytes {
		return result
	}
	return &kumquatv1.StoredResult{Status: result.GetStatus(), Headers: result.GetHeaders(), BodyDropped: true}
}
