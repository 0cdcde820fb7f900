package dispatcher

// Best-effort tasks run in the background at backgroundPercent of full speed, and faster
// with what the others on their runner leave. They start where the services leave room for
// that pace, whatever other best-effort tasks use, as those are slowed down for it.
//
// Load: large tasks behind small ones, which take each gap that is too small for a large one
// at full speed.
const (
	backgroundPercent = 5
	backgroundPace    = backgroundPercent / 100.0
)

// A bestEffortUse is what some best-effort runs on a runner use.
type bestEffortUse struct {
	milliCores int64
	byImage    map[string]int64 // milliCores
	runs       int
}

// add adds a run of an image (sign 1) or removes it (sign -1).
func (u *bestEffortUse) add(image string, milliCores, sign int64) {
	if u.byImage == nil {
		u.byImage = make(map[string]int64)
	}
	u.milliCores += sign * milliCores
	u.runs += int(sign)
	if u.byImage[image] += sign * milliCores; u.byImage[image] <= 0 {
		delete(u.byImage, image)
	}
}

// inBackground reports whether the tasks of a step are being started in the background.
func (t *Table) inBackground(st *stepState) bool { return t.background == st }

// backgroundMilliCores returns what a task of a step uses in the background.
func (st *stepState) backgroundMilliCores() int64 {
	return st.spec.MilliCores * backgroundPercent / 100
}

// isPacingBackground reports whether the run that last started in the background on a runner
// still goes at full speed.
func (r *runner) isPacingBackground() bool {
	x := r.lastBackground
	return x != nil && r.runs[runKey{x.id(), x.number}] == x && (x.phase == starting || x.confirmedPace == fullPace)
}
