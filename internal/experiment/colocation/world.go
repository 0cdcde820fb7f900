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

// A Strategy is a placement policy, with or without a guard that protects
// services.
type Strategy struct {
	Name   string
	Policy placer.Policy
	// HasGuard is whether the interference is learned from the measured usage. The
	// placement then uses it, as does a guard that throttles and evicts batch tasks.
	HasGuard bool
}

// Strategies returns the strategies that are compared.
func Strategies() []Strategy {
	return []Strategy{
		{"protective with guard", placer.NewInterferenceAware(), true},
		{"no interference model", placer.NewInterferenceUnaware(), false},
		{"first fit", placer.NewFirstFit(), false},
		{"least loaded", placer.NewLeastLoaded(), false},
	}
}

// A machine is one worker of a simulation with its services and jobs.
type machine struct {
	name     string
	rack     string
	centre   string
	worker   *worker.Worker
	services []placer.Resident
	jobs     map[string]*job
}

// A simulation is the state of one run of one strategy.
type simulation struct {
	strategy  Strategy
	site      Site
	log       *judge.Log
	generator *generator
	machines  []*machine
	waiting   []*job
	learner   *isolator.Learner
	guard     *isolator.Guard
	// outCentre is the data centre that is out of service, or empty.
	outCentre string
	result    Result
}

// A Result holds the measurements of one run.
type Result struct {
	Strategy string
	// slowness is the response time of services in percent of that of a service
	// that runs alone, with a sample for each service and reading.
	slowness *hdrhistogram.Histogram
	// doneCoreSeconds is the work of finished batch tasks, and freeCoreSeconds
	// the core time that was free for batch tasks.
	doneCoreSeconds, freeCoreSeconds float64
	// busyInOutage is the core time that batch tasks occupied on the remaining
	// workers while a data centre was out, and freeInOutage the core time that
	// was free for them there.
	busyInOutage, freeInOutage float64
	evictions                  int
	throttles                  int
	breaches                   int
	// lost is the number of failed starts, checkpoints and stops of batch tasks,
	// and of runs that ended without finishing.
	lost int
}

const (
	maxSlowness       = 100_000
	significantDigits = 3
	fullPercent       = 100
)

func newSimulation(site Site, strategy Strategy, seed uint64, epoch time.Time) *simulation {
	s := &simulation{
		strategy:  strategy,
		site:      site,
		log:       &judge.Log{},
		generator: newGenerator(seed),
		learner:   isolator.NewLearner(),
	}
	s.guard = isolator.NewGuard(s.learner)
	s.result = Result{Strategy: strategy.Name, slowness: hdrhistogram.New(1, maxSlowness, significantDigits)}
	for n := range site.Workers {
		s.machines = append(s.machines, s.newMachine(n, epoch))
	}
	return s
}

// newMachine returns a worker with one service on it.
func (s *simulation) newMachine(n int, epoch time.Time) *machine {
	centre := s.site.Centres[n*len(s.site.Centres)/s.site.Workers]
	m := &machine{
		name:   fmt.Sprintf("w%02d", n),
		rack:   fmt.Sprintf("%s-%d", centre, n/s.site.PerRack),
		centre: centre,
		jobs:   make(map[string]*job),
	}
	m.worker = worker.New(worker.Options{
		Name: m.name, DataCentre: centre, Lag: usageLag, Log: s.log,
		Capacity: commander.Resources{MilliCores: workerMilliCores, MemoryBytes: workerMemoryBytes},
	})
	m.worker.SetModel(epoch, model())
	s.startService(m, epoch, 1)
	return m
}

// startService starts a run of the service of a machine.
func (s *simulation) startService(m *machine, now time.Time, run int32) {
	service := placer.Resident{
		Task: "service-" + m.name, Intent: "service", Class: classService, LatencyCritical: true,
		Size: placer.Resources{MilliCores: serviceMilliCores, MemoryBytes: taskMemoryBytes},
	}
	m.services = []placer.Resident{service}
	// The stand-in refuses a start only for a stale fencing token, and a run uses
	// a single token.
	_ = m.worker.Start(now, commander.Start{
		ID: commander.RunID{Task: service.Task, Run: run}, Fence: 1, Lease: foreverLease,
		Class: classService, Resources: commander.Resources(service.Size),
	})
}

// run simulates the whole scenario in steps of one second.
func (s *simulation) run(epoch time.Time) Result {
	for at := time.Duration(0); at < runDuration; at += time.Second {
		now := epoch.Add(at)
		s.collectFinished(now)
		s.applyOutage(at, now)
		s.fillBacklog(at, now)
		s.place(now)
		if at%usagePeriod == 0 {
			s.readUsage(now)
		}
		s.sumCores(at)
	}
	s.result.breaches += len(judge.Check(s.log.Records()))
	for _, m := range s.machines {
		s.result.breaches += len(m.worker.Breaches())
	}
	return s.result
}

// collectFinished removes the batch tasks that have ended from the machines. It adds
// the work of those that finished to the result, and counts the others as lost.
func (s *simulation) collectFinished(now time.Time) {
	for _, m := range s.machines {
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
				s.result.doneCoreSeconds += j.work.Seconds() * float64(j.task.Size.MilliCores) / milliCores
			} else {
				s.result.lost++
			}
		}
		_, _ = m.worker.Renew(now, commander.Renewal{Fence: 1, Forget: ended})
	}
}

