// Package gauger reads the resource usage of the processes of real daemons.
package gauger

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

// ticksPerSecond is the number of clock ticks per second, the unit of processor
// times in /proc.
const ticksPerSecond = 100

// A Usage is the resource usage of a daemon since its start.
type Usage struct {
	At time.Time
	// CPU is the processor time that the daemon has used.
	CPU time.Duration
	// MemoryBytes is the resident memory at the time of the reading.
	MemoryBytes int64
	// Counters holds those of the daemon's metrics that are integers.
	Counters map[counter.Name]int64
}

// Read returns the present usage of a daemon.
func Read(ctx context.Context, daemon *harness.Daemon) (u Usage, err error) {
	u = Usage{At: time.Now(), Counters: make(map[counter.Name]int64)}
	if u.CPU, err = readProcessorTime(daemon.PID()); err != nil {
		return u, err
	}
	if u.MemoryBytes, err = readMemory(daemon.PID()); err != nil {
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
		// Metrics that are not integers are not counters.
		if value, err := strconv.ParseInt(string(raw), 10, 64); err == nil {
			u.Counters[counter.Name(name)] = value
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
	// The fields after the command name in parentheses begin with the third
	// field of the file.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	const user, system = 11, 12
	if len(fields) <= system {
		return 0, fmt.Errorf("process %d: too few fields in /proc stat", pid)
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

// A Rate is the resource usage of a daemon between two readings, per second except
// for the memory.
type Rate struct {
	// CPUPercent is the use of processor time in percent of one core.
	CPUPercent float64
	// MemoryBytes is the resident memory at the second reading.
	MemoryBytes float64
	// PerSecond holds the increase of each of the daemon's counters per second.
	PerSecond map[counter.Name]float64
}

// RateOf returns the rates between two readings.
func RateOf(from, to Usage) Rate {
	seconds := to.At.Sub(from.At).Seconds()
	r := Rate{
		CPUPercent:  100 * (to.CPU - from.CPU).Seconds() / seconds,
		MemoryBytes: float64(to.MemoryBytes),
		PerSecond:   make(map[counter.Name]float64),
	}
	for name, value := range to.Counters {
		r.PerSecond[name] = float64(value-from.Counters[name]) / seconds
	}
	return r
}

// BytesPerSecond returns the traffic with the store, peers, workers and the list of
// hosts, in bytes per second.
func (r Rate) BytesPerSecond() float64 {
	return r.PerSecond[counter.StoreBytes] + r.PerSecond[counter.PeerBytes] +
		r.PerSecond[counter.WorkerBytes] + r.PerSecond[counter.HostListBytes]
}

// StoreCalls returns the reads and writes of the store per second.
func (r Rate) StoreCalls() float64 {
	return r.PerSecond[counter.StoreReads] + r.PerSecond[counter.StoreWrites]
}
