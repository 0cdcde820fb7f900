// Package colocation compares placement policies in virtual time, with the real
// decision functions and the stand-ins of workers. Services and batch tasks of
// several classes share workers while noisy tasks arrive in waves and a data
// centre is out for some time.
package colocation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/commander"
	"github.com/kumquatstack/kumquatstack/internal/standin/worker"
	"github.com/kumquatstack/kumquatstack/internal/version/placer"
)

// A Site is the system of one user: its data centres and the number of workers, in
// total and in each rack.
type Site struct {
	Name    string
	Centres []string
	Workers int
	PerRack int
}

// Sites returns the present sizes of the two users' systems.
func Sites() []Site {
	return []Site{
		{Name: "Peachtree", Centres: []string{"atl-a", "ath-a", "sav-a"}, Workers: 50, PerRack: 8},
		{Name: "Sundarban", Centres: []string{"digha", "haldia", "sagar"}, Workers: 65, PerRack: 11},
	}
}

// Times of a run, in virtual time, and the spread of the work of tasks.
const (
	runDuration = 30 * time.Minute
	outageStart = 12 * time.Minute
	outageEnd   = 18 * time.Minute
	// usageLag is the age of the measurements of workers, and usagePeriod the
	// interval at which they are read.
	usageLag    = 3 * time.Second
	usagePeriod = 5 * time.Second
	// wavePeriod is the duration of each wave of noisy tasks and of the time
	// between two waves.
	wavePeriod   = 5 * time.Minute
	shortestTask = 20 * time.Second
	medianTask   = 90 * time.Second
	longestTask  = 10 * time.Minute
	workSigma    = 0.7 // standard deviation of the logarithm of the work
	// foreverLease is longer than a run of the simulation, so that no lease lapses.
	foreverLease = 24 * time.Hour
)

// Sizes of tasks and workers.
const (
	workerMilliCores  = 32_000
	workerMemoryBytes = 125 << 30
	serviceMilliCores = 8_000
	taskMemoryBytes   = 2 << 30
	milliCores        = 1_000
	// backlog is the number of waiting batch tasks per worker. It is kept up at
	// all times, so that only capacity limits the throughput.
	backlog = 8
	// noisyShareInWave and noisyShareOutside are the shares of noisy tasks among
	// the arrivals during a wave and between waves.
	noisyShareInWave  = 0.6
	noisyShareOutside = 0.1
)

// Classes of tasks.
const (
	classService = "order"
	classNoisy   = "noisy"
	classQuiet   = "quiet"
)

// model returns the slowdown that the classes cause to each other. The policies
// do not know the model.
func model() worker.Model {
	return worker.Model{Pairs: []worker.Pair{
		{Class: classService, Neighbour: classNoisy, SlowdownPercent: 70},
		{Class: classService, Neighbour: classQuiet, SlowdownPercent: 6},
		{Class: classNoisy, Neighbour: classNoisy, SlowdownPercent: 10},
	}}
}

// A job is the state of one batch task from its arrival to its end.
type job struct {
	task       placer.Task
	work       time.Duration
	run        int32
	checkpoint string
	startedAt  time.Time
	throttle   int
}

// A generator draws random batch tasks from a seed.
type generator struct {
	random *rand.Rand
	made   int
}

func newGenerator(seed uint64) *generator {
	return &generator{random: rand.New(rand.NewPCG(seed, 0))}
}

// next draws a task that arrives at a time of the run. The time is given since the start of the
// run, which decides whether a wave of noisy tasks is under way, and as an instant, which becomes
// the task's submission time.
func (g *generator) next(at time.Duration, now time.Time) *job {
	g.made++
	share := noisyShareOutside
	if int(at/wavePeriod)%2 == 1 {
		share = noisyShareInWave
	}
	class := classQuiet
	if g.random.Float64() < share {
		class = classNoisy
	}
	cores := int64(1 + g.random.IntN(8))
	work := time.Duration(float64(medianTask) * math.Exp(workSigma*g.random.NormFloat64()))
	return &job{
		task: placer.Task{
			ID:        fmt.Sprintf("batch/%d", g.made),
			Intent:    "batch",
			Class:     class,
			Size:      placer.Resources{MilliCores: cores * milliCores, MemoryBytes: taskMemoryBytes},
			Submitted: now,
		},
		work: min(max(work, shortestTask), longestTask),
	}
}

// start returns the command that starts the present run of a job.
func (j *job) start() commander.Start {
	return commander.Start{
		ID:         j.id(),
		Fence:      1,
		Lease:      foreverLease,
		Class:      j.task.Class,
		Checkpoint: j.checkpoint,
		Work:       j.work,
		Resources:  commander.Resources(j.task.Size),
	}
}

func (j *job) id() commander.RunID { return commander.RunID{Task: j.task.ID, Run: j.run} }
