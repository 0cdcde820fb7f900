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
	Address    string // IP address and port of its listener for peers
	DataCentre string
	Region     string
	Leaving    bool
}

// peers holds the list of peers and their reported loads. It is safe for
// concurrent use.
type peers struct {
	mu     sync.Mutex
	list   []Peer
	loads  map[loadKey]Load
	offset int // rotates the choice among equal peers
}

// A loadKey identifies the load of one upstream at one daemon.
type loadKey struct {
	daemon   string
	upstream string
}

// set replaces the list and deletes the loads of peers that are not in it.
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

// observe records a peer's load unless a later report is known.
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

// suspect deletes the loads of a peer, so that it gets no requests until it
// reports its load again.
func (p *peers) suspect(daemon string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key := range p.loads {
		if key.daemon == daemon {
			delete(p.loads, key)
		}
	}
}

// choose picks a peer and counts the request as sent to it.
func (p *peers) choose(query query, now time.Time) (peer Peer, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list, candidates := p.candidates(query)
	p.offset++
	index, ok := Choose(query.own, candidates, p.offset, now)
	if !ok {
		index, ok = ChooseRemote(regionWait(query.own, candidates, now), query.linkDelay, candidates, now)
		ok = ok && query.mayCross()
	}
	if !ok {
		return Peer{}, false
	}
	key := loadKey{daemon: list[index].Daemon, upstream: query.upstream}
	load := p.loads[key]
	load.SentSince++
	p.loads[key] = load
	return list[index], true
}

// A query describes the request that a peer is needed for.
type query struct {
	upstream   string
	dataCentre string
	region     string
	own        Load
	linkDelay  time.Duration
	// excluded lists the daemons that have refused the request.
	excluded []string
	// mayCross reserves the bytes to send to another region in the budget and
	// reports whether there were enough.
	mayCross func() bool
}

// candidates returns the peers that are neither leaving nor excluded, and a
// candidate for each.
func (p *peers) candidates(query query) ([]Peer, []Candidate) {
	list := make([]Peer, 0, len(p.list))
	candidates := make([]Candidate, 0, len(p.list))
	for _, peer := range p.list {
		if peer.Leaving || slices.Contains(query.excluded, peer.Daemon) {
			continue
		}
		list = append(list, peer)
		candidates = append(candidates, Candidate{
			IsLocal: peer.DataCentre == query.dataCentre,
			Remote:  peer.Region != query.region,
			Load:    p.loads[loadKey{daemon: peer.Daemon, upstream: query.upstream}],
		})
	}
	return list, candidates
}

// regionWait returns the shortest known expected wait in this region.
func regionWait(own Load, candidates []Candidate, now time.Time) time.Duration {
	wait := own.Wait()
	for _, c := range candidates {
		if !c.Remote && c.Load.isKnown(now) {
			wait = min(wait, c.Load.Wait())
		}
	}
	return wait
}

// LoadsToWire encodes loads for a heartbeat.
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

// LoadFromWire decodes a load of a heartbeat.
func LoadFromWire(load *kumquatv1.UpstreamLoad, reportedAt time.Time) Load {
	return Load{
		Slots:       int(load.GetSlots()),
		Free:        int(load.GetFreeSlots()),
		Queued:      int(load.GetQueued()),
		MeanService: time.Duration(load.GetServiceMicros()) * time.Microsecond,
		ReportedAt:  reportedAt,
	}
}
