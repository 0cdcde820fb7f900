// Package slopes measures the resources that a daemon uses for control, with real
// processes and stand-ins, at several sizes of each kind of load.
package slopes

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/pauser"

	"github.com/kumquatstack/kumquatstack/internal/experiment/gauger"
	"github.com/kumquatstack/kumquatstack/internal/harness"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// A Load is a load at which a daemon is measured.
type Load struct {
	// Daemons is the number of daemons. The one that owns the shard of dataCentre
	// is measured.
	Daemons int
	// Workers is the number of workers of that shard.
	Workers int
	// Tasks is the number of tasks that run during the whole measurement.
	Tasks int
	// StartsPerSecond is the rate at which further tasks start and finish.
	StartsPerSecond int
	// ChangesPerSecond is the rate of configuration changes.
	ChangesPerSecond float64
}

// A Series is a list of loads that vary in one dimension.
type Series struct {
	Name string
	// Size returns the size of a load in the dimension that is varied.
	Size  func(l Load) float64
	Loads []Load
	// Target is the size that one daemon has to handle when the system has the size
	// expected in two years.
	Target float64
}

// AllSeries returns the series whose results the documentation of the capacity
// states. The last series combines all kinds of load, at the size of the system that
// is expected in two years.
func AllSeries() []Series {
	shard := Load{Daemons: 2, Workers: 55}
	return []Series{
		{"daemons", func(l Load) float64 { return float64(l.Daemons) }, []Load{{Daemons: 2}, {Daemons: 4}, {Daemons: 8}}, 8},
		{"workers", func(l Load) float64 { return float64(l.Workers) }, []Load{{Daemons: 2}, {Daemons: 2, Workers: 18}, {Daemons: 2, Workers: 36}, shard}, 55},
		{"tasks", func(l Load) float64 { return float64(l.Tasks) }, []Load{shard, shard.withTasks(400), shard.withTasks(800), shard.withTasks(1610)}, 1610},
		{"starts/s", func(l Load) float64 { return float64(l.StartsPerSecond) }, []Load{shard, shard.withStarts(11), shard.withStarts(22), shard.withStarts(44)}, 44},
		{"changes/s", func(l Load) float64 { return l.ChangesPerSecond }, []Load{{Daemons: 2}, {Daemons: 2, ChangesPerSecond: 0.5}, {Daemons: 2, ChangesPerSecond: 1}, {Daemons: 2, ChangesPerSecond: 2}}, 0.03},
		{"all", func(l Load) float64 { return float64(l.StartsPerSecond) }, []Load{
			{Daemons: 8, Workers: 55, Tasks: 1610, ChangesPerSecond: 0.03},
			{Daemons: 8, Workers: 55, Tasks: 1610, StartsPerSecond: 11, ChangesPerSecond: 0.03},
			{Daemons: 8, Workers: 55, Tasks: 1610, StartsPerSecond: 44, ChangesPerSecond: 0.03},
		}, 44},
	}
}

// withTasks returns a copy with a number of tasks that run during the whole
// measurement.
func (l Load) withTasks(tasks int) Load {
	l.Tasks = tasks
	return l
}

// withStarts returns a copy with a number of task starts per second.
func (l Load) withStarts(perSecond int) Load {
	l.StartsPerSecond = perSecond
	return l
}

const (
	// settleTime is the time between the start of a load and its measurement.
	settleTime = 8 * time.Second
	// dataCentre is the data centre whose shard is measured.
	dataCentre = "atl-a"
	region     = "north-ga"
	// churnRunTime is the mean run time of the tasks that start and finish during
	// the measurement.
	churnRunTime = 5 * time.Second
	// churnKinds is the number of different run times of these tasks. The run times
	// differ so that the tasks do not all start at the same time.
	churnKinds = 11
	// churnCores is the number of cores of each such task, which bounds how many of
	// these tasks run at a time.
	churnCores = 2
	// coresPerWorker is the number of cores of a stand-in worker.
	coresPerWorker = 32
)

// A Point is the resource usage that was measured at one load.
type Point struct {
	Load Load
	rate gauger.Rate
}

