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

// toxicTimeout bounds the removal of a fault from a busy connection.
const toxicTimeout = 5 * time.Second

// Names of the faults of a link.
const (
	faultCut   = "cut"
	faultDelay = "delay"
)

// Directions of a link.
var directions = []string{"upstream", "downstream"}

// A link is one proxied way from a process to another.
type link struct {
	from  string
	to    string
	proxy *toxiproxy.Proxy
}

// A Network is a set of proxied links whose faults tests set.
type Network struct {
	t      testing.TB
	server *toxiproxy.ApiServer

	mu    sync.Mutex
	links []link
}

// A Match selects links by the names of their ends.
type Match func(from, to string) bool

// NewNetwork returns a network without links. It ends with the test.
func NewNetwork(t testing.TB) *Network {
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	network := &Network{t: t, server: server}
	t.Cleanup(network.close)
	return network
}

// Link makes a way from one name to another and returns the address to dial.
func (n *Network) Link(from, to, upstream string) (address string) {
	n.t.Helper()
	proxy := toxiproxy.NewProxy(n.server, from+">"+to, "127.0.0.1:0", upstream)
	if err := proxy.Start(); err != nil {
		n.t.Fatalf("link %s: %v", proxy.Name, err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links = append(n.links, link{from: from, to: to, proxy: proxy})
	return proxy.Listen
}

// Cut drops all data of the links that match; connections stay open and
// silent until Heal.
func (n *Network) Cut(match Match) {
	n.t.Helper()
	n.set(match, faultCut, "timeout", map[string]int64{"timeout": 0})
}

// Delay delays all data of the links that match, each way.
func (n *Network) Delay(match Match, delay time.Duration) {
	n.t.Helper()
	n.set(match, faultDelay, "latency", map[string]int64{"latency": delay.Milliseconds()})
}

// Heal removes all faults of the links that match.
func (n *Network) Heal(match Match) {
	n.t.Helper()
	n.each(match, func(each link) error {
		ctx, cancel := context.WithTimeout(context.Background(), toxicTimeout)
		defer cancel()
		each.proxy.Toxics.ResetToxics(ctx)
		return nil
	})
}

// set puts a fault on both directions of the links that match.
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

// each calls a function for the links that match; there has to be one.
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
			n.t.Errorf("link %s: %v", each.proxy.Name, err)
		}
	}
	if found == 0 {
		n.t.Errorf("no link matches")
	}
}

// close ends all links.
func (n *Network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, each := range n.links {
		each.proxy.Stop()
	}
}

// Between matches the links between two names, either way.
func Between(a, b string) Match {
	return func(from, to string) bool {
		return (from == a && to == b) || (from == b && to == a)
	}
}

// All matches all links.
func All(string, string) bool { return true }

// FreeAddress returns an address of a loopback host at which nothing listens.
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
		if _, given := givenAddresses.LoadOrStore(address, true); !given {
			return address
		}
	}
	t.Fatalf("no free address of %s that was not given before", host)
	return ""
}

// givenAddresses are those that FreeAddress has returned: a listener that is
// not open yet does not keep its address from being found free again.
var givenAddresses sync.Map

// loopback returns an IP number of this machine for the daemon with a number,
// so that its ports are not taken by outgoing connections of others.
func loopback(process, number int) string {
	const hosts = 250
	return fmt.Sprintf("127.%d.%d.%d", 1+process/hosts%hosts, 1+process%hosts, 1+number%hosts)
}
