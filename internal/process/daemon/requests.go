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

// claimCommitInterval is the minimum time between two commits of claims.
const claimCommitInterval = 5 * time.Millisecond

// requests holds the components that urgent requests pass through.
type requests struct {
	keeper    *claimkeeper.Keeper
	daemon    *Daemon
	slots     *slotter.Slots
	budget    *budgeter.Budget
	forwarder *forwarder.Forwarder
	claimer   *claimer.Claimer
	router    *router.Router
}

// newRequests returns the components of a daemon whose owner, group and configurer already exist.
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
	d.group.OnHeartbeatReply(func(reply member.HeartbeatReply) { r.observeLoads(reply.Peer, reply.SentAt) })
	d.group.OnHeartbeat(r.observeLoads)
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

// version returns the version of the declarations in force, or nil if there is none.
func (r *requests) version() *declarer.Version {
	version := r.daemon.configurer.Current()
	if version.Declarations == nil {
		return nil
	}
	return &version
}

// setVersion applies declarations that came into force.
func (r *requests) setVersion(version declarer.Version) {
	r.slots.SetDeclarations(version.Declarations)
	r.budget.Set(version.Declarations.Link.MegabitsPerSecond, len(r.daemon.group.Peers())+1, time.Now())
}

// setHosts applies a change of the platform's list of hosts.
func (r *requests) setHosts(hosts []lister.Host) {
	r.slots.SetHosts(hosts)
}

// setPeers applies a change of the list of other daemons. The inter-region link's budget is shared
// evenly among the daemons, so it changes too.
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

// observeLoads passes the loads of upstreams that a peer reported at the given time to the
// forwarder.
func (r *requests) observeLoads(peer member.Peer, at time.Time) {
	for _, load := range peer.State.GetUpstreams() {
		r.forwarder.Observe(peer.Daemon, load.Upstream, forwarder.LoadFromWire(load, at))
	}
}

// loads returns the loads of this daemon's slots, as they are reported to peers.
func (r *requests) loads(now time.Time) []*kumquatv1.UpstreamLoad {
	return forwarder.LoadsToWire(r.slots.Loads(now))
}

// drain waits until all requests have ended and all outcomes have been reported.
func (r *requests) drain(ctx context.Context) {
	// Requests that are still in flight when the context ends are cut off.
	_ = r.router.Drain(ctx)
	_ = r.slots.Drain(ctx)
	_ = r.claimer.Drain(ctx)
}

// loseRunners waits, before a partition of runners is handed over, until no request uses a runner
// of the partition, and reports whether none does. It doesn't wait if the partition is lost for
// another reason.
func (r *requests) loseRunners(partition owner.Partition, reason owner.Reason) (isEnded bool) {
	if reason != owner.ReasonHandover {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.daemon.settings.DrainTimeout)
	defer cancel()
	// The partition is given away even if it isn't drained in time.
	return r.slots.DrainPartition(ctx, partition) == nil
}

// close closes the components.
func (r *requests) close() {
	// Each waits for its goroutines and has no error to report.
	_ = r.claimer.Close()
	_ = r.keeper.Close()
	_ = r.forwarder.Close()
	_ = r.slots.Close()
}
