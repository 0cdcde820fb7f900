package rig2

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Budget is the time that clients wait for an answer.
const Budget = 3 * time.Second

// A Step is a step of a submission, in the form of the wire.
type Step struct {
	Count       int
	CPU         int `json:"Cpu"`
	MemMB       int `json:"MemMb"`
	EstimateMs  int
	After       []int `json:",omitempty"`
	LongRunning bool  `json:",omitempty"`
}

// A Submission is a client's submission, in the form of the wire.
type Submission struct {
	Spec        string
	Steps       []Step
	RepeatCount int   `json:",omitempty"`
	StartAtMs   int64 `json:",omitempty"`
	IntervalMs  int64 `json:",omitempty"`
}

// Call sends a request of a client to a daemon, on a new channel, and returns the status,
// or zero if there is no answer in time.
func (d *Deployment) Call(daemon *Daemon, method, path string, body []byte) (status int, answer []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), Budget)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+daemon.Front+path, bytes.NewReader(body))
	if err != nil {
		d.Record.Printf("%s %s: %v", method, path, err)
		return 0, nil
	}
	req.Host, req.Close = Host, true
	req.Header.Set("X-Kumquatstack-Deadline-Ms", strconv.FormatInt(Budget.Milliseconds(), 10))
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	if answer, err = io.ReadAll(resp.Body); err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// Submit hands a submission in at a daemon and returns the status of the answer.
func (d *Deployment) Submit(daemon *Daemon, path string, sub Submission) (status int) {
	body, err := json.Marshal(sub)
	if err != nil {
		d.Record.Printf("POST %s: %v", path, err)
		return 0
	}
	status, _ = d.Call(daemon, http.MethodPost, path, body)
	d.Record.Printf("POST %s to %s: %d", path, daemon.Name, status)
	return status
}

// State asks a daemon for the state of a submission. It returns the status instead if that
// is not 200.
func (d *Deployment) State(daemon *Daemon, path string) string {
	status, answer := d.Call(daemon, http.MethodGet, path, nil)
	var body struct{ State string }
	if status != http.StatusOK || json.Unmarshal(answer, &body) != nil {
		return strconv.Itoa(status)
	}
	return body.State
}
