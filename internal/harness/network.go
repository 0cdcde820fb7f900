package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
)

// toxicTimeout is the limit for removing the faults of a link, which takes time on a busy
// connection.
const toxicTimeout = 5 * time.Second

// Names of the faults of a link.
const (
	faultCut   = "cut"
	faultDelay = "delay"
)

// directions are the directions of a link, as the proxy names them.
var directions = []string{"upstream", "downstream"}

// A link is the proxy for connections from one process to another.
type link struct {
	from  string
	to    string
	proxy *toxiproxy.Proxy
}

// A Network is a set of proxied links into which tests inject faults.
type Network struct {
	t      testing.TB
	server *toxiproxy.ApiServer

	mu    sync.Mutex
	links []link
}

// A Match selects links: it reports whether it selects the link between two named processes.
type Match func(from, to string) bool

// NewNetwork returns a network without links. It is closed at the end of the test.
func NewNetwork(t testing.TB) *Network {
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	network := &Network{t: t, server: server}
	t.Cleanup(network.close)
	return network
}

// Link creates a link between two named processes that forwards to an upstream address, and returns
// the address to dial instead.
func (n *Network) Link(from, to, upstream string) (address string) {
	n.t.Helper()
	proxy := toxiproxy.NewProxy(n.server, from+">"+to, "127.0.0.1:0", upstream)
	if err := proxy.Start(); err != nil {
		n.t.Fatalf("start link %s: %v", proxy.Name, err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links = append(n.links, link{from: from, to: to, proxy: proxy})
	return proxy.Listen
}

// Cut drops all data on the links that match. Connections stay open without data until Heal.
func (n *Network) Cut(match Match) {
	n.t.Helper()
	n.set(match, faultCut, "timeout", map[string]int64{"timeout": 0})
}

// Delay delays all data on the links that match, in each direction.
func (n *Network) Delay(match Match, delay time.Duration) {
	n.t.Helper()
	n.set(match, faultDelay, "latency", map[string]int64{"latency": delay.Milliseconds()})
}

// Heal removes all faults from the links that match.
func (n *Network) Heal(match Match) {
	n.t.Helper()
	n.each(match, func(each link) error {
		ctx, cancel := context.WithTimeout(context.Background(), toxicTimeout)
		defer cancel()
		each.proxy.Toxics.ResetToxics(ctx)
		return nil
	})
}

// set injects a fault into both directions of the links that match. The kind and attributes are
// those of a toxic of the proxy.
func (n *Network) set(match Match, name, kind string, attributes map[string]int64) {
	n.t.Helper()
	n.each(match, func(each link) error {
		for _, direction := range directions {
			toxic, err := json.Marshal(map[string]any{
				"name": name + direction, "type": kind, "stream": direction, "attributes": attributes,
			})
			if err != nil {
				return err
			}
			if _, err := each.proxy.Toxics.AddToxicJson(strings.NewReader(string(toxic))); err != nil {
				return err
			}
		}
		return nil
	})
}

// each calls a function for each link that matches. It fails the test if no link matches.
func (n *Network) each(match Match, act func(link) error) {
	n.t.Helper()
	n.mu.Lock()
	defer n.mu.Unlock()
	found := 0
	for _, each := range n.links {
		if !match(each.from, each.to) {
			continue
		}
		found++
		if err := act(each); err != nil {
			n.t.Errorf("change faults of link %s: %v", each.proxy.Name, err)
		}
	}
	if found == 0 {
		n.t.Errorf("no link matches the selection")
	}
}

// close stops the proxies of all links.
func (n *Network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, each := range n.links {
		each.proxy.Stop()
	}
}

// Between matches the links between two names, in either direction.
func Between(a, b string) Match {
	return func(from, to string) bool {
		return (from == a && to == b) || (from == b && to == a)
	}
}

// All matches all links.
func All(string, string) bool { return true }

// FreeAddress returns an address of a loopback host at which nothing listens. It returns no address
// twice.
func FreeAddress(t testing.TB, host string) string {
	t.Helper()
	const attempts = 100
	for range attempts {
		listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			t.Fatal(err)
		}
		address := listener.Addr().String()
		_ = listener.Close()
		if _, isReserved := reservedAddresses.LoadOrStore(address, true); !isReserved {
			return address
		}
	}
	t.Fatalf("no free address of %s that was not returned before", host)
	return ""
}

// reservedAddresses holds the addresses that FreeAddress has returned. Until a daemon listens on
// its address, FreeAddress could otherwise return the same address for another daemon.
var reservedAddresses sync.Map

// loopback returns a loopback IP address for a daemon, by the ID of the test process and the
// daemon's number. A daemon that has an IP address of its own can't lose its ports to outgoing
// connections of other processes.
func loopback(process, number int) string {
	const hosts = 250
	return fmt.Sprintf("127.%d.%d.%d", 1+process/hosts%hosts, 1+process%hosts, 1+number%hosts)
}
