package slots

import "time"

// A pool is a first-in, first-out queue in front of a set of runners.
type pool struct {
	sim *simulation
	// free lists the runners that have free slots, with one entry for each slot.
	free    []int
	waiting []*request
	// onDone is called when a request that the pool started has ended.
	onDone func(r *request, answered bool)
	// dead is whether the daemon of the pool has died.
	dead bool
}

// add queues a request and starts it if a slot is free.
func (p *pool) add(r *request) {
	p.waiting = append(p.waiting, r)
	p.start()
}

// start starts waiting requests on free slots and drops those whose deadline has
// passed.
func (p *pool) start() {
	for len(p.waiting) > 0 && len(p.free) > 0 && !p.dead {
		r := p.waiting[0]
		p.waiting = p.waiting[1:]
		if p.sim.clock().After(r.deadline) {
			p.sim.drop(r)
			continue
		}
		runner := p.free[0]
		p.free = p.free[1:]
		p.sim.serve(runner, r, func(answered bool) {
			p.free = append(p.free, runner)
			p.onDone(r, answered && !p.dead)
			p.start()
		})
	}
}

// perfectQueue is a single queue that knows the state of all slots without
// delay and sends no request to a faulty runner during the whole run. The latency
// of this policy is the bound with which the other policies are compared.
type perfectQueue struct {
	sim  *simulation
	pool *pool
	// lost is the number of slots that are still to be removed from the pool
	// after the death of a daemon.
	lost int
}

func newPerfectQueue(s *simulation) policy {
	q := &perfectQueue{sim: s, pool: &pool{sim: s, onDone: s.finish}}
	hasFaultyRunner := s.scenario.Fault == RunnerFails || s.scenario.Fault == RunnerSlow
	for slot := range allSlots {
		if runner := slot % runners; !hasFaultyRunner || runner != faultyRunner {
			q.pool.free = append(q.pool.free, runner)
		}
	}
	return q
}

func (q *perfectQueue) name() string      { return "perfect queue" }
func (q *perfectQueue) arrive(r *request) { q.pool.add(r) }

// killDaemon removes an eighth of the slots, the share of one of the eight
// daemons.
func (q *perfectQueue) killDaemon(int) {
	q.lost = allSlots / daemons
	q.shrink()
}

// shrink removes as many free slots as are still lost, and runs again after a
// millisecond until all lost slots are removed.
func (q *perfectQueue) shrink() {
	taken := min(q.lost, len(q.pool.free))
	q.pool.free = q.pool.free[taken:]
	q.lost -= taken
	if q.lost > 0 {
		q.sim.after(time.Millisecond, q.shrink)
	}
}

// fixedSplit assigns one slot of each runner to each daemon. A request waits at
// the daemon where it arrives.
type fixedSplit struct{ pools []*pool }

func newFixedSplit(s *simulation) policy {
	split := &fixedSplit{}
	for range daemons {
		p := &pool{sim: s, onDone: s.finish}
		for runner := range runners {
			p.free = append(p.free, runner)
		}
		split.pools = append(split.pools, p)
	}
	return split
}

func (s *fixedSplit) name() string          { return "fixed split" }
func (s *fixedSplit) arrive(r *request)     { s.pools[r.daemon].add(r) }
func (s *fixedSplit) killDaemon(daemon int) { kill(s.pools[daemon]) }

// kill stops the pool of a daemon that has died and fails the requests that
// wait there.
func kill(p *pool) {
	p.dead = true
	for _, r := range p.waiting {
		p.sim.finish(r, false)
	}
	p.waiting = nil
}

// randomChoice sends each request to a random runner. A request waits in the
// queue of that runner.
type randomChoice struct {
	sim   *simulation
	pools []*pool
}

func newRandomChoice(s *simulation) policy {
	c := &randomChoice{sim: s}
	for runner := range runners {
		p := &pool{sim: s, onDone: s.finish}
		for range slotsPerRunner {
			p.free = append(p.free, runner)
		}
		c.pools = append(c.pools, p)
	}
	return c
}

func (c *randomChoice) name() string      { return "random choice" }
func (c *randomChoice) arrive(r *request) { c.pools[c.sim.random.IntN(runners)].add(r) }
func (c *randomChoice) killDaemon(int)    {}

// leasedCredits has a central authority that leases slots to daemons; a credit is
// one leased slot. A daemon requests a credit when a request has to wait, and
// returns idle credits above maxIdleCredits.
type leasedCredits struct {
	sim   *simulation
	pools []*pool
	// available lists the runners of the credits that are not leased.
	available []int
	// requesters lists the daemons that wait for a credit, in the order of their
	// requests.
	requesters []int
}

// maxIdleCredits is the largest number of idle credits that a daemon keeps.
const maxIdleCredits = 4

func newLeasedCredits(s *simulation) policy {
	l := &leasedCredits{sim: s}
	for slot := range allSlots {
		l.available = append(l.available, slot%runners)
	}
	for daemon := range daemons {
		p := &pool{sim: s}
		p.onDone = func(r *request, answered bool) {
			s.finish(r, answered)
			l.returnIdle(daemon)
		}
		l.pools = append(l.pools, p)
	}
	return l
}

func (l *leasedCredits) name() string { return "leased credits" }

func (l *leasedCredits) arrive(r *request) {
	p := l.pools[r.daemon]
	p.add(r)
	if len(p.waiting) > 0 {
		l.sim.after(hop, func() { l.requestCredit(r.daemon) })
	}
}

// requestCredit grants a credit to a daemon, or queues the daemon if none is
// available.
func (l *leasedCredits) requestCredit(daemon int) {
	if len(l.available) == 0 {
		l.requesters = append(l.requesters, daemon)
		return
	}
	l.grant(daemon)
}

// grant sends one available credit to a daemon.
func (l *leasedCredits) grant(daemon int) {
	runner := l.available[0]
	l.available = l.available[1:]
	l.sim.after(hop, func() {
		l.pools[daemon].free = append(l.pools[daemon].free, runner)
		l.pools[daemon].start()
		l.returnIdle(daemon)
	})
}

// returnIdle returns the idle credits of a daemon above the limit to the
// authority, which grants them to the daemons that wait.
func (l *leasedCredits) returnIdle(daemon int) {
	p := l.pools[daemon]
	if len(p.waiting) > 0 {
		return
	}
	for len(p.free) > maxIdleCredits && !p.dead {
		runner := p.free[0]
		p.free = p.free[1:]
		l.sim.after(hop, func() {
			l.available = append(l.available, runner)
			if len(l.requesters) > 0 {
				waiting := l.requesters[0]
				l.requesters = l.requesters[1:]
				l.grant(waiting)
			}
		})
	}
}

func (l *leasedCredits) killDaemon(daemon int) { kill(l.pools[daemon]) }
