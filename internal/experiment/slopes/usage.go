package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/harness"
	"github.com/kumquatstack/kumquatstack/internal/process/counter"
)

// ticksPerSecond is the unit of processor times in /proc.
const ticksPerSecond = 100

// A usage is what a daemon has used since its start.
type usage struct {
	at time.Time
	// cpu is the processor time.
	cpu time.Duration
	// memoryBytes is the resident memory now.
	memoryBytes int64
	// counters are the daemon's metrics.
	counters map[counter.Name]int64
}

// readUsage reads what a daemon has used.
func readUsage(ctx context.Context, daemon *harness.Daemon) (u usage, err error) {
	u = usage{at: time.Now(), counters: make(map[counter.Name]int64)}
	if u.cpu, err = readProcessorTime(daemon.PID()); err != nil {
		return u, err
	}
	if u.memoryBytes, err = readMemory(daemon.PID()); err != nil {
		return u, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+daemon.Health+"/debug/vars", http.NoBody)
	if err != nil {
		return u, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return u, err
	}
	defer func() { _ = resp.Body.Close() }()
	var all map[string]json.RawMessage
	if err := json.NewDecoder(resp.Body).Decode(&all); err != nil {
		return u, err
	}
	for name, raw := range all {
		// Metrics that are no numbers are not counters.
		if value, err := strconv.ParseInt(string(raw), 10, 64); err == nil {
			u.counters[counter.Name(name)] = value
		}
	}
	return u, nil
}

// readProcessorTime returns the user and system time of a process.
func readProcessorTime(pid int) (time.Duration, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The fields after the command's name in parentheses begin with the third.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	const user, system = 11, 12
	if len(fields) <= system {
		return 0, fmt.Errorf("process %d: short stat", pid)
	}
	var ticks int64
	for _, field := range []string{fields[user], fields[system]} {
		value, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return 0, err
		}
		ticks += value
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond, nil
}

// readMemory returns the resident memory of a process in bytes.
func readMemory(pid int) (int64, error) {
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	var total, resident int64
	if _, err := fmt.Sscan(string(statm), &total, &resident); err != nil {
		return 0, err
	}
	return resident * int64(os.Getpagesize()), nil
}

// A rate is what a daemon uses a second between two readings.
type rate struct {
	cpuPercent  float64
	memoryBytes float64
	perSecond   map[counter.Name]float64
}

// rateOf returns the rates between two readings.
func rateOf(from, to usage) rate {
	seconds := to.at.Sub(from.at).Seconds()
	r := rate{
		cpuPercent:  100 * (to.cpu - from.cpu).Seconds() / seconds,
		memoryBytes: float64(to.memoryBytes),
		perSecond:   make(map[counter.Name]float64),
	}
	for name, value := range to.counters {
		r.perSecond[name] = float64(value-from.counters[name]) / seconds
	}
	return r
}

// bytesPerSecond sums the control traffic.
func (r rate) bytesPerSecond() float64 {
	return r.perSecond[counter.StoreBytes] + r.perSecond[counter.PeerBytes] +
		r.perSecond[counter.WorkerBytes] + r.perSecond[counter.HostListBytes]
}

// storeCalls sums reads and writes.
func (r rate) storeCalls() float64 {
	return r.perSecond[counter.StoreReads] + r.perSecond[counter.StoreWrites]
}
