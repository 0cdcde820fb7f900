package dispatcher

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

const (
	replayStep   = 10 * time.Millisecond
	replayImages = 9 // of best-effort tasks
	// replayDelay is how long an order takes to be carried out.
	replayDelay = 20 * time.Millisecond
	// replayStartUp is how long a task makes no progress after its start.
	replayStartUp = 200 * time.Millisecond
)

// A replay is a table with runners that carry out its orders, services whose loads rise and
// fall, and more best-effort work than fits.
type replay struct {
	*harness
	random  *rand.Rand
	runners []*replayRunner
	jobs    []replayJob
	orders  []replayOrder
	counts  map[string]int
}

// A replayRunner is a runner that polls its owner again once a run ends, or after half a second.
type replayRunner struct {
	id      string
	runs    []*replayRun
	ends    []End
	lastEnd int64
	polled  time.Time
}

type replayRun struct {
	order     Order
	step      *submitter.Step
	startedAt time.Time
	work      time.Duration
	done      float64 // seconds of work
	pace      int
}

type replayJob struct {
	sub     *submitter.Submission
	work    [][]time.Duration // by step and task
	endedAt time.Time
}

type replayOrder struct {
	order Order
	at    time.Time
}

func newReplay(seed uint64, runners int) *replay {
	r := &replay{harness: newHarness(&testing.T{}, 0, 0), random: rand.New(rand.NewPCG(seed, 0)), counts: make(map[string]int)}
	infos := make([]RunnerInfo, runners)
	for i := range infos {
		infos[i] = RunnerInfo{
			ID: fmt.Sprintf("r%03d", i), Service: "s", DataCentre: "z", Lifetime: 1,
			Capacity: submitter.Resources{MilliCores: 32_000, MemoryMB: 128_000},
		}
		r.runners = append(r.runners, &replayRunner{id: infos[i].ID})
	}
	r.table.SetRunners(infos, r.now)
	r.table.RosterStored(infos)
	for n := range 3 * runners / 4 {
		step := submitter.Step{
			Count: 2 + r.random.IntN(6), Resources: submitter.Resources{MilliCores: r.size(6400, 0.25), MemoryMB: r.size(13_000, 0.3)},
			LongRunning: true, Image: fmt.Sprint("web", n%5), TailTarget: 45 * time.Millisecond, Estimate: time.Minute,
		}
		if n%2 == 0 {
			step.MaxPerRunner = 1
		}
		r.addJob(fmt.Sprintf("service%d", n), "urgent", step)
	}
	return r
}

// size draws an amount around a mean.
func (r *replay) size(mean, spread float64) int64 {
	return int64(mean * min(2.5, max(0.2, 1+spread*r.random.NormFloat64())))
}

// addJob submits steps that run one after the other.
func (r *replay) addJob(id, queue string, steps ...submitter.Step) {
	job := replayJob{sub: &submitter.Submission{ID: id, Queue: queue, Spec: id, Steps: steps, AcceptedAt: r.now}}
	for i := range steps {
		if i > 0 {
			steps[i].After = []int{i - 1}
		}
		works := make([]time.Duration, steps[i].Count)
		for k := range works {
			works[k] = time.Duration(float64(steps[i].Estimate) * max(0.3, 1+0.3*r.random.NormFloat64()))
		}
		job.work = append(job.work, works)
	}
	r.jobs = append(r.jobs, job)
	r.table.Add(job.sub, nil, r.now)
}

// submit adds what is submitted in a step of time, at rates of submissions per second.
func (r *replay) submit(best, short float64) {
	draw := func(rate float64) bool { return r.random.Float64() < rate*replayStep.Seconds() }
	if draw(best) {
		var steps []submitter.Step
		image, saves, size := fmt.Sprint("batch", r.random.IntN(replayImages)), r.random.Float64() < 0.85, r.size(3500, 0.3)
		for range 1 + r.random.IntN(3) {
			steps = append(steps, submitter.Step{
				Count: int(r.size(8, 0.6)), Resources: submitter.Resources{MilliCores: size, MemoryMB: r.size(6400, 0.3)},
				Estimate: time.Duration(r.size(2.7e9, 0.5)), Image: image, Fills: true, Checkpointing: saves,
			})
		}
		r.addJob(fmt.Sprintf("survey%05d", len(r.jobs)), "night", steps...)
	}
	if draw(short) {
		r.addJob(fmt.Sprintf("tray%05d", len(r.jobs)), "urgent", submitter.Step{
			Count: int(r.size(8, 0.8)), Resources: submitter.Resources{MilliCores: r.size(2800, 0.45), MemoryMB: r.size(5600, 0.3)},
			Estimate: time.Duration(r.size(1e9, 0.5)),
		})
	}
}

