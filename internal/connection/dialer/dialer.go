// Package dialer creates clients for the services that daemons offer each other.
package dialer

import (
	"net/http"
	"sync"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// Limits of connections to peers.
const (
	connectTimeout      = time.Second
	idleTimeout         = 30 * time.Second
	maxIdleConnsPerPeer = 8
)

// A Dialer caches one client per peer address. It is safe for concurrent use.
type Dialer struct {
	scheme string
	client *http.Client

	mu    sync.Mutex
	peers map[string]kumquatv1.Peer
}

// New returns a dialer whose clients use a URL scheme, "http" or "https", and an
// HTTP client.
func New(scheme string, client *http.Client) *Dialer {
	return &Dialer{
		scheme: scheme,
		client: client,
		peers:  make(map[string]kumquatv1.Peer),
	}
}

// Peer returns the client of the daemon at an address.
func (d *Dialer) Peer(address string) kumquatv1.Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	peer, ok := d.peers[address]
	if !ok {
		peer = kumquatv1.NewPeerProtobufClient(d.scheme+"://"+address, d.client)
		d.peers[address] = peer
	}
	return peer
}

// Close closes the idle connections.
func (d *Dialer) Close() {
	d.client.CloseIdleConnections()
}
