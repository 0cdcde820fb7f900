package rig3

import (
	"sync"
	"time"
)

// Bounds of gangs.
const (
	gangTimeout = 3 * time.Second // GangTimeoutMs
	// breakTime is the time from the end of a member to that of the others.
	breakTime = 30 * time.Millisecond
)

// gangs lets the members of gangs work and end together, on whichever runners they are. It is safe
// for concurrent use.
//
// Lock order: the lock of a runner before that of gangs.
type gangs struct {
	mu   sync.Mutex
	sets map[gangKey]*gang
}

// A gangKey identifies one run of a gang.
type gangKey struct {
	step   string
	number int64
}

// A gang is one run of a gang.
type gang struct {
	size             int
	members          map[*job]*Runner
	hasBegun, isOver bool
}

// join adds a member to its gang, which begins to work once it is complete.
func (g *gangs) join(n *Runner, j *job, step string, size int) *gang {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sets == nil {
		g.sets = make(map[gangKey]*gang)
	}
	key := gangKey{step, j.run.Number}
	set := g.sets[key]
	if set == nil || set.isOver {
		set = &gang{size: size, members: make(map[*job]*Runner)}
		g.sets[key] = set
	}
	set.members[j] = n
	if len(set.members) == size {
		set.hasBegun = true
		time.AfterFunc(j.length, func() { g.end(set, "done") })
	}
	return set
}

// isWaiting reports whether a gang waits for members.
func (g *gangs) isWaiting(set *gang) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !set.hasBegun
}

// leave removes a member that has ended. The others of a gang that has begun end, too.
func (g *gangs) leave(j *job) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(j.gang.members, j)
	if j.gang.hasBegun && !j.gang.isOver {
		time.AfterFunc(breakTime, func() { g.end(j.gang, "broken") })
	}
}

// end ends all members of a gang that has begun.
func (g *gangs) end(set *gang, how string) {
	g.mu.Lock()
	if set.isOver {
		g.mu.Unlock()
		return
	}
	set.isOver = true
	members := set.members
	set.members = make(map[*job]*Runner)
	g.mu.Unlock()
	for j, n := range members {
		n.mu.Lock()
		n.finish(j, how)
		n.mu.Unlock()
	}
}

// startMember starts a member of a gang. The caller holds the runner's lock.
func (n *Runner) startMember(j *job, step string, size int) {
	j.gang = n.rig.gangs.join(n, j, step, size)
	j.timer = time.AfterFunc(gangTimeout, func() {
		if !n.rig.gangs.isWaiting(j.gang) {
			return
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.finish(j, "alone")
	})
}
