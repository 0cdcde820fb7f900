package slots

import (
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/forwarder"
	"github.com/kumquatstack/kumquatstack/internal/process/picker"
	"github.com/kumquatstack/kumquatstack/internal/request/queuer"
)

// serviceWeight is the weight of the newest service time in the moving average
// of a daemon.
const serviceWeight = 0.02

// ownerForwarding makes one daemon the owner of each runner. A daemon forwards
// requests to peers when the runners that it owns are full. The functions that the
// real daemons use decide where a request runs.
type ownerForwarding struct {
	sim   *simulation
	nodes []*node
}

// A waiting is a request that is queued at a daemon, with the function that passes
// on the request's answer.
type waiting struct {
	request *request
	reply   func(answered bool)
}

// A node is a simulated daemon.
type node struct {
	id int
	// candidates are the daemon's own runners as the picker sees them, and runners
	// the indexes of the same runners.
	candidates []picker.Candidate
	runners    []int
	// median is the median latency of the daemon's own runners.
	median time.Duration
	queue  *queuer.Queue[waiting]
	// service is the moving average of the service times.
	service time.Duration
	loads   []forwarder.Load // by daemon
	// offset varies which of several equal runners or peers is chosen.
	offset int
	dead   bool
}

func newOwnerForwarding(s *simulation) policy {
	o := &ownerForwarding{sim: s}
	for id := range daemons {
		o.nodes = append(o.nodes, &node{
			id: id, queue: queuer.New[waiting](1000), service: meanService, loads: make([]forwarder.Load, daemons),
		})
	}
	for runner := range runners {
		n := o.nodes[runner%daemons]
		n.runners = append(n.runners, runner)
		n.candidates = append(n.candidates, picker.Candidate{IsLocal: true, Slots: slotsPerRunner})
	}
	for _, n := range o.nodes {
		o.broadcastLoad(n)
	}
	return o
}

func (o *ownerForwarding) name() string { return "owner with forwarding" }

// broadcastLoad sends a daemon's load to all daemons, and repeats this at each
// heartbeat.
func (o *ownerForwarding) broadcastLoad(n *node) {
	if n.dead || o.sim.now > o.sim.scenario.Duration {
		return
	}
	n.median = picker.Median(n.candidates)
	load := o.load(n)
	o.sim.after(hop, func() {
		for _, other := range o.nodes {
			o.updateLoad(other, n.id, load)
		}
	})
	o.sim.after(heartbeat, func() { o.broadcastLoad(n) })
}

// updateLoad records the reported load of a peer.
func (o *ownerForwarding) updateLoad(n *node, peer int, load forwarder.Load) {
	load.ReportedAt = o.sim.clock()
	load.SentSince = 0
	n.loads[peer] = load
}

// load returns a daemon's own present load.
func (o *ownerForwarding) load(n *node) forwarder.Load {
	now := o.sim.clock()
	load := forwarder.Load{Queued: n.queue.Len(), MeanService: n.service, ReportedAt: now}
	for _, c := range n.candidates {
		load.Slots += c.Health.Limit(c.Slots, n.median, now)
		load.Free += c.Free(n.median, now)
	}
	return load
}

func (o *ownerForwarding) arrive(r *request) {
	o.place(o.nodes[r.daemon], r, func(answered bool) { o.sim.finish(r, answered) })
}

// place starts a request on one of the daemon's own runners, or else forwards the
// request to a peer or queues it. The answer returns through the daemons that
// forwarded the request.
func (o *ownerForwarding) place(n *node, r *request, reply func(answered bool)) {
	if n.dead {
		reply(false)
		return
	}
	if n.queue.Len() == 0 && o.start(n, r, reply) {
		return
	}
	if peer, ok := o.choose(n, r); ok {
		o.forward(n, peer, r, reply)
		return
	}
	item := queuer.Item[waiting]{Value: waiting{request: r, reply: reply}, Caller: "all", Deadline: r.deadline}
	_, _, err := n.queue.Push(item, 0, o.sim.clock())
	if err != nil {
		o.sim.drop(r)
	}
}

// choose returns the peer to which the forwarder would forward a request.
func (o *ownerForwarding) choose(n *node, r *request) (*node, bool) {
	if r.hops >= forwarder.MaxHops {
		return nil, false
	}
	var peers []*node
	var candidates []forwarder.Candidate
	for _, peer := range o.nodes {
		if peer != n && (!peer.dead || o.sim.now-o.sim.diedAt < detection) {
			peers = append(peers, peer)
			candidates = append(candidates, forwarder.Candidate{IsLocal: true, Load: n.loads[peer.id]})
		}
	}
	n.offset++
	index, ok := forwarder.Choose(o.load(n), candidates, n.offset, o.sim.clock())
	if !ok {
		return nil, false
	}
	n.loads[peers[index].id].SentSince++
	return peers[index], true
}

// forward sends a request to a peer. The answer comes back with the peer's
// load.
func (o *ownerForwarding) forward(n, peer *node, r *request, reply func(answered bool)) {
	r.hops++
	o.sim.result.Forwards++
	o.sim.after(hop, func() {
		o.place(peer, r, func(answered bool) {
			load := o.load(peer)
			o.sim.after(hop, func() {
				o.updateLoad(n, peer.id, load)
				reply(answered && !n.dead)
			})
		})
	})
}

// start starts a request on a free slot of a daemon's runners. It returns false
// if the picker chooses no slot.
func (o *ownerForwarding) start(n *node, r *request, reply func(answered bool)) bool {
	n.offset++
	index, ok := picker.Pick(n.candidates, n.offset, true, n.median, o.sim.clock())
	if !ok {
		return false
	}
	n.candidates[index].InFlight++
	began := o.sim.now
	o.sim.serve(n.runners[index], r, func(answered bool) {
		reply(answered && !n.dead)
		o.free(n, index, o.sim.now-began, answered)
	})
	return true
}

// free releases a slot of a runner, records the outcome and duration of the request
// that used the slot, and starts requests that wait at the daemon.
func (o *ownerForwarding) free(n *node, index int, used time.Duration, answered bool) {
	now := o.sim.clock()
	c := &n.candidates[index]
	c.InFlight--
	outcome := picker.Failed
	if answered {
		outcome = picker.Answered
	}
	c.Health = c.Health.With(outcome, used, now)
	n.service += time.Duration(serviceWeight * float64(used-n.service))
	for n.queue.Len() > 0 && !n.dead {
		first := n.queue.First()
		w := first.Item.Value
		if now.After(w.request.deadline) {
			n.queue.Remove(first)
			o.sim.drop(w.request)
			continue
		}
		if !o.start(n, w.request, w.reply) {
			return
		}
		n.queue.Remove(first)
	}
}

func (o *ownerForwarding) killDaemon(daemon int) {
	n := o.nodes[daemon]
	n.dead = true
	for n.queue.Len() > 0 {
		first := n.queue.First()
		n.queue.Remove(first)
		first.Item.Value.reply(false)
	}
}
