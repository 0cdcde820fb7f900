package harness

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/lister"
	"github.com/kumquatstack/kumquatstack/internal/connection/securer"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/standin/controller"
	"github.com/kumquatstack/kumquatstack/internal/standin/hostlist"
)

// storeName is the name of the key-value service, for its process and as the end of links to it.
const storeName = "store"

const (
	// readyTimeout is the limit of each wait for daemons, such as until they are ready.
	readyTimeout = 30 * time.Second
	// rackSize is the number of workers in a rack.
	rackSize = 8

	workerMilliCores  = 32_000
	workerMemoryBytes = 125 << 30
)

// A Site is one data centre of a cluster, with the numbers of daemons, workers and runners there.
type Site struct {
	DataCentre string
	Region     string
	Daemons    int
	Workers    int
	Runners    int
}

// Options describe a cluster.
type Options struct {
	Sites []Site
	// Declarations is the document of declarations that is applied at the start; empty means the
	// one that DeclarationsOf returns.
	Declarations string
	// RunnerArgs and WorkerArgs are additional flags of the stand-ins.
	RunnerArgs []string
	WorkerArgs []string
	// ProxyRunners proxies the connections between daemons and runners too. A daemon frees a
	// runner's slot when the runner closes its side of a connection. A proxy closes that side
	// early, so a runner with eight slots may receive a ninth request.
	ProxyRunners bool
	// Authority issues the certificates of the daemons; nil means plaintext.
	Authority *securer.TestAuthority
	// Tokens is the path of the file of operators' tokens, if any. It has no effect without
	// Authority.
	Tokens string
	// SkipReadiness makes Start return without waiting for the daemons and without applying
	// declarations.
	SkipReadiness bool
}

// A Cluster is a set of real daemons with stand-ins for the platform's services. The connections
// between daemons, to the store and to the workers are proxied, those to runners only with
// Options.ProxyRunners. The cluster is stopped at the end of the test.
type Cluster struct {
	Network *Network
	Store   *Process
	Daemons []*Daemon
	// Workers and Runners are the stand-in processes, one for each site that has workers or
	// runners.
	Workers []*Process
	Runners []*Process

	t       testing.TB
	options Options
	// logs is the directory of the processes' logs and of the daemons' settings.
	logs string
	// store, workers and runners are the control endpoints of Store, Workers and Runners.
	store   controller.Remote
	workers []controller.Remote
	runners []controller.Remote
	// hosts are the workers and runners with their own addresses.
	hosts []lister.Host
}

// A Daemon is one kumquatd process.
type Daemon struct {
	*Process
	DataCentre string
	Region     string
	// Callers, Peers, Operators and Health are the addresses that the daemon listens on for each of
	// these uses.
	Callers   string
	Peers     string
	Operators string
	Health    string

	// list is the list of hosts that the daemon polls.
	list *hostlist.List
}

// daemonCount counts the daemons of all clusters of this process, to spread the daemons of
// different clusters over different IP addresses.
var daemonCount atomic.Int32

// Start starts a cluster and waits until all daemons are ready.
func Start(t testing.TB, options Options) *Cluster {
	t.Helper()
	cluster := &Cluster{t: t, options: options, logs: t.TempDir(), Network: NewNetwork(t)}
	cluster.startStore()
	for _, site := range options.Sites {
		cluster.startWorkers(site)
		cluster.startRunners(site)
	}
	for _, site := range options.Sites {
		for range site.Daemons {
			cluster.addDaemon(site)
		}
	}
	for _, daemon := range cluster.Daemons {
		cluster.startDaemon(daemon)
	}
	if !options.SkipReadiness {
		cluster.ApplyDeclarations()
		cluster.AwaitReady(cluster.Daemons...)
	}
	return cluster
}

// startStore starts the stand-in for the key-value service.
func (c *Cluster) startStore() {
	c.t.Helper()
	c.Store = StartProcess(c.t, c.logs, storeName, ProgramKeyValue)
	c.store = controller.Remote{Address: c.Store.listeners()[0].Address}
}

// startWorkers starts one process with all workers of a site.
func (c *Cluster) startWorkers(site Site) {
	c.t.Helper()
	if site.Workers == 0 {
		return
	}
	arguments := []string{"--count", strconv.Itoa(site.Workers), "--name", site.DataCentre + "-worker", "--data-centre", site.DataCentre}
	process := StartProcess(c.t, c.logs, site.DataCentre+"-workers", ProgramWorker, append(arguments, c.options.WorkerArgs...)...)
	c.Workers = append(c.Workers, process)
	for number, listener := range process.listeners() {
		if number == 0 {
			c.workers = append(c.workers, controller.Remote{Address: listener.Address})
			continue
		}
		c.hosts = append(c.hosts, lister.Host{
			Name: listener.Name, Address: listener.Address, Kind: lister.KindWorker, State: lister.StateLive,
			DataCentre: site.DataCentre, Rack: fmt.Sprintf("%s-rack-%d", site.DataCentre, (number-1)/rackSize),
			MilliCores: workerMilliCores, MemoryBytes: workerMemoryBytes,
		})
	}
}

