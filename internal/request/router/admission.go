package router

import (
	"net/http"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/request/answerer"
	"github.com/kumquatstack/kumquatstack/internal/request/attempter"
)

const (
	// maxHeaderBytes bounds the size of a request's target and header.
	maxHeaderBytes = 32 << 10
	// maxKeyBytes bounds the length of an idempotency key.
	maxKeyBytes = 255
)

// refusalNotRun returns the refusal of a request that was not sent to any runner.
func refusalNotRun(status int, event recorder.Number, reason string) *answerer.Refusal {
	return &answerer.Refusal{Status: status, Outcome: answerer.OutcomeNotRun, Event: event, Reason: reason}
}

// admit validates a request, reads its body and sets up its call. If it returns a
// refusal, nothing has been sent to a runner.
func (in *inboundRequest) admit(now time.Time) *answerer.Refusal {
	if refusal := in.checkProtocol(); refusal != nil {
		return refusal
	}
	routes := in.router.routes()
	if routes.version == nil {
		refusal := refusalNotRun(http.StatusServiceUnavailable, EventNoDeclarations, "this daemon has no declarations yet")
		refusal.RetryAfter = time.Second
		return refusal
	}
	var ok bool
	if in.target, ok = routes.match(in.r); !ok {
		return refusalNotRun(http.StatusNotFound, EventUnknownRoute, "no route matches the path")
	}
	deadline, refusal := in.deadline(now)
	if refusal != nil {
		return refusal
	}
	if refusal := in.readKey(); refusal != nil {
		return refusal
	}
	in.call = &attempter.Call{
		Request:    in.id,
		Upstream:   in.target.upstream.Name,
		Caller:     callerOf(in.r),
		Method:     in.r.Method,
		Target:     in.r.URL.RequestURI(),
		Host:       in.r.Host,
		Header:     answerer.EndToEnd(in.r.Header),
		Deadline:   deadline,
		MissCost:   in.target.route.MissCost,
		Idempotent: in.target.route.Idempotent || isSafe(in.r.Method),
	}
	in.call.Hedge = in.call.Idempotent && in.key == ""
	return in.readBody(now)
}

// isSafe reports whether a method is safe, that is, read-only and thus idempotent.
func isSafe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// checkProtocol checks what doesn't depend on the declarations: HTTP version, method,
// request target and header size.
func (in *inboundRequest) checkProtocol() *answerer.Refusal {
	r := in.r
	switch {
	case !r.ProtoAtLeast(1, 1):
		return refusalNotRun(http.StatusHTTPVersionNotSupported, EventVersionUnsupported, "HTTP/1.1 is required, so that the end of a response can be told from a broken connection")
	case r.Method == http.MethodConnect || r.Header.Get("Upgrade") != "":
		return refusalNotRun(http.StatusNotImplemented, EventMethodUnsupported, "tunnels and upgrades are not supported")
	case r.URL.Path == "" || r.URL.Path[0] != '/' || r.URL.Host != "":
		return refusalNotRun(http.StatusBadRequest, EventTargetMalformed, "request target must be a path")
	case answerer.HeaderSize(r.Header)+len(r.RequestURI) > maxHeaderBytes:
		return refusalNotRun(http.StatusRequestHeaderFieldsTooLarge, EventHeaderTooLarge, "request header is too large")
	}
	return nil
}

// deadline returns the time by which the caller needs the response.
func (in *inboundRequest) deadline(now time.Time) (time.Time, *answerer.Refusal) {
	values := in.r.Header.Values(answerer.HeaderDeadline)
	switch {
	case len(values) == 0 && in.target.route.DefaultDeadline > 0:
		return now.Add(in.target.route.DefaultDeadline), nil
	case len(values) == 0:
		return time.Time{}, refusalNotRun(http.StatusBadRequest, EventDeadlineMissing, answerer.HeaderDeadline+" is missing")
	case len(values) > 1:
		return time.Time{}, refusalNotRun(http.StatusBadRequest, EventDeadlineMalformed, answerer.HeaderDeadline+" is given more than once")
	}
	remaining, err := answerer.ParseRemaining(values[0])
	if err != nil {
		return time.Time{}, refusalNotRun(http.StatusBadRequest, EventDeadlineMalformed, err.Error())
	}
	return now.Add(remaining), nil
}

// readKey validates and stores the idempotency key.
func (in *inboundRequest) readKey() *answerer.Refusal {
	values := in.r.Header.Values(answerer.HeaderIdempotencyKey)
	if len(values) == 0 {
		if in.target.route.KeyRequired {
			return refusalNotRun(http.StatusBadRequest, EventKeyMissing, answerer.HeaderIdempotencyKey+" is missing")
		}
		return nil
	}
	if len(values) > 1 || !isKey(values[0]) {
		return refusalNotRun(http.StatusBadRequest, EventKeyMalformed,
			answerer.HeaderIdempotencyKey+" must be a single value of 1 to 255 printable ASCII characters without spaces")
	}
	in.key = values[0]
	return nil
}

// isKey reports whether a value is a valid idempotency key.
func isKey(value string) bool {
	if value == "" || len(value) > maxKeyBytes {
		return false
	}
	for _, c := range []byte(value) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}
