package changes

import (
	"bytes"
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/kumquatstack/kumquatstack/internal/harness"
	"github.com/kumquatstack/kumquatstack/internal/process/configurer"
)

var spreadSites = []harness.Site{
	{DataCentre: nearCentre, Region: "north-ga", Daemons: 4},
	{DataCentre: farCentre, Region: farRegion, Daemons: 4},
}

// measureSpread changes the declarations through the daemons in turn and returns
// how long each change took to be in force on all daemons. The times at which a
// version came into force are taken from the events in the daemons' logs.
func measureSpread(ctx context.Context, b *harness.StandaloneTB, cluster *harness.Cluster, changes int) *hdrhistogram.Histogram {
	began := make(map[int64]time.Time, changes)
	for n := range changes {
		start := time.Now()
		version, err := setFarCentreOut(ctx, cluster.Daemons[n%len(cluster.Daemons)], n%2 == 0)
		if err != nil {
			b.Fatalf("change %d: %v", n, err)
		}
		began[version] = start
		cluster.AwaitVersion(version, cluster.Daemons...)
	}
	durations := newHistogram()
	latest := make(map[int64]time.Time, changes)
	for _, daemon := range cluster.Daemons {
		for version, at := range inForce(daemon.Log()) {
			if at.After(latest[version]) {
				latest[version] = at
			}
		}
	}
	for version, start := range began {
		_ = durations.RecordValue(latest[version].Sub(start).Microseconds())
	}
	return durations
}

// inForce returns the time at which each version of the declarations came into
// force at a daemon, by version, from the daemon's log.
func inForce(log []byte) map[int64]time.Time {
	found := make(map[int64]time.Time)
	for line := range bytes.Lines(log) {
		var entry struct {
			Fields struct {
				Event   int       `json:"event"`
				At      time.Time `json:"at"`
				Version string    `json:"version"`
			} `json:"fields"`
		}
		if json.Unmarshal(line, &entry) != nil || entry.Fields.Event != int(configurer.EventInForce) {
			continue
		}
		if version, err := strconv.ParseInt(entry.Fields.Version, 10, 64); err == nil {
			found[version] = entry.Fields.At
		}
	}
	return found
}
