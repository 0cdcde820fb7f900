package rig3

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// clientPatience is how long clients wait for a response.
const clientPatience = 3 * time.Second

// Call sends a client's request to a daemon. The status is zero if there was no response.
func (r *Rig) Call(daemon int, method, rest string, body any) (status int, response string) {
	ctx, cancel := context.WithTimeout(context.Background(), clientPatience)
	defer cancel()
	data := []byte(nil)
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			r.Record.Note("client: %v", err)
			return 0, ""
		}
	}
	d := r.Daemons[daemon]
	request, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s%s", d.ip, frontPort, Prefix, rest), bytes.NewReader(data))
	if err != nil {
		r.Record.Note("client: %v", err)
		return 0, ""
	}
	request.Host = Host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Kumquatstack-Deadline-Ms", fmt.Sprint(clientPatience.Milliseconds()))
	status, response = exchange(request)
	if !r.Ledger.countCall(rest, status) {
		r.Record.Note("client: %s %s at %s: %d %s", method, rest, d.Name, status, response)
	}
	return status, response
}

// Submit hands a submission in, and again at the next daemon after no response, 502, 503 or 504,
// up to five times. It returns the last status.
func (r *Rig) Submit(daemon int, id string, steps ...map[string]any) (status int) {
	const tries = 5
	for i := range tries {
		status, _ = r.Call((daemon+i)%len(r.Daemons), http.MethodPost, id, map[string]any{"Spec": "order " + id, "Steps": steps})
		switch status {
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			time.Sleep(time.Second)
		default:
			return status
		}
	}
	return status
}

// exchange sends a request and returns the status and the body of the response.
func exchange(request *http.Request) (status int, body string) {
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(data)
}

func get(url string) (status int, body string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, "", err
	}
	status, body = exchange(request)
	return status, body, nil
}
