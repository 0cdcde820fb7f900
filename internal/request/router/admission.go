package router

import (
	"net/http"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/request/answerer"
	"github.com/kumquatstack/kumquatstack/internal/request/attempter"
)

const (
	// maxHeaderBytes bounds a request's header.
	maxHeaderBytes = 32 << 10
	// maxKeyBytes bounds an idempotency key.
	maxKeyBytes = 255
)

// bad returns the refusal of a request that the caller has to change.
func bad(status int, event recorder.Number, reason string) *answerer.Refusal {
	return &answerer.Refusal{Status: status, Outcome: answerer.OutcomeNotRun, Event: event, Reason: reason}
}

// admit checks a request and reads its body. Nothing has been sent when it
// returns a refusal.
func (v *visit) admit(now time.Time) *answerer.Refusal {
	if refusal := v.checkForm(); refusal != nil {
		return refusal
	}
	routes := v.router.routes()
	if routes.version == nil {
		refusal := bad(http.StatusServiceUnavailable, EventNoDeclarations, "no declarations are known yet")
		refusal.RetryAfter = time.Second
		return refusal
	}
	var ok bool
	if v.target, ok = routes.match(v.r); !ok {
		return bad(http.StatusNotFound, EventUnknownRoute, "no route matches the path")
	}
	deadline, refusal := v.deadline(now)
	if refusal != nil {
		return refusal
	}
	if refusal := v.readKey(); refusal != nil {
		return refusal
	}
	v.call = &attempter.Call{
		Request:    v.id,
		Upstream:   v.target.upstream.Name,
		Caller:     callerOf(v.r),
		Method:     v.r.Method,
		Target:     v.r.URL.RequestURI(),
		Host:       v.r.Host,
		Header:     answerer.EndToEnd(v.r.Header),
		Deadline:   deadline,
		MissCost:   v.target.route.MissCost,
		Idempotent: v.target.route.Idempotent || isSafe(v.r.Method),
	}
	v.call.Hedge = v.call.Idempotent && v.key == ""
	return v.readBody(now)
}

// isSafe reports whether a method never changes anything.
func isSafe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// checkForm checks what doesn't depend on the declarations.
func (v *visit) checkForm() *answerer.Refusal {
	r := v.r
	switch {
	case !r.ProtoAtLeast(1, 1):
		return bad(http.StatusHTTPVersionNotSupported, EventVersionUnsupported, "HTTP/1.1 is needed for an answer to be known as whole")
	case r.Method == http.MethodConnect || r.Header.Get("Upgrade") != "":
		return bad(http.StatusNotImplemented, EventMethodUnsupported, "tunnels and upgrades are not supported")
	case r.URL.Path == "" || r.URL.Path[0] != '/' || r.URL.Host != "":
		return bad(http.StatusBadRequest, EventTargetMalformed, "request target has to be a path")
	case answerer.HeaderSize(r.Header)+len(r.RequestURI) > maxHeaderBytes:
		return bad(http.StatusRequestHeaderFieldsTooLarge, EventHeaderTooLarge, "header is too large")
	}
	return nil
}

// deadline returns the instant by which the caller needs the answer.
func (v *visit) deadline(now time.Time) (time.Time, *answerer.Refusal) {
	values := v.r.Header.Values(answerer.HeaderDeadline)
	switch {
	case len(values) == 0 && v.target.route.DefaultDeadline > 0:
		return now.Add(v.target.route.DefaultDeadline), nil
	case len(values) == 0:
		return time.Time{}, bad(http.StatusBadRequest, EventDeadlineMissing, answerer.HeaderDeadline+" is missing")
	case len(values) > 1:
		return time.Time{}, bad(http.StatusBadRequest, EventDeadlineMalformed, answerer.HeaderDeadline+" is given twice")
	}
	remaining, err := answerer.ParseRemaining(values[0])
	if err != nil {
		return time.Time{}, bad(http.StatusBadRequest, EventDeadlineMalformed, err.Error())
	}
	return now.Add(remaining), nil
}

// readKey checks the idempotency key.
func (v *visit) readKey() *answerer.Refusal {
	values := v.r.Header.Values(answerer.HeaderIdempotencyKey)
	if len(values) == 0 {
		if v.target.route.KeyRequired {
			return bad(http.StatusBadRequest, EventKeyMissing, answerer.HeaderIdempotencyKey+" is missing")
		}
		return nil
	}
	if len(values) > 1 || !isKey(values[0]) {
		return bad(http.StatusBadRequest, EventKeyMalformed,
			answerer.HeaderIdempotencyKey+" has to be one value of 1 to 255 printable characters")
	}
	v.key = values[0]
	return nil
}

// isKey reports whether a value can be an idempotency key.
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
