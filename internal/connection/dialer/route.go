package dialer

import (
	"context"
	"net"
	"net/http"
)

// A DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewDialFunc returns a DialFunc for connections between daemons. It replaces an
// address that is a key of reroute by its value, for networks between which
// addresses are translated.
func NewDialFunc(reroute map[string]string) DialFunc {
	dial := &net.Dialer{Timeout: connectTimeout}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if other, ok := reroute[address]; ok {
			address = other
		}
		return dial.DialContext(ctx, network, address)
	}
}

// NewClient returns an HTTP client that opens connections to peers with dial.
func NewClient(dial DialFunc) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdleConnsPerPeer,
		IdleConnTimeout:     idleTimeout,
	}}
}
