package member

import (
	"context"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

const (
	// forgetAfter is how long a daemon without a record is still asked.
	forgetAfter = time.Minute
	// fullRatePeers is the number of peers up to which heartbeats keep their
	// interval; beyond it the interval grows, so that the rate stays bounded.
	fullRatePeers = 16
)

// beat sends heartbeats until the context ends.
func (g *Group) beat(ctx context.Context) error {
	toAll := false
	for ctx.Err() == nil {
		targets := g.targets(time.Now(), toAll)
		for _, address := range targets {
			g.ask(ctx, address)
		}
		toAll = g.rest(ctx, HeartbeatInterval*time.Duration(max(len(targets), fullRatePeers))/fullRatePeers)
	}
	return ctx.Err()
}

// rest pauses for an interval. It returns true at once if there is something
// to announce.
func (g *Group) rest(ctx context.Context, interval time.Duration) bool {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-g.announced:
		return true
	}
	return false
}

// targets returns the addresses to send a heartbeat to: those of all peers, or
// of two daemons with fresh proof only the one with the lower name asks; the
// answer serves both.
func (g *Group) targets(now time.Time, toAll bool) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var targets []string
	for name, peer := range g.peers {
		if !peer.Registered && Elapsed(peer.HeardAt, now) > forgetAfter {
			delete(g.peers, name)
			continue
		}
		if (toAll || g.hasToAsk(peer, now)) && !g.asking[peer.Address] {
			targets = append(targets, peer.Address)
		}
	}
	if len(g.peers) == 0 {
		targets = append(targets, g.settings.Seeds...)
	}
	for _, address := range targets {
		g.asking[address] = true
	}
	return targets
}

func (g *Group) hasToAsk(peer Peer, now time.Time) bool {
	if g.settings.Identity.Daemon < peer.Daemon || !peer.IsReachable(now) {
		return true
	}
	_, age := g.configuration(now)
	return age < 0 || age > HeartbeatInterval*2
}

// ask sends one heartbeat and takes in its answer.
func (g *Group) ask(ctx context.Context, address string) {
	g.calls.Go(func() {
		defer func() {
			g.mu.Lock()
			delete(g.asking, address)
			g.mu.Unlock()
		}()
		ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
		defer cancel()
		sent := time.Now()
		answer, err := g.settings.Dial(address).Heartbeat(ctx, g.state(sent))
		if err != nil || answer.GetState() == nil {
			return
		}
		if peer, ok := g.hear(answer.State, time.Now()); ok {
			g.tell(HeartbeatReply{Peer: peer, SentAt: sent})
		}
	})
}

// Heartbeat implements the peer service.
func (g *Group) Heartbeat(_ context.Context, req *kumquatv1.HeartbeatRequest) (*kumquatv1.HeartbeatResponse, error) {
	now := time.Now()
	if peer, ok := g.hear(req, now); ok {
		g.tellHeard(peer, now)
	}
	return &kumquatv1.HeartbeatResponse{State: g.state(now)}, nil
}

// state returns this daemon's word of itself.
func (g *Group) state(now time.Time) *kumquatv1.HeartbeatRequest {
	version, age := g.configuration(now)
	state := &kumquatv1.HeartbeatRequest{
		From:                 g.Incarnation(),
		DataCentre:           g.settings.Identity.DataCentre,
		Region:               g.settings.Identity.Region,
		Address:              g.settings.Identity.Address,
		Clock:                g.settings.Clock.Now(now),
		ConfigurationVersion: version,
		StoreProofAgeMillis:  -1,
		Leaving:              g.leaving.Load(),
	}
	if age >= 0 {
		// Rounded up: a proof must not look younger than it is.
		state.StoreProofAgeMillis = (age + time.Millisecond - 1).Milliseconds()
	}
	if g.settings.Upstreams != nil {
		state.Upstreams = g.settings.Upstreams()
	}
	return state
}

func (g *Group) configuration(now time.Time) (version int64, proofAge time.Duration) {
	if g.settings.Configuration == nil {
		return 0, -1
	}
	return g.settings.Configuration(now)
}

// hear takes in a peer's word of itself.
func (g *Group) hear(state *kumquatv1.HeartbeatRequest, now time.Time) (Peer, bool) {
	from := state.GetFrom()
	if from.GetDaemon() == "" || from.GetDaemon() == g.settings.Identity.Daemon {
		return Peer{}, false
	}
	if _, plausible := g.settings.Clock.Observe(state.Clock, now); !plausible {
		g.settings.Recorder.Record(now, EventClockRefused, recorder.Fields{"daemon": from.Daemon})
	}
	g.mu.Lock()
	known, ok := g.peers[from.Daemon]
	if ok && from.Number < known.Incarnation && known.Registered {
		g.mu.Unlock()
		return Peer{}, false // A former incarnation.
	}
	peer := known.WithState(state, now)
	if !known.Registered {
		peer.Member = Member{
			Identity: Identity{
				Daemon: from.Daemon, Address: state.Address,
				DataCentre: state.DataCentre, Region: state.Region,
			},
			Incarnation: from.Number,
			Token:       known.Token,
		}
	}
	g.peers[from.Daemon] = peer
	g.mu.Unlock()
	g.noteChange(known, peer, now)
	return peer, true
}

// noteChange records that a peer is heard again or started leaving.
func (g *Group) noteChange(known, peer Peer, now time.Time) {
	if !known.IsReachable(now) {
		g.settings.Recorder.Record(now, EventPeerHeard, recorder.Fields{"daemon": peer.Daemon})
	}
	if known.IsLeaving() != peer.IsLeaving() {
		g.notify()
	}
}

func (g *Group) tell(word HeartbeatReply) {
	g.mu.Lock()
	listeners := append([]func(HeartbeatReply){}, g.listeners...)
	g.mu.Unlock()
	for _, listener := range listeners {
		listener(word)
	}
}

func (g *Group) tellHeard(peer Peer, at time.Time) {
	g.mu.Lock()
	hearers := append([]func(Peer, time.Time){}, g.hearers...)
	g.mu.Unlock()
	for _, hearer := range hearers {
		hearer(peer, at)
	}
}
