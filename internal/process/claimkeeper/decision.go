package claimkeeper

import (
	"bytes"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// A claim is the in-memory state of one key.
type claim struct {
	record *kumquatv1.ClaimRecord
	// isDurable is false until the first write of the claim has succeeded.
	isDurable bool
	// changed is closed and replaced when the state changes.
	changed chan struct{}
}

// decide returns the state with which to respond to a claim of a key that is
// claimed already.
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

// outcome returns the record after a report of the holder, or nil if the request
// did not run, which frees the key. A report without a result leaves the outcome
// unknown.
func outcome(record *kumquatv1.ClaimRecord, report *kumquatv1.CompleteRequest, expires time.Time) *kumquatv1.ClaimRecord {
	if report.GetNotRun() {
		return nil
	}
	updated := &kumquatv1.ClaimRecord{
		Key:               record.GetKey(),
		Digest:            record.GetDigest(),
		Token:             record.GetToken(),
		State:             kumquatv1.ClaimState_CLAIM_STATE_UNKNOWN,
		ExpiresUnixMillis: expires.UnixMilli(),
	}
	if !report.GetUnknown() && report.GetResult() != nil {
		updated.State = kumquatv1.ClaimState_CLAIM_STATE_COMPLETED
		updated.Result = limitBody(report.GetResult())
	}
	return updated
}

// limitBody returns the result, without its body if that exceeds MaxResultBytes.
func limitBody(result *kumquatv1.StoredResult) *kumquatv1.StoredResult {
	if len(result.GetBody()) <= MaxResultBytes {
		return result
	}
	return &kumquatv1.StoredResult{Status: result.GetStatus(), Headers: result.GetHeaders(), BodyDropped: true}
}
