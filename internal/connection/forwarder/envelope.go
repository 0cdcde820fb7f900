package forwarder

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/slotter"
	"github.com/kumquatstack/kumquatstack/internal/request/answerer"
	"github.com/kumquatstack/kumquatstack/internal/request/attempter"
)

// Path is the path of the peer handler.
const Path = "/forward/"

// Header fields between daemons. Idempotency keys are sent under other names,
// because net/http retries requests that carry one of the usual names.
const (
	headerMethod     = "Kumquat-Method"
	headerTarget     = "Kumquat-Target"
	headerHost       = "Kumquat-Host"
	headerHops       = "Kumquat-Hops"
	headerUpstream   = "Kumquat-Upstream"
	headerMissCost   = "Kumquat-Miss-Cost"
	headerIdempotent = "Kumquat-Idempotent"
	headerAvoid      = "Kumquat-Avoid"
	headerKey        = "Kumquat-Key"
	headerOtherKey   = "Kumquat-Other-Key"
	headerLoad       = "Kumquat-Load"
	headerReason     = "Kumquat-Reason"
	headerRunnerName = "Kumquat-Runner-Name"
	headerRetryAfter = "Kumquat-Retry-After-Millis"
)

// renamed maps the header names that make net/http retry a request to the names
// that are sent between daemons instead.
var renamed = map[string]string{
	answerer.HeaderIdempotencyKey: headerKey,
	"X-Idempotency-Key":           headerOtherKey,
}

// errMalformed reports a forwarded request that can't be decoded.
var errMalformed = errors.New("forwarded request is malformed")

// wrap encodes a call as a request to the peer at an address.
func wrap(ctx context.Context, call *attempter.Call, address string, now time.Time) (req *http.Request, err error) {
	var body io.Reader
	if reader := call.Body.Reader(); reader != nil {
		body = reader
	}
	req, err = http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+Path, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = call.Body.Size()
	if call.Body.IsRepeatable() && len(call.Body.Bytes) > 0 {
		req.GetBody = func() (io.ReadCloser, error) {
			return io.NopCloser(bytes.NewReader(call.Body.Bytes)), nil
		}
	}
	req.Header = call.Header.Clone()
	for name, other := range renamed {
		if values := req.Header[name]; values != nil {
			req.Header[other] = values
			delete(req.Header, name)
		}
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = []string{""}
	}
	req.Header.Set(headerMethod, call.Method)
	req.Header.Set(headerTarget, call.Target)
	req.Header.Set(headerHost, call.Host)
	req.Header.Set(headerHops, strconv.Itoa(call.Hops+1))
	req.Header.Set(headerUpstream, call.Upstream)
	req.Header.Set(headerMissCost, strconv.Itoa(call.MissCost))
	req.Header.Set(headerIdempotent, strconv.FormatBool(call.Idempotent))
	req.Header.Set(headerAvoid, call.Avoid)
	req.Header.Set(answerer.HeaderRequest, call.Request)
	req.Header.Set(answerer.HeaderCaller, call.Caller)
	req.Header.Set(answerer.HeaderDeadline, answerer.FormatRemaining(call.Deadline, now))
	return req, nil
}

// unwrap decodes a call from a peer's request. The call's body is not set.
func unwrap(r *http.Request, now time.Time) (call *attempter.Call, err error) {
	millis, err := strconv.ParseInt(r.Header.Get(answerer.HeaderDeadline), 10, 64)
	if err != nil {
		return nil, fmt.Errorf("%w: deadline: %w", errMalformed, err)
	}
	hops, err := strconv.Atoi(r.Header.Get(headerHops))
	if err != nil {
		return nil, fmt.Errorf("%w: hops: %w", errMalformed, err)
	}
	cost, err := strconv.Atoi(r.Header.Get(headerMissCost))
	if err != nil {
		return nil, fmt.Errorf("%w: miss cost: %w", errMalformed, err)
	}
	if r.ContentLength < 0 {
		return nil, fmt.Errorf("%w: content length is missing", errMalformed)
	}
	call = &attempter.Call{
		Request:    r.Header.Get(answerer.HeaderRequest),
		Upstream:   r.Header.Get(headerUpstream),
		Caller:     r.Header.Get(answerer.HeaderCaller),
		Method:     r.Header.Get(headerMethod),
		Target:     r.Header.Get(headerTarget),
		Host:       r.Header.Get(headerHost),
		Header:     answerer.EndToEnd(r.Header),
		Deadline:   now.Add(time.Duration(millis) * time.Millisecond),
		MissCost:   cost,
		Idempotent: r.Header.Get(headerIdempotent) == "true",
		Avoid:      r.Header.Get(headerAvoid),
		Hops:       hops,
	}
	for name, other := range renamed {
		if values := r.Header[other]; values != nil {
			call.Header[name] = values
		}
	}
	call.Header.Del("Content-Length")
	call.Header.Del("Accept-Encoding")
	if values := r.Header["Accept-Encoding"]; values != nil {
		call.Header["Accept-Encoding"] = values
	}
	if call.Method == "" || call.Target == "" || call.Upstream == "" {
		return nil, fmt.Errorf("%w: method, target or upstream is missing", errMalformed)
	}
	return call, nil
}

// formatLoad encodes a load as the value of a header field: slots, free slots, queued
// requests and mean service time in microseconds, such as "8/4/1/50000".
func formatLoad(load slotter.Load) string {
	return fmt.Sprintf("%d/%d/%d/%d", load.Slots, load.Free, load.Queued, load.Service.Microseconds())
}

// parseLoad decodes a load from the value of a header field.
func parseLoad(value string, now time.Time) (load Load, ok bool) {
	parts := strings.Split(value, "/")
	if len(parts) != 4 {
		return Load{}, false
	}
	var numbers [4]int64
	for i, part := range parts {
		number, err := strconv.ParseInt(part, 10, 64)
		if err != nil || number < 0 {
			return Load{}, false
		}
		numbers[i] = number
	}
	return Load{
		Slots:       int(numbers[0]),
		Free:        int(numbers[1]),
		Queued:      int(numbers[2]),
		MeanService: time.Duration(numbers[3]) * time.Microsecond,
		ReportedAt:  now,
	}, true
}
