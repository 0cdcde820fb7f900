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

// PathHosts is the path of the list of hosts.
const PathHosts = "/v1/hosts"

const (
	callTimeout   = 2 * time.Second
	dialTimeout   = time.Second
	responseLimit = 16 << 20
)

// A Listing is the body of a response with the list of hosts.
type Listing struct {
	Hosts []Host `json:"hosts"`
}

// A Client implements Lister over HTTP. It is safe for concurrent use.
type Client struct {
	endpoint string
	http     *http.Client

	mu sync.Mutex
	// tag is the ETag of the last list; empty if the service gives none.
	tag  string
	last []Host
}

var _ Lister = (*Client)(nil)

// NewClient returns a client of the service at a base URL without calling it. If
// the HTTP client is nil, NewClient creates one.
func NewClient(endpoint string, client *http.Client) *Client {
	if client == nil {
		dialer := &net.Dialer{Timeout: dialTimeout}
		client = &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext}}
	}
	return &Client{endpoint: endpoint, http: client}
}

// Hosts implements Lister. It returns the previous list if the service reports
// that the list has not changed.
func (c *Client) Hosts(ctx context.Context) (hosts []Host, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("read list of hosts: %w", err)
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
		return nil, fmt.Errorf("unexpected status %s", response.Status)
	}
}

// decode reads the list in a response and remembers it with its tag.
func (c *Client) decode(response *http.Response) ([]Host, error) {
	var listing Listing
	if err := json.NewDecoder(io.LimitReader(response.Body, responseLimit)).Decode(&listing); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tag = response.Header.Get("ETag")
	c.last = listing.Hosts
	return listing.Hosts, nil
}

// remembered returns the tag of the last list and the list.
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
