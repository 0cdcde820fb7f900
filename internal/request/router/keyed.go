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

// inProgressRetry is the Retry-After of the refusal of a request while another request
// with the same idempotency key is in progress.
const inProgressRetry = time.Second

// serveKeyed serves a request with an idempotency key. It continues after its caller
// has disconnected, because the caller may retry to get the result.
func (in *inboundRequest) serveKeyed() {
	if in.router.opts.Claimer == nil {
		in.refuse(keyRefusal(EventKeyUnavailable, "idempotency keys can't be claimed at this daemon"))
		return
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(in.r.Context()), in.call.Deadline)
	defer cancel()
	scopedKey := in.call.Upstream + "/" + in.key
	claim := in.router.opts.Claimer.Claim(ctx, scopedKey, digestOf(in.call), in.call.Upstream, in.call.Deadline)
	switch claim.State {
	case kumquatv1.ClaimState_CLAIM_STATE_GRANTED:
		in.serveClaimed(ctx, claim)
	case kumquatv1.ClaimState_CLAIM_STATE_COMPLETED:
		in.replay(claim.Result)
	case kumquatv1.ClaimState_CLAIM_STATE_MISMATCH:
		in.refuse(*refusalNotRun(http.StatusUnprocessableEntity, EventKeyMismatch, "idempotency key was already used with a different request"))
	case kumquatv1.ClaimState_CLAIM_STATE_IN_PROGRESS:
		in.refuse(answerer.Refusal{
			Status: http.StatusConflict, Outcome: answerer.OutcomeUnknown, Event: EventKeyInProgress,
			Reason: "a request with this key is in progress", RetryAfter: inProgressRetry,
		})
	case kumquatv1.ClaimState_CLAIM_STATE_UNKNOWN:
		in.refuse(answerer.Refusal{
			Status: http.StatusConflict, Outcome: answerer.OutcomeUnknown, Event: EventKeyUnknown,
			Reason: "an earlier request with this key may have run; its result is unknown",
		})
	default:
		in.refuse(keyRefusal(EventKeyUnavailable, "key could not be claimed: "+claim.Reason))
	}
}

// keyRefusal returns the refusal of a request whose key can't be claimed at the moment.
func keyRefusal(event recorder.Number, reason string) answerer.Refusal {
	return answerer.Refusal{
		Status: http.StatusServiceUnavailable, Outcome: answerer.OutcomeNotRun, Event: event,
		Reason: reason, RetryAfter: time.Second,
	}
}

// serveClaimed executes the request and reports its outcome to the owner of the key.
// If the caller's connection fails, the rest of the response is still read, so that
// it can be stored.
func (in *inboundRequest) serveClaimed(ctx context.Context, claim *claimer.Claim) {
	answer, err := in.router.execute(ctx, in.call, in.target.upstream.RetryPercent)
	if err != nil {
		callErr := asAttemptError(err)
		if callErr.Outcome == answerer.OutcomeNotRun {
			claim.ReportNotRun()
		} else {
			claim.ReportUnknown()
		}
		in.refuse(in.router.refusalFor(in.call, callErr))
		return
	}
	defer answer.Release()
	recorded := &recordedBody{inner: answer.Response.Body}
	answer.Response.Body = recorded
	err = attempter.Relay(in.w, answer, in.id)
	if err != nil {
		_, _ = io.Copy(io.Discard, recorded)
	}
	if recorded.isComplete {
		claim.ReportResult(recorded.result(answer.Response))
	} else {
		claim.ReportUnknown()
	}
	if err != nil {
		in.abortResponse(err)
	}
	in.router.counters.answered.Add(1)
}

// replay responds with the stored result of an earlier request with the same key.
func (in *inboundRequest) replay(result *kumquatv1.StoredResult) {
	if result.GetBodyDropped() {
		in.refuse(answerer.Refusal{
			Status: http.StatusConflict, Outcome: answerer.OutcomeAnswered, Event: EventResultNotKept,
			Reason: fmt.Sprintf("the request was answered with status %d; the response was too large to be stored", result.GetStatus()),
		})
		return
	}
	header := in.w.Header()
	for _, field := range result.GetHeaders() {
		header.Add(field.GetName(), field.GetValue())
	}
	header.Set(answerer.HeaderOutcome, string(answerer.OutcomeAnswered))
	header.Set(answerer.HeaderReplayed, "true")
	in.router.counters.replayed.Add(1)
	in.w.WriteHeader(int(result.GetStatus()))
	if in.r.Method != http.MethodHead {
		_, _ = in.w.Write(result.GetBody())
	}
}

// digestOf returns a digest of the method, target and body, by which a repeated
// request is recognised.
func digestOf(call *attempter.Call) []byte {
	hash := sha256.New()
	_, _ = fmt.Fprintf(hash, "%s\n%s\n", call.Method, call.Target)
	_, _ = hash.Write(call.Body.Bytes)
	return hash.Sum(nil)
}

// A recordedBody keeps a copy of a response body while it is read, unless the body
// exceeds the size limit of a stored result.
type recordedBody struct {
	inner      io.ReadCloser
	buffer     bytes.Buffer
	isTooLarge bool // the body exceeds the limit, and no copy is kept
	isComplete bool // the body has been read to its end
}

// Read implements io.Reader.
func (b *recordedBody) Read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
	switch {
	case b.isTooLarge:
	case b.buffer.Len()+n > claimkeeper.MaxResultBytes:
		b.isTooLarge = true
		b.buffer = bytes.Buffer{}
	default:
		b.buffer.Write(p[:n])
	}
	if err == io.EOF {
		b.isComplete = true
	}
	return n, err
}

// Close implements io.Closer.
func (b *recordedBody) Close() error { return b.inner.Close() }

// result returns the response as a result to be stored.
func (b *recordedBody) result(resp *http.Response) *kumquatv1.StoredResult {
	result := &kumquatv1.StoredResult{Status: int32(resp.StatusCode), BodyDropped: b.isTooLarge}
	for name, values := range answerer.EndToEnd(resp.Header) {
		for _, value := range values {
			result.Headers = append(result.Headers, &kumquatv1.HeaderField{Name: name, Value: value})
		}
	}
	if !b.isTooLarge {
		result.Body = b.buffer.Bytes()
	}
	return result
}
