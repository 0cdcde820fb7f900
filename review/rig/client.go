package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// callTimeout is the time budget of the clients.
const callTimeout = 3 * time.Second

// call sends a request to a daemon on a channel of its own. The status is zero if there is
// no answer.
func (d *deployment) call(s *daemon, method, path string, body any) (status int, answer string) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return 0, err.Error()
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+s.front+path, bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	req.Host, req.Close = host, true
	req.Header.Set("X-Kumquatstack-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data, err = io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(data)
}

// A step is a step of a submission as clients send it.
type step map[string]any

// submit hands a submission in, with up to four tries, and reports whether it was accepted.
func (d *deployment) submit(s *daemon, id, spec string, steps ...step) (accepted bool) {
	body := map[string]any{"Spec": spec, "Steps": steps}
	for range 4 {
		status, answer := d.call(s, http.MethodPost, prefix+id, body)
		d.rec.note("client: POST %s to %s answered %d %s", id, s.name, status, answer)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks a daemon for the state of a submission.
func (d *deployment) state(s *daemon, id string) string {
	status, answer := d.call(s, http.MethodGet, prefix+id, nil)
	d.rec.note("client: GET %s at %s answered %d %s", id, s.name, status, answer)
	var body struct{ State string }
	if status != http.StatusOK || json.Unmarshal([]byte(answer), &body) != nil {
		return fmt.Sprint(status)
	}
	return body.State
}

// await waits until a condition holds, and reports whether it did in time.
func await(limit time.Duration, holds func() bool) bool {
	for deadline := time.Now().Add(limit); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			return false
		}
	}
	return true
}
