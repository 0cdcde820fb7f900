// Package slopes measures what a daemon uses for control, with real processes
// and stand-ins, at several sizes of each kind of load.
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

// A Load is one size at which a daemon is measured.
type Load struct {
	// Daemons is the number of daemons; the one measured owns the shard.
	Daemons int
	// Workers is the number of workers of the shard.
	Workers int
	// Tasks is the number of tasks that run throughout.
	Tasks int
	// StartsPerSecond is the rate at which further tasks start and finish.
	StartsPerSecond int
	// ChangesPerSecond is the rate of configuration changes.
	ChangesPerSecond float64
}

// A Series varies one dimension of the load.
type Series struct {
	Name  string
	Size  func(l Load) float64
	Loads []Load
	// Target is the size of one daemon at the size of two years.
	Target float64
}

// AllSeries are the series that the page on capacity is made from. The last one
// has all loads at once, at the size of two years.
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

// withTasks returns a copy with tasks that run throughout.
func (l Load) withTasks(tasks int) Load {
	l.Tasks = tasks
	return l
}

// withStarts returns a copy with a rate of starts.
func (l Load) withStarts(perSecond int) Load {
	l.StartsPerSecond = perSecond
	return l
}

const (
	// settle is the time between the begin of a load and its measurement.
	settle = 8 * time.Second
	// centre is the data centre whose shard is measured.
	centre = "atl-a"
	region = "north-ga"
	// stirPeriod is the mean run time of the tasks that start and finish.
	stirPeriod = 5 * time.Second
	// stirKinds is the number of different run times, so that the tasks do not
	// all start together.
	stirKinds = 11
	// stirCores are the processors of each such task, which bound how many run.
	stirCores = 2
	// coresPerWorker are those of the stand-in workers.
	coresPerWorker = 32
)

// A Point is the use measured at one load.
type Point struct {
	Load Load
	rate gauger.Rate
}

// Measure runs one load for a time and returns what the owner of the shard
// used.
func Measure(ctx context.Context, load Load, duration time.Duration) (point Point, err error) {
	b, err := harness.NewBench(ctx)
	if err != nil {
		return Point{}, err
	}
	defer b.Close()
	defer func() { err = errors.Join(err, b.Failure(recover())) }()
	cluster := harness.Start(b, harness.Options{
		Sites: []harness.Site{{DataCentre: centre, Region: region, Daemons: load.Daemons, Workers: load.Workers}},
	})
	daemon := awaitOwner(b, cluster)
	submit(b, daemon, load, duration)
	stop := change(ctx, daemon, load.ChangesPerSecond)
	defer stop()
	pauser.Sleep(ctx, settle)
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

// awaitOwner waits until the owner of the shard answers and returns it.
func awaitOwner(b *harness.Bench, cluster *harness.Cluster) *harness.Daemon {
	harness.Eventually(b, time.Minute, "the shard answers", func() bool {
		status, err := cluster.Daemons[0].Operator().Status(b.Context(), &kumquatv1.StatusRequest{})
		return err == nil && len(status.MissingShards) == 0
	})
	return cluster.OwnerOf("shard:" + centre)
}

// submit confirms the tasks of a load.
func submit(b *harness.Bench, daemon *harness.Daemon, load Load, duration time.Duration) {
	if load.Tasks > 0 {
		confirm(b, daemon, "steady", load.Tasks, 0.25, time.Hour)
	}
	if load.StartsPerSecond == 0 {
		return
	}
	// The rest of the processors is taken, so that just so many tasks run at a
	// time that they start at the wanted rate.
	running := load.StartsPerSecond * int(stirPeriod.Seconds())
	free := load.Workers*coresPerWorker - running*stirCores - load.Tasks/4
	if free >= coresPerWorker {
		confirm(b, daemon, "ballast", free/coresPerWorker, coresPerWorker, time.Hour)
	}
	total := load.StartsPerSecond * int((duration + 2*settle).Seconds())
	for kind := range stirKinds {
		run := stirPeriod + time.Duration(kind-stirKinds/2)*stirPeriod/stirKinds
		confirm(b, daemon, fmt.Sprintf("stir-%d", kind), total/stirKinds+1, stirCores, run)
	}
}

// confirm plans and confirms an intent.
func confirm(b *harness.Bench, daemon *harness.Daemon, name string, count int, cores float64, run time.Duration) {
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

// change applies configurations at a rate until the returned function is
// called.
func change(ctx context.Context, daemon *harness.Daemon, perSecond float64) (stop func()) {
	if perSecond == 0 {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer ticker.Stop()
		base := harness.DeclarationsOf([]harness.Site{{DataCentre: centre, Region: region}})
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
