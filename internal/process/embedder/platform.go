package embedder

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/kumquatstack/kumquatstack/internal/connection/commander"
	"github.com/kumquatstack/kumquatstack/internal/connection/lister"
	"github.com/kumquatstack/kumquatstack/internal/process/settings"
	"github.com/kumquatstack/kumquatstack/internal/standin/hostlist"
	"github.com/kumquatstack/kumquatstack/internal/standin/judge"
	"github.com/kumquatstack/kumquatstack/internal/standin/keyvalue"
	"github.com/kumquatstack/kumquatstack/internal/standin/runner"
	"github.com/kumquatstack/kumquatstack/internal/standin/worker"
	"github.com/kumquatstack/kumquatstack/internal/version/declarer"
)

// Sizes and timings of the stand-ins. A worker has 32 cores and 125 GB. The service time of runners
// is log-normal with the mean runnerMean; runnerSigma is the standard deviation of the time's
// logarithm.
const (
	workerMilliCores  = 32_000
	workerMemoryBytes = 125 << 30
	workersPerRack    = 8
	usageLag          = 2 * time.Second
	runnerMean        = 50 * time.Millisecond
	runnerSigma       = 0.5
	readHeaderTimeout = 10 * time.Second
)

// A platform holds the stand-ins of an embedded run.
type platform struct {
	options Options
	store   *keyvalue.Fake
	fleet   *worker.Fleet
	runners runner.Set
	list    *hostlist.List // serves hosts to the daemons
	hosts   []lister.Host
	servers []*http.Server
}

// startPlatform starts the stand-ins: the store and the host list at the addresses in the first
// daemon's settings, workers and runners at free ports.
func startPlatform(ctx context.Context, sets []*settings.Settings, options Options) (p *platform, err error) {
	p = &platform{options: options, store: keyvalue.NewFake(), fleet: worker.NewFleet(), list: hostlist.New()}
	defer func() {
		if err != nil {
			p.close()
		}
	}()
	declared, err := loadDeclarations(options.Directory)
	if err != nil {
		return p, err
	}
	if err := p.serveAt(ctx, sets[0].Store.Endpoint, keyvalue.NewHandler(p.store)); err != nil {
		return p, err
	}
	if err := p.serveAt(ctx, sets[0].HostList.Endpoint, hostlist.NewHandler(p.list)); err != nil {
		return p, err
	}
	for _, dataCentre := range declared.DataCentreNames() {
		if err := p.addHosts(ctx, dataCentre, declared); err != nil {
			return p, err
		}
	}
	p.list.SetHosts(p.hosts)
	return p, nil
}

// addHosts starts the workers and runners of a data centre.
func (p *platform) addHosts(ctx context.Context, dataCentre string, declared *declarer.Declarations) error {
	for n := range p.options.HostsPerDataCentre {
		if err := p.addWorker(ctx, dataCentre, n); err != nil {
			return err
		}
		for _, upstream := range declared.Upstreams {
			if err := p.addRunner(ctx, dataCentre, n, upstream); err != nil {
				return err
			}
		}
	}
	return nil
}

func (p *platform) addWorker(ctx context.Context, dataCentre string, n int) error {
	name := fmt.Sprintf("%s-worker-%d", dataCentre, n)
	listener, err := listen(ctx, "127.0.0.1:0")
	if err != nil {
		return err
	}
	address := listener.Addr().String()
	fake := p.fleet.Add(address, worker.Options{
		Name:       name,
		DataCentre: dataCentre,
		Lag:        usageLag,
		Capacity:   commander.Resources{MilliCores: workerMilliCores, MemoryBytes: workerMemoryBytes},
	})
	p.serve(listener, &http.Server{Handler: worker.NewHandler(fake)})
	p.hosts = append(p.hosts, lister.Host{
		Name: name, Address: address, Kind: lister.KindWorker, State: lister.StateLive,
		DataCentre: dataCentre, Rack: fmt.Sprintf("%s-rack-%d", dataCentre, n/workersPerRack),
		MilliCores: workerMilliCores, MemoryBytes: workerMemoryBytes,
	})
	return nil
}

func (p *platform) addRunner(ctx context.Context, dataCentre string, n int, upstream declarer.Upstream) error {
	name := fmt.Sprintf("%s-%s-runner-%d", dataCentre, upstream.Name, n)
	listener, err := listen(ctx, "127.0.0.1:0")
	if err != nil {
		return err
	}
	fake := runner.New(runner.Options{
		Name: name, Slots: upstream.SlotsPerRunner, Connections: upstream.ConnectionsPerRunner,
		Mean: runnerMean, Sigma: runnerSigma, Seed: uint64(len(p.runners)),
	})
	p.runners = append(p.runners, fake)
	server := &http.Server{Handler: fake}
	fake.Prepare(server)
	p.serve(listener, server)
	p.hosts = append(p.hosts, lister.Host{
		Name: name, Address: listener.Addr().String(), Kind: lister.KindRunner, State: lister.StateLive,
		DataCentre: dataCentre, Rack: fmt.Sprintf("%s-rack-%d", dataCentre, n/workersPerRack), Upstream: upstream.Name,
	})
	return nil
}

// serveAt serves a handler at the address of a URL.
func (p *platform) serveAt(ctx context.Context, endpoint string, handler http.Handler) error {
	parsed, err := url.Parse(endpoint)
	if err != nil {
		return err
	}
	listener, err := listen(ctx, parsed.Host)
	if err != nil {
		return err
	}
	p.serve(listener, &http.Server{Handler: handler})
	return nil
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	return listener, eris.Wrapf(err, "listen on %s", address)
}

// serve serves until the platform is closed.
func (p *platform) serve(listener net.Listener, server *http.Server) {
	server.ReadHeaderTimeout = readHeaderTimeout
	p.servers = append(p.servers, server)
	// Serve returns an error when close is called; any other failure shows as failed calls of the
	// daemons.
	go func() { _ = server.Serve(listener) }()
}

// close stops all stand-ins.
func (p *platform) close() {
	for _, server := range p.servers {
		_ = server.Close()
	}
}

// report prints the breaches of the guarantees that the stand-ins recorded, and returns an error if
// there are any.
func (p *platform) report(out io.Writer) error {
	breaches := slices.Concat(p.runners.Breaches(), p.fleet.Breaches(), judge.Check(p.fleet.Records()))
	for _, breach := range breaches {
		if _, err := fmt.Fprintf(out, "breach: %+v\n", breach); err != nil {
			return err
		}
	}
	if len(breaches) > 0 {
		return fmt.Errorf("the simulated runners and workers recorded %d breaches", len(breaches))
	}
	_, err := fmt.Fprintln(out, "the simulated runners and workers recorded no breach: no host exceeded its capacity, no task ran in two places")
	return err
}
