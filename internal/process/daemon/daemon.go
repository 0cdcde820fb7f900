package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/pauser"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"github.com/kumquatstack/kumquatstack/internal/connection/commander"
	"github.com/kumquatstack/kumquatstack/internal/connection/dialer"
	"github.com/kumquatstack/kumquatstack/internal/connection/lister"
	"github.com/kumquatstack/kumquatstack/internal/connection/storer"
	"github.com/kumquatstack/kumquatstack/internal/process/administrator"
	"github.com/kumquatstack/kumquatstack/internal/process/configurer"
	"github.com/kumquatstack/kumquatstack/internal/process/counter"
	"github.com/kumquatstack/kumquatstack/internal/process/hlc"
	"github.com/kumquatstack/kumquatstack/internal/process/hostwatcher"
	"github.com/kumquatstack/kumquatstack/internal/process/member"
	"github.com/kumquatstack/kumquatstack/internal/process/owner"
	"github.com/kumquatstack/kumquatstack/internal/process/pledger"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/process/releaser"
	"github.com/kumquatstack/kumquatstack/internal/process/responder"
	"github.com/kumquatstack/kumquatstack/internal/process/settings"
	"github.com/kumquatstack/kumquatstack/internal/process/watcher"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/version/declarer"
	"github.com/kumquatstack/kumquatstack/internal/version/placer"
)

// Limits on the calls of one daemon to the store.
const (
	storeCallsPerSecond = 200
	storeCallsBurst     = 200
	storeCallTimeout    = 2 * time.Second
	// storeWatchIdle is the time without traffic after which a watch is ended, as its connection
	// may be lost.
	storeWatchIdle = 30 * time.Second
)

// controlPrefix is the prefix of the store keys that every daemon watches.
const controlPrefix = "/kumquat/v1/ctl/"

// A Daemon is a kumquatd with all its components. It lives as long as the process.
type Daemon struct {
	settings *settings.Settings
	recorder *recorder.Ring
	metrics  *counter.Set
	security *security
	clock    *hlc.Clock
	meters   *meters

	store      *storer.Client
	watcher    *watcher.Watcher
	configurer *configurer.Configurer
	group      *member.Group
	pledger    *pledger.Pledger
	owner      *owner.Owner
	dialer     *dialer.Dialer
	agents     *commander.Client
	hosts      *hostwatcher.Watcher
	responder  *responder.Responder
	shards     *shards
	requests   *requests
	servers    *servers
}

// peerScheme is the URL scheme of peers' addresses. It is plain HTTP even with TLS, which the dial
// function adds below HTTP.
const peerScheme = "http"

// New assembles a daemon without opening any connection.
func New(set *settings.Settings, logger log.Interface) (d *Daemon, err error) {
	d = &Daemon{settings: set, metrics: counter.New(), clock: &hlc.Clock{}}
	d.recorder = recorder.NewRing(set.Name, set.EventBytes, func() uint64 { return d.clock.Now(time.Now()) }, logger)
	if d.security, err = newSecurity(set, d.recorder, time.Now()); err != nil {
		return nil, err
	}
	d.meters = newMeters(set)
	d.store = storer.NewClient(storer.Options{
		HTTP:        d.meters.client(d.meters.store),
		Endpoint:    set.Store.Endpoint,
		CallTimeout: storeCallTimeout,
		Rate:        storeCallsPerSecond,
		Burst:       storeCallsBurst,
		WatchIdle:   storeWatchIdle,
		Recorder:    d.recorder,
	})
	d.dialer = dialer.New(peerScheme, dialer.NewClient(d.security.dial(d.meters.peers.Dial(d.meters.dial))))
	d.agents = commander.NewClient(commander.Options{Dial: d.meters.workers.Dial(d.meters.dial)})
	d.watcher = watcher.New(d.store, controlPrefix, d.recorder)
	d.addConfigurer()
	d.addGroup()
	d.addPledger()
	d.addOwner()
	d.requests = newRequests(d)
	d.shards = newShards(d)
	d.addHosts()
	d.responder = d.newResponder()
	d.servers = newServers(d)
	d.publishMetrics()
	return d, nil
}

