package rig3

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// Bounds of the platform, as its pages give them for a small deployment.
const (
	heartbeat   = 1500 * time.Millisecond
	maxHold     = 6 * time.Second
	stopTime    = 100 * time.Millisecond // at most StopTimeoutMs, 400 ms
	missedBeats = 3                      // after which an entry is removed
	maxEnds     = 500                    // in one response
)

// RunnerOptions describe a runner.
type RunnerOptions struct {
	ID, Zone, Kind, Rack string
	Host                 string // loopback IP address
	MilliCores           int64
	// Length returns how long a run of a task takes.
	Length func(task string) time.Duration
	// Gang names the gang of a task and gives its size, which is zero for other tasks; nil means
	// that there are no gangs.
	Gang func(task string) (step string, size int)
}

// A Runner is a stand-in of a runner. It keeps what the platform's pages say of runners.
type Runner struct {
	opts   RunnerOptions
	rig    *Rig
	beats  sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc

	mu        sync.Mutex
	address   string
	server    *http.Server // nil while the runner is down
	life      int
	startedAt time.Time
	seq       int64
	heardAt   time.Time // of the last heartbeat
	fence     int64
	leaseEnd  time.Time
	running   map[runKey]*job
	maxEnded  map[string]int64 // highest run that was stopped or has ended, by task
	ended     []endRow         // not acknowledged yet
	endCount  int64
	changed   chan struct{} // closed at the next end or crash
}

// An endRow is the end of a run, with its number.
type endRow struct {
	n   int64
	run *Run
}

// A runKey identifies a run on a runner.
type runKey struct {
	task   string
	number int64
}

// A job is a run in progress.
type job struct {
	run    *Run
	length time.Duration
	timer  *time.Timer
	gang   *gang // nil unless the task is a member of one
}

func (j *job) key() runKey { return runKey{j.run.Task, j.run.Number} }

// NewRunner starts a runner.
func (r *Rig) NewRunner(opts RunnerOptions) (n *Runner, err error) {
	n = &Runner{opts: opts, rig: r, changed: make(chan struct{})}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	if err = n.Boot(); err != nil {
		return nil, err
	}
	n.beats.Go(n.beat)
	r.runners = append(r.runners, n)
	return n, nil
}

// ID returns the runner's id.
func (n *Runner) ID() string { return n.opts.ID }

// Boot starts a new life of a runner that is down, at the address that it had.
func (n *Runner) Boot() error {
	n.mu.Lock()
	address := n.address
	n.mu.Unlock()
	if address == "" {
		address = net.JoinHostPort(n.opts.Host, "0")
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /kumquatstack/run-start", n.serve(n.start))
	mux.HandleFunc("POST /kumquatstack/run-stop", n.serve(n.stop))
	mux.HandleFunc("POST /kumquatstack/pace", n.serve(func(order) string { return "" }))
	mux.HandleFunc("POST /kumquatstack/hold", n.hold)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.address = listener.Addr().String()
	n.server, n.startedAt = server, time.Now()
	n.life++
	n.seq, n.fence, n.leaseEnd, n.ended, n.endCount = 0, 0, time.Time{}, nil, 0
	n.running, n.maxEnded = make(map[runKey]*job), make(map[string]int64)
	n.rig.Record.Note("runner %s (life %d): is up", n.opts.ID, n.life)
	n.rig.background.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			n.rig.Record.Note("runner %s: %v", n.opts.ID, err)
		}
	})
	n.register()
	return nil
}

// Crash ends the runner's life without notice. All that runs there ends.
func (n *Runner) Crash() {
	n.mu.Lock()
	server := n.server
	if server == nil {
		n.mu.Unlock()
		return
	}
	n.server = nil
	n.rig.Record.Note("runner %s (life %d): crashes", n.opts.ID, n.life)
	for _, j := range n.running {
		j.timer.Stop()
		n.rig.Ledger.end(j.run, "lost")
		if j.gang != nil {
			n.rig.gangs.leave(j)
		}
	}
	n.running = nil
	n.announce()
	n.mu.Unlock()
	_ = server.Close() // the listener is closed even after an error
}

// close ends the runner for good.
func (n *Runner) close() {
	n.cancel()
	n.Crash()
	n.beats.Wait()
}

// beat renews the runner's entry in the store, which the platform removes after some silence.
func (n *Runner) beat() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.C:
		}
		n.mu.Lock()
		switch {
		case n.server != nil:
			n.register()
		case !n.heardAt.IsZero() && time.Since(n.heardAt) >= missedBeats*heartbeat:
			n.heardAt = time.Time{}
			n.rig.Store.Remove(time.Now(), "servers/"+n.opts.ID)
			n.rig.Record.Note("store: entry of runner %s is removed", n.opts.ID)
		}
		n.mu.Unlock()
	}
}

// register writes the runner's entry. The caller holds the lock.
func (n *Runner) register() {
	n.seq++
	n.heardAt = time.Now()
	n.rig.Store.Put(n.heardAt, "servers/"+n.opts.ID, map[string]any{
		"Service": Service, "Address": n.address, "Zone": n.opts.Zone, "Version": "v1", "Slots": 8, "State": "ready",
		"ColdRemainingMs": 0, "Capacity": map[string]any{"Cpu": n.opts.MilliCores, "MemMb": 128_000, "Gpu": 0},
		"Labels": []string{n.opts.Kind, n.opts.Rack}, "ClockMs": n.clock(), "Seq": n.seq, "born": n.startedAt.UnixMilli(),
	})
}

// clock returns the reading of the runner's clock. The caller holds the lock.
func (n *Runner) clock() int64 { return time.Since(n.startedAt).Milliseconds() }

// announce wakes the polls that wait for a change. The caller holds the lock.
func (n *Runner) announce() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// An order is the body of any call to a runner; each kind of call uses some of the fields.
type order struct {
	Task         string
	Run          int64
	Spec         string
	DeadlineMs   int64
	FencingToken int64
	Acked        int64
	WaitMs       int64
}

// read decodes a call, or responds to one that is malformed or meant for another runner.
func (n *Runner) read(w http.ResponseWriter, req *http.Request) (o order, ok bool) {
	if id := req.Header.Get("X-Kumquatstack-Target-Instance"); id != "" && id != n.opts.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	return o, true
}

func respond(w http.ResponseWriter, body map[string]any) {
	w.Header().Set("Content-Type", "application/json")
	if _, isRefused := body["Reason"]; isRefused {
		w.WriteHeader(http.StatusConflict)
	}
	// A write fails only if the caller has closed the connection.
	_ = json.NewEncoder(w).Encode(body)
}
