package harness

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/owner"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/standin/controller"
	"github.com/kumquatstack/kumquatstack/internal/standin/judge"
	"github.com/kumquatstack/kumquatstack/internal/standin/keyvalue"
	"github.com/kumquatstack/kumquatstack/internal/standin/runner"
	"github.com/kumquatstack/kumquatstack/internal/standin/worker"
)

// Version returns the version of the declarations in force at the daemon, or -1 if the daemon
// doesn't respond.
func (d *Daemon) Version(ctx context.Context) int64 {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	response, err := d.Operator().GetDeclarations(ctx, &kumquatv1.GetDeclarationsRequest{})
	if err != nil {
		return -1
	}
	return response.GetVersion()
}

// OwnerOf waits until a partition has an owner and returns the owner.
func (c *Cluster) OwnerOf(partition string) (owner *Daemon) {
	c.t.Helper()
	Eventually(c.t, readyTimeout, partition+" has an owner", func() bool {
		owner = c.findOwner(partition)
		return owner != nil
	})
	return owner
}

// findOwner returns the daemon that owns a partition according to the status of any daemon, or nil.
func (c *Cluster) findOwner(partition string) *Daemon {
	for _, daemon := range c.Daemons {
		response, err := daemon.Operator().Status(c.t.Context(), &kumquatv1.StatusRequest{})
		if err != nil {
			continue
		}
		for _, status := range response.GetDaemons() {
			if slices.Contains(status.GetPartitions(), partition) {
				return c.daemon(status.GetIncarnation().GetDaemon())
			}
		}
	}
	return nil
}

// AwaitRunnerShares waits until the numbers of runner partitions of two daemons of a region differ
// by at most one. Right after a start, the first daemon may own all of them.
func (c *Cluster) AwaitRunnerShares() {
	c.t.Helper()
	Eventually(c.t, readyTimeout, "the daemons share the runners", func() bool {
		counts := c.runnerPartitions()
		least, most := map[string]int{}, map[string]int{}
		for _, daemon := range c.Daemons {
			count := counts[daemon.Name]
			if known, ok := least[daemon.Region]; !ok || count < known {
				least[daemon.Region] = count
			}
			most[daemon.Region] = max(most[daemon.Region], count)
		}
		for region := range most {
			if least[region] == 0 || most[region]-least[region] > 1 {
				return false
			}
		}
		return true
	})
}

// AwaitRunnerOwner waits until a daemon owns all runner partitions.
func (c *Cluster) AwaitRunnerOwner(daemon *Daemon) {
	c.t.Helper()
	Eventually(c.t, readyTimeout, daemon.Name+" owns all runners", func() bool {
		return c.runnerPartitions()[daemon.Name] == len(c.options.Sites)*owner.RunnerPartitionCount
	})
}

// runnerPartitions returns the number of runner partitions of each daemon, by the status of the
// first daemon.
func (c *Cluster) runnerPartitions() (counts map[string]int) {
	counts = map[string]int{}
	response, err := c.Daemons[0].Operator().Status(c.t.Context(), &kumquatv1.StatusRequest{})
	if err != nil {
		return counts
	}
	for _, status := range response.GetDaemons() {
		for _, partition := range status.GetPartitions() {
			if owner.Partition(partition).Kind() == owner.KindRunners {
				counts[status.GetIncarnation().GetDaemon()]++
			}
		}
	}
	return counts
}

// daemon returns a daemon by name, or nil.
func (c *Cluster) daemon(name string) *Daemon {
	for _, daemon := range c.Daemons {
		if daemon.Name == name {
			return daemon
		}
	}
	return nil
}

// Others returns all daemons except one.
func (c *Cluster) Others(daemon *Daemon) (others []*Daemon) {
	for _, other := range c.Daemons {
		if other != daemon {
			others = append(others, other)
		}
	}
	return others
}

// SetStoreFaults sets the faults of the store.
func (c *Cluster) SetStoreFaults(faults keyvalue.Faults) {
	c.t.Helper()
	c.post(c.store, controller.PathFaults, faults)
}

// StoreCounts returns the counters of the store.
func (c *Cluster) StoreCounts() (counts keyvalue.Counts) {
	c.t.Helper()
	c.get(c.store, controller.PathCounts, &counts)
	return counts
}

// SetRunnerFaults sets the faults of one runner, or of all runners if the request names none.
func (c *Cluster) SetRunnerFaults(request runner.FaultsRequest) {
	c.t.Helper()
	for _, remote := range c.runnersOf(request.Runner) {
		c.post(remote, controller.PathFaults, request)
	}
}