// applyOutage takes the last data centre out of service and brings it back at the
// times of the scenario.
func (s *simulation) applyOutage(at time.Duration, now time.Time) {
	last := s.site.Centres[len(s.site.Centres)-1]
	switch at {
	case outageStart:
		s.outCentre = last
		for _, m := range s.machines {
			if m.centre == last {
				s.stopAll(m, now)
			}
		}
	case outageEnd:
		s.outCentre = ""
		for _, m := range s.machines {
			if m.centre == last {
				s.startService(m, now, 2)
			}
		}
	}
}

// stopAll stops the service and the batch tasks of a machine. The batch tasks wait to
// be resumed on another machine.
func (s *simulation) stopAll(m *machine, now time.Time) {
	for _, id := range sortedJobs(m) {
		s.stop(m, id, now)
	}
	for _, service := range m.services {
		_ = m.worker.Stop(now, 1, commander.RunID{Task: service.Task, Run: 1})
	}
	m.services = nil
}

// stop checkpoints and stops a batch task and puts the task at the head of the
// waiting tasks.
func (s *simulation) stop(m *machine, id string, now time.Time) {
	j := m.jobs[id]
	checkpoint, err := m.worker.Checkpoint(now, 1, j.id())
	if err == nil {
		err = m.worker.Stop(now, 1, j.id())
	}
	if err != nil {
		s.result.lost++
		return
	}
	delete(m.jobs, id)
	j.checkpoint = checkpoint
	j.throttle = 0
	s.waiting = append([]*job{j}, s.waiting...)
}

// fillBacklog draws tasks until the backlog is full.
func (s *simulation) fillBacklog(at time.Duration, now time.Time) {
	for len(s.waiting) < backlog*s.site.Workers {
		s.waiting = append(s.waiting, s.generator.next(at, now))
	}
}

// place starts waiting tasks on the workers that the policy chooses.
func (s *simulation) place(now time.Time) {
	tasks := make([]placer.Task, len(s.waiting))
	byID := make(map[string]*job, len(s.waiting))
	for i, j := range s.waiting {
		tasks[i] = j.task
		byID[j.task.ID] = j
	}
	placed := make(map[*job]bool)
	for _, choice := range s.strategy.Policy.Place(s.snapshot(now), tasks, now).Choices {
		j := byID[choice.Task]
		m := s.machine(choice.Worker)
		j.run++
		j.startedAt = now
		if m.worker.Start(now, j.start()) != nil {
			s.result.lost++
			continue
		}
		m.jobs[j.task.ID] = j
		placed[j] = true
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(j *job) bool { return placed[j] })
}

func (s *simulation) machine(name string) *machine {
	i := slices.IndexFunc(s.machines, func(m *machine) bool { return m.name == name })
	return s.machines[i]
}

// snapshot returns the input of the placement decision.
func (s *simulation) snapshot(now time.Time) *placer.Snapshot {
	state := &placer.Snapshot{}
	if s.strategy.HasGuard {
		state.Slowdown = func(service, batch string) float64 { return s.learner.Slowdown(service, batch, now) }
		state.SlowdownLimit = isolator.SlowdownLimit
	}
	for _, m := range s.machines {
		if m.centre == s.outCentre {
			continue
		}
		residents := slices.Clone(m.services)
		for _, id := range sortedJobs(m) {
			j := m.jobs[id]
			residents = append(residents, placer.Resident{
				Task: id, Class: j.task.Class, Size: j.task.Size, Progress: now.Sub(j.startedAt),
			})
		}
		state.Workers = append(state.Workers, placer.Worker{
			Name: m.name, Rack: m.rack, DataCentre: m.centre, Residents: residents,
			Capacity: placer.Resources{MilliCores: workerMilliCores, MemoryBytes: workerMemoryBytes},
		})
	}
	return state
}

func sortedJobs(m *machine) []string {
	ids := make([]string, 0, len(m.jobs))
	for id := range m.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// readUsage samples the response times of the services and applies the throttles
// and evictions that the guard advises.
func (s *simulation) readUsage(now time.Time) {
	for _, m := range s.machines {
		if m.centre == s.outCentre {
			continue
		}
		readings := s.readings(m, now)
		if !s.strategy.HasGuard {
			continue
		}
		advice := s.guard.Observe(m.name, readings, now)
		for _, throttle := range advice.Throttles {
			if j, ok := m.jobs[throttle.Task]; ok {
				_ = m.worker.Throttle(now, 1, j.id(), throttle.Throttle)
				s.result.throttles++
			}
		}
		for _, id := range advice.Evictions {
			if _, ok := m.jobs[id]; ok {
				s.stop(m, id, now)
				s.result.evictions++
			}
		}
	}
}

// readings returns the usage of a machine's tasks and samples the slowness of
// its service.
func (s *simulation) readings(m *machine, now time.Time) []isolator.Reading {
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
			// Only a speed of nearly zero is outside the histogram.
			_ = s.result.slowness.RecordValue(fullPercent * fullPercent / int64(max(usage.SpeedPercent, 1)))
		} else {
			continue
		}
		readings = append(readings, reading)
	}
	return readings
}

// sumCores adds to the result the cores that are free for batch tasks during one
// second and, during the outage, the cores that batch tasks occupy.
func (s *simulation) sumCores(at time.Duration) {
	for _, m := range s.machines {
		if m.centre == s.outCentre {
			continue
		}
		free := float64(workerMilliCores-serviceMilliCores) / milliCores
		s.result.freeCoreSeconds += free
		if at < outageStart || at >= outageEnd {
			continue
		}
		s.result.freeInOutage += free
		for _, j := range m.jobs {
			s.result.busyInOutage += float64(j.task.Size.MilliCores) / milliCores
		}
	}
}
