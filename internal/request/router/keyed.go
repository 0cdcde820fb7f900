package router

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/claimkeeper"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/request/answerer"
	"github.com/kumquatstack/kumquatstack/internal/request/attempter"
	"github.com/kumquatstack/kumquatstack/internal/request/claimer"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// inProgressRetry is the time after which a request in progress may be asked
// for again.
const inProgressRetry = time.Second

// serveKeyed carries out a request with an idempotency key. Once claimed, it
// goes on when its caller goes away, because the caller may come back for the
// result.
func (v *visit) serveKeyed() {
	if v.router.opts.Claimer == nil {
		v.refuse(keyRefusal(EventKeyUnavailable, "keys can't be claimed"))
		return
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(v.r.Context()), v.call.Deadline)
	defer cancel()
	scoped := v.call.Upstream + "/" + v.key
	claim := v.router.opts.Claimer.Claim(ctx, scoped, digestOf(v.call), v.call.Upstream, v.call.Deadline)
	switch claim.State {
	case kumquatv1.ClaimState_CLAIM_STATE_GRANTED:
		v.serveClaimed(ctx, claim)
	case kumquatv1.ClaimState_CLAIM_STATE_COMPLETED:
		v.replay(claim.Result)
	case kumquatv1.ClaimState_CLAIM_STATE_MISMATCH:
		v.refuse(*bad(http.StatusUnprocessableEntity, EventKeyMismatch, "idempotency key was used with another request"))
	case kumquatv1.ClaimState_CLAIM_STATE_IN_PROGRESS:
		v.refuse(answerer.Refusal{
			Status: http.StatusConflict, Outcome: answerer.OutcomeUnknown, Event: EventKeyInProgress,
			Reason: "a request with this key is in progress", RetryAfter: inProgressRetry,
		})
	case kumquatv1.ClaimState_CLAIM_STATE_UNKNOWN:
		v.refuse(answerer.Refusal{
			Status: http.StatusConflict, Outcome: answerer.OutcomeUnknown, Event: EventKeyUnknown,
			Reason: "an earlier request with this key may have run; its result is not known",
		})
	default:
		v.refuse(keyRefusal(EventKeyUnavailable, "key could not be claimed: "+claim.Reason))
	}
}

// keyRefusal returns the refusal of a request whose key can't be claimed now.
func keyRefusal(event recorder.Number, reason string) answerer.Refusal {
	return answerer.Refusal{
		Status: http.StatusServiceUnavailable, Outcome: answerer.OutcomeNotRun, Event: event,
		Reason: reason, RetryAfter: time.Second,
	}
}

// serveClaimed sends the request and reports its outcome under the claim.
func (v *visit) serveClaimed(ctx context.Context, claim *claimer.Claim) {
	answer, err := v.router.execute(ctx, v.call, v.target.upstream.RetryPercent)
	if err != nil {
		failed := asError(err)
		if failed.Outcome == answerer.OutcomeNotRun {
			claim.ReportNotRun()
		} else {
			claim.ReportUnknown()
		}
		v.refuse(v.router.refusalFor(v.call, failed))
		return
	}
	defer answer.Release()
	taken := &takenBody{inner: answer.Response.Body}
	answer.Response.Body = taken
	err = attempter.Relay(v.w, answer, v.id)
	if err != nil {
		_, _ = io.Copy(io.Discard, taken)
	}
	if taken.whole {
		claim.ReportResult(taken.result(answer.Response))
	} else {
		claim.ReportUnknown()
	}
	if err != nil {
		v.cut(err)
	}
	v.router.counters.answered.Add(1)
}

// replay answers with the kept result of an earlier request.
func (v *visit) replay(result *kumquatv1.StoredResult) {
	if result.GetBodyDropped() {
		v.refuse(answerer.Refusal{
			Status: http.StatusConflict, Outcome: answerer.OutcomeAnswered, Event: EventResultNotKept,
			Reason: fmt.Sprintf("the request was answered with status %d; the answer is too large to be kept", result.GetStatus()),
		})
		return
	}
	header := v.w.Header()
	for _, field := range result.GetHeaders() {
		header.Add(field.GetName(), field.GetValue())
	}
	header.Set(answerer.HeaderOutcome, string(answerer.OutcomeAnswered))
	header.Set(answerer.HeaderReplayed, "true")
	v.router.counters.replayed.Add(1)
	v.w.WriteHeader(int(result.GetStatus()))
	if v.r.Method != http.MethodHead {
		_, _ = v.w.Write(result.GetBody())
	}
}

// digestOf returns a digest over what makes two requests the same.
func digestOf(call *attempter.Call) []byte {
	hash := sha256.New()
	_, _ = fmt.Fprintf(hash, "%s\n%s\n", call.Method, call.Target)
	_, _ = hash.Write(call.Body.Bytes)
	return hash.Sum(nil)
}

// A takenBody keeps what is read of an answer, up to the size of a kept result.
type takenBody struct {
	inner io.ReadCloser
	kept  bytes.Buffer
	large bool
	whole bool
}

// Read implements io.Reader.
func (b *takenBody) Read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
	switch {
	case b.large:
	case b.kept.Len()+n > claimkeeper.MaxResultBytes:
		b.large = true
		b.kept = bytes.Buffer{}
	default:
		b.kept.Write(p[:n])
	}
	if err == io.EOF {
		b.whole = true
	}
	return n, err
}

// Close implements io.Closer.
func (b *takenBody) Close() error { return b.inner.Close() }

// result returns the answer as it is kept.
func (b *takenBody) result(resp *http.Response) *kumquatv1.StoredResult {
	result := &kumquatv1.StoredResult{Status: int32(resp.StatusCode), BodyDropped: b.large}
	for name, values := range answerer.EndToEnd(resp.Header) {
		for _, value := range values {
			result.Headers = append(result.Headers, &kumquatv1.HeaderField{Name: name, Value: value})
		}
	}
	if !b.large {
		result.Body = b.kept.Bytes()
	}
	return result
}