// RunnerCounts returns the counters of all runners.
func (c *Cluster) RunnerCounts() (counts []runner.Counts) {
	c.t.Helper()
	for _, remote := range c.runners {
		var found []runner.Counts
		c.get(remote, controller.PathCounts, &found)
		counts = append(counts, found...)
	}
	return counts
}

// Executions returns how often each request began to run at any runner, by the request's ID.
func (c *Cluster) Executions() map[string]int {
	c.t.Helper()
	executions := map[string]int{}
	for _, remote := range c.runners {
		found := map[string]int{}
		c.get(remote, controller.PathExecutions, &found)
		for id, times := range found {
			executions[id] += times
		}
	}
	return executions
}

// SetWorkerFaults sets the faults of one worker, or of all workers if the request names none.
func (c *Cluster) SetWorkerFaults(request worker.FaultsRequest) {
	c.t.Helper()
	for _, remote := range c.workersOf(request.Worker) {
		c.post(remote, controller.PathFaults, request)
	}
}

// CrashWorker ends all runs of one worker and discards its state.
func (c *Cluster) CrashWorker(name string) {
	c.t.Helper()
	for _, remote := range c.workersOf(name) {
		c.post(remote, controller.PathCrash, worker.CrashRequest{Worker: name})
	}
}

// Records returns the starts and ends of runs at all workers.
func (c *Cluster) Records() (records []judge.Record) {
	c.t.Helper()
	for _, remote := range c.workers {
		var found []judge.Record
		c.get(remote, controller.PathLog, &found)
		records = append(records, found...)
	}
	return records
}

// Breaches returns the violated guarantees of all workers and runners, including those that only
// the records of several processes show.
func (c *Cluster) Breaches() (breaches []judge.Breach) {
	c.t.Helper()
	for _, remotes := range [][]controller.Remote{c.workers, c.runners} {
		for _, remote := range remotes {
			var found []judge.Breach
			c.get(remote, controller.PathBreaches, &found)
			breaches = append(breaches, found...)
		}
	}
	return append(breaches, judge.Check(c.Records())...)
}

// AssertNoBreach fails the test if a guarantee was violated.
func (c *Cluster) AssertNoBreach() {
	c.t.Helper()
	breaches := c.Breaches()
	for number, breach := range breaches {
		if number == tailLines {
			c.t.Errorf("%d more breaches", len(breaches)-number)
			return
		}
		c.t.Errorf("%s at %s: %s: %s", breach.Rule, breach.At.Format(time.StampMilli), breach.Subject, breach.Detail)
	}
}

// workersOf returns the control endpoint of the process that contains a worker, or those of all
// such processes if the name is empty.
func (c *Cluster) workersOf(name string) []controller.Remote {
	return c.remotesOf(name, c.workers, func(site Site) bool { return site.Workers > 0 })
}

// runnersOf returns the control endpoint of the process that contains a runner, or those of all
// such processes if the name is empty.
func (c *Cluster) runnersOf(name string) []controller.Remote {
	return c.remotesOf(name, c.runners, func(site Site) bool { return site.Runners > 0 })
}

// remotesOf returns the control endpoint of the site whose data centre prefixes a host's name, or
// all endpoints if the name is empty. The endpoints are in the order of the included sites, which
// are those with such hosts.
func (c *Cluster) remotesOf(name string, remotes []controller.Remote, isIncluded func(Site) bool) []controller.Remote {
	c.t.Helper()
	if name == "" {
		return remotes
	}
	number := 0
	for _, site := range c.options.Sites {
		if !isIncluded(site) {
			continue
		}
		if strings.HasPrefix(name, site.DataCentre+"-") {
			return remotes[number : number+1]
		}
		number++
	}
	c.t.Fatal(fmt.Errorf("no process has a host %q", name))
	return nil
}

func (c *Cluster) get(remote controller.Remote, path string, value any) {
	c.t.Helper()
	if err := remote.Get(context.Background(), path, value); err != nil {
		c.t.Fatal(err)
	}
}

func (c *Cluster) post(remote controller.Remote, path string, value any) {
	c.t.Helper()
	if err := remote.Post(context.Background(), path, value); err != nil {
		c.t.Fatal(err)
	}
}

// SetWorkerModel sets the performance model of the runs at all workers.
func (c *Cluster) SetWorkerModel(model worker.Model) {
	c.t.Helper()
	for _, remote := range c.workers {
		c.post(remote, controller.PathModel, worker.ModelRequest{Model: model})
	}
}