// startRunners starts one process with all runners of a site.
func (c *Cluster) startRunners(site Site) {
	c.t.Helper()
	if site.Runners == 0 {
		return
	}
	arguments := []string{"--count", strconv.Itoa(site.Runners), "--name", site.DataCentre + "-runner"}
	process := StartProcess(c.t, c.logs, site.DataCentre+"-runners", ProgramRunner, append(arguments, c.options.RunnerArgs...)...)
	c.Runners = append(c.Runners, process)
	for number, listener := range process.listeners() {
		if number == 0 {
			c.runners = append(c.runners, controller.Remote{Address: listener.Address})
			continue
		}
		c.hosts = append(c.hosts, lister.Host{
			Name: listener.Name, Address: listener.Address, Kind: lister.KindRunner, State: lister.StateLive,
			DataCentre: site.DataCentre, Rack: site.DataCentre + "-rack-0", Upstream: Upstream,
		})
	}
}

// addDaemon adds a daemon with a new name and free addresses, without starting it.
func (c *Cluster) addDaemon(site Site) {
	c.t.Helper()
	number := len(c.Daemons)
	host := loopback(os.Getpid(), number+int(daemonCount.Add(1)))
	daemon := &Daemon{
		Process:    &Process{Name: fmt.Sprintf("%s-%d", site.DataCentre, number)},
		DataCentre: site.DataCentre,
		Region:     site.Region,
		Callers:    FreeAddress(c.t, host),
		Peers:      FreeAddress(c.t, host),
		Operators:  FreeAddress(c.t, host),
		Health:     FreeAddress(c.t, host),
		list:       hostlist.New(),
	}
	c.Daemons = append(c.Daemons, daemon)
}

// startDaemon creates the links from a daemon to everything that it dials, and starts it.
func (c *Cluster) startDaemon(daemon *Daemon) {
	c.t.Helper()
	server := httptest.NewServer(hostlist.NewHandler(daemon.list))
	c.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	daemon.list.SetHosts(c.linkedHosts(daemon.Name))
	settings := c.settingsOf(daemon, server.URL)
	path := c.write(daemon.Name+".yaml", settings)
	daemon.Process = StartProcess(c.t, c.logs, daemon.Name, ProgramDaemon, "--settings", path)
}

// linkedHosts returns the hosts with the addresses at which a daemon reaches them, and creates the
// links behind these addresses.
func (c *Cluster) linkedHosts(daemon string) []lister.Host {
	hosts := make([]lister.Host, 0, len(c.hosts))
	for _, host := range c.hosts {
		if host.Kind != lister.KindRunner || c.options.ProxyRunners {
			host.Address = c.Network.Link(daemon, host.Name, host.Address)
		}
		hosts = append(hosts, host)
	}
	return hosts
}

// AwaitReady waits until each daemon reports that it is ready.
func (c *Cluster) AwaitReady(daemons ...*Daemon) {
	c.t.Helper()
	for _, daemon := range daemons {
		Eventually(c.t, readyTimeout, daemon.Name+" is ready", func() bool { return daemon.Ready(c.t.Context()) })
	}
}

// Ready reports whether the daemon's readiness check succeeds.
func (d *Daemon) Ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Health+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Operator returns a client of the daemon's interface for operators.
func (d *Daemon) Operator() kumquatv1.Operator {
	return kumquatv1.NewOperatorProtobufClient("http://"+d.Operators, &http.Client{Timeout: operatorTimeout})
}

// SetHostState changes the state of a host in the host lists of all daemons.
func (c *Cluster) SetHostState(name string, state lister.HostState) {
	c.t.Helper()
	for _, daemon := range c.Daemons {
		if err := daemon.list.SetState(name, state); err != nil {
			c.t.Fatal(err)
		}
	}
}

// SetListFaults sets the faults of the host lists of all daemons.
func (c *Cluster) SetListFaults(faults hostlist.Faults) {
	for _, daemon := range c.Daemons {
		daemon.list.SetFaults(faults)
	}
}

// CutRegion cuts all links between a region and the others, including those to the store, which is
// in the region of the first site.
func (c *Cluster) CutRegion(region string) {
	c.t.Helper()
	c.Network.Cut(func(from, to string) bool {
		return (c.regionOf(from) == region) != (c.regionOf(to) == region)
	})
}

// CutStore cuts the link between one daemon and the store.
func (c *Cluster) CutStore(daemon *Daemon) {
	c.t.Helper()
	c.Network.Cut(Between(daemon.Name, storeName))
}

// regionOf returns the region of the daemon or host with a name. Other names, such as the store's,
// are in the region of the first site.
func (c *Cluster) regionOf(name string) string {
	for _, daemon := range c.Daemons {
		if daemon.Name == name {
			return daemon.Region
		}
	}
	for _, host := range c.hosts {
		if host.Name != name {
			continue
		}
		for _, site := range c.options.Sites {
			if site.DataCentre == host.DataCentre {
				return site.Region
			}
		}
	}
	return c.options.Sites[0].Region
}
