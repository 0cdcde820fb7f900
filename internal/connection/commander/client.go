package commander

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/errs"
)

const (
	defaultCallTimeout = 2 * time.Second
	dialTimeout        = time.Second
	// idlePerWorker is the number of idle connections to a worker, so that
	// renewals and reports need not open new ones.
	idlePerWorker = 2
	idleTimeout   = 2 * time.Minute
	responseLimit = 16 << 20
)

// Options configure a Client. Zero fields have defaults.
type Options struct {
	// Dial opens connections; nil means a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// CallTimeout bounds each call. An earlier deadline of its context still
	// applies.
	CallTimeout time.Duration
}

// A Client connects to the agents of all workers. It is safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client
}

var (
	_ Dialer = (*Client)(nil)
	_ Agent  = (*agent)(nil)
)

// NewClient returns a client without calling any worker.
func NewClient(options Options) *Client {
	if options.CallTimeout == 0 {
		options.CallTimeout = defaultCallTimeout
	}
	if options.Dial == nil {
		options.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	// Only reports and usages are requested with compression; see exchange.
	return &Client{options: options, http: &http.Client{Transport: &http.Transport{
		DialContext:         options.Dial,
		MaxIdleConnsPerHost: idlePerWorker,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}}
}

// Agent implements Dialer. It does not call the worker.
func (c *Client) Agent(address string) Agent {
	return &agent{client: c, base: "http://" + address}
}

// Close closes the idle connections.
func (c *Client) Close() error {
	c.http.CloseIdleConnections()
	return nil
}

// An agent implements Agent over HTTP.
type agent struct {
	client  *Client
	base    string
	renewed renewedSet
}

// Start implements Agent.
func (a *agent) Start(ctx context.Context, start Start) error {
	return a.post(ctx, PathStart, start, nil)
}

// Renew implements Agent. It renews all runs in one call. If the worker still
// knows the set of runs of the last call, only the differences are sent.
func (a *agent) Renew(ctx context.Context, renewal Renewal) (RenewalResult, error) {
	response, err := a.renew(ctx, a.renewed.request(renewal), renewal.IDs)
	if err == nil && response.UnknownBase {
		response, err = a.renew(ctx, a.renewed.request(renewal), renewal.IDs)
	}
	return RenewalResult{Ended: response.Ended, Unknown: response.Unknown}, err
}

// renew makes one call. It records the renewed set if the call succeeded, and
// otherwise makes the next call name the whole set.
func (a *agent) renew(ctx context.Context, request RenewRequest, ids []RunID) (response RenewResponse, err error) {
	a.renewed.forget()
	if err := a.post(ctx, PathRenew, request, &response); err != nil {
		return RenewResponse{}, err
	}
	if !response.UnknownBase {
		a.renewed.remember(cmp.Or(request.Set, request.Base), ids)
	}
	return response, nil
}

// Checkpoint implements Agent.
func (a *agent) Checkpoint(ctx context.Context, fence Fence, id RunID) (string, error) {
	var response CheckpointResponse
	if err := a.post(ctx, PathCheckpoint, RunRequest{Fence: fence, ID: id}, &response); err != nil {
		return "", err
	}
	return response.Checkpoint, nil
}

// Throttle implements Agent.
func (a *agent) Throttle(ctx context.Context, fence Fence, id RunID, percent int) error {
	return a.post(ctx, PathThrottle, RunRequest{Fence: fence, ID: id, Percent: percent}, nil)
}

// Stop implements Agent.
func (a *agent) Stop(ctx context.Context, fence Fence, id RunID) error {
	return a.post(ctx, PathStop, RunRequest{Fence: fence, ID: id}, nil)
}

// Report implements Agent.
func (a *agent) Report(ctx context.Context, fence Fence) (report Report, err error) {
	if err := a.post(ctx, PathReport, ReportRequest{Fence: fence}, &report); err != nil {
		return Report{}, err
	}
	return report, nil
}

// Usage implements Agent.
func (a *agent) Usage(ctx context.Context) ([]Usage, error) {
	var response UsageResponse
	if err := a.exchange(ctx, http.MethodGet, PathUsage, http.NoBody, &response); err != nil {
		return nil, err
	}
	return response.Usages, nil
}

// post sends a command and decodes the response into result.
func (a *agent) post(ctx context.Context, path string, command, result any) error {
	body, err := json.Marshal(command)
	if err != nil {
		return err
	}
	return a.exchange(ctx, http.MethodPost, path, bytes.NewReader(body), result)
}

// exchange makes one call and decodes the response into result. If result is nil,
// the response is discarded.
func (a *agent) exchange(ctx context.Context, method, path string, body io.Reader, result any) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("worker %s%s: %w", a.base, path, err)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, a.client.options.CallTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, a.base+path, body)
	if err != nil {
		return err
	}
	// An empty value keeps net/http from sending its default User-Agent.
	request.Header.Set("User-Agent", "")
	if path == PathReport || path == PathUsage {
		request.Header.Set("Accept-Encoding", "gzip")
	}
	response, err := a.client.http.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := readBody(response)
	switch {
	case err != nil:
		return err
	case response.StatusCode == http.StatusNoContent:
		return nil
	case response.StatusCode != http.StatusOK:
		return failure(response.StatusCode, content)
	case result == nil:
		return nil
	}
	return json.Unmarshal(content, result)
}

// readBody returns the body of a response, decompressed if necessary.
func readBody(response *http.Response) ([]byte, error) {
	body := io.Reader(response.Body)
	if response.Header.Get("Content-Encoding") == "gzip" {
		decompressor, err := gzip.NewReader(response.Body)
		if err != nil {
			return nil, err
		}
		body = decompressor
	}
	return io.ReadAll(io.LimitReader(body, responseLimit))
}

// failure returns the error for a response with a status other than 200.
func failure(status int, content []byte) error {
	var problem Problem
	if json.Unmarshal(content, &problem) != nil {
		problem.Error = http.StatusText(status)
	}
	switch status {
	case http.StatusConflict:
		return fmt.Errorf("%s: %w", problem.Error, errs.ErrFenced)
	case http.StatusNotFound:
		return fmt.Errorf("%s: %w", problem.Error, errs.ErrNotFound)
	default:
		return errors.New(problem.Error)
	}
}
