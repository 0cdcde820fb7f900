// Package placer chooses workers for tasks. Its functions are pure: they read
// immutable snapshots and take the current time as an argument.
package placer

import "time"

const fullPercent = 100

// Resources are amounts of processor, memory and accelerators.
type Resources struct {
	MilliCores   int64
	MemoryBytes  int64
	Accelerators int64
}

// Plus returns the sum of r and other.
func (r Resources) Plus(other Resources) Resources {
	return Resources{
		MilliCores:   r.MilliCores + other.MilliCores,
		MemoryBytes:  r.MemoryBytes + other.MemoryBytes,
		Accelerators: r.Accelerators + other.Accelerators,
	}
}

// Minus returns the difference of r and other, which may be negative.
func (r Resources) Minus(other Resources) Resources {
	return Resources{
		MilliCores:   r.MilliCores - other.MilliCores,
		MemoryBytes:  r.MemoryBytes - other.MemoryBytes,
		Accelerators: r.Accelerators - other.Accelerators,
	}
}

// Max returns the larger amount of each resource.
func (r Resources) Max(other Resources) Resources {
	return Resources{
		MilliCores:   max(r.MilliCores, other.MilliCores),
		MemoryBytes:  max(r.MemoryBytes, other.MemoryBytes),
		Accelerators: max(r.Accelerators, other.Accelerators),
	}
}

// Fits reports whether no amount exceeds the capacity.
func (r Resources) Fits(capacity Resources) bool {
	return r.MilliCores <= capacity.MilliCores &&
		r.MemoryBytes <= capacity.MemoryBytes &&
		r.Accelerators <= capacity.Accelerators
}

// A Resident is a task bound to a worker.
type Resident struct {
	Task            string
	Intent          string
	Team            string
	Class           string
	LatencyCritical bool
	Urgent          bool
	// Size is the larger of the declared and the measured use.
	Size Resources
	// Declared is the declared size. A throttle frees nothing of it, because the
	// worker is given this size when it starts the task.
	Declared Resources
	// Throttle is the percentage of its processors that is withheld from the task.
	Throttle int
	// Progress is the run time since the last checkpoint, which an eviction loses.
	Progress time.Duration
	// Pinned residents are neither throttled nor evicted: they are stopping
	// already or were evicted too often.
	Pinned bool
}

// A Worker is one worker of a snapshot.
type Worker struct {
	Name        string
	Rack        string
	DataCentre  string
	Capacity    Resources
	Residents   []Resident
	Quarantined bool
	// Leaving is true if the worker's host is leaving, so that no task is placed
	// there.
	Leaving bool
}

// Committed returns the resources that the resident may use under its throttle,
// which withholds only processors beyond the declared ones.
func (r *Resident) Committed() Resources {
	committed := r.Size
	throttled := committed.MilliCores * int64(fullPercent-r.Throttle) / fullPercent
	committed.MilliCores = max(throttled, min(r.Declared.MilliCores, r.Size.MilliCores))
	return committed
}

// freedBy returns the resources that a displacement of the resident frees.
func (r *Resident) freedBy(displacement Displacement) Resources {
	if displacement.Throttle == 0 {
		return r.Committed()
	}
	throttled := *r
	throttled.Throttle = displacement.Throttle
	return r.Committed().Minus(throttled.Committed())
}

// Free returns the capacity that is not committed to residents.
func (w *Worker) Free() Resources {
	free := w.Capacity
	for i := range w.Residents {
		free = free.Minus(w.Residents[i].Committed())
	}
	return free
}

// A Task is a task to be placed.
type Task struct {
	ID              string
	Intent          string
	Team            string
	Class           string
	Size            Resources
	LatencyCritical bool
	Urgent          bool
	// Spread asks for tasks of the same intent to be placed in different racks.
	Spread bool
	// Avoid lists workers on which the task has failed.
	Avoid []string
	// Submitted orders tasks of equal rank and deadline.
	Submitted time.Time
	// Deadline is the time by which the task should finish; zero if none.
	Deadline time.Time
}

// A Quota is a team's limit, its current use and its weight in fair sharing.
type Quota struct {
	Limit  Resources
	Used   Resources
	Weight int
}

// A Snapshot is the state of the workers that a decision is based on. It is
// never modified.
type Snapshot struct {
	Workers []Worker
	Quotas  map[string]Quota
	// Slowdown estimates by how many percent each core used by a batch class slows
	// down a service class on the same worker; nil means that there is no
	// interference.
	Slowdown func(service, batch string) float64
	// SlowdownLimit is the estimated slowdown of a service, in percent, beyond
	// which no batch task is added to its worker; zero means no limit.
	SlowdownLimit float64
}

// A Displacement throttles or evicts a resident to make room for another task.
type Displacement struct {
	Task   string
	Worker string
	// Throttle is the new percentage of processors to withhold; zero means
	// eviction.
	Throttle int
}

// A Choice places a task on a worker.
type Choice struct {
	Task   string
	Worker string
	// Why is the reason for the choice, as it is recorded and shown in plans.
	Why string
	// Displacements lists what has to be throttled or evicted on the worker before
	// the task starts.
	Displacements []Displacement
}

// A Rejection explains why a task was not placed.
type Rejection struct {
	Task   string
	Reason string
	// Permanent is true if the task can't be placed however many running tasks end.
	Permanent bool
}

// A Decision is the outcome of placing a set of tasks.
type Decision struct {
	Choices    []Choice
	Rejections []Rejection
}

// A Policy places tasks on the workers of a snapshot.
type Policy interface {
	// Place decides about each task once: it is chosen a worker or rejected.
	Place(snapshot *Snapshot, tasks []Task, now time.Time) Decision
}