// addConfigurer creates the configurer, which distributes the declarations.
func (d *Daemon) addConfigurer() {
	d.configurer = configurer.New(configurer.Settings{
		Store:    d.store,
		Watcher:  d.watcher,
		Recorder: d.recorder,
		Dial:     d.dialer.Peer,
	})
}

// addGroup creates the group, through which the daemon joins the other daemons and exchanges
// heartbeats with them.
func (d *Daemon) addGroup() {
	d.group = member.New(member.Settings{
		Identity: member.Identity{
			Daemon:     d.settings.Name,
			Address:    d.settings.Advertise.Peers,
			DataCentre: d.settings.DataCentre,
			Region:     d.settings.Region,
		},
		Store:         d.store,
		Watcher:       d.watcher,
		Clock:         d.clock,
		Recorder:      d.recorder,
		Dial:          d.dialer.Peer,
		Seeds:         d.settings.Seeds,
		Upstreams:     func() []*kumquatv1.UpstreamLoad { return d.requests.loads(time.Now()) },
		Configuration: d.configurer.VersionAndProofAge,
	})
	d.configurer.Join(d.group)
}

// addPledger creates the pledger, through which daemons keep their partitions while the store
// doesn't answer, by pledges of other daemons not to take them over.
func (d *Daemon) addPledger() {
	d.pledger = pledger.New(pledger.Settings{
		Store:         d.store,
		Group:         d.group,
		Recorder:      d.recorder,
		Watcher:       d.watcher,
		HasPartitions: func(daemon string, incarnation int64) bool { return d.owner.HasPartitions(daemon, incarnation) },
		Dial:          d.dialer.Peer,
	})
}

// addOwner creates the owner, which acquires and gives up partitions.
func (d *Daemon) addOwner() {
	d.owner = owner.New(owner.Settings{
		Store:          d.store,
		Watcher:        d.watcher,
		Group:          d.group,
		StartPermitter: d.configurer,
		Evictor:        d.pledger,
		Recorder:       d.recorder,
		Declarations:   d.configurer.Declarations,
		StoreRegion:    d.settings.Store.Region,
		OnAcquire:      d.onAcquire,
		OnLose:         d.onLose,
	})
	d.configurer.OnChange(func(declarer.Version) { d.owner.Wake() })
}

// addHosts creates the watcher of the platform's host list.
func (d *Daemon) addHosts() {
	d.hosts = hostwatcher.New(hostwatcher.Options{
		Lister:   lister.NewClient(d.settings.HostList.Endpoint, d.meters.client(d.meters.hostList)),
		Interval: d.settings.HostList.PollInterval,
		Recorder: d.recorder,
		Now:      time.Now,
		OnChange: d.requests.setHosts,
	})
}

// newResponder returns the service that answers peers' calls.
func (d *Daemon) newResponder() *responder.Responder {
	return responder.New(responder.Handlers{
		Members:        d.group,
		Pledges:        d.pledger,
		Configurations: d.configurer,
		Claims:         d.requests.keeper,
		Events:         d.recorder,
		Shard:          d.shards.find,
	})
}

// newAdministrator returns the service that answers the operators' tool.
func (d *Daemon) newAdministrator() *administrator.Administrator {
	return administrator.New(administrator.Settings{
		Releaser: releaser.New(releaser.Settings{
			Store: d.store, Group: d.group, Pledger: d.pledger, Dial: d.dialer.Peer,
		}),
		Store:          d.store,
		Configurations: configurations{d.configurer},
		Members:        memberDirectory{d},
		OwnerClient:    d.ownerClient,
		Policy:         placer.NewInterferenceAware(),
		Recorder:       d.recorder,
		Now:            time.Now,
	})
}

// ownerClient returns a client for calls to the daemon that owns a partition. If that is this
// daemon, the calls go to its own handlers, not over the network. It returns false if the
// partition has no known owner.
func (d *Daemon) ownerClient(partition owner.Partition) (kumquatv1.Peer, bool) {
	name, address, ok := d.owner.OwnerOf(partition)
	if !ok {
		return nil, false
	}
	if name == d.settings.Name {
		return d.responder, true
	}
	return d.dialer.Peer(address), true
}

