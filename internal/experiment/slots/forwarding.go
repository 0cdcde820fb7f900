package slots

import (
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/forwarder"
	"github.com/kumquatstack/kumquatstack/internal/process/picker"
	"github.com/kumquatstack/kumquatstack/internal/request/queuer"
)

// serviceWeight is the weight of the newest use in the mean use of a slot.
const serviceWeight = 0.02

// ownerForwarding gives each runner to one daemon, which forwards requests to
// peers when its own runners are full. It uses the product's decisions.
type ownerForwarding struct {
	world *world
	nodes []*node
}

// A waiting request knows the way back of its answer.
type waiting struct {
	request *request
	reply   func(answered bool)
}

// A node is one daemon.
type node struct {
	id         int
	candidates []picker.Candidate
	runners    []int
	median     time.Duration
	queue      *queuer.Queue[waiting]
	service    time.Duration
	loads      []forwarder.Load // by daemon
	offset     int
	dead       bool
}

func newOwnerForwarding(w *world) policy {
	o := &ownerForwarding{world: w}
	for id := range daemons {
		o.nodes = append(o.nodes, &node{
			id: id, queue: queuer.New[waiting](1000), service: meanService, loads: make([]forwarder.Load, daemons),
		})
	}
	for runner := range runners {
		n := o.nodes[runner%daemons]
		n.runners = append(n.runners, runner)
		n.candidates = append(n.candidates, picker.Candidate{Near: true, Slots: slotsPerRunner})
	}
	for _, n := range o.nodes {
		o.beat(n)
	}
	return o
}

func (o *ownerForwarding) name() string { return "owner with forwarding" }

// beat sends a daemon's load to all others, and again after a while.
func (o *ownerForwarding) beat(n *node) {
	if n.dead || o.world.now > o.world.scenario.Duration {
		return
	}
	n.median = picker.Median(n.candidates)
	load := o.load(n)
	o.world.after(hop, func() {
		for _, other := range o.nodes {
			o.learn(other, n.id, load)
		}
	})
	o.world.after(heartbeat, func() { o.beat(n) })
}

// learn takes over word of a peer's load.
func (o *ownerForwarding) learn(n *node, peer int, load forwarder.Load) {
	load.ReportedAt = o.world.clock()
	load.SentSince = 0
	n.loads[peer] = load
}

// load returns a daemon's own load.
func (o *ownerForwarding) load(n *node) forwarder.Load {
	now := o.world.clock()
	load := forwarder.Load{Queued: n.queue.Len(), MeanService: n.service, ReportedAt: now}
	for _, c := range n.candidates {
		load.Slots += c.Health.Limit(c.Slots, n.median, now)
		load.Free += c.Free(n.median, now)
	}
	return load
}

func (o *ownerForwarding) arrive(r *request) {
	o.place(o.nodes[r.daemon], r, func(answered bool) { o.world.finish(r, answered) })
}

// place starts a request, forwards it or lets it wait. The answer goes back
// the way that the request came.
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
	_, _, err := n.queue.Push(item, 0, o.world.clock())
	if err != nil {
		o.world.refuse(r)
	}
}

// choose picks a peer by the product's decision.
func (o *ownerForwarding) choose(n *node, r *request) (*node, bool) {
	if r.hops >= forwarder.MaxHops {
		return nil, false
	}
	var peers []*node
	var candidates []forwarder.Candidate
	for _, peer := range o.nodes {
		if peer != n && (!peer.dead || o.world.now-o.world.diedAt < detection) {
			peers = append(peers, peer)
			candidates = append(candidates, forwarder.Candidate{Near: true, Load: n.loads[peer.id]})
		}
	}
	n.offset++
	index, ok := forwarder.Choose(o.load(n), candidates, n.offset, o.world.clock())
	if !ok {
		return nil, false
	}
	n.loads[peers[index].id].SentSince++
	return peers[index], true
}

// forward passes a request to a peer and its answer back, with the peer's load.
func (o *ownerForwarding) forward(n, peer *node, r *request, reply func(answered bool)) {
	r.hops++
	o.world.result.Forwards++
	o.world.after(hop, func() {
		o.place(peer, r, func(answered bool) {
			load := o.load(peer)
			o.world.after(hop, func() {
				o.learn(n, peer.id, load)
				reply(answered && !n.dead)
			})
		})
	})
}

// start starts a request on a free slot of a daemon.
func (o *ownerForwarding) start(n *node, r *request, reply func(answered bool)) bool {
	n.offset++
	index, ok := picker.Pick(n.candidates, n.offset, true, n.median, o.world.clock())
	if !ok {
		return false
	}
	n.candidates[index].InFlight++
	began := o.world.now
	o.world.serve(n.runners[index], r, func(answered bool) {
		reply(answered && !n.dead)
		o.free(n, index, o.world.now-began, answered)
	})
	return true
}

// free ends the use of a slot and starts what waits.
func (o *ownerForwarding) free(n *node, index int, used time.Duration, answered bool) {
	now := o.world.clock()
	c := &n.candidates[index]
	c.InFlight--
	seen := picker.Failed
	if answered {
		seen = picker.Answered
	}
	c.Health = c.Health.With(seen, used, now)
	n.service += time.Duration(serviceWeight * float64(used-n.service))
	for n.queue.Len() > 0 && !n.dead {
		first := n.queue.First()
		w := first.Item.Value
		if now.After(w.request.deadline) {
			n.queue.Remove(first)
			o.world.refuse(w.request)
			continue
		}
		if !o.start(n, w.request, w.reply) {
			return
		}
		n.queue.Remove(first)
	}
}

func (o *ownerForwarding) die(daemon int) {
	n := o.nodes[daemon]
	n.dead = true
	for n.queue.Len() > 0 {
		first := n.queue.First()
		n.queue.Remove(first)
		first.Item.Value.reply(false)
	}
}
