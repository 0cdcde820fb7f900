package daemon

import (
	"context"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/budgeter"
	"github.com/kumquatstack/kumquatstack/internal/connection/dialer"
	"github.com/kumquatstack/kumquatstack/internal/connection/forwarder"
	"github.com/kumquatstack/kumquatstack/internal/connection/lister"
	"github.com/kumquatstack/kumquatstack/internal/process/claimkeeper"
	"github.com/kumquatstack/kumquatstack/internal/process/journaler"
	"github.com/kumquatstack/kumquatstack/internal/process/member"
	"github.com/kumquatstack/kumquatstack/internal/process/owner"
	"github.com/kumquatstack/kumquatstack/internal/process/slotter"
	"github.com/kumquatstack/kumquatstack/internal/request/claimer"
	"github.com/kumquatstack/kumquatstack/internal/request/router"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/version/declarer"
)

// claimCommitInterval is the least time between two commits of claims.
const claimCommitInterval = 5 * time.Millisecond

// requests are the parts that urgent requests pass through.
type requests struct {
	keeper    *claimkeeper.Keeper
	daemon    *Daemon
	slots     *slotter.Slots
	budget    *budgeter.Budget
	forwarder *forwarder.Forwarder
	claimer   *claimer.Claimer
	router    *router.Router
}

// newRequests returns the parts for a daemon that has an owner of partitions.
func newRequests(d *Daemon) *requests {
	r := &requests{daemon: d, budget: budgeter.New()}
	r.slots = slotter.New(slotter.Options{
		DataCentre: d.settings.DataCentre,
		Authority:  d.owner,
		Recorder:   d.recorder,
		OnReady:    d.group.Announce,
	})
	transport := forwarder.NewTransport()
	transport.DialContext = d.security.dial(dialer.NewDialFunc(d.settings.Reroute))
	r.forwarder = forwarder.New(forwarder.Options{
		Transport:  transport,
		Daemon:     d.settings.Name,
		DataCentre: d.settings.DataCentre,
		Region:     d.settings.Region,
		Slots:      r.slots,
		Budget:     r.budget,
		Recorder:   d.recorder,
	})
	r.keeper = claimkeeper.New(claimkeeper.Options{
		Authority: d.owner,
		Open:      r.openJournal,
		Recorder:  d.recorder,
	})
	r.claimer = claimer.New(claimer.Options{
		Daemon:    d.settings.Name,
		Directory: d.owner,
		Local:     r.keeper,
		Dial:      func(address string) claimer.Service { return d.dialer.Peer(address) },
		Recorder:  d.recorder,
	})
	r.router = router.New(router.Options{
		Slots:        r.slots,
		Forwarder:    r.forwarder,
		Claimer:      r.claimer,
		Declarations: r.version,
		Recorder:     d.recorder,
	})
	d.configurer.OnChange(r.setVersion)
	d.group.OnHeartbeatReply(func(word member.HeartbeatReply) { r.observe(word.Peer, word.SentAt) })
	d.group.OnHeartbeat(r.observe)
	d.group.OnChange(r.setPeers)
	return r
}

// openJournal opens the journal of a claims partition.
func (r *requests) openJournal(ctx context.Context, partition owner.Partition, epoch owner.Epoch, apply func(*kumquatv1.Record)) (claimkeeper.Journal, error) {
	return journaler.Open(ctx, journaler.Options{
		Store:          r.daemon.store,
		Partition:      partition,
		Epoch:          epoch,
		Recorder:       r.daemon.recorder,
		Now:            time.Now,
		CommitInterval: claimCommitInterval,
	}, apply)
}

// version returns the version in force, or nil if there is none.
func (r *requests) version() *declarer.Version {
	version := r.daemon.configurer.Current()
	if version.Declarations == nil {
		return nil
	}
	return &version
}

// setVersion takes over declarations that came into force.
func (r *requests) setVersion(version declarer.Version) {
	r.slots.SetDeclarations(version.Declarations)
	r.budget.Set(version.Declarations.Link.MegabitsPerSecond, len(r.daemon.group.Peers())+1, time.Now())
}

// setHosts takes over the platform's list of hosts.
func (r *requests) setHosts(hosts []lister.Host) {
	r.slots.SetHosts(hosts)
}

// setPeers takes over the list of other daemons.
func (r *requests) setPeers() {
	peers := r.daemon.group.Peers()
	list := make([]forwarder.Peer, 0, len(peers))
	for _, peer := range peers {
		list = append(list, forwarder.Peer{
			Daemon:     peer.Daemon,
			Address:    peer.Address,
			DataCentre: peer.DataCentre,
			Region:     peer.Region,
			Leaving:    peer.IsLeaving(),
		})
	}
	r.forwarder.SetPeers(list)
	if declared := r.daemon.configurer.Declarations(); declared != nil {
		r.budget.Set(declared.Link.MegabitsPerSecond, len(peers)+1, time.Now())
	}
}

// observe takes over a peer's word of its load.
func (r *requests) observe(peer member.Peer, at time.Time) {
	for _, load := range peer.State.GetUpstreams() {
		r.forwarder.Observe(peer.Daemon, load.Upstream, forwarder.LoadFromWire(load, at))
	}
}

// loads returns what peers are told of this daemon's slots.
func (r *requests) loads(now time.Time) []*kumquatv1.UpstreamLoad {
	return forwarder.LoadsToWire(r.slots.Loads(now))
}

// drain waits until no request is in flight and no outcome is unreported.
func (r *requests) drain(ctx context.Context) {
	// What is left when the context ends is cut off.
	_ = r.router.Drain(ctx)
	_ = r.slots.Drain(ctx)
	_ = r.claimer.Drain(ctx)
}

// loseRunners ends the use of a partition of runners.
func (r *requests) loseRunners(partition owner.Partition, reason owner.Reason) {
	if reason != owner.ReasonHandover {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.daemon.settings.DrainTimeout)
	defer cancel()
	// A partition that isn't drained in time is not given away clean.
	_ = r.slots.DrainPartition(ctx, partition)
}

// close ends the parts.
func (r *requests) close() {
	// All of them wait for what they started and have nothing to report.
	_ = r.claimer.Close()
	_ = r.keeper.Close()
	_ = r.forwarder.Close()
	_ = r.slots.Close()
}