// onAcquire starts work on a partition that this daemon has acquired.
func (d *Daemon) onAcquire(partition owner.Partition, epoch owner.Epoch) {
	if partition.Kind() == owner.KindShard {
		d.shards.acquire(partition, epoch)
	}
}

// onLose stops work on a partition that this daemon is about to give away or has lost, waits
// until the work has stopped, and reports whether it has.
func (d *Daemon) onLose(partition owner.Partition, reason owner.Reason) (isEnded bool) {
	switch partition.Kind() {
	case owner.KindShard:
		d.shards.lose(partition)
	case owner.KindRunners:
		return d.requests.loseRunners(partition, reason)
	}
	return true
}

// Run serves until the context ends, then shuts down gracefully. It returns nil after a graceful
// shutdown.
func (d *Daemon) Run(ctx context.Context) (err error) {
	// The components outlive the context, since a graceful shutdown needs them.
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if err := d.servers.listen(); err != nil {
		return err
	}
	group, work := errgroup.WithContext(work)
	group.Go(func() error { return d.watcher.Run(work) })
	group.Go(func() error { return d.configurer.Run(work) })
	group.Go(func() error { return d.group.Run(work) })
	group.Go(func() error { return d.pledger.Run(work) })
	group.Go(func() error { return d.owner.Run(work) })
	group.Go(func() error { return d.hosts.Run(work) })
	group.Go(d.servers.serve)
	d.recorder.Record(time.Now(), EventStarted, recorder.Fields{"dataCentre": d.settings.DataCentre})

	stopped := false
	select {
	case <-ctx.Done():
		stopped = true
		d.stop(context.WithoutCancel(ctx))
	case <-work.Done():
	}
	cancel()
	d.servers.abort()
	err = group.Wait()
	d.close()
	if stopped {
		return nil
	}
	return err
}

// stop shuts the daemon down gracefully, within the drain timeout: it finishes the requests in
// flight and hands its partitions over.
func (d *Daemon) stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.settings.DrainTimeout)
	defer cancel()
	d.recorder.Record(time.Now(), EventStopping, nil)
	d.group.SetLeaving()
	d.servers.setLeaving()
	d.awaitBalancer(ctx)
	d.servers.drainCallers(ctx)
	d.requests.drain(ctx)
	if err := d.owner.Close(ctx); err != nil {
		d.recorder.Record(time.Now(), EventHandoverIncomplete, recorder.Fields{"reason": err.Error()})
	}
	d.servers.drainPeers(ctx)
	d.recorder.Record(time.Now(), EventStopped, nil)
}

// awaitBalancer goes on serving callers for the time that the balancer takes to send them
// elsewhere. Peers forward no requests to a leaving daemon, so the runners of its partitions would
// be idle in the meantime; the partitions are therefore handed over now if another daemon can take
// them.
func (d *Daemon) awaitBalancer(ctx context.Context) {
	delay := d.settings.BalancerDelay
	end := time.Now().Add(delay)
	if d.hasSuccessor(time.Now()) && delay > member.HeartbeatInterval {
		pauser.Sleep(ctx, member.HeartbeatInterval)
		// stop tries again to hand over what remains, after the callers have left.
		_ = d.owner.Close(ctx)
	}
	pauser.Sleep(ctx, time.Until(end))
}

// hasSuccessor reports whether the region has another daemon that is reachable and not leaving.
func (d *Daemon) hasSuccessor(now time.Time) bool {
	return slices.ContainsFunc(d.group.Peers(), func(peer member.Peer) bool {
		return peer.Region == d.settings.Region && peer.IsReachable(now) && !peer.IsLeaving()
	})
}

// close releases what outlives the components' goroutines.
func (d *Daemon) close() {
	ctx, cancel := context.WithTimeout(context.Background(), storeCallTimeout)
	defer cancel()
	// A lease that can't be released expires by itself.
	_ = d.group.Close(ctx)
	d.shards.close()
	d.requests.close()
	d.dialer.Close()
	_ = d.agents.Close()
}
