package colocation

import (
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/kumquatstack/kumquatstack/internal/connection/commander"
	"github.com/kumquatstack/kumquatstack/internal/standin/judge"
	"github.com/kumquatstack/kumquatstack/internal/standin/worker"
	"github.com/kumquatstack/kumquatstack/internal/version/isolator"
	"github.com/kumquatstack/kumquatstack/internal/version/placer"
)

// A Contender is one way to place and protect.
type Contender struct {
	Name   string
	Policy placer.Policy
	// Guarded contenders learn from usage and act on it.
	Guarded bool
}

// Contenders are the ways that are compared.
func Contenders() []Contender {
	return []Contender{
		{"protective with guard", placer.NewInterferenceAware(), true},
		{"no interference model", placer.NewInterferenceUnaware(), false},
		{"first fit", placer.NewFirstFit(), false},
		{"least loaded", placer.NewLeastLoaded(), false},
	}
}

// A machine is one worker of a world.
type machine struct {
	name     string
	rack     string
	centre   string
	worker   *worker.Worker
	services []placer.Resident
	jobs     map[string]*job
}

// A world is one run of one contender.
type world struct {
	contender Contender
	site      Site
	log       *judge.Log
	generator *generator
	machines  []*machine
	waiting   []*job
	learner   *isolator.Learner
	guard     *isolator.Guard
	out       string
	result    Result
}

// A Result is what one run measured.
type Result struct {
	Contender string
	// slowness is the time a service takes in percent of running alone, a
	// sample for each service and reading.
	slowness *hdrhistogram.Histogram
	// coreSeconds of finished batch tasks, and those that were free for batch.
	done, free float64
	// doneOut and freeOut are the same while a data centre is out.
	busyOut, freeOut float64
	evictions        int
	throttles        int
	breaches         int
	lost             int
}

const (
	maxSlowness       = 100_000
	significantDigits = 3
	fullPercent       = 100
)

func newWorld(site Site, contender Contender, seed uint64, epoch time.Time) *world {
	w := &world{
		contender: contender,
		site:      site,
		log:       &judge.Log{},
		generator: newGenerator(seed),
		learner:   isolator.NewLearner(),
	}
	w.guard = isolator.NewGuard(w.learner)
	w.result = Result{Contender: contender.Name, slowness: hdrhistogram.New(1, maxSlowness, significantDigits)}
	for n := range site.Workers {
		w.machines = append(w.machines, w.newMachine(n, epoch))
	}
	return w
}

// newMachine returns a worker with one service on it.
func (w *world) newMachine(n int, epoch time.Time) *machine {
	centre := w.site.Centres[n*len(w.site.Centres)/w.site.Workers]
	m := &machine{
		name:   fmt.Sprintf("w%02d", n),
		rack:   fmt.Sprintf("%s-%d", centre, n/w.site.PerRack),
		centre: centre,
		jobs:   make(map[string]*job),
	}
	m.worker = worker.New(worker.Options{
		Name: m.name, DataCentre: centre, Lag: usageLag, Log: w.log,
		Capacity: commander.Resources{MilliCores: workerMilliCores, MemoryBytes: workerMemoryBytes},
	})
	m.worker.SetModel(epoch, model())
	w.startService(m, epoch, 1)
	return m
}

// startService starts the service of a machine.
func (w *world) startService(m *machine, now time.Time, run int32) {
	service := placer.Resident{
		Task: "service-" + m.name, Intent: "service", Class: classService, LatencyCritical: true,
		Size: placer.Resources{MilliCores: serviceMilliCores, MemoryBytes: taskMemoryBytes},
	}
	m.services = []placer.Resident{service}
	// The stand-in refuses only stale fences, and there is one fence.
	_ = m.worker.Start(now, commander.Start{
		ID: commander.RunID{Task: service.Task, Run: run}, Fence: 1, Lease: foreverLease,
		Class: classService, Resources: commander.Resources(service.Size),
	})
}

// run plays the whole scenario, a second at a time.
func (w *world) run(epoch time.Time) Result {
	for at := time.Duration(0); at < length; at += time.Second {
		now := epoch.Add(at)
		w.collect(now)
		w.moveCentre(at, now)
		w.arrive(at, now)
		w.place(now)
		if at%usagePeriod == 0 {
			w.readUsage(now)
		}
		w.count(at)
	}
	w.result.breaches += len(judge.Check(w.log.Records()))
	for _, m := range w.machines {
		w.result.breaches += len(m.worker.Breaches())
	}
	return w.result
}

// collect takes in the tasks that have finished.
func (w *world) collect(now time.Time) {
	for _, m := range w.machines {
		report, err := m.worker.Report(now, 1)
		if err != nil {
			continue
		}
		var ended []commander.RunID
		for _, run := range report.Runs {
			j, ok := m.jobs[run.ID.Task]
			if !ok || run.State == commander.RunRunning || run.ID.Run != j.run {
				continue
			}
			delete(m.jobs, run.ID.Task)
			ended = append(ended, run.ID)
			if run.State == commander.RunFinished {
				w.result.done += j.work.Seconds() * float64(j.task.Size.MilliCores) / milliCores
			} else {
				w.result.lost++
			}
		}
		_, _ = m.worker.Renew(now, commander.Renewal{Fence: 1, Forget: ended})
	}
}

// moveCentre takes the last data centre out and brings it back.
func (w *world) moveCentre(at time.Duration, now time.Time) {
	last := w.site.Centres[len(w.site.Centres)-1]
	switch at {
	case outFrom:
		w.out = last
		for _, m := range w.machines {
			if m.centre == last {
				w.empty(m, now)
			}
		}
	case outUntil:
		w.out = ""
		for _, m := range w.machines {
			if m.centre == last {
				w.startService(m, now, 2)
			}
		}
	}
}

