package lister

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
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
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %s", response.Status)
	}
	var listing Listing
	if err := json.NewDecoder(io.LimitReader(response.Body, answerLimit)).Decode(&listing); err != nil {
		return nil, err
	}
	return listing.Hosts, nil
}

// Close closes the idle connections.
func (c *Client) Close() error {
	c.http.CloseIdleConnections()
	return nil
}
