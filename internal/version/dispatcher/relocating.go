package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/partitioner"
	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

const (
	// relocateAfter is how long a submission waits that no runner of the part may run before it
	// is handed to another part, and how long an owner knows its runners before that.
	relocateAfter = time.Second
	// crampedAfter is how long a long-running task waits for room before its submission is handed
	// to a part that has room.
	crampedAfter = 3 * time.Second
	// reportRetention is how long after its acceptance a submission is added by a report of the
	// daemon that has accepted it. Later reports leave it to the store.
	reportRetention = time.Minute
	// movedRetention is how long it is remembered that a submission was handed to another part:
	// longer than reports of it are accepted, by clocks that differ.
	movedRetention = 2 * reportRetention
)

// A departure is that of a submission that was handed to another part.
type departure struct {
	at time.Time
	// moves is how often the submission had been handed to another part by then.
	moves int
}

// hasLeft reports whether a submission was handed to another part, and not back since.
func (t *Table) hasLeft(sub *submitter.Submission) bool {
	d, ok := t.moved[sub.ID]
	return ok && sub.Moves() < d.moves
}

// AddReported adds a submission that the daemon which accepted it reports, if it was handed
// first to this owner just before. Others are found in the store: only there can be seen whether
// they were handed to another part since.
func (t *Table) AddReported(sub *submitter.Submission, now time.Time) {
	if sub.Owner == t.fence && now.Sub(sub.AcceptedAt) < reportRetention {
		t.Add(sub, nil, now)
	}
}

// Serves returns what the runners that may get new work offer for some needs.
func (t *Table) Serves(needs []partitioner.Need) partitioner.Offer {
	offer := partitioner.Offer{IsAble: true, HasRoom: true}
	for _, need := range needs {
		offer.IsAble = offer.IsAble && t.isAble(need)
		offer.HasRoom = offer.HasRoom && t.hasRoom(need)
	}
	return offer
}

// isAble reports whether a runner may get tasks with a need once it has room.
func (t *Table) isAble(need partitioner.Need) bool {
	for _, r := range t.runners {
		if t.mayServe(r, need) {
			return true
		}
	}
	return false
}

// hasRoom reports whether there is room for all tasks with a need now.
func (t *Table) hasRoom(need partitioner.Need) bool {
	room := 0
	for _, r := range t.runners {
		if room < need.Tasks && t.mayServe(r, need) {
			room += fitting(need.Resources, r.free().Min(r.unpromised()))
		}
	}
	return room >= need.Tasks
}

// Unable returns the needs of a submission that no runner of the part meets.
func (t *Table) Unable(sub *submitter.Submission) []partitioner.Need {
	queue, ok := t.queueOf(sub).Get()
	if !ok {
		return nil
	}
	return slices.DeleteFunc(partitioner.NeedsOf(sub, queue.Service), t.isAble)
}

// mayServe reports whether a runner may get tasks with a need once it has room.
func (t *Table) mayServe(r *runner, need partitioner.Need) bool {
	return r.info.Service == need.Service && r.hasEntry() && t.isUsable(r) &&
		(need.Label == "" || r.hasLabel(need.Label)) && need.Fits(r.info.Capacity)
}

// Home returns the part in which a submission was accepted, if it was handed to this one.
func (t *Table) Home(id string) (part int, hasMoved bool) {
	s, ok := t.subs[id]
	if !ok || s.sub.Move == nil {
		return 0, false
	}
	return s.sub.Move.Home, true
}

// A Stranded submission can't go on in this part.
type Stranded struct {
	ID string
	// Needs is what its open steps need.
	Needs []partitioner.Need
	// IsImpossible says that no runner of the part may run one of its tasks; otherwise they lack
	// room.
	IsImpossible bool
}

// Stranded returns the submission that has waited longest of those that can't go on here, and
// whether there is one. Each of its runs has provably ended: another owner may start its tasks
// as this one could.
//
// Load: the few runners with a label, or of a service, are lost or evacuated in one part; many
// runners are lost, and the tasks that ran there are larger than what is left on any other one.
func (t *Table) Stranded(now time.Time) (found Stranded, ok bool) {
	if now.Sub(t.ownedSince) < relocateAfter || !t.knowsAllRuns(now) {
		return found, false
	}
	impossible := make(map[partitioner.Need]bool)
	since := now
	for _, s := range t.unfinished() {
		if !s.mayLeave() || now.Before(s.moveAfter) {
			continue
		}
		st, isImpossible := t.strandedStep(s, impossible, now)
		if st == nil || st.waitingSince.After(since) || t.mayStillRun(s, now) {
			continue
		}
		since = st.waitingSince
		found, ok = Stranded{ID: s.sub.ID, Needs: s.needs(), IsImpossible: isImpossible}, true
	}
	return found, ok
}

