package forwarder

import (
	"slices"
	"sync"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/slotter"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// A Peer is another daemon.
type Peer struct {
	Daemon     string
	Address    string // IP number and port of the peers' listener
	DataCentre string
	Region     string
	Leaving    bool
}

// peers is the table of peers and their loads.
type peers struct {
	mu     sync.Mutex
	list   []Peer
	loads  map[loadKey]Load
	offset int
}

// A loadKey names the load of one upstream at one daemon.
type loadKey struct {
	daemon   string
	upstream string
}

// set replaces the list and forgets the loads of peers that are gone.
func (p *peers) set(list []Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = slices.Clone(list)
	for key := range p.loads {
		if !slices.ContainsFunc(p.list, func(peer Peer) bool { return peer.Daemon == key.daemon }) {
			delete(p.loads, key)
		}
	}
}

// observe takes over word of a peer's load unless newer word is known.
func (p *peers) observe(daemon, upstream string, load Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := loadKey{daemon: daemon, upstream: upstream}
	if load.ReportedAt.Before(p.loads[key].ReportedAt) {
		return
	}
	load.SentSince = 0
	p.loads[key] = load
}

// suspect forgets the loads of a peer until there is newer word of it.
func (p *peers) suspect(daemon string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key := range p.loads {
		if key.daemon == daemon {
			delete(p.loads, key)
		}
	}
}

// choose picks a peer and counts the request as sent there.
func (p *peers) choose(ask ask, now time.Time) (peer Peer, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list, candidates := p.candidates(ask)
	p.offset++
	index, ok := Choose(ask.own, candidates, p.offset, now)
	if !ok {
		index, ok = ChooseRemote(regionWait(ask.own, candidates, now), ask.linkDelay, candidates, now)
		ok = ok && ask.mayCross()
	}
	if !ok {
		return Peer{}, false
	}
	key := loadKey{daemon: list[index].Daemon, upstream: ask.upstream}
	load := p.loads[key]
	load.SentSince++
	p.loads[key] = load
	return list[index], true
}

// An ask is a request for a peer.
type ask struct {
	upstream   string
	dataCentre string
	region     string
	own        Load
	linkDelay  time.Duration
	// except lists the daemons that the request has been refused by.
	except []string
	// mayCross reserves the bytes for another region.
	mayCross func() bool
}

// candidates returns the peers that may take a request.
func (p *peers) candidates(ask ask) ([]Peer, []Candidate) {
	list := make([]Peer, 0, len(p.list))
	candidates := make([]Candidate, 0, len(p.list))
	for _, peer := range p.list {
		if peer.Leaving || slices.Contains(ask.except, peer.Daemon) {
			continue
		}
		list = append(list, peer)
		candidates = append(candidates, Candidate{
			Near:   peer.DataCentre == ask.dataCentre,
			Remote: peer.Region != ask.region,
			Load:   p.loads[loadKey{daemon: peer.Daemon, upstream: ask.upstream}],
		})
	}
	return list, candidates
}

// regionWait returns the shortest expected wait in this region.
func regionWait(own Load, candidates []Candidate, now time.Time) time.Duration {
	wait := own.Wait()
	for _, c := range candidates {
		if !c.Remote && c.Load.isKnown(now) {
			wait = min(wait, c.Load.Wait())
		}
	}
	return wait
}

// LoadsToWire returns the loads that a heartbeat carries.
func LoadsToWire(loads []slotter.Load) []*kumquatv1.UpstreamLoad {
	wire := make([]*kumquatv1.UpstreamLoad, 0, len(loads))
	for _, load := range loads {
		wire = append(wire, &kumquatv1.UpstreamLoad{
			Upstream:      load.Upstream,
			FreeSlots:     int32(load.Free),
			Queued:        int32(load.Queued),
			Slots:         int32(load.Slots),
			ServiceMicros: load.Service.Microseconds(),
		})
	}
	return wire
}

// LoadFromWire returns the load that a heartbeat carries.
func LoadFromWire(load *kumquatv1.UpstreamLoad, seenAt time.Time) Load {
	return Load{
		Slots:       int(load.GetSlots()),
		Free:        int(load.GetFreeSlots()),
		Queued:      int(load.GetQueued()),
		MeanService: time.Duration(load.GetServiceMicros()) * time.Microsecond,
		ReportedAt:  seenAt,
	}
}
