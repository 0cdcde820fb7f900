package dispatcher

import (
	"math"
	"strconv"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/isolator"
)

// Figures of the model of disturbance. Tails grow by a factor for each share of
// the processors that a filling image uses, so slowdowns are kept as natural
// logarithms, in percent per core of a runner of referenceCores.
const (
	// unknownPressure is assumed of a pair of images that was never measured:
	// about one task of each is tried beside a service.
	unknownPressure = 7.0
	// referenceCores scales the use of runners of other sizes.
	referenceCores = 32.0
	// initialTail is the share of the target at which an undisturbed tail is
	// assumed until it was measured.
	initialTail = 0.45
	// tailRate is the share by which one measurement moves an undisturbed tail.
	tailRate = 0.05
	// placeLimit is the share of the target up to which tails may be predicted
	// to rise when a filling task is placed.
	placeLimit = 0.75
	// culpritPressure is the rise, in percent, from which a filling image
	// counts as a cause of a tail over its target.
	culpritPressure = 12.0
)

// Times of the reaction to tails over their target.
const (
	// moveAfter is the time after which the causes are moved or paced.
	moveAfter = 400 * time.Millisecond
	// haltShare is the share of the tolerated time after which all filling
	// tasks on the runner halt.
	haltShare = 0.45
	// resumeAfter is the time for which all tails have to be calm before
	// halted tasks go on.
	resumeAfter = 1200 * time.Millisecond
	// calmTarget is the share of the target below which a tail is calm.
	calmTarget = 0.8
)

// A disturbance is what is known of images that share runners.
type disturbance struct {
	learner *isolator.Learner
	tails   map[string]float64 // undisturbed tail by serving image, ms
}

func newDisturbance() disturbance {
	return disturbance{learner: isolator.NewCautiousLearner(unknownPressure), tails: make(map[string]float64)}
}

// tail returns the undisturbed tail of a serving step in milliseconds.
func (d disturbance) tail(st *stepState) float64 {
	if known, ok := d.tails[st.spec.Image]; ok {
		return known
	}
	return initialTail * targetMillis(st)
}

func targetMillis(st *stepState) float64 {
	return max(0.001, st.spec.TailTarget.Seconds()*1000)
}

// coresOf scales milliCores on a runner to cores of the reference runner.
func (r *runner) coresOf(milliCores float64) float64 {
	return milliCores / float64(max(1, r.info.Capacity.MilliCores)) * referenceCores
}

// observe learns from one list of a runner.
func (d disturbance) observe(r *runner, now time.Time) {
	load := make(map[string]float64)
	for _, x := range r.runs {
		if x.st.spec.Fills && x.hasRow && x.measure > 0 {
			load[x.st.spec.Image] += r.coresOf(x.measure)
		}
	}
	for _, x := range r.runs {
		if !x.isServing() || x.measure <= 0 {
			continue
		}
		image := x.st.spec.Image
		if len(load) == 0 {
			known := d.tail(x.st)
			if x.measure < 2*known {
				d.tails[image] = known + tailRate*(x.measure-known)
			}
			continue
		}
		d.learner.Learn(image, 100*math.Log(x.measure/d.tail(x.st)), load, now)
	}
}

// isServing reports whether a run is at work and has a tail to be kept.
func (x *run) isServing() bool {
	return x.st.spec.TailTarget > 0 && x.hasRow && x.phase == running && x.percent >= 100
}

// headroom returns by how much, in percent of the logarithm, the tails on a
// runner may still rise if a filling step's task is added; negative if it
// should not be.
func (d disturbance) headroom(r *runner, fill *stepState, now time.Time) float64 {
	least := math.Inf(1)
	for image, st := range r.services {
		room := 100 * math.Log(placeLimit*targetMillis(st)/d.tail(st))
		for other, milliCores := range r.fillers {
			room -= d.learner.Slowdown(image, other, now) * r.coresOf(float64(milliCores))
		}
		room -= d.learner.Slowdown(image, fill.spec.Image, now) * r.coresOf(float64(fill.spec.MilliCores))
		least = min(least, room)
	}
	return least
}