// strandedStep returns a step for which a submission has to leave the part, or nil. The map
// remembers which needs no runner meets.
func (t *Table) strandedStep(s *submission, impossible map[partitioner.Need]bool, now time.Time) (st *stepState, isImpossible bool) {
	if _, known := s.queue.Get(); !known {
		return nil, false
	}
	for _, occ := range s.occs {
		for _, o := range occ.steps {
			if o.waitingSince.IsZero() || now.Sub(o.waitingSince) < relocateAfter || isImpossible {
				continue
			}
			need := o.need()
			need.Tasks = 0
			isUnmet, isKnown := impossible[need]
			if !isKnown {
				isUnmet = !t.isAble(need)
				impossible[need] = isUnmet
			}
			switch {
			case isUnmet:
				st, isImpossible = o, true
			case o.spec.LongRunning && now.Sub(o.waitingSince) >= crampedAfter:
				st = cmp.Or(st, o)
			}
		}
	}
	return st, isImpossible
}

// mayLeave reports whether a submission has no run in the table, and its progress is durable.
func (s *submission) mayLeave() bool {
	return !s.isMoving && s.savedVersion >= s.version && !slices.ContainsFunc(s.occs, func(o *occurrence) bool { return o.runs > 0 })
}

// mayStillRun reports whether a run of a submission may go on or begin although it has none in
// the table.
func (t *Table) mayStillRun(s *submission, now time.Time) bool {
	for _, r := range t.runners {
		if slices.ContainsFunc(r.adrift, func(x *run) bool { return x.st.s == s && now.Sub(x.startedAt) < maxCallDelay+t.limits.MaxLease }) {
			return true
		}
	}
	return false
}

// needs returns what the open steps of a submission need.
func (s *submission) needs() (needs []partitioner.Need) {
	for _, occ := range s.occs {
		for _, st := range occ.steps {
			if st.remaining > 0 {
				needs = partitioner.AddNeed(needs, st.need())
			}
		}
	}
	return needs
}

func (st *stepState) need() partitioner.Need {
	return partitioner.Need{Service: st.s.service(), Label: st.spec.RequiredLabel, Resources: st.spec.Reserved(), Tasks: st.waiting}
}

// BeginMove returns a submission as it is handed from this part to another one, and starts
// nothing of it until EndMove or GiveUpMove. It reports whether the submission may still leave.
func (t *Table) BeginMove(id string, part int, now time.Time) (moved submitter.Submission, ok bool) {
	s, ok := t.subs[id]
	if !ok || s.state.IsFinal() || !s.mayLeave() || t.mayStillRun(s, now) {
		return moved, false
	}
	move := submitter.Move{Home: part, Count: s.sub.Moves() + 1, Progress: s.progress(true)}
	if s.sub.Move != nil {
		move.Home = s.sub.Move.Home
	}
	for _, occ := range s.occs {
		for _, st := range occ.steps {
			for i := range st.tasks {
				move.FirstRun = max(move.FirstRun, t.nextRun(st, i))
			}
		}
	}
	s.isMoving = true
	return s.sub.WithMove(move), true
}

// GiveUpMove lets a submission go on in this part that could not be handed to another one. It may
// be handed on from a time on.
func (t *Table) GiveUpMove(id string, notBefore time.Time) {
	if s, ok := t.subs[id]; ok {
		s.isMoving, s.moveAfter = false, notBefore
		t.placementDue = true
	}
}

// EndMove drops a submission that was handed to another part.
func (t *Table) EndMove(id string, now time.Time) {
	s, ok := t.subs[id]
	if !ok {
		return
	}
	t.moved[id] = departure{now, s.sub.Moves() + 1}
	// What may still be listed of it here is not wanted any more.
	s.state, s.durableState, s.savedVersion = submitter.Cancelled, submitter.Cancelled, s.version
	delete(t.subs, id)
	t.unfinished()
}