// pressure is the share of its capacity that a service loses to a core of a best-effort image.
func (r *replay) pressure(service, image string) float64 {
	h := 0
	for _, c := range service + image {
		h = (h*31 + int(c)) % 1009
	}
	if h%10 < 6 {
		return 0.04 + 0.05*float64(h%7)/7
	}
	return 0.003
}

// advanceRuns lets the runs on a runner make progress, and ends those that are done.
func (r *replay) advanceRuns(n *replayRunner) {
	free := 32_000.0
	wanted := 0.0
	for _, x := range n.runs {
		switch {
		case x.step.Fills:
			wanted += float64(x.step.MilliCores) * float64(x.pace) / 100
		case x.step.LongRunning:
			free -= 0.6 * float64(x.step.MilliCores)
		default:
			free -= float64(x.step.MilliCores)
		}
	}
	share := min(1, max(0, free)/max(1, wanted))
	n.runs = slices.DeleteFunc(n.runs, func(x *replayRun) bool {
		if x.step.LongRunning || r.now.Sub(x.startedAt) < replayStartUp {
			return false
		}
		speed := 1.0
		if x.step.Fills {
			speed = share * float64(x.pace) / 100
		}
		x.done += speed * replayStep.Seconds()
		if x.done < x.work.Seconds() {
			return false
		}
		n.end(x, Done)
		return true
	})
}

func (n *replayRunner) end(x *replayRun, kind EndKind) {
	n.lastEnd++
	end := End{N: n.lastEnd, Task: x.order.Task, Run: x.order.Run, Kind: kind}
	if x.step.Checkpointing {
		end.Checkpoint = fmt.Sprintf("%f", x.done)
	}
	n.ends = append(n.ends, end)
}

// tail returns the tail latency of a run of a service.
func (r *replay) tail(n *replayRunner, x *replayRun) float64 {
	at := r.now.Sub(epoch).Seconds()
	used := 0.42 * (1 + 0.5*math.Sin(2*math.Pi*at/14+float64(len(x.step.Image)+int(x.step.Image[len(x.step.Image)-1]))))
	for _, other := range n.runs {
		if other.step.Fills {
			used += r.pressure(x.step.Image, other.step.Image) * float64(other.step.MilliCores) / 1000 * float64(other.pace) / 100
		}
	}
	return 10 / max(0.02, 1-used)
}

// report answers a poll of a runner.
func (r *replay) report(n *replayRunner) {
	n.polled = r.now
	r.counts["reports"]++
	rows := make([]RunStatus, len(n.runs))
	for i, x := range n.runs {
		rows[i] = RunStatus{Task: x.order.Task, Run: x.order.Run, Percent: min(99, int(100*x.done/max(0.001, x.work.Seconds())))}
		switch {
		case x.step.TailTarget > 0 && r.now.Sub(x.startedAt) > replayStartUp:
			rows[i].Percent, rows[i].Measure = 100, r.tail(n, x)
		case x.step.Fills:
			rows[i].Measure = float64(x.step.MilliCores) * float64(x.pace) / 100
		}
		if x.step.Checkpointing {
			rows[i].Checkpoint = fmt.Sprintf("%f", x.done)
		}
	}
	r.table.LeaseUntil(n.id, r.now)
	r.table.Report(n.id, Report{Token: r.table.fence, Lifetime: 1, Clock: r.clock(n.id), Running: rows, Ended: n.ends}, r.now, r.now)
	n.ends = nil
}

