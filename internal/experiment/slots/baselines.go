package slots

import "time"

// A pool is a first-come queue in front of runners.
type pool struct {
	world *world
	// free lists the runners with a free slot, one entry a slot.
	free    []int
	waiting []*request
	// served is called when a request has ended at the pool.
	served func(r *request, answered bool)
	dead   bool
}

// add takes in a request.
func (p *pool) add(r *request) {
	p.waiting = append(p.waiting, r)
	p.start()
}

// start starts waiting requests on free slots.
func (p *pool) start() {
	for len(p.waiting) > 0 && len(p.free) > 0 && !p.dead {
		r := p.waiting[0]
		p.waiting = p.waiting[1:]
		if p.world.clock().After(r.deadline) {
			p.world.refuse(r)
			continue
		}
		runner := p.free[0]
		p.free = p.free[1:]
		p.world.serve(runner, r, func(answered bool) {
			p.free = append(p.free, runner)
			p.served(r, answered && !p.dead)
			p.start()
		})
	}
}

// perfectQueue is one queue that knows all slots at once, which is the bound.
// It avoids sick runners from the first moment.
type perfectQueue struct {
	world *world
	pool  *pool
	// kept counts the slots that are left after a daemon's death.
	lost int
}

func newPerfectQueue(w *world) policy {
	q := &perfectQueue{world: w, pool: &pool{world: w, served: w.finish}}
	sickness := w.scenario.Fault == RunnerFails || w.scenario.Fault == RunnerSlow
	for slot := range allSlots {
		if runner := slot % runners; !sickness || runner != sickRunner {
			q.pool.free = append(q.pool.free, runner)
		}
	}
	return q
}

func (q *perfectQueue) name() string      { return "perfect queue" }
func (q *perfectQueue) arrive(r *request) { q.pool.add(r) }

// die takes an eighth of the slots away, as the daemon's death does.
func (q *perfectQueue) die(int) {
	q.lost = allSlots / daemons
	q.shrink()
}

// shrink removes free slots until as many are gone as were lost.
func (q *perfectQueue) shrink() {
	taken := min(q.lost, len(q.pool.free))
	q.pool.free = q.pool.free[taken:]
	q.lost -= taken
	if q.lost > 0 {
		q.world.after(time.Millisecond, q.shrink)
	}
}

// fixedSplit gives each daemon one slot of each runner.
type fixedSplit struct{ pools []*pool }

func newFixedSplit(w *world) policy {
	split := &fixedSplit{}
	for range daemons {
		p := &pool{world: w, served: w.finish}
		for runner := range runners {
			p.free = append(p.free, runner)
		}
		split.pools = append(split.pools, p)
	}
	return split
}

func (s *fixedSplit) name() string      { return "fixed split" }
func (s *fixedSplit) arrive(r *request) { s.pools[r.daemon].add(r) }
func (s *fixedSplit) die(daemon int)    { kill(s.pools[daemon]) }

// kill ends a pool whose daemon has died.
func kill(p *pool) {
	p.dead = true
	for _, r := range p.waiting {
		p.world.finish(r, false)
	}
	p.waiting = nil
}

// randomChoice sends each request to a random runner, where it may wait.
type randomChoice struct {
	world *world
	pools []*pool
}

func newRandomChoice(w *world) policy {
	c := &randomChoice{world: w}
	for runner := range runners {
		p := &pool{world: w, served: w.finish}
		for range slotsPerRunner {
			p.free = append(p.free, runner)
		}
		c.pools = append(c.pools, p)
	}
	return c
}

func (c *randomChoice) name() string      { return "random choice" }
func (c *randomChoice) arrive(r *request) { c.pools[c.world.random.IntN(runners)].add(r) }
func (c *randomChoice) die(int)           {}

// leasedCredits lends slots to daemons from one authority, which is asked when
// a daemon has none and gets back what is idle.
type leasedCredits struct {
	world   *world
	pools   []*pool
	central []int
	// wanted lists daemons that wait for a credit, in order.
	wanted []int
}

// keptCredits is the number of idle credits that a daemon keeps.
const keptCredits = 4

func newLeasedCredits(w *world) policy {
	l := &leasedCredits{world: w}
	for slot := range allSlots {
		l.central = append(l.central, slot%runners)
	}
	for daemon := range daemons {
		p := &pool{world: w}
		p.served = func(r *request, answered bool) {
			w.finish(r, answered)
			l.giveBack(daemon)
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
		l.world.after(hop, func() { l.ask(r.daemon) })
	}
}

// ask grants a credit or notes that a daemon waits for one.
func (l *leasedCredits) ask(daemon int) {
	if len(l.central) == 0 {
		l.wanted = append(l.wanted, daemon)
		return
	}
	l.grant(daemon)
}

// grant sends one credit to a daemon.
func (l *leasedCredits) grant(daemon int) {
	runner := l.central[0]
	l.central = l.central[1:]
	l.world.after(hop, func() {
		l.pools[daemon].free = append(l.pools[daemon].free, runner)
		l.pools[daemon].start()
		l.giveBack(daemon)
	})
}

// giveBack returns the idle credits that a daemon doesn't keep.
func (l *leasedCredits) giveBack(daemon int) {
	p := l.pools[daemon]
	if len(p.waiting) > 0 {
		return
	}
	for len(p.free) > keptCredits && !p.dead {
		runner := p.free[0]
		p.free = p.free[1:]
		l.world.after(hop, func() {
			l.central = append(l.central, runner)
			if len(l.wanted) > 0 {
				waiting := l.wanted[0]
				l.wanted = l.wanted[1:]
				l.grant(waiting)
			}
		})
	}
}

func (l *leasedCredits) die(daemon int) { kill(l.pools[daemon]) }
