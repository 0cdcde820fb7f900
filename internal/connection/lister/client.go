package lister

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// PathHosts is the path of the list.
const PathHosts = "/v1/hosts"

const (
	callTimeout = 2 * time.Second
	dialTimeout = time.Second
	answerLimit = 16 << 20
)

// A Listing is the body of the list.
type Listing struct {
	Hosts []Host `json:"hosts"`
}

// A Client is a Lister over HTTP. It is safe for concurrent use.
type Client struct {
	endpoint string
	http     *http.Client

	mu sync.Mutex
	// tag names the last list that was answered.
	tag  string
	last []Host
}

var _ Lister = (*Client)(nil)

// NewClient returns a client of the list at a base URL; it makes no call yet.
// A nil HTTP client means one of its own.
func NewClient(endpoint string, client *http.Client) *Client {
	if client == nil {
		dialer := &net.Dialer{Timeout: dialTimeout}
		client = &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext}}
	}
	return &Client{endpoint: endpoint, http: client}
}

// Hosts implements Lister.
func (c *Client) Hosts(ctx context.Context) (hosts []Host, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("list of hosts: %w", err)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.endpoint+PathHosts, http.NoBody)
	if err != nil {
		return nil, err
	}
	tag, last := c.remembered()
	if tag != "" {
		request.Header.Set("If-None-Match", tag)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
		return c.decode(response)
	case http.StatusNotModified:
		return last, nil
	default:
		return nil, fmt.Errorf("status %s", response.Status)
	}
}

// decode reads a list and remembers it under its tag.
func (c *Client) decode(response *http.Response) ([]Host, error) {
	var listing Listing
	if err := json.NewDecoder(io.LimitReader(response.Body, answerLimit)).Decode(&listing); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tag = response.Header.Get("ETag")
	c.last = listing.Hosts
	return listing.Hosts, nil
}

// remembered returns the last list and its tag, which is empty if the service
// gives none.
func (c *Client) remembered() (string, []Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tag, c.last
}

// Close closes the idle connections.
func (c *Client) Close() error {
	c.http.CloseIdleConnections()
	return nil
}