// carryOut lets a runner carry out an order.
func (r *replay) carryOut(o Order) {
	o, ok := r.table.Confirm(o, r.now)
	if !ok {
		return
	}
	r.counts[o.Kind.String()]++
	n := r.runners[slices.IndexFunc(r.runners, func(n *replayRunner) bool { return n.id == o.Runner })]
	i := slices.IndexFunc(n.runs, func(x *replayRun) bool { return x.order.Task == o.Task && x.order.Run == o.Run })
	switch o.Kind {
	case Start:
		job := r.jobs[slices.IndexFunc(r.jobs, func(j replayJob) bool { return j.sub.ID == o.Task.Submission })]
		x := &replayRun{order: o, step: &job.sub.Steps[o.Task.Step], startedAt: r.now, work: job.work[o.Task.Step][o.Task.Index], pace: fullPace}
		_, _ = fmt.Sscanf(o.Checkpoint, "%f", &x.done)
		n.runs = append(n.runs, x)
		r.table.ApplyStart(o, Succeeded, 1, r.now)
	case Stop:
		if i >= 0 {
			r.counts["wastedMilliCoreSeconds"] += int(n.runs[i].lost() * float64(n.runs[i].step.MilliCores))
			n.end(n.runs[i], Stopped)
			n.runs = slices.Delete(n.runs, i, i+1)
		}
		r.table.ApplyStop(o, Succeeded, r.now)
	default:
		if i >= 0 {
			n.runs[i].pace = o.Percent
		}
		r.table.ApplyPace(o, Succeeded, r.now)
	}
}

// lost returns the seconds of work that are lost if a run ends now.
func (x *replayRun) lost() float64 {
	if x.step.Checkpointing {
		return 0
	}
	return x.done
}

// step lets a step of time pass.
func (r *replay) step(i int) {
	r.now = r.now.Add(replayStep)
	r.table.ConfirmOwnership(r.now)
	r.table.Authorize(0, 0, r.now)
	for _, n := range r.runners {
		r.advanceRuns(n)
		if len(n.ends) > 0 || r.now.Sub(n.polled) >= 500*time.Millisecond {
			r.report(n)
		}
	}
	if i%20 == 0 {
		r.table.Tick(r.now)
	}
	r.table.Schedule(r.now)
	for _, o := range r.table.Orders() {
		r.orders = append(r.orders, replayOrder{o, r.now.Add(replayDelay)})
	}
	for len(r.orders) > 0 && !r.orders[0].at.After(r.now) {
		o := r.orders[0].order
		r.orders = r.orders[1:]
		r.carryOut(o)
	}
	records := r.table.Unsaved(1 << 20)
	r.table.Saved(records)
	if i%5 == 0 {
		r.noteEnds()
	}
}

// noteEnds notes which submissions have ended.
func (r *replay) noteEnds() {
	for i := range r.jobs {
		if j := &r.jobs[i]; j.endedAt.IsZero() && r.table.subs[j.sub.ID].state.IsFinal() {
			j.endedAt = r.now
		}
	}
}

// worth returns the share of the best-effort and of the other short submissions that have ended
// within their objective; a late one counts a seventh.
func (r *replay) worth() (best, short float64) {
	sum, all := make(map[string]float64), make(map[string]float64)
	for _, j := range r.jobs {
		if j.sub.Steps[0].LongRunning {
			continue
		}
		s := r.table.subs[j.sub.ID]
		due := j.sub.AcceptedAt.Add(s.objective)
		if j.endedAt.IsZero() && r.now.Before(due) {
			continue
		}
		all[j.sub.Queue]++
		switch {
		case j.endedAt.IsZero() || j.endedAt.After(j.sub.AcceptedAt.Add(lateFactor*s.objective)):
		case j.endedAt.After(due):
			sum[j.sub.Queue] += 0.15
		default:
			sum[j.sub.Queue]++
		}
	}
	return sum["night"] / all["night"], sum["urgent"] / all["urgent"]
}

// run lets some time pass, with a burst of best-effort work up to two thirds of it.
func (r *replay) run(d time.Duration, best, short float64) {
	steps := int(d / replayStep)
	for i := range steps {
		if i < steps*2/3 {
			r.submit(best, short)
		} else {
			r.submit(best/3, short)
		}
		r.step(i)
	}
}