// empty stops everything on a machine; batch tasks wait to resume elsewhere.
func (w *world) empty(m *machine, now time.Time) {
	for _, id := range sortedJobs(m) {
		w.stop(m, id, now)
	}
	for _, service := range m.services {
		_ = m.worker.Stop(now, 1, commander.RunID{Task: service.Task, Run: 1})
	}
	m.services = nil
}

// stop checkpoints and stops a task, which waits for its next run.
func (w *world) stop(m *machine, id string, now time.Time) {
	j := m.jobs[id]
	checkpoint, err := m.worker.Checkpoint(now, 1, j.id())
	if err == nil {
		err = m.worker.Stop(now, 1, j.id())
	}
	if err != nil {
		w.result.lost++
		return
	}
	delete(m.jobs, id)
	j.checkpoint = checkpoint
	j.throttle = 0
	w.waiting = append([]*job{j}, w.waiting...)
}

// arrive keeps the backlog of waiting tasks filled.
func (w *world) arrive(at time.Duration, now time.Time) {
	for len(w.waiting) < backlog*w.site.Workers {
		w.waiting = append(w.waiting, w.generator.next(at, now))
	}
}

// place places waiting tasks.
func (w *world) place(now time.Time) {
	tasks := make([]placer.Task, len(w.waiting))
	byID := make(map[string]*job, len(w.waiting))
	for i, j := range w.waiting {
		tasks[i] = j.task
		byID[j.task.ID] = j
	}
	placed := make(map[*job]bool)
	for _, choice := range w.contender.Policy.Place(w.snapshot(now), tasks, now).Choices {
		j := byID[choice.Task]
		m := w.machine(choice.Worker)
		j.run++
		j.startedAt = now
		if m.worker.Start(now, j.start()) != nil {
			w.result.lost++
			continue
		}
		m.jobs[j.task.ID] = j
		placed[j] = true
	}
	w.waiting = slices.DeleteFunc(w.waiting, func(j *job) bool { return placed[j] })
}

func (w *world) machine(name string) *machine {
	i := slices.IndexFunc(w.machines, func(m *machine) bool { return m.name == name })
	return w.machines[i]
}

// snapshot returns the state that placement decides on.
func (w *world) snapshot(now time.Time) *placer.Snapshot {
	s := &placer.Snapshot{}
	if w.contender.Guarded {
		s.Slowdown = func(service, batch string) float64 { return w.learner.Slowdown(service, batch, now) }
		s.SlowdownLimit = isolator.SlowdownLimit
	}
	for _, m := range w.machines {
		if m.centre == w.out {
			continue
		}
		residents := slices.Clone(m.services)
		for _, id := range sortedJobs(m) {
			j := m.jobs[id]
			residents = append(residents, placer.Resident{
				Task: id, Class: j.task.Class, Size: j.task.Size, Progress: now.Sub(j.startedAt),
			})
		}
		s.Workers = append(s.Workers, placer.Worker{
			Name: m.name, Rack: m.rack, DataCentre: m.centre, Residents: residents,
			Capacity: placer.Resources{MilliCores: workerMilliCores, MemoryBytes: workerMemoryBytes},
		})
	}
	return s
}

func sortedJobs(m *machine) []string {
	ids := make([]string, 0, len(m.jobs))
	for id := range m.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// readUsage samples the services and lets the guard act.
func (w *world) readUsage(now time.Time) {
	for _, m := range w.machines {
		if m.centre == w.out {
			continue
		}
		readings := w.readings(m, now)
		if !w.contender.Guarded {
			continue
		}
		advice := w.guard.Observe(m.name, readings, now)
		for _, throttle := range advice.Throttles {
			if j, ok := m.jobs[throttle.Task]; ok {
				_ = m.worker.Throttle(now, 1, j.id(), throttle.Throttle)
				w.result.throttles++
			}
		}
		for _, id := range advice.Evictions {
			if _, ok := m.jobs[id]; ok {
				w.stop(m, id, now)
				w.result.evictions++
			}
		}
	}
}

// readings returns a machine's measurements and samples its services.
func (w *world) readings(m *machine, now time.Time) []isolator.Reading {
	var readings []isolator.Reading
	for _, usage := range m.worker.Usage(now) {
		reading := isolator.Reading{
			Task: usage.ID.Task, MilliCores: usage.Resources.MilliCores, SpeedPercent: usage.SpeedPercent, At: usage.At,
		}
		if j, ok := m.jobs[usage.ID.Task]; ok {
			reading.Class = j.task.Class
		} else if len(m.services) > 0 && m.services[0].Task == usage.ID.Task {
			reading.Class = classService
			reading.LatencyCritical = true
			// A sample outside the histogram would be a speed of nearly zero.
			_ = w.result.slowness.RecordValue(fullPercent * fullPercent / int64(max(usage.SpeedPercent, 1)))
		} else {
			continue
		}
		readings = append(readings, reading)
	}
	return readings
}

// count sums the processors that batch could use and did use.
func (w *world) count(at time.Duration) {
	for _, m := range w.machines {
		if m.centre == w.out {
			continue
		}
		free := float64(workerMilliCores-serviceMilliCores) / milliCores
		w.result.free += free
		if at < outFrom || at >= outUntil {
			continue
		}
		w.result.freeOut += free
		for _, j := range m.jobs {
			w.result.busyOut += float64(j.task.Size.MilliCores) / milliCores
		}
	}
}
