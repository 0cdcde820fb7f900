package answerer

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
)

// A Refusal is a response that this system generates itself, without a runner's response.
type Refusal struct {
	Status  int
	Outcome Outcome
	Event   recorder.Number
	Reason  string
	// RetryAfter is the time after which the caller may retry; zero omits the header field.
	RetryAfter time.Duration
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Outcome Outcome `json:"outcome"`
	Event   int     `json:"event"`
	Reason  string  `json:"reason"`
	Request string  `json:"request,omitempty"`
}

// Write sends the refusal as the response to a request.
func (r Refusal) Write(w http.ResponseWriter, request string) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderOutcome, string(r.Outcome))
	header.Set(HeaderEvent, strconv.Itoa(int(r.Event)))
	if r.RetryAfter > 0 {
		seconds := int(math.Ceil(r.RetryAfter.Seconds()))
		header.Set("Retry-After", strconv.Itoa(seconds))
	}
	body, err := json.Marshal(refusalBody{
		Outcome: r.Outcome, Event: int(r.Event), Reason: r.Reason, Request: request,
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(r.Status)
	_, _ = w.Write(body)
}