// Measure runs one load for a duration and returns the resource usage of the
// daemon that owns the shard.
func Measure(ctx context.Context, load Load, duration time.Duration) (point Point, err error) {
	b, err := harness.NewStandaloneTB(ctx)
	if err != nil {
		return Point{}, err
	}
	defer b.Close()
	defer func() { err = errors.Join(err, b.Failure(recover())) }()
	cluster := harness.Start(b, harness.Options{
		Sites: []harness.Site{{DataCentre: dataCentre, Region: region, Daemons: load.Daemons, Workers: load.Workers}},
	})
	daemon := awaitOwner(b, cluster)
	submit(b, daemon, load, duration)
	stop := applyChanges(ctx, daemon, load.ChangesPerSecond)
	defer stop()
	pauser.Sleep(ctx, settleTime)
	from, err := gauger.Read(ctx, daemon)
	if err != nil {
		return Point{}, err
	}
	pauser.Sleep(ctx, duration)
	to, err := gauger.Read(ctx, daemon)
	if err != nil {
		return Point{}, err
	}
	return Point{Load: load, rate: gauger.RateOf(from, to)}, ctx.Err()
}

// awaitOwner waits until the shard has an owner that answers, and returns the
// owner.
func awaitOwner(b *harness.StandaloneTB, cluster *harness.Cluster) *harness.Daemon {
	harness.Eventually(b, time.Minute, "the shard answers", func() bool {
		status, err := cluster.Daemons[0].Operator().Status(b.Context(), &kumquatv1.StatusRequest{})
		return err == nil && len(status.MissingShards) == 0
	})
	return cluster.OwnerOf("shard:" + dataCentre)
}

// submit submits the tasks of a load: those that run during the whole measurement,
// and those that start and finish at the wanted rate.
func submit(b *harness.StandaloneTB, daemon *harness.Daemon, load Load, duration time.Duration) {
	if load.Tasks > 0 {
		confirm(b, daemon, "steady", load.Tasks, 0.25, time.Hour)
	}
	if load.StartsPerSecond == 0 {
		return
	}
	// Tasks of the ballast intent take the remaining cores, so that the number of
	// tasks that fit at a time gives the wanted rate of starts.
	running := load.StartsPerSecond * int(churnRunTime.Seconds())
	free := load.Workers*coresPerWorker - running*churnCores - load.Tasks/4
	if free >= coresPerWorker {
		confirm(b, daemon, "ballast", free/coresPerWorker, coresPerWorker, time.Hour)
	}
	total := load.StartsPerSecond * int((duration + 2*settleTime).Seconds())
	for kind := range churnKinds {
		run := churnRunTime + time.Duration(kind-churnKinds/2)*churnRunTime/churnKinds
		confirm(b, daemon, fmt.Sprintf("stir-%d", kind), total/churnKinds+1, churnCores, run)
	}
}

// confirm plans and confirms an intent, and retries until it succeeds.
func confirm(b *harness.StandaloneTB, daemon *harness.Daemon, name string, count int, cores float64, run time.Duration) {
	document := fmt.Sprintf(`name: %s
team: %s
class: %s
kind: runBy
count: %d
resources: {cores: %g, memoryGB: 0.1}
within: 24h
expectedRun: %s
`, name, harness.Team, harness.Class, count, cores, run)
	harness.Eventually(b, time.Minute, "intent "+name+" is confirmed", func() bool {
		planned, err := daemon.Operator().Plan(b.Context(), &kumquatv1.PlanRequest{Document: document})
		if err != nil {
			return false
		}
		_, err = daemon.Operator().Confirm(b.Context(), &kumquatv1.ConfirmRequest{Plan: planned.Plan})
		return err == nil
	})
}

// applyChanges applies changes of the configuration at a rate until the returned
// function is called.
func applyChanges(ctx context.Context, daemon *harness.Daemon, perSecond float64) (stop func()) {
	if perSecond == 0 {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer ticker.Stop()
		base := harness.DeclarationsOf([]harness.Site{{DataCentre: dataCentre, Region: region}})
		for number := 0; ; number++ {
			document := fmt.Sprintf("%s# change %d\n", base, number)
			// A change that fails shows as a lower rate of versions.
			_, _ = daemon.Operator().Apply(ctx, &kumquatv1.ApplyRequest{Document: document, BaseVersion: -1})
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	}()
	return func() {
		cancel()
		<-done
	}
}
