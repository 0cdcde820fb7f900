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
	// Dial returns the client of the daemon at an address.
	Dial func(address string) kumquatv1.Peer
	// Seeds are peer addresses to ask while the store has not been read.
	Seeds []string
	// Upstreams returns the free slots and queued requests per upstream.
	Upstreams func() []*kumquatv1.UpstreamLoad
	// Configuration returns the version in force and the age of the proof
	// that the store holds no newer one; a negative age means no proof.
	Configuration func(now time.Time) (version int64, proofAge time.Duration)
	// OnLease is told of each registration of this daemon.
	OnLease func(Lease)
}

// A Group is this daemon's membership among all daemons.
//
// Lock order: mu is a leaf; callbacks are called without it.
type Group struct {
	settings  Settings
	registrar *Registrar
	leaving   atomic.Bool
	announced chan struct{}

	mu        sync.Mutex
	peers     map[string]Peer // by daemon name
	asking    map[string]bool // by address
	listeners []func(HeartbeatReply)
	hearers   []func(peer Peer, at time.Time)
	changed   []func()
	calls     sync.WaitGroup
}

// New returns a group. It subscribes to the watcher.
func New(settings Settings) *Group {
	g := &Group{
		settings:  settings,
		registrar: NewRegistrar(settings.Store, settings.Identity, settings.Recorder, settings.OnLease),
		announced: make(chan struct{}, 1),
		peers:     make(map[string]Peer),
		asking:    make(map[string]bool),
	}
	settings.Watcher.Subscribe(Prefix, g.take)
	return g
}

// Registrar returns the holder of the daemon's own record.
func (g *Group) Registrar() *Registrar { return g.registrar }

// Identity returns the daemon's own identity.
func (g *Group) Identity() Identity { return g.settings.Identity }

// Lease returns the daemon's own lease as it stands.
func (g *Group) Lease() Lease { return g.registrar.Lease() }

// SetLeaving announces that the daemon is stopping.
func (g *Group) SetLeaving() { g.leaving.Store(true) }

// Announce sends a heartbeat to all peers soon, for example because this
// daemon can serve requests again.
func (g *Group) Announce() {
	select {
	case g.announced <- struct{}{}:
	default:
	}
}

// OnHeartbeatReply registers a callback for answered heartbeats. It must not block.
func (g *Group) OnHeartbeatReply(listener func(HeartbeatReply)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listeners = append(g.listeners, listener)
}

// OnHeartbeat registers a callback for heartbeats of other daemons, with the time
// of their arrival. They may have been under way for any time, so that proofs
// in them count for nothing. It must not block.
func (g *Group) OnHeartbeat(hearer func(peer Peer, at time.Time)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hearers = append(g.hearers, hearer)
}

// OnChange registers a callback for members that come, go or start leaving.
// It must not block.
func (g *Group) OnChange(changed func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.changed = append(g.changed, changed)
}

// Run registers the daemon and exchanges heartbeats until the context ends.
// It returns *IdentityClaimedError if another process holds the name.
func (g *Group) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return g.registrar.Run(ctx) })
	group.Go(func() error { return g.beat(ctx) })
	err := group.Wait()
	g.calls.Wait()
	return err
}

// Close gives the daemon's lease back. Run has to have returned.
func (g *Group) Close(ctx context.Context) error { return g.registrar.Close(ctx) }

// Incarnation returns the daemon's incarnation.
func (g *Group) Incarnation() *kumquatv1.Incarnation {
	return &kumquatv1.Incarnation{
		Daemon: g.settings.Identity.Daemon,
		Number: g.registrar.Lease().Incarnation,
	}
}

// Peers returns the other daemons, by name.
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

// Members returns the registered daemons by name, this one included.
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

// take follows the member records of the store.
func (g *Group) take(changes []watcher.Change) {
	now := time.Now()
	for _, change := range changes {
		daemon := strings.TrimPrefix(change.Entry.Key, Prefix)
		if daemon == g.settings.Identity.Daemon {
			g.followOwn(change)
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
	g.notify()
}

// followOwn ends the daemon's lease if its record was removed.
func (g *Group) followOwn(change watcher.Change) {
	if change.Deleted {
		g.registrar.noteDeleted(int64(change.Entry.Revision))
	}
}

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

func (g *Group) setGone(daemon string, now time.Time) {
	g.mu.Lock()
	peer, ok := g.peers[daemon]
	switch {
	case ok && peer.IsLeaving():
		delete(g.peers, daemon) // A planned stop: it won't be heard again.
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

func (g *Group) notify() {
	g.mu.Lock()
	changed := append([]func(){}, g.changed...)
	g.mu.Unlock()
	for _, call := range changed {
		call()
	}
}
