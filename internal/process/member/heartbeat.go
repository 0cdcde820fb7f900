package member

import (
	"context"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

const (
	// forgetAfter is how long a daemon without a member record remains a peer after
	// its last heartbeat has arrived.
	forgetAfter = time.Minute
	// fullRatePeers is the number of peers up to which heartbeats are sent every
	// HeartbeatInterval. With more peers the interval grows in proportion, so that
	// the rate of calls stays bounded.
	fullRatePeers = 16
)

// sendHeartbeats sends heartbeats until the context ends.
func (g *Group) sendHeartbeats(ctx context.Context) error {
	toAll := false
	for ctx.Err() == nil {
		targets := g.targets(time.Now(), toAll)
		for _, address := range targets {
			g.sendHeartbeat(ctx, address)
		}
		toAll = g.waitInterval(ctx, HeartbeatInterval*time.Duration(max(len(targets), fullRatePeers))/fullRatePeers)
	}
	return ctx.Err()
}

// waitInterval waits for an interval. It returns true early if Announce is called.
func (g *Group) waitInterval(ctx context.Context, interval time.Duration) bool {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-g.announcements:
		return true
	}
	return false
}

// targets returns the addresses to send a heartbeat to and marks them as in flight:
// those of all peers if toAll is set, otherwise of the peers for which mustSend is
// true. If no peers are known, it adds the seeds.
func (g *Group) targets(now time.Time, toAll bool) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var targets []string
	for name, peer := range g.peers {
		if !peer.Registered && Elapsed(peer.HeardAt, now) > forgetAfter {
			delete(g.peers, name)
			continue
		}
		if (toAll || g.mustSend(peer, now)) && !g.inFlight[peer.Address] {
			targets = append(targets, peer.Address)
		}
	}
	if len(g.peers) == 0 {
		targets = append(targets, g.settings.Seeds...)
	}
	for _, address := range targets {
		g.inFlight[address] = true
	}
	return targets
}

// mustSend reports whether this daemon has to send heartbeats to a peer. Of two
// daemons that reach each other, only the one with the lower name sends, because the
// answer informs both; the other one sends too if it lacks a fresh proof of the
// configuration.
func (g *Group) mustSend(peer Peer, now time.Time) bool {
	if g.settings.Identity.Daemon < peer.Daemon || !peer.IsReachable(now) {
		return true
	}
	_, age := g.configuration(now)
	return age < 0 || age > HeartbeatInterval*2
}

// sendHeartbeat sends one heartbeat in a goroutine and processes the answer.
func (g *Group) sendHeartbeat(ctx context.Context, address string) {
	g.calls.Go(func() {
		defer func() {
			g.mu.Lock()
			delete(g.inFlight, address)
			g.mu.Unlock()
		}()
		ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
		defer cancel()
		sent := time.Now()
		answer, err := g.settings.Dial(address).Heartbeat(ctx, g.ownState(sent))
		if err != nil || answer.GetState() == nil {
			return
		}
		if peer, ok := g.observe(answer.State, time.Now()); ok {
			g.notifyReply(HeartbeatReply{Peer: peer, SentAt: sent})
		}
	})
}

// Heartbeat implements the peer service. It processes the caller's state and returns
// this daemon's.
func (g *Group) Heartbeat(_ context.Context, req *kumquatv1.HeartbeatRequest) (*kumquatv1.HeartbeatResponse, error) {
	now := time.Now()
	if peer, ok := g.observe(req, now); ok {
		g.notifyHeartbeat(peer, now)
	}
	return &kumquatv1.HeartbeatResponse{State: g.ownState(now)}, nil
}

// ownState returns the state of this daemon that heartbeats and answers carry.
func (g *Group) ownState(now time.Time) *kumquatv1.HeartbeatRequest {
	version, age := g.configuration(now)
	state := &kumquatv1.HeartbeatRequest{
		From:                 g.Incarnation(),
		DataCentre:           g.settings.Identity.DataCentre,
		Region:               g.settings.Identity.Region,
		Address:              g.settings.Identity.Address,
		Clock:                g.settings.Clock.Now(now),
		ConfigurationVersion: version,
		StoreProofAgeMillis:  -1,
		Leaving:              g.isLeaving.Load(),
	}
	if age >= 0 {
		// Rounded up, so that the proof does not look fresher than it is.
		state.StoreProofAgeMillis = (age + time.Millisecond - 1).Milliseconds()
	}
	if g.settings.Upstreams != nil {
		state.Upstreams = g.settings.Upstreams()
	}
	return state
}

// configuration returns the version of the configuration in force and the age of the
// proof that it is the newest, which is negative without a proof.
func (g *Group) configuration(now time.Time) (version int64, proofAge time.Duration) {
	if g.settings.Configuration == nil {
		return 0, -1
	}
	return g.settings.Configuration(now)
}

// observe updates the peer that sent a state, by a heartbeat or an answer to one, and
// returns the peer. It returns false if the state names no sender, or was sent by this
// daemon or by a former incarnation of the peer.
func (g *Group) observe(state *kumquatv1.HeartbeatRequest, now time.Time) (Peer, bool) {
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
		return Peer{}, false // The state is of a former incarnation.
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
	g.recordChange(known, peer, now)
	return peer, true
}

// recordChange records an event if a peer is reachable again, and notifies the
// listeners if the peer starts or stops leaving. known is the peer before the change.
func (g *Group) recordChange(known, peer Peer, now time.Time) {
	if !known.IsReachable(now) {
		g.settings.Recorder.Record(now, EventPeerHeard, recorder.Fields{"daemon": peer.Daemon})
	}
	if known.IsLeaving() != peer.IsLeaving() {
		g.notifyChange()
	}
}

// notifyReply calls the callbacks of OnHeartbeatReply.
func (g *Group) notifyReply(reply HeartbeatReply) {
	g.mu.Lock()
	listeners := append([]func(HeartbeatReply){}, g.replyListeners...)
	g.mu.Unlock()
	for _, listener := range listeners {
		listener(reply)
	}
}

// notifyHeartbeat calls the callbacks of OnHeartbeat.
func (g *Group) notifyHeartbeat(peer Peer, at time.Time) {
	g.mu.Lock()
	listeners := append([]func(Peer, time.Time){}, g.heartbeatListeners...)
	g.mu.Unlock()
	for _, listener := range listeners {
		listener(peer, at)
	}
}
