// Package rig2 runs the daemon of this project as separate processes beside stand-ins of
// the platform, for the cases 6 to 10 of the review. Everything listens on loopback
// addresses.
package rig2

import (
	"fmt"
	"os"
	"slices"
	"sync"
	"time"
)

// A Record is the log of a case: what was sent, answered and run.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	beganAt time.Time
}

// NewRecord creates the log at a path, and writes its lines to the standard output, too.
func NewRecord(path string) (r *Record, err error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	return &Record{file: file, beganAt: time.Now()}, nil
}

// Printf adds a line with the time since the start of the case.
func (r *Record) Printf(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.beganAt).Seconds(), fmt.Sprintf(format, values...))
	fmt.Print(line)
	if _, err := r.file.WriteString(line); err != nil {
		fmt.Fprintln(os.Stderr, "write record:", err)
	}
}

// Since returns the time from the start of the case to another one, in seconds.
func (r *Record) Since(at time.Time) float64 { return at.Sub(r.beganAt).Seconds() }

// PrintRuns adds the runs of tasks, as the runners have seen them.
func (r *Record) PrintRuns(d *Deployment, tasks []string) {
	slices.Sort(tasks)
	for _, task := range tasks {
		for _, run := range d.Ledger.Runs(task) {
			end := "runs on"
			if !run.Ended.IsZero() {
				end = fmt.Sprintf("%s at %.3f s", run.How, r.Since(run.Ended))
			}
			r.Printf("run %d of task %s on %s from %.3f s: %s", run.Number, task, run.Runner, r.Since(run.Started), end)
		}
	}
}

// Close closes the log.
func (r *Record) Close() error { return r.file.Close() }
