package member

import (
	"context"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/kumquatstack/kumquatstack/internal/connection/storer"
	"github.com/kumquatstack/kumquatstack/internal/process/hlc"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/process/watcher"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// Settings are what a Group needs. Functions may be nil.
type Settings struct {
	Identity Identity
	Store    storer.Store
	Watcher  *watcher.Watcher
	Clock    *hlc.Clock
	Recorder recorder.Recorder
	// Dial returns a client of the daemon at an address.
	Dial func(address string) kumquatv1.Peer
	// Seeds are peer addresses to send heartbeats to while no peers are known.
	Seeds []string
	// Upstreams returns the numbers of free slots and of queued requests per
	// upstream, which heartbeats carry to the peers.
	Upstreams func() []*kumquatv1.UpstreamLoad
	// Configuration returns the version in force and the age of the proof
	// that the store holds no newer one; a negative age means no proof.
	Configuration func(now time.Time) (version int64, proofAge time.Duration)
	// OnLease is called after each registration of this daemon.
	OnLease func(Lease)
}

// A Group registers this daemon, exchanges heartbeats with the other daemons and
// keeps the last known state of each.
//
// Lock order: mu is a leaf; callbacks are called without it.
type Group struct {
	settings      Settings
	registrar     *Registrar
	isLeaving     atomic.Bool
	announcements chan struct{}

	mu                 sync.Mutex
	peers              map[string]Peer // by daemon name
	inFlight           map[string]bool // addresses to which a heartbeat is in progress
	replyListeners     []func(HeartbeatReply)
	heartbeatListeners []func(peer Peer, at time.Time)
	changeListeners    []func()
	calls              sync.WaitGroup
}

// New returns a group. It subscribes to the watcher.
func New(settings Settings) *Group {
	g := &Group{
		settings:      settings,
		registrar:     NewRegistrar(settings.Store, settings.Identity, settings.Recorder, settings.OnLease),
		announcements: make(chan struct{}, 1),
		peers:         make(map[string]Peer),
		inFlight:      make(map[string]bool),
	}
	settings.Watcher.Subscribe(Prefix, g.applyChanges)
	return g
}

// Registrar returns the registrar of the daemon's own member record.
func (g *Group) Registrar() *Registrar { return g.registrar }

// Identity returns the daemon's own identity.
func (g *Group) Identity() Identity { return g.settings.Identity }

// Lease returns the current state of the daemon's own lease.
func (g *Group) Lease() Lease { return g.registrar.Lease() }

// SetLeaving makes heartbeats state that the daemon is shutting down.
func (g *Group) SetLeaving() { g.isLeaving.Store(true) }

// Announce makes Run send heartbeats to all peers without waiting for the next
// interval, for example because this daemon can serve requests again.
func (g *Group) Announce() {
	select {
	case g.announcements <- struct{}{}:
	default:
	}
}

// OnHeartbeatReply registers a callback for answered heartbeats. It must not block.
func (g *Group) OnHeartbeatReply(listener func(HeartbeatReply)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.replyListeners = append(g.replyListeners, listener)
}

// OnHeartbeat registers a callback for heartbeats of other daemons, which gets the
// time of their arrival. It must not block. A heartbeat may have been delayed by
// any time, so the age of the configuration proof in it can't be relied on.
func (g *Group) OnHeartbeat(listener func(peer Peer, at time.Time)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.heartbeatListeners = append(g.heartbeatListeners, listener)
}

// OnChange registers a callback for changes of the membership: a member joins, is
// gone, or starts or stops leaving. It must not block.
func (g *Group) OnChange(listener func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.changeListeners = append(g.changeListeners, listener)
}

// Run registers the daemon and exchanges heartbeats until the context ends.
// It returns *IdentityClaimedError if another process holds the daemon's name.
func (g *Group) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return g.registrar.Run(ctx) })
	group.Go(func() error { return g.sendHeartbeats(ctx) })
	err := group.Wait()
	g.calls.Wait()
	return err
}

// Close revokes the daemon's lease. Run must have returned before.
func (g *Group) Close(ctx context.Context) error { return g.registrar.Close(ctx) }

// Incarnation returns the name and the current incarnation number of this daemon.
func (g *Group) Incarnation() *kumquatv1.Incarnation {
	return &kumquatv1.Incarnation{
		Daemon: g.settings.Identity.Daemon,
		Number: g.registrar.Lease().Incarnation,
	}
}

// Peers returns the other known daemons, sorted by name.
func (g *Group) Peers() []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	peers := make([]Peer, 0, len(g.peers))
	for _, peer := range g.peers {
		peers = append(peers, peer)
	}
	sort.Slice(peers, func(i, j int) bool { return peers[i].Daemon < peers[j].Daemon })
	return peers
}

// Peer returns what is known of another daemon.
func (g *Group) Peer(daemon string) (Peer, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	peer, ok := g.peers[daemon]
	return peer, ok
}

// Members returns the registered daemons, including this one, sorted by name.
func (g *Group) Members() []Member {
	var members []Member
	for _, entry := range g.settings.Watcher.Entries(Prefix) {
		if m, err := Parse(entry); err == nil {
			members = append(members, m)
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Daemon < members[j].Daemon })
	return members
}

// applyChanges updates the known peers from the watcher's changes of member records.
func (g *Group) applyChanges(changes []watcher.Change) {
	now := time.Now()
	for _, change := range changes {
		daemon := strings.TrimPrefix(change.Entry.Key, Prefix)
		if daemon == g.settings.Identity.Daemon {
			g.applyOwnChange(change)
			continue
		}
		if change.Deleted {
			g.setGone(daemon, now)
			continue
		}
		if m, err := Parse(change.Entry); err == nil {
			g.setMember(m, now)
		}
	}
	g.notifyChange()
}

// applyOwnChange ends the daemon's lease if its member record has been deleted.
func (g *Group) applyOwnChange(change watcher.Change) {
	if change.Deleted {
		g.registrar.signalDeleted(int64(change.Entry.Revision))
	}
}

// setMember adds or updates a peer from its member record. If the peer's address has
// changed, the state that the peer sent from its former address is dropped.
func (g *Group) setMember(m Member, now time.Time) {
	g.mu.Lock()
	known := g.peers[m.Daemon]
	peer := known.WithMember(m, true)
	if known.Address != m.Address {
		peer.State = nil
	}
	g.peers[m.Daemon] = peer
	g.mu.Unlock()
	g.settings.Recorder.Record(now, EventJoined, recorder.Fields{
		"daemon":      m.Daemon,
		"address":     m.Address,
		"incarnation": strconv.FormatInt(m.Incarnation, 10),
	})
}

// setGone marks a peer as unregistered. A peer that was leaving is removed.
func (g *Group) setGone(daemon string, now time.Time) {
	g.mu.Lock()
	peer, ok := g.peers[daemon]
	switch {
	case ok && peer.IsLeaving():
		delete(g.peers, daemon) // It shut down as planned and sends no more heartbeats.
	case ok:
		g.peers[daemon] = peer.WithMember(peer.Member, false)
	}
	g.mu.Unlock()
	if ok {
		g.settings.Recorder.Record(now, EventGone, recorder.Fields{
			"daemon":      daemon,
			"incarnation": strconv.FormatInt(peer.Incarnation, 10),
		})
	}
}

// notifyChange calls the callbacks of OnChange.
func (g *Group) notifyChange() {
	g.mu.Lock()
	listeners := append([]func(){}, g.changeListeners...)
	g.mu.Unlock()
	for _, listener := range listeners {
		listener()
	}
}