// countImages updates the images on a runner when a run comes or goes.
func (r *runner) countImages(st *stepState, sign int64) {
	image := st.spec.Image
	if st.spec.Fills {
		r.fills += sign * st.spec.MilliCores
		if r.fillers[image] += sign * st.spec.MilliCores; r.fillers[image] <= 0 {
			delete(r.fillers, image)
		}
	}
	if st.spec.TailTarget > 0 {
		r.serving += int(sign)
		r.servingOf[image] += int(sign)
		if r.servingOf[image] > 0 {
			r.services[image] = st
		} else {
			delete(r.services, image)
			delete(r.servingOf, image)
		}
	}
}

// watchTails moves or paces filling tasks by the tails of those that serve on
// the same runner.
//
// Load: pairs of images that disturb each other far more than others, and that
// nobody has declared. A tail over its target names the images to blame, by
// what was learnt; they move to other runners, where they keep their progress.
// If that does not help in time, everything that fills there halts.
func (t *Table) watchTails(r *runner, now time.Time) {
	t.disturbed.observe(r, now)
	worst := 0.0
	var since time.Time
	for _, x := range r.runs {
		if !x.isServing() {
			continue
		}
		ratio := x.measure / targetMillis(x.st)
		worst = max(worst, ratio)
		switch {
		case ratio <= 1:
			x.overSince = time.Time{}
		case x.overSince.IsZero():
			x.overSince = now
		}
		if !x.overSince.IsZero() && (since.IsZero() || x.overSince.Before(since)) {
			since = x.overSince
		}
	}
	if worst >= calmTarget {
		r.calmSince = time.Time{}
	} else if r.calmSince.IsZero() {
		r.calmSince = now
	}
	if r.halted && (r.serving == 0 || (!r.calmSince.IsZero() && now.Sub(r.calmSince) > resumeAfter)) {
		t.resume(r, now)
	}
	if since.IsZero() || r.fills == 0 {
		return
	}
	if over := now.Sub(since); over >= time.Duration(haltShare*float64(t.limits.HarmAfter)) {
		t.halt(r, now)
	} else if over >= moveAfter || worst > 2 {
		t.moveCulprits(r, now)
	}
}

// moveCulprits stops the filling tasks to blame that keep their progress, and
// halts the others.
func (t *Table) moveCulprits(r *runner, now time.Time) {
	for _, x := range r.sorted() {
		if !x.st.spec.Fills || x.phase == stopping || x.pace == 0 || !t.isCulprit(r, x, now) {
			continue
		}
		if x.st.spec.Checkpointing {
			t.stop(x, now, "disturbs a service")
		} else {
			t.paceRun(x, 0, now)
			r.halted = true
		}
	}
}

// isCulprit reports whether an image presses noticeably on a service whose
// tail is over its target.
func (t *Table) isCulprit(r *runner, fill *run, now time.Time) bool {
	cores := r.coresOf(float64(r.fillers[fill.st.spec.Image]))
	for _, x := range r.runs {
		if x.isServing() && !x.overSince.IsZero() &&
			t.disturbed.learner.Slowdown(x.st.spec.Image, fill.st.spec.Image, now)*cores >= culpritPressure {
			return true
		}
	}
	return false
}

// halt paces every filling task on a runner down to nothing.
func (t *Table) halt(r *runner, now time.Time) {
	r.halted = true
	for _, x := range r.sorted() {
		if x.st.spec.Fills && x.phase != stopping && x.pace > 0 {
			t.paceRun(x, 0, now)
		}
	}
}

// resume lets halted tasks go on.
func (t *Table) resume(r *runner, now time.Time) {
	r.halted = false
	for _, x := range r.sorted() {
		if x.st.spec.Fills && x.phase != stopping && x.pace < fullPace {
			t.paceRun(x, fullPace, now)
		}
	}
}

// fullPace is the pace of a task at its start, in percent.
const fullPace = 100

func (t *Table) paceRun(x *run, pace int, now time.Time) {
	x.pace = pace
	t.recordRun(now, EventPaced, x, "pace "+strconv.Itoa(pace))
	t.orders = append(t.orders, Order{
		Kind: Pace, Runner: x.runner.info.ID, Lifetime: x.runner.info.Lifetime,
		Task: x.id(), Run: x.number, Percent: pace,
	})
}

// Paced takes in the outcome of a change of pace.
func (t *Table) Paced(o Order, outcome Outcome, now time.Time) {
	x := t.find(o)
	if x == nil || outcome != Unanswered || x.phase == stopping {
		return
	}
	if x.pace == o.Percent && now.Sub(x.runner.heardAt) < staleAfter {
		t.paceRun(x, o.Percent, now)
	}
}
