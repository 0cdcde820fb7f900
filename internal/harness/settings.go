package harness

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/kumquatstack/kumquatstack/internal/connection/securer"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// operatorTimeout is the timeout of each call to the interface for operators.
const operatorTimeout = 15 * time.Second

// Names in the declarations of DeclarationsOf.
const (
	Upstream = "charm"
	// PathOnce is the path of a route whose requests run at most once.
	PathOnce = "/charms"
	// PathIdempotent is the path of a route whose requests may be retried.
	PathIdempotent = "/proofs"
	// PathKeyed is the path of a route whose requests require an idempotency key.
	PathKeyed = "/orders"
	Team      = "crew"
	Class     = "survey"
)

// settingsOf returns the settings of a daemon, with the address of a link in place of each address
// that the daemon dials, except that of its list of hosts.
func (c *Cluster) settingsOf(daemon *Daemon, hostList string) []byte {
	c.t.Helper()
	reroute := map[string]string{}
	var seeds []string
	for _, other := range c.Daemons {
		if other == daemon {
			continue
		}
		for _, address := range []string{other.Callers, other.Peers, other.Operators} {
			reroute[address] = c.Network.Link(daemon.Name, other.Name, address)
		}
		seeds = append(seeds, other.Peers)
	}
	settings := map[string]any{
		"name":       daemon.Name,
		"dataCentre": daemon.DataCentre,
		"region":     daemon.Region,
		"listen": map[string]string{
			"callers": daemon.Callers, "peers": daemon.Peers, "operators": daemon.Operators, "health": daemon.Health,
		},
		"store": map[string]string{
			"endpoint": "http://" + c.Network.Link(daemon.Name, storeName, c.store.Address),
			"region":   c.regionOf(storeName),
		},
		"hostList": map[string]any{"endpoint": hostList, "pollInterval": "200ms"},
		"seeds":    seeds,
		"reroute":  reroute,
	}
	c.secure(settings, daemon)
	content, err := yaml.Marshal(settings)
	if err != nil {
		c.t.Fatal(err)
	}
	return content
}

// secure adds the daemon's certificate to the settings, or the plaintext setting if the cluster has
// no authority.
func (c *Cluster) secure(settings map[string]any, daemon *Daemon) {
	c.t.Helper()
	if c.options.Authority == nil {
		settings["plaintext"] = true
		return
	}
	address := netip.MustParseAddrPort(daemon.Peers)
	files, err := c.options.Authority.Issue(daemon.Name, securer.RoleDaemon, time.Now(), net.IP(address.Addr().AsSlice()))
	if err != nil {
		c.t.Fatal(err)
	}
	if c.options.Tokens != "" {
		settings["tokens"] = c.options.Tokens
	}
	settings["tls"] = map[string]string{"certificate": files.Certificate, "key": files.Key, "authority": files.Authority}
}

// write writes a file to the directory of the logs and returns the file's path.
func (c *Cluster) write(name string, content []byte) (path string) {
	c.t.Helper()
	path = filepath.Join(c.logs, name)
	if err := os.WriteFile(path, content, 0o600); err != nil {
		c.t.Fatal(err)
	}
	return path
}

// DeclarationsOf returns declarations for sites: one upstream with three routes, one team with a
// quota large enough for any test, and one class of batch work.
func DeclarationsOf(sites []Site) string {
	var document strings.Builder
	document.WriteString("regions:\n")
	for _, region := range regionsOf(sites) {
		fmt.Fprintf(&document, "- name: %s\n  dataCentres:\n", region)
		for _, site := range sites {
			if site.Region == region {
				fmt.Fprintf(&document, "  - name: %s\n", site.DataCentre)
			}
		}
	}
	fmt.Fprintf(&document, `upstreams:
- name: %[1]s
  slotsPerRunner: 8
  connectionsPerRunner: 64
  maxDuration: 2s
  queueLength: 1000
  retryPercent: 10
  maxBodyBytes: 1048576
routes:
- path: %[2]s
  upstream: %[1]s
- path: %[3]s
  upstream: %[1]s
  idempotent: true
- path: %[4]s
  upstream: %[1]s
  keyRequired: true
teams:
- name: %[5]s
  quota: {cores: 10000, memoryGB: 10000, accelerators: 0}
  weight: 1
classes:
- name: %[6]s
batch:
  lease: 5s
  evictionsPerMinute: 60
link:
  megabitsPerSecond: 30
`, Upstream, PathOnce, PathIdempotent, PathKeyed, Team, Class)
	return document.String()
}

// regionsOf returns the distinct regions of sites, in the order of the sites.
func regionsOf(sites []Site) (regions []string) {
	seen := map[string]bool{}
	for _, site := range sites {
		if !seen[site.Region] {
			seen[site.Region] = true
			regions = append(regions, site.Region)
		}
	}
	return regions
}

// ApplyDeclarations applies the declarations at the first daemon and waits until all daemons have
// them in force.
func (c *Cluster) ApplyDeclarations() {
	c.t.Helper()
	document := c.options.Declarations
	if document == "" {
		document = DeclarationsOf(c.options.Sites)
	}
	var version int64
	Eventually(c.t, readyTimeout, "the declarations are accepted", func() bool {
		request := &kumquatv1.ApplyRequest{Document: document, BaseVersion: -1}
		response, err := c.Daemons[0].Operator().Apply(c.t.Context(), request)
		if err != nil {
			c.t.Logf("apply the declarations: %v", err)
			return false
		}
		version = response.GetVersion()
		return true
	})
	c.AwaitVersion(version, c.Daemons...)
}

// AwaitVersion waits until each of the daemons has a version of the declarations, or a later
// version, in force.
func (c *Cluster) AwaitVersion(version int64, daemons ...*Daemon) {
	c.t.Helper()
	for _, daemon := range daemons {
		Eventually(c.t, readyTimeout, fmt.Sprintf("%s has version %d of the declarations", daemon.Name, version), func() bool {
			return daemon.Version(c.t.Context()) >= version
		})
	}
}
